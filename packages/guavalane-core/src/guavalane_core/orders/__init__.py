"""Orders to engines, sent by one lease holder at a time."""

from __future__ import annotations

from guavalane_core.orders.intents import Intent, IntentStore
from guavalane_core.orders.loads import LoadSchedule
from guavalane_core.orders.order import DesiredState, EngineOrders, EngineStatus
from guavalane_core.orders.sender import OrderSender

__all__ = [
    "DesiredState",
    "EngineOrders",
    "EngineStatus",
    "Intent",
    "IntentStore",
    "LoadSchedule",
    "OrderSender",
]
