"""Reports about the state of a node for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from guavalane_core.schema.options import to_plain

if TYPE_CHECKING:
    from guavalane_entry.node import EntryNode


async def status(node: EntryNode) -> dict[str, Any]:
    """Returns a summary of the state of a node."""
    rejected = node.state.rejected
    sender = await node.orders.find_sender()
    return {
        "node": node.settings.name,
        "zone": node.settings.zone,
        "incarnation": node.incarnation,
        "ready": node.callers.ready,
        "generation": node.state.generation,
        "object_api": "reachable" if node.objects.reachable else "unreachable",
        "in_flight": len(node.callers.in_flight),
        "peers": sorted(node.links.peers),
        "relay": node.sharing.is_relay,
        "relays": node.sharing.relays,
        "order_sender": sender["node"],
        "order_fencing_number": sender["fencing_number"],
        "rejected_configuration": list(rejected) if rejected else None,
    }


def nodes(node: EntryNode) -> list[dict[str, Any]]:
    """Returns all known members, including their last known generation."""
    return node.membership.report()


def endpoints(node: EntryNode) -> list[dict[str, Any]]:
    """Returns the endpoints in use by the node."""
    return [
        {
            "endpoint": view.name,
            "url": view.endpoint.url,
            "zone": view.endpoint.zone,
            "deployment": view.endpoint.deployment,
            "version": view.endpoint.version,
            "in_flight": view.in_flight,
            "waiting": view.reported_waiting,
            "running": view.reported_running,
            "state": node.pool.state(view.name),
            "leaving": view.leaving,
        }
        for view in sorted(node.pool.views.values(), key=lambda v: v.name)
    ]


def fleet(node: EntryNode) -> list[dict[str, Any]]:
    """Returns the fleet plans and the reasons for them."""
    return node.fleet.report()


async def dump(node: EntryNode) -> dict[str, Any]:
    """Returns the state of the whole process, without secrets."""
    now = node.timers.now()
    return {
        "status": await status(node),
        "settings": to_plain(node.settings, redact=True),
        "endpoints": endpoints(node),
        "requests": [
            {
                "id": request.request_id,
                "organisation": request.organisation,
                "route": request.route_name,
                "attempts": request.attempts,
                "remaining_s": round(request.remaining_s(now), 3),
            }
            for request in node.callers.in_flight.values()
        ],
        "moves": node.moves.dump(),
        "orders": node.orders.dump(),
        "admission": node.admission.dump(),
        "counters": node.metrics.dump(),
        "nodes": nodes(node),
        "peer_bytes": {
            "sent": node.links.bytes_sent,
            "received": node.links.bytes_received,
        },
        "object_api": {
            "outage_s": round(node.objects.outage_s, 3),
            "writes_per_s": node.objects.write_rate,
            "reads_per_s": node.objects.read_rate,
            "watches": node.objects.watches,
            "counts": attrs.asdict(node.objects.counts),
        },
    }
