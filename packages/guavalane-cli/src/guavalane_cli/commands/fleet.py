"""Commands for the fleet."""

from __future__ import annotations

from typing import Any

from guavalane_cli.client import OperatorClient


def plan(client: OperatorClient) -> list[dict[str, Any]]:
    """Returns one row per kind of VM, with its desired and existing number.

    The cost per hour in each row is that of the deployment's complete mix.
    """
    rows = []
    for fleet in client.get("/operator/fleet"):
        wanted, present = fleet.get("mix", {}), fleet.get("present", {})
        for kind in sorted(wanted.keys() | present.keys()):
            rows.append(
                {
                    "deployment": fleet["deployment"],
                    "kind": kind,
                    "wanted": wanted.get(kind, 0),
                    "present": present.get(kind, 0),
                    "fleet_cost_per_h": fleet["cost_per_h"],
                }
            )
    return rows


def explain(client: OperatorClient, deployment: str = "") -> dict[str, Any]:
    """Returns the complete planner report of each deployment, by name.

    Args:
      client: Client of any node; only the lease holder has a plan.
      deployment: Name of the deployment; empty for all.
    """
    return {
        fleet["deployment"]: fleet
        for fleet in client.get("/operator/fleet")
        if deployment in ("", fleet["deployment"])
    }
