"""Reporting of benchmark results and checking of their bounds."""

from __future__ import annotations

from collections.abc import Callable

from guavalane_core.registry import Registry

# Benchmarks by name; each module `bench_*.py` registers its own.
BENCHES: Registry[Callable[[Report], None]] = Registry("bench")


class Report:
    """Prints measured values and records failed bounds.

    Args:
      bench: Name of the benchmark.
    """

    def __init__(self, bench: str) -> None:
        self._bench = bench
        self._failed: list[str] = []

    @property
    def failed(self) -> list[str]:
        """Report lines of the failed bounds."""
        return self._failed

    def figure(self, name: str, value: float, unit: str) -> None:
        """Prints a measured value that has no bound."""
        print(f"{self._bench}: {name}: {value:.6g} {unit}", flush=True)

    def bound(
        self,
        name: str,
        value: float,
        unit: str,
        *,
        at_most: float | None = None,
        at_least: float | None = None,
    ) -> None:
        """Prints a measured value and checks it against its bounds.

        Args:
          name: Name of the measurement.
          value: Measured value.
          unit: Unit of value and bounds.
          at_most: Largest allowed value.
          at_least: Smallest allowed value.
        """
        within_bounds = (at_most is None or value <= at_most) and (
            at_least is None or value >= at_least
        )
        limits = [
            f"{label} {limit:g}"
            for label, limit in (("at most", at_most), ("at least", at_least))
            if limit is not None
        ]
        line = f"{self._bench}: {name}: {value:.6g} {unit}"
        line += (
            f" ({' and '.join(limits)}): {'ok' if within_bounds else 'FAILED'}"
        )
        print(line, flush=True)
        if not within_bounds:
            self._failed.append(line)
