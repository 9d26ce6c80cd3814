"""Usage of organisations per time window."""

from __future__ import annotations

from guavalane_core.usage.clock import MedianClock
from guavalane_core.usage.counts import UsageCounts

__all__ = ["MedianClock", "UsageCounts"]
