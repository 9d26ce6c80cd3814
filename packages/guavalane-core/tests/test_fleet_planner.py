"""Tests of the fleet planner's commands."""

from __future__ import annotations

import itertools

import attrs

from guavalane_core.fleet import (
    CapacityPool,
    DeleteVm,
    Demand,
    FleetPlanner,
    Instance,
    Offer,
    StartVm,
    StorePlan,
    VmClass,
)


@attrs.define
class FakeLease:
    """Lease that the test grants and revokes."""

    held: bool = True
    fencing_number: int = 1

    def check(self) -> bool:
        """Returns whether the lease is held."""
        return self.held


def make_planner(load: float = 8.0, load_s: float = 10.0) -> FleetPlanner:
    """Returns a planner with offers and a load."""
    planner = FleetPlanner(
        0.65, {"small": VmClass("small", 3.0, 0.3)}, load_s, 1.0
    )
    planner.on_offers(
        Offer(CapacityPool(f"z{zone}", "small", kind), 1.0 if kind else 3.0)
        for zone in range(4)
        for kind in (True, False)
    )
    planner.on_demands([Demand("o", load)])
    return planner


def run(planner, lease, vms, start_s, end_s, *, up=True, refuse=()):
    """Ticks once per second; returns the commands with their times."""
    log = []
    for now in range(start_s, end_s):
        planner.on_instances(vms.values(), now)
        for command in planner.on_tick(now, lease, up):
            log.append((now, command))
            if isinstance(command, StartVm):
                if command.pool in refuse:
                    planner.on_refused(command.name, now)
                    continue
                assert command.name not in vms
                vms[command.name] = Instance(
                    command.name,
                    command.pool,
                    True,
                    fencing_number=command.fencing_number,
                )
                planner.on_started(command.name)
            elif isinstance(command, DeleteVm):
                del vms[command.name]
    return log


def of_type(log, kind):
    """Returns the commands of a type with their times."""
    return [(now, command) for now, command in log if isinstance(command, kind)]


