"""Timer service: the single source of time."""

from __future__ import annotations

from guavalane_core.timers.loop import BootTimers, LoopTimers
from guavalane_core.timers.manual import ManualTimers
from guavalane_core.timers.service import Subscription, Timers

__all__ = ["BootTimers", "LoopTimers", "ManualTimers", "Subscription", "Timers"]
