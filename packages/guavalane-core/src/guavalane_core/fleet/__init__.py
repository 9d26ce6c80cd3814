"""Planning of the fleet's VMs and the commands that carry out a plan."""

from __future__ import annotations

from guavalane_core.lazy_exports import lazy_exports

__getattr__, __all__ = lazy_exports(
    __name__,
    {
        "demand": (
            "CapacityPool",
            "Demand",
            "FleetInput",
            "Offer",
            "VmClass",
        ),
        "latency": ("required_capacity",),
        "plan": (
            "FleetPlan",
            "plan_fleet",
            "plan_in_steps",
        ),
        "planner": (
            "Command",
            "DeleteVm",
            "FleetPlanner",
            "Instance",
            "Lease",
            "StartVm",
            "StorePlan",
        ),
        "scenarios": ("meets_target",),
    },
)
