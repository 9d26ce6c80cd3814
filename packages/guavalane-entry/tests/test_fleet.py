"""Tests of the fleet runner against the stand-in of the cloud API."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter

import aiohttp
import pytest

from guavalane_core.configuration import parse_configuration
from guavalane_core.exceptions import ConfigurationError, ObjectApiError
from guavalane_core.leases import LeaseHolder
from guavalane_core.objects import MemoryObjectApi
from guavalane_core.requests import RequestContext
from guavalane_core.timers import ManualTimers
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_entry.fleet.planning import (
    CALL_TIMEOUT_S,
    LEASE_NAME,
    CloudClient,
    FleetRunner,
)
from guavalane_standins import web
from guavalane_standins.cloud import Cloud
from guavalane_standins.processes import free_port

ZONES = ("z0", "z1", "z2")


def plain_configuration() -> dict:
    """Returns a configuration with one deployment and its fleet."""
    return {
        "generation": 1,
        "organisations": {"o": {"key_sha256": []}},
        "deployments": {"d": {"versions": {"v1": {}}}},
        "routes": {
            "chat": {
                "kind": "model",
                "model": "m",
                "request_class": "interactive",
                "deployment": "d",
            }
        },
        "fleets": {
            "d": {
                "model_bytes": 2,
                "weight_store_bytes_per_s": 1,
                "classes": {
                    "small": {"requests_per_s": 3, "first_token_ms": 300}
                },
                "prices": [
                    {
                        "zone": zone,
                        "vm_class": "small",
                        "reclaimable": kind,
                        "price_per_h": 1 if kind else 3,
                    }
                    for zone in ZONES
                    for kind in (True, False)
                ],
            }
        },
    }


class Node:
    """Fleet planning of one node, with manual timers."""

    def __init__(self, name: str, url: str, objects, timers) -> None:
        self.timers = timers
        self.api_up = True
        self.configuration = parse_configuration(plain_configuration())
        self.pool = EndpointPool(name, "z0", 24, timers, rng=random.Random(1))
        self.lease = LeaseHolder(objects, timers, LEASE_NAME, name, 1)
        self.runner = FleetRunner(
            self.pool,
            objects,
            self.lease,
            CloudClient(url, "p"),
            timers,
            lambda: 2,
            lambda: self.api_up,
            lambda: self.api_up,
        )
        self.runner.apply(self.configuration)

    async def tick(self) -> None:
        """Tries to acquire the lease, then runs one tick of the runner."""
        if self.lease.fencing_number or self.api_up:
            with contextlib.suppress(ObjectApiError):
                await self.lease.acquire()
        await self.runner.tick()

    def arrive(self, count: int) -> None:
        """Records arrivals of requests at this node."""
        request = RequestContext(
            request_id="r",
            organisation="o",
            route_name="chat",
            route=self.configuration.routes["chat"],
            deadline_s=60.0,
        )
        for _ in range(count):
            self.pool.count_arrival(request)


@contextlib.asynccontextmanager
async def system():
    """Yields the cloud API and two nodes that compete for the lease."""
    cloud, port = Cloud(), free_port()
    served = await web.start(cloud.application(), port)
    objects, timers = MemoryObjectApi(), ManualTimers()
    url = f"http://127.0.0.1:{port}"
    nodes = [Node(f"n{i}", url, objects, timers) for i in range(2)]
    try:
        yield cloud, nodes, timers, objects
    finally:
        for node in nodes:
            await node.runner.stop()
        await served.cleanup()


async def run(nodes, timers, seconds: int) -> None:
    """Ticks nodes every 2 s; two nodes get 8 requests per second in all."""
    for _ in range(seconds // 2):
        timers.advance(2.0)
        for node in nodes:
            node.arrive(8)
            await node.tick()


def count_vms(cloud: Cloud) -> Counter:
    """Returns the VMs of the cloud API by zone and provisioning model."""
    return Counter(
        (vm["zone"], vm["scheduling"]["provisioningModel"])
        for vm in cloud._instances.values()
        if vm["status"] == "RUNNING"
    )


class TestFleetRunner:
    """Guards against two active planners and lost or duplicate VMs."""

    async def test_one_node_starts_the_plan_and_the_other_takes_over(self):
        async with system() as (cloud, nodes, timers, _):
            await run(nodes, timers, 120)
            assert [n.lease.check() for n in nodes] == [True, False]
            report = nodes[0].runner.report()[0]
            assert report["feasible"]
            assert report["mix"] == report["present"]
            assert report["cost_per_h"] < report["cost_per_h_on_demand"]
            before = count_vms(cloud)
            assert set(before) == {(zone, "SPOT") for zone in ZONES}
            # The first node is paused; the second continues its plan.
            await run(nodes[1:], timers, 60)
            assert nodes[1].lease.check()
            assert nodes[1].lease.fencing_number == 2
            assert count_vms(cloud) == before

    async def test_reclaimed_zone_and_refusals(self):
        async with system() as (cloud, nodes, timers, _):
            await run(nodes, timers, 120)
            lost = [
                n for n, vm in cloud._instances.items() if vm["zone"] == "z1"
            ]
            cloud.faults.refuse_zones = ["z1"]
            for name in lost:
                cloud._instances[name]["status"] = "STOPPING"
            await run(nodes, timers, 60)
            left = count_vms(cloud)
            assert not any(zone == "z1" for zone, _ in left)
            assert min(left["z0", "SPOT"], left["z2", "SPOT"]) >= 4
            text = "\n".join(nodes[0].runner.report()[0]["reasons"])
            assert f"VMs lost in z1: {len(lost)}" in text

    async def test_outage_replaces_by_name_and_deletes_nothing(self):
        async with system() as (cloud, nodes, timers, objects):
            await run(nodes, timers, 120)
            before = set(cloud._instances)
            objects.set_down(True)
            for node in nodes:
                node.api_up = False
            # The lease expires. No VM is deleted although the load drops.
            timers.advance(30.0)
            cloud._terminate(min(before))
            for _ in range(10):
                timers.advance(2.0)
                for node in nodes:
                    await node.tick()
            assert not any(node.lease.check() for node in nodes)
            assert set(cloud._instances) == before

    async def test_no_order_outlasts_the_lease_and_it_is_repeated(self):
        async with system() as (cloud, nodes, timers, _):
            await run(nodes, timers, 120)
            before, lost = count_vms(cloud), min(cloud._instances)
            cloud._terminate(lost)
            cloud._inserts_released.clear()
            # The lease expires in 0.1 s, before the response.
            timers.advance(5.9)
            await asyncio.wait_for(nodes[0].runner.tick(), CALL_TIMEOUT_S - 1)
            assert cloud._calls[-1].name == lost
            assert cloud._calls[-1].status == 0
            cloud._inserts_released.set()
            await run(nodes, timers, 20)
            assert count_vms(cloud) == before
            accepted = [c.name for c in cloud._calls if c.status == 200]
            assert accepted.count(lost) == 2

    async def test_failed_deletion_is_repeated(self, monkeypatch):
        async with system() as (cloud, nodes, timers, _):
            await run(nodes, timers, 120)
            delete, failed = CloudClient.delete, []

            async def fail_once(client, order):
                if not failed:
                    failed.append(order.name)
                    raise aiohttp.ClientError
                await delete(client, order)

            monkeypatch.setattr(CloudClient, "delete", fail_once)
            extra = "fleet-d-z0-small-r-99"
            cloud._create_instance(
                "z0", {"name": extra, "machineType": "x/small"}
            )
            await run(nodes, timers, 10)
            assert failed == [extra]
            assert extra not in cloud._instances

    async def test_new_holder_shows_its_number_before_its_first_order(self):
        async with system() as (cloud, nodes, timers, _):
            await run(nodes, timers, 120)
            first = len(cloud._calls)
            await run(nodes[1:], timers, 30)
            assert nodes[1].lease.fencing_number == 2
            calls = [(c.action, c.fencing) for c in cloud._calls[first:]]
            assert calls == [("set_labels", "2")]

    async def test_plan_is_not_used_before_the_stored_one_is_read(self):
        async with system() as (cloud, nodes, timers, _):
            await run(nodes, timers, 120)
            first = len(cloud._calls)
            cloud._terminate(min(cloud._instances))
            runner = nodes[1].runner
            reachable, runner._objects = runner._objects, MemoryObjectApi()
            runner._objects.set_down(True)
            await run(nodes[1:], timers, 30)
            assert nodes[1].lease.check()
            assert len(cloud._calls) == first
            runner._objects = reachable
            await run(nodes[1:], timers, 30)
            assert cloud._calls[-1].action == "insert"

    def test_mistakes_in_the_rules_are_all_reported(self):
        plain = plain_configuration()
        prices = plain["fleets"]["d"]["prices"]
        prices.append({**prices[0], "vm_class": "huge"})
        prices.append(prices[0])
        plain["fleets"]["x"] = plain["fleets"]["d"]
        with pytest.raises(ConfigurationError) as caught:
            parse_configuration(plain)
        text = "\n".join(caught.value.errors)
        assert "fleets.d.prices[6].vm_class: unknown VM class 'huge'" in text
        assert "fleets.d.prices[7]: this kind of VM is listed twice" in text
        assert "fleets.x: unknown deployment 'x'" in text
