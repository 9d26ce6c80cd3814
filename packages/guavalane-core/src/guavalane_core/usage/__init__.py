"""Usage of organisations in windows of true time."""

from __future__ import annotations

from guavalane_core.usage.clock import MedianClock
from guavalane_core.usage.counts import UsageCounts

__all__ = ["MedianClock", "UsageCounts"]
