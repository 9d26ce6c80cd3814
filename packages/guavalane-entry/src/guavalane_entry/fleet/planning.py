"""Fleet planning under a lease, and the client of the cloud API."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

import aiohttp
from loguru import logger as log

from guavalane_core.configuration import Configuration, FleetRules
from guavalane_core.exceptions import (
    GuavalaneError,
    ObjectApiError,
    ObjectNotFoundError,
)
from guavalane_core.fleet import (
    CapacityPool,
    Command,
    DeleteVm,
    Demand,
    FleetPlanner,
    Instance,
    Offer,
    StartVm,
    StorePlan,
    VmClass,
)
from guavalane_core.leases import LeaseHolder
from guavalane_core.objects import ConditionalWriter, ObjectApi
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_entry.http_session import make_session

KIND = "fleets"
LEASE_NAME = "fleet-planner"
TICK_S = 2.0
CALL_TIMEOUT_S = 5.0
# Time constant of the load average. The planner's headroom covers a rise
# within this time.
LOAD_WINDOW_S = 60.0
# Time to measure the load before the first plan.
FIRST_PLAN_DELAY_S = 30.0
FENCING_LABEL = "fencing"
# Maximum age of the VM list on which starts may be based while the object API
# is down. A node that was paused for longer may have been replaced.
MAX_LIST_AGE_S = 5.0


class StartRefusedError(GuavalaneError):
    """The cloud API has no capacity for this kind of VM at present."""

    code = "start_refused"
    status = 503


class CloudClient:
    """Client of a cloud API that is compatible with Compute Engine.

    Args:
      url: Base URL.
      project: Project of the VMs.
    """

    def __init__(self, url: str, project: str) -> None:
        self._base = f"{url.rstrip('/')}/compute/v1/projects/{project}/zones"
        self._session: aiohttp.ClientSession | None = None

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
            self._session = make_session(timeout=timeout)
        return self._session

    async def list(self, zone: str) -> list[dict[str, Any]]:
        """Returns the instances of a zone.

        Raises:
          aiohttp.ClientError: The call failed.
        """
        found: list[dict[str, Any]] = []
        query: dict[str, str] = {}
        while True:
            async with self._client().get(
                f"{self._base}/{zone}/instances", params=query
            ) as response:
                response.raise_for_status()
                data = await response.json(content_type=None)
            found += data.get("items", ())
            if not data.get("nextPageToken"):
                return found
            query = {"pageToken": data["nextPageToken"]}

    async def start(self, order: StartVm) -> None:
        """Starts a VM; succeeds if the VM already exists.

        Raises:
          StartRefusedError: There is no capacity for this kind of VM.
          aiohttp.ClientError: The call failed.
        """
        pool = order.pool
        scheduling = {"provisioningModel": "STANDARD"}
        if pool.reclaimable:
            # A reclaimed VM would otherwise stay in the list and its name
            # could not be used again.
            scheduling = {
                "provisioningModel": "SPOT",
                "instanceTerminationAction": "DELETE",
            }
        body = {
            "name": order.name,
            "machineType": f"zones/{pool.zone}/machineTypes/{pool.vm_class}",
            "labels": {FENCING_LABEL: str(order.fencing_number)},
            "scheduling": scheduling,
        }
        async with self._client().post(
            f"{self._base}/{pool.zone}/instances", json=body
        ) as response:
            if response.status == 409:
                return
            if response.status in (429, 503):
                raise StartRefusedError(await response.text())
            response.raise_for_status()

    async def delete(self, order: DeleteVm) -> None:
        """Deletes a VM.

        Raises:
          aiohttp.ClientError: The call failed.
        """
        url = f"{self._base}/{order.pool.zone}/instances/{order.name}"
        async with self._client().delete(url) as response:
            if response.status != 404:
                response.raise_for_status()

    async def set_label(
        self, zone: str, item: dict[str, Any], key: str, value: str
    ) -> bool:
        """Sets one label of a VM and returns whether it was set.

        It is not set if the VM no longer exists or its labels have changed.

        Args:
          zone: Availability zone.
          item: VM as listed.
          key: Name of the label.
          value: Value of the label.

        Raises:
          aiohttp.ClientError: The call failed.
        """
        body = {
            "labels": {**item.get("labels", {}), key: value},
            "labelFingerprint": item.get("labelFingerprint", ""),
        }
        async with self._client().post(
            f"{self._base}/{zone}/instances/{item['name']}/setLabels", json=body
        ) as response:
            if response.status in (404, 412):
                return False
            response.raise_for_status()
        return True

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()


class FleetRunner:
    """Runs one planner per deployment while this node holds the lease.

    Args:
      pool: Counts the requests that arrive at this node.
      objects: Object API, which stores the plans.
      lease: Lease of the planner.
      cloud: Cloud API.
      timers: Timer service.
      live_node_count: Returns the number of live nodes. The load balancer
          distributes requests evenly, so the total load is the load of this
          node times this number.
      is_candidate: Returns whether this node tries to acquire the lease.
      object_api_up: Returns whether the object API was reachable recently.
    """

    def __init__(
        self,
        pool: EndpointPool,
        objects: ObjectApi,
        lease: LeaseHolder,
        cloud: CloudClient,
        timers: Timers,
        live_node_count: Callable[[], int],
        is_candidate: Callable[[], bool],
        object_api_up: Callable[[], bool],
    ) -> None:
        self._pool = pool
        self._objects = objects
        self._writer = ConditionalWriter(objects)
        self._lease = lease
        self._cloud = cloud
        self._timers = timers
        self._live_node_count = live_node_count
        self._is_candidate = is_candidate
        self._object_api_up = object_api_up
        self._configuration = Configuration()
        self._rules: dict[str, FleetRules] = {}
        self._planners: dict[str, FleetPlanner] = {}
        self._loads: dict[tuple[str, str], float] = {}
        self._started_s = timers.now()
        self._loads_updated_s = self._started_s
        self._running_since_s: dict[str, float] = {}
        self._deleted: set[str] = set()
        # Fencing number of the lease under which the stored plans were read.
        self._plans_fencing_number = 0
        # VMs of the last listed deployment, as returned by the cloud API.
        self._listed_items: dict[str, dict[str, Any]] = {}
        self._task: asyncio.Task | None = None

    def apply(self, configuration: Configuration) -> None:
        """Applies a configuration; new prices do not replace a planner."""
        self._configuration = configuration
        planners = {}
        for name, rules in configuration.fleets.items():
            planner = self._planners.get(name)
            if planner is None or not _same_model(self._rules[name], rules):
                planner = _make_planner(name, rules)
            planner.on_offers(_make_offers(rules))
            planners[name] = planner
        self._planners = planners
        self._rules = dict(configuration.fleets)

    def start(self) -> None:
        """Starts the planner."""
        # The lease is renewed in a separate task, so that it does not expire
        # while the cloud API is slow.
        self._lease.start(is_candidate=self._may_plan)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops the planner and releases the lease."""
        await cancel_tasks(self._task)
        await self._lease.stop()
        await self._cloud.close()

    def report(self) -> list[dict[str, Any]]:
        """Returns the plan of each deployment and the reasons for it."""
        now = self._timers.now()
        acts = self._lease.check()
        holder = self._lease.seen_holder
        found = []
        for name, planner in sorted(self._planners.items()):
            explanation = planner.explain(now)
            if explanation.get("plan", ...) is None and not acts:
                reason = "another node plans this fleet"
                explanation["reasons"] = [
                    f"{reason}: {holder}" if holder else reason
                ]
            found.append(
                {
                    "deployment": name,
                    "acts": acts,
                    "holder": holder,
                    **explanation,
                }
            )
        return found

    def _may_plan(self) -> bool:
        return bool(self._planners) and self._is_candidate()

    async def _run(self) -> None:
        while True:
            try:
                await self.tick()
            except Exception as error:
                # An unexpected error must not end the task permanently.
                log.opt(exception=error).error("fleet: tick failed")
            await self._timers.sleep(TICK_S)

    async def tick(self) -> None:
        """Updates the load and runs one step of the planners."""
        self._update_loads()
        acts = self._lease.check()
        if acts and self._lease.fencing_number != self._plans_fencing_number:
            await self._read_plans()
        if not acts and self._object_api_up():
            # Planners need to detect that another node has taken the lease.
            for planner in self._planners.values():
                planner.on_tick(self._timers.now(), self._lease, True)
            return
        for name, planner in list(self._planners.items()):
            try:
                await self._run_planner(name, planner)
            except (aiohttp.ClientError, TimeoutError) as error:
                log.warning("fleet: cloud API: {!r}", error)

    def _update_loads(self) -> None:
        now = self._timers.now()
        elapsed_s = now - self._loads_updated_s
        if elapsed_s <= 0:
            return
        self._loads_updated_s = now
        weight = 1 - math.exp(-elapsed_s / LOAD_WINDOW_S)
        arrivals = self._pool.take_arrivals()
        for key in arrivals.keys() | self._loads.keys():
            rate = arrivals[key] / elapsed_s * max(1, self._live_node_count())
            # The first rate is the initial value of the average, which would
            # otherwise start at zero.
            before = self._loads.get(key, rate)
            self._loads[key] = before + weight * (rate - before)

    def _make_demands(self, deployment: str) -> list[Demand]:
        found = []
        for (name, organisation), load in sorted(self._loads.items()):
            preferences = self._configuration.organisations.get(organisation)
            if name == deployment and preferences is not None:
                found.append(
                    Demand(
                        organisation,
                        load,
                        preferences.zones,
                        preferences.vm_classes,
                    )
                )
        return found

    async def _read_plans(self) -> None:
        number = self._lease.fencing_number
        for name, planner in list(self._planners.items()):
            try:
                stored = await self._objects.get(KIND, name)
                planner.on_stored_plan(stored.body, replace=True)
            except ObjectNotFoundError:
                continue
            except ObjectApiError as error:
                # The stored plan may differ from the plan of this node, so it
                # must be read before any VM is started or deleted.
                log.warning("fleet: cannot read plan of {}: {}", name, error)
                return
            except (KeyError, TypeError, ValueError) as error:
                log.warning(
                    "fleet: invalid stored plan of {}: {!r}", name, error
                )
        self._plans_fencing_number = number

    async def _run_planner(self, name: str, planner: FleetPlanner) -> None:
        acts = self._lease.check()
        if acts and self._lease.fencing_number != self._plans_fencing_number:
            return
        now = self._timers.now()
        if now - self._started_s >= FIRST_PLAN_DELAY_S:
            planner.on_demands(self._make_demands(name))
        number = self._lease.fencing_number if acts else planner.fencing_number
        if not number:
            return
        listed_s = self._timers.now()
        instances = await self._list_instances(name, planner)
        if not await self._publish_fencing_number(instances, number):
            return
        now = self._timers.now()
        for instance in instances:
            if instance.leaving and instance.name not in self._deleted:
                planner.on_reclaimed(instance.name, now)
        planner.on_instances(instances, now)
        if self._lease.check():
            # Yields to the event loop, so that requests are served between
            # the steps.
            for _ in planner.plan_in_steps(now):
                await asyncio.sleep(0)
            for _ in planner.price_on_demand_in_steps(now):
                await asyncio.sleep(0)
        commands = planner.on_tick(now, self._lease, self._object_api_up())
        await self._execute_all(name, planner, commands, listed_s)

    async def _publish_fencing_number(
        self, instances: list[Instance], number: int
    ) -> bool:
        """Publishes the fencing number as a label of a VM.

        Returns whether the label is set on some VM, or there are no VMs.

        A former holder that cannot reach the object API does not know that it
        was replaced, and would keep replacing VMs of its own plan. It stops
        when it finds a higher number in the VM list, so the number is published
        before the first start or deletion.
        """
        if not instances or any(i.fencing_number >= number for i in instances):
            return True
        labelled = min(instances, key=lambda i: (i.leaving, i.name))
        return await self._cloud.set_label(
            labelled.pool.zone,
            self._listed_items[labelled.name],
            FENCING_LABEL,
            str(number),
        )

    async def _list_instances(
        self, deployment: str, planner: FleetPlanner
    ) -> list[Instance]:
        now, found = self._timers.now(), []
        self._listed_items = {}
        zones = sorted({p.zone for p in self._rules[deployment].prices})
        lists = await asyncio.gather(*map(self._cloud.list, zones))
        for zone, items in zip(zones, lists, strict=True):
            # Yields to the event loop, as hundreds of VMs in a zone take some
            # milliseconds.
            await asyncio.sleep(0)
            for item in items:
                if not item["name"].startswith(
                    f"{_prefix(deployment)}-{zone}-"
                ):
                    continue
                name = item["name"]
                self._listed_items[name] = item
                running = item.get("status") == "RUNNING"
                if running:
                    self._running_since_s.setdefault(name, now)
                loading_s = now - self._running_since_s.get(name, now)
                spot = item.get("scheduling", {}).get("provisioningModel")
                number = item.get("labels", {}).get(FENCING_LABEL, "0")
                vm_class = item.get("machineType", "").rpartition("/")[2]
                leaving = item.get("status") in ("STOPPING", "TERMINATED")
                found.append(
                    Instance(
                        name,
                        CapacityPool(zone, vm_class, spot == "SPOT"),
                        running and loading_s >= planner.load_s,
                        leaving,
                        int(number) if number.isdigit() else 0,
                    )
                )
        return found

    async def _execute_all(
        self,
        deployment: str,
        planner: FleetPlanner,
        commands: list[Command],
        listed_s: float,
    ) -> None:
        left = list(commands)
        try:
            while left:
                if not await self._execute(
                    deployment, planner, left[0], listed_s
                ):
                    return
                left.pop(0)
        finally:
            # The first command may have been sent without a response.
            for command in left:
                planner.on_failed(command)

    def _call_timeout_s(self, command: Command, listed_s: float) -> float:
        """Returns the time within which a command must have ended, in seconds.

        Another node may act once the lease has expired, so no call may be in
        progress at that time.
        """
        if self._lease.check():
            return min(CALL_TIMEOUT_S, self._lease.remaining_s)
        # Starts need no lease while the object API is down: a repeated start
        # has the name of the first one, so that it has no effect.
        if isinstance(command, StartVm) and not self._object_api_up():
            return MAX_LIST_AGE_S - (self._timers.now() - listed_s)
        return 0.0

    async def _execute(
        self,
        deployment: str,
        planner: FleetPlanner,
        command: Command,
        listed_s: float,
    ) -> bool:
        """Sends a command and returns whether the cloud API accepted it.

        Raises:
          aiohttp.ClientError: The call failed.
          TimeoutError: The call timed out.
        """
        if isinstance(command, StorePlan):
            return await self._store(deployment, command)
        # Earlier calls may have used up the remaining time.
        timeout_s = self._call_timeout_s(command, listed_s)
        if timeout_s <= 0:
            return False
        log.info("fleet: {} {}", type(command).__name__, command.name)
        async with asyncio.timeout(timeout_s):
            if isinstance(command, DeleteVm):
                self._deleted.add(command.name)
                self._running_since_s.pop(command.name, None)
                await self._cloud.delete(command)
                return True
            self._deleted.discard(command.name)
            self._running_since_s.pop(command.name, None)
            try:
                await self._cloud.start(command)
            except StartRefusedError:
                log.warning(
                    "fleet: cloud API refused to start {}", command.name
                )
                planner.on_refused(command.name, self._timers.now())
                return True
        planner.on_started(command.name)
        return True

    async def _store(self, deployment: str, command: StorePlan) -> bool:
        """Stores the plan and returns whether it was stored.

        No VM is started or deleted before the plan is stored, as the next
        holder of the lease would revert it.
        """
        if not self._lease.check():
            return False
        try:
            try:
                stored = await self._objects.get(KIND, deployment)
            except ObjectNotFoundError:
                await self._writer.create(KIND, deployment, command.body)
            else:
                await self._writer.update(stored, command.body)
        except ObjectApiError as error:
            log.warning("fleet: plan not stored: {}", error)
            return False
        return True


def _prefix(deployment: str) -> str:
    return f"fleet-{deployment}"


def _same_model(before: FleetRules, after: FleetRules) -> bool:
    return (
        before.target_ms == after.target_ms
        and before.classes == after.classes
        and before.model_bytes == after.model_bytes
        and before.weight_store_bytes_per_s == after.weight_store_bytes_per_s
    )


def _make_planner(deployment: str, rules: FleetRules) -> FleetPlanner:
    classes = {
        name: VmClass(name, c.requests_per_s, c.first_token_ms / 1000)
        for name, c in rules.classes.items()
    }
    return FleetPlanner(
        rules.target_ms / 1000,
        classes,
        rules.model_bytes,
        rules.weight_store_bytes_per_s,
        _prefix(deployment),
    )


def _make_offers(rules: FleetRules) -> list[Offer]:
    return [
        Offer(
            CapacityPool(p.zone, p.vm_class, p.reclaimable),
            p.price_per_h,
            p.reclaims_per_h,
        )
        for p in rules.prices
    ]
