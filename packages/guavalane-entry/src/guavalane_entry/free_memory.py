"""Return of free memory to the system."""

from __future__ import annotations

import ctypes
from collections.abc import Callable

# Bytes of bodies that were dropped after which free memory is returned. By
# itself, the allocator of glibc returns only the end of its heap.
RELEASE_BYTES = 8 * 1024 * 1024


def _find_trim() -> Callable[[int], int] | None:
    """Returns `malloc_trim` of the C library; None if it has none."""
    return getattr(ctypes.CDLL(None), "malloc_trim", None)


class FreeMemory:
    """Returns free memory to the system after many bytes were dropped."""

    def __init__(self) -> None:
        self._trim = _find_trim()
        self._released_bytes = 0

    def check(self, dropped_bytes: int) -> None:
        """Returns free memory if enough was dropped since the last time.

        Args:
          dropped_bytes: Bytes that were dropped since the process started.
        """
        if dropped_bytes - self._released_bytes < RELEASE_BYTES:
            return
        self._released_bytes = dropped_bytes
        if self._trim is not None:
            self._trim(0)