class TestFleetPlanner:
    """Guards against commands that overshoot, race or violate the target."""

    def test_starts_stay_within_the_weight_store_rate(self):
        vms: dict[str, Instance] = {}
        planner = make_planner(load_s=10.0)
        log = run(planner, FakeLease(), vms, 0, 120)
        times = [now for now, _ in of_type(log, StartVm)]
        assert len(times) == len(vms) == sum(planner.plan.mix.values())
        assert all(b - a >= 10 for a, b in itertools.pairwise(times))

    def test_no_commands_without_the_lease(self):
        planner = make_planner()
        assert run(planner, FakeLease(held=False), {}, 0, 30) == []
        assert run(planner, FakeLease(held=False), {}, 30, 60, up=False) == []

    def test_outage_replaces_lost_vms_of_the_last_plan_only(self):
        vms: dict[str, Instance] = {}
        planner = make_planner()
        lease = FakeLease()
        run(planner, lease, vms, 0, 120)
        plan, lease.held = planner.plan, False
        name, _ = vms.popitem()
        planner.on_demands([Demand("o", 40.0)])
        log = run(planner, lease, vms, 120, 240, up=False)
        assert [c.name for _, c in log] == [name]
        assert planner.plan is plan
        # Without an outage, another planner may hold the lease.
        vms.popitem()
        assert run(planner, lease, vms, 240, 300) == []

    def test_two_planners_in_an_outage_start_each_vm_once(self):
        vms: dict[str, Instance] = {}
        old, new = make_planner(), make_planner()
        lease = FakeLease()
        run(old, lease, vms, 0, 120)
        new.on_instances(vms.values(), 120)
        lease.held = False
        vms.pop(next(iter(vms)))
        second = FakeLease(fencing_number=2)
        run(new, second, vms, 120, 200)
        names = set(vms)
        second.held = False
        lost = next(n for n, vm in vms.items() if vm.fencing_number == 1)
        vms.pop(lost)
        # The old planner sees a higher fencing number and stops permanently.
        assert run(old, lease, vms, 200, 260, up=False) == []
        log = run(new, second, vms, 260, 320, up=False)
        assert [c.name for _, c in log] == [lost]
        assert set(vms) == names

    def test_same_names_from_planners_with_the_same_list(self):
        vms: dict[str, Instance] = {}
        old = make_planner()
        lease = FakeLease()
        run(old, lease, vms, 0, 120)
        new = make_planner()
        log = run(new, lease, dict(vms), 0, 1)
        (stored,) = (c.body for _, c in of_type(log, StorePlan))
        restored = make_planner()
        restored.on_stored_plan(stored)
        assert restored.plan.mix == old.plan.mix
        vms.popitem()
        lease.held = False
        orders = [
            run(p, lease, dict(vms), 130, 131, up=False) for p in (old, new)
        ]
        assert orders[0][0][1].name == orders[1][0][1].name

    def test_refused_start_falls_back_and_backs_off(self):
        vms: dict[str, Instance] = {}
        planner = make_planner()
        refused = [CapacityPool("z0", "small"), CapacityPool("z1", "small")]
        log = run(planner, FakeLease(), vms, 0, 300, refuse=refused)
        tries = [n for n, c in of_type(log, StartVm) if c.pool == refused[0]]
        assert len(tries) <= 3
        assert planner.plan.feasible
        assert not any(vm.pool in refused for vm in vms.values())

    def test_mass_reclaim_suspends_starts_in_the_zone(self):
        vms: dict[str, Instance] = {}
        planner = make_planner()
        run(planner, FakeLease(), vms, 0, 120)
        for name, vm in list(vms.items()):
            if vm.pool.zone == "z1":
                planner.on_reclaimed(name, 120)
                del vms[name]
        planner.on_demands([Demand("o", 12.0)])
        log = run(planner, FakeLease(), vms, 120, 300)
        started = {c.pool for _, c in of_type(log, StartVm)}
        assert started
        assert CapacityPool("z1", "small") not in started

    def test_surplus_is_deleted_after_the_replacement_is_ready(self):
        vms: dict[str, Instance] = {}
        planner = make_planner(load=16.0)
        run(planner, FakeLease(), vms, 0, 200)
        before = len(vms)
        planner.on_demands([Demand("o", 4.0)])
        log = run(planner, FakeLease(), vms, 200, 1000)
        deleted = of_type(log, DeleteVm)
        assert deleted and deleted[0][0] >= 800
        assert len(vms) == before - len(deleted)
        assert len(vms) == sum(planner.plan.mix.values())

    def test_lease_of_another_planner_stops_replacements(self):
        vms: dict[str, Instance] = {}
        planner = make_planner()
        lease = FakeLease()
        run(planner, lease, vms, 0, 120)
        # Another planner acquires the lease before the object API fails.
        lease.held, lease.fencing_number = False, 0
        run(planner, lease, vms, 120, 122)
        vms.popitem()
        assert run(planner, lease, vms, 122, 240, up=False) == []

    def test_failed_orders_are_repeated_under_the_same_name(self):
        vms: dict[str, Instance] = {}
        planner = make_planner(load_s=1.0)
        for now in (0, 1, 2):
            commands = planner.on_tick(now, FakeLease(), True)
            assert [type(c) for c in commands] == [StorePlan, StartVm]
            names = {c.name for c in commands[1:]}
            assert names == {"fleet-z0-small-r-0"}
            for command in commands:
                planner.on_failed(command)
        run(planner, FakeLease(), vms, 3, 60)
        extra = Instance(
            "fleet-z0-small-d-0", CapacityPool("z0", "small", False)
        )
        vms[extra.name] = extra
        planner.on_instances(vms.values(), 60)
        for now in (60, 62):
            (command,) = planner.on_tick(now, FakeLease(), True)
            assert command == DeleteVm(extra.name, extra.pool, 1)
            planner.on_failed(command)

    def test_new_holder_without_a_load_deletes_nothing(self):
        vms: dict[str, Instance] = {}
        old = make_planner(load=16.0)
        run(old, FakeLease(), vms, 0, 200)
        new = make_planner()
        new.on_demands([])
        new.on_stored_plan(
            {
                "mix": [["z0", "small", True, 1]],
                "cost_per_h": 1.0,
                "feasible": True,
                "preferred": True,
                "reasons": [],
            }
        )
        assert run(new, FakeLease(fencing_number=2), vms, 200, 230) == []
        assert new.explain(230)["cost_per_h"] == 1.0

    def test_stored_plan_replaces_an_older_one_after_a_takeover(self):
        old, new = make_planner(), make_planner(load=30.0)
        run(old, FakeLease(), {}, 0, 2)
        log = run(new, FakeLease(fencing_number=2), {}, 0, 2)
        (stored,) = (c.body for _, c in of_type(log, StorePlan))
        old.on_stored_plan(stored, replace=True)
        assert old.plan.mix == new.plan.mix

    def test_reclaims_are_reported_as_a_reason(self):
        vms: dict[str, Instance] = {}
        planner = make_planner()
        run(planner, FakeLease(), vms, 0, 120)
        names = [n for n, vm in vms.items() if vm.pool.zone == "z1"]
        for name in names:
            planner.on_reclaimed(name, 120)
        text = "\n".join(planner.explain(130)["reasons"])
        assert f"VMs lost in z1: {len(names)}, the last 10 s ago" in text

    def test_vms_that_disappear_without_notice_count_as_reclaimed(self):
        vms: dict[str, Instance] = {}
        planner = make_planner(load=16.0)
        run(planner, FakeLease(), vms, 0, 120)
        for name in [n for n, vm in vms.items() if vm.pool.zone == "z1"]:
            del vms[name]
        log = run(planner, FakeLease(), vms, 120, 300)
        assert "VMs lost in z1" in "\n".join(planner.explain(300)["reasons"])
        started = {c.pool for _, c in of_type(log, StartVm)}
        assert started
        assert CapacityPool("z1", "small") not in started

    def test_vm_reclaimed_before_it_is_listed_is_reported(self):
        planner = make_planner()
        _, start = planner.on_tick(0, FakeLease(), True)
        vm = Instance(start.name, start.pool, leaving=True)
        planner.on_instances([vm], 2)
        planner.on_instances([vm], 4)
        text = "\n".join(planner.explain(4)["reasons"])
        assert "VMs lost in z0: 1, the last 2 s ago" in text

    def test_single_losses_need_no_new_plan(self):
        # A plan of a large fleet takes half a second of CPU time.
        vms: dict[str, Instance] = {}
        planner = make_planner()
        run(planner, FakeLease(), vms, 0, 122)
        made = planner.plan
        for now, zone in ((122, "z0"), (132, "z1"), (142, "z2")):
            # Two losses in one zone would be a mass reclaim.
            vms.pop(min(n for n, vm in vms.items() if vm.pool.zone == zone))
            run(planner, FakeLease(), vms, now, now + 9)
            assert planner.plan is made

    def test_on_demand_cost_is_computed_once_per_plan(self):
        # The load changes slightly at every tick of the entry node.
        planner = make_planner()
        planner.on_tick(0, FakeLease(), True)
        assert list(planner.price_on_demand_in_steps(0))
        planner.on_demands([Demand("o", 8.001)])
        assert not list(planner.price_on_demand_in_steps(2))
        cost = planner.explain(2)["cost_per_h_on_demand"]
        assert cost > planner.plan.cost_per_h
