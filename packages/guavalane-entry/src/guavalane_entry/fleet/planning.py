"""Fleet planning under a lease and orders to the cloud API."""

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
CALL_LIMIT_S = 5.0
# Time over which the load is averaged, in seconds. The planner's headroom
# covers what rises within it.
LOAD_WINDOW_S = 60.0
# Time before the load is known well enough for a first plan, in seconds.
FIRST_PLAN_S = 30.0
FENCING_LABEL = "fencing"
# Age of the list of VMs up to which starts may follow from it in an outage, in
# seconds. A node that was paused for longer may have been replaced.
LIST_AGE_LIMIT_S = 5.0


class StartRefusedError(GuavalaneError):
    """The cloud API has no VM of this kind now."""

    code = "start_refused"
    status = 503


class CloudClient:
    """Calls the cloud API in the form of Compute Engine.

    Args:
      url: Base URL.
      project: Project of the VMs.
    """

    def __init__(self, url: str, project: str) -> None:
        self._base = f"{url.rstrip('/')}/compute/v1/projects/{project}/zones"
        self._session: aiohttp.ClientSession | None = None

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=CALL_LIMIT_S)
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
            ) as answer:
                answer.raise_for_status()
                data = await answer.json(content_type=None)
            found += data.get("items", ())
            if not data.get("nextPageToken"):
                return found
            query = {"pageToken": data["nextPageToken"]}

    async def start(self, order: StartVm) -> None:
        """Starts a VM; one that exists already counts as started.

        Raises:
          StartRefusedError: There is no VM of this kind now.
          aiohttp.ClientError: The call failed.
        """
        pool = order.pool
        scheduling = {"provisioningModel": "STANDARD"}
        if pool.reclaimable:
            # A reclaimed VM would otherwise stay listed and keep its name.
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
        ) as answer:
            if answer.status == 409:
                return
            if answer.status in (429, 503):
                raise StartRefusedError(await answer.text())
            answer.raise_for_status()

    async def delete(self, order: DeleteVm) -> None:
        """Deletes a VM.

        Raises:
          aiohttp.ClientError: The call failed.
        """
        url = f"{self._base}/{order.pool.zone}/instances/{order.name}"
        async with self._client().delete(url) as answer:
            if answer.status != 404:
                answer.raise_for_status()

    async def set_label(
        self, zone: str, item: dict[str, Any], key: str, value: str
    ) -> bool:
        """Sets one label of a VM and returns whether it took effect.

        It does not if the VM is gone or its labels have changed since.

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
        ) as answer:
            if answer.status in (404, 412):
                return False
            answer.raise_for_status()
        return True

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()


class FleetRunner:
    """Runs one planner per deployment while this node holds the lease.

    Args:
      pool: Counts the requests that arrive here.
      objects: Object API; keeps the plans.
      lease: Lease of the planner.
      cloud: Cloud API.
      timers: Timer service.
      nodes: Returns the number of live nodes. The load balancer spreads
          requests evenly, so the load is this node's times their number.
      is_candidate: Returns whether this node tries to hold the lease.
      object_api_up: Returns whether the object API was reached lately.
    """

    def __init__(
        self,
        pool: EndpointPool,
        objects: ObjectApi,
        lease: LeaseHolder,
        cloud: CloudClient,
        timers: Timers,
        nodes: Callable[[], int],
        is_candidate: Callable[[], bool],
        object_api_up: Callable[[], bool],
    ) -> None:
        self._pool = pool
        self._objects = objects
        self._writer = ConditionalWriter(objects)
        self._lease = lease
        self._cloud = cloud
        self._timers = timers
        self._nodes = nodes
        self._is_candidate = is_candidate
        self._object_api_up = object_api_up
        self._configuration = Configuration()
        self._rules: dict[str, FleetRules] = {}
        self._planners: dict[str, FleetPlanner] = {}
        self._loads: dict[tuple[str, str], float] = {}
        self._started_s = timers.now()
        self._counted_s = self._started_s
        self._seen_s: dict[str, float] = {}
        self._deleted: set[str] = set()
        # Fencing number of the lease under which the stored plans were read.
        self._read_under = 0
        # VMs of the deployment that was listed last, as listed.
        self._items: dict[str, dict[str, Any]] = {}
        self._task: asyncio.Task | None = None

    def apply(self, configuration: Configuration) -> None:
        """Follows a new configuration; prices do not end a planner."""
        self._configuration = configuration
        planners = {}
        for name, rules in configuration.fleets.items():
            planner = self._planners.get(name)
            if planner is None or not _same_model(self._rules[name], rules):
                planner = _make_planner(name, rules)
            planner.on_offers(_offers(rules))
            planners[name] = planner
        self._planners = planners
        self._rules = dict(configuration.fleets)

    def start(self) -> None:
        """Starts to plan."""
        # The lease has a task of its own, so that a slow cloud API does not
        # make it lapse.
        self._lease.start(is_candidate=self._may_plan)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops to plan and gives the lease up."""
        await cancel_tasks(self._task)
        await self._lease.stop()
        await self._cloud.close()

    def report(self) -> list[dict[str, Any]]:
        """Returns what each planner wants and why."""
        now = self._timers.now()
        acts = self._lease.check()
        holder = self._lease.seen_holder
        found = []
        for name, planner in sorted(self._planners.items()):
            told = planner.explain(now)
            if told.get("plan", ...) is None and not acts:
                reason = "another node plans this fleet"
                told["reasons"] = [f"{reason}: {holder}" if holder else reason]
            found.append(
                {"deployment": name, "acts": acts, "holder": holder, **told}
            )
        return found

    def _may_plan(self) -> bool:
        return bool(self._planners) and self._is_candidate()

    async def _run(self) -> None:
        while True:
            try:
                await self.tick()
            except Exception as error:
                # A defect here must not end the planning for good.
                log.opt(exception=error).error("fleet: tick failed")
            await self._timers.sleep(TICK_S)

    async def tick(self) -> None:
        """Plans and executes the orders that are due."""
        self._count_load()
        acts = self._lease.check()
        if acts and self._lease.fencing_number != self._read_under:
            await self._read_plans()
        if not acts and self._object_api_up():
            # Planners learn whether another one took the lease.
            for planner in self._planners.values():
                planner.on_tick(self._timers.now(), self._lease, True)
            return
        for name, planner in list(self._planners.items()):
            try:
                await self._run_planner(name, planner)
            except (aiohttp.ClientError, TimeoutError) as error:
                log.warning("fleet: cloud API: {!r}", error)

    def _count_load(self) -> None:
        now = self._timers.now()
        elapsed_s = now - self._counted_s
        if elapsed_s <= 0:
            return
        self._counted_s = now
        weight = 1 - math.exp(-elapsed_s / LOAD_WINDOW_S)
        arrivals = self._pool.take_arrivals()
        for key in arrivals.keys() | self._loads.keys():
            rate = arrivals[key] / elapsed_s * max(1, self._nodes())
            # The first rate counts in full, or the load would start at zero.
            before = self._loads.get(key, rate)
            self._loads[key] = before + weight * (rate - before)

    def _demands(self, deployment: str) -> list[Demand]:
        found = []
        for (name, organisation), load in sorted(self._loads.items()):
            wishes = self._configuration.organisations.get(organisation)
            if name == deployment and wishes is not None:
                found.append(
                    Demand(organisation, load, wishes.zones, wishes.vm_classes)
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
                # The plan may differ from this node's own, so it is read
                # before anything is ordered.
                log.warning("fleet: no stored plan of {}: {}", name, error)
                return
            except (KeyError, TypeError, ValueError) as error:
                log.warning("fleet: bad stored plan of {}: {!r}", name, error)
        self._read_under = number

    async def _run_planner(self, name: str, planner: FleetPlanner) -> None:
        acts = self._lease.check()
        if acts and self._lease.fencing_number != self._read_under:
            return
        now = self._timers.now()
        if now - self._started_s >= FIRST_PLAN_S:
            planner.on_demands(self._demands(name))
        number = self._lease.fencing_number if acts else planner.fencing_number
        if not number:
            return
        listed_s = self._timers.now()
        instances = await self._instances(name, planner)
        if not await self._show_number(instances, number):
            return
        now = self._timers.now()
        for instance in instances:
            if instance.leaving and instance.name not in self._deleted:
                planner.on_reclaimed(instance.name, now)
        planner.on_instances(instances, now)
        if self._lease.check():
            # Callers are served between the steps.
            for _ in planner.plan_in_steps(now):
                await asyncio.sleep(0)
            for _ in planner.price_on_demand_in_steps(now):
                await asyncio.sleep(0)
        commands = planner.on_tick(now, self._lease, self._object_api_up())
        await self._execute_all(name, planner, commands, listed_s)

    async def _show_number(
        self, instances: list[Instance], number: int
    ) -> bool:
        """Returns whether earlier holders can see the number on some VM.

        An earlier holder that does not reach the object API cannot know that
        it was replaced, and would go on to replace VMs of its own plan. It
        stops when it sees a higher number, so one is shown before the first
        order.
        """
        if not instances or any(i.fencing_number >= number for i in instances):
            return True
        shown = min(instances, key=lambda i: (i.leaving, i.name))
        return await self._cloud.set_label(
            shown.pool.zone,
            self._items[shown.name],
            FENCING_LABEL,
            str(number),
        )

    async def _instances(
        self, deployment: str, planner: FleetPlanner
    ) -> list[Instance]:
        now, found = self._timers.now(), []
        self._items = {}
        zones = sorted({p.zone for p in self._rules[deployment].prices})
        lists = await asyncio.gather(*map(self._cloud.list, zones))
        for zone, items in zip(zones, lists, strict=True):
            # Hundreds of VMs of a zone take some milliseconds.
            await asyncio.sleep(0)
            for item in items:
                if not item["name"].startswith(
                    f"{_prefix(deployment)}-{zone}-"
                ):
                    continue
                name = item["name"]
                self._items[name] = item
                running = item.get("status") == "RUNNING"
                if running:
                    self._seen_s.setdefault(name, now)
                loading_s = now - self._seen_s.get(name, now)
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
            # The first may have been sent without an answer.
            for command in left:
                planner.on_failed(command)

    def _call_limit_s(self, command: Command, listed_s: float) -> float:
        """Returns the time in which an order must be through, in seconds.

        Another node may act when the lease has expired, so no call may be
        under way by then.
        """
        if self._lease.check():
            return min(CALL_LIMIT_S, self._lease.remaining_s)
        # Starts need no lease in an outage; their names keep them from being
        # doubled.
        if isinstance(command, StartVm) and not self._object_api_up():
            return LIST_AGE_LIMIT_S - (self._timers.now() - listed_s)
        return 0.0

    async def _execute(
        self,
        deployment: str,
        planner: FleetPlanner,
        command: Command,
        listed_s: float,
    ) -> bool:
        """Returns whether an order was sent and answered.

        Raises:
          aiohttp.ClientError: The call failed.
          TimeoutError: There was no answer in time.
        """
        if isinstance(command, StorePlan):
            return await self._store(deployment, command)
        # The calls before this one took time.
        limit_s = self._call_limit_s(command, listed_s)
        if limit_s <= 0:
            return False
        log.info("fleet: {} {}", type(command).__name__, command.name)
        async with asyncio.timeout(limit_s):
            if isinstance(command, DeleteVm):
                self._deleted.add(command.name)
                self._seen_s.pop(command.name, None)
                await self._cloud.delete(command)
                return True
            self._deleted.discard(command.name)
            self._seen_s.pop(command.name, None)
            try:
                await self._cloud.start(command)
            except StartRefusedError:
                log.warning("fleet: start of {} is refused", command.name)
                planner.on_refused(command.name, self._timers.now())
                return True
        planner.on_started(command.name)
        return True

    async def _store(self, deployment: str, command: StorePlan) -> bool:
        """Returns whether the plan was stored.

        Nothing is ordered before, as the next holder would undo it.
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


def _offers(rules: FleetRules) -> list[Offer]:
    return [
        Offer(
            CapacityPool(p.zone, p.vm_class, p.reclaimable),
            p.price_per_h,
            p.reclaims_per_h,
        )
        for p in rules.prices
    ]
