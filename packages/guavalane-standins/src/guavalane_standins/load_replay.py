"""Replays the choice of uneven endpoints by many nodes, without network.

Endpoints have slots and a queue, and a factor by which work takes longer. Each
node knows its own requests, the sums of all nodes as relays report them, and
the figures in the responses that it got. The production choice is used.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from guavalane_core.placement import Candidate, WorkTable
from guavalane_core.placement.server_load import ServerLoad, ServerLoads
from guavalane_core.placement.work import Load
from guavalane_standins.forwarding_samples import make_endpoint

# Period and delay of the reports of load between nodes, in seconds.
REPORT_PERIOD_S = 0.25
REPORT_DELAY_S = 0.125
# Usual slowdowns of the VMs, and those while they are disturbed.
USUAL_SLOWDOWNS = (1.0, 1.0, 1.0, 2.0)
DISTURBED_FACTOR = 4.0
# Mean times between disturbances and of a disturbance, in seconds.
QUIET_S = 1.5
DISTURBED_S = 0.4
WARM_UP_S = 2.0

Choose = Callable[[Sequence[Candidate], random.Random], Candidate]


@attrs.frozen(kw_only=True)
class LoadCase:
    """Deployment to replay.

    Attributes:
      nodes: Number of nodes.
      endpoints: Number of endpoints.
      slots: Slots of each.
      rate_per_s: Requests per second of all nodes.
      work_s: Time of a request until its response, in seconds.
      run_s: Further time for which it keeps its slot, in seconds.
      figure_delay_s: Largest additional age of the figures, in seconds.
      states_slowdown: Whether responses have the fourth figure.
      uneven: Whether VMs differ and are disturbed.
      duration_s: Duration in seconds.
      seed: Seed.
    """

    nodes: int = 70
    endpoints: int = 4
    slots: int = 6
    rate_per_s: float = 113.0
    work_s: float = 0.02
    run_s: float = 0.0
    figure_delay_s: float = 0.0
    states_slowdown: bool = True
    uneven: bool = True
    duration_s: float = 40.0
    seed: int = 1


@attrs.frozen
class LoadResult:
    """Outcome of a replay.

    Attributes:
      p50_s: Median time to the response in seconds.
      p99_s: The same of the slowest hundredth.
      busiest: Requests of the busiest endpoint divided by the mean.
      by_endpoint: Requests by endpoint.
    """

    p50_s: float
    p99_s: float
    busiest: float
    by_endpoint: dict[str, int]


class _Server:
    """Endpoint with slots and a queue."""

    def __init__(self, case: LoadCase, index: int, rng: random.Random) -> None:
        self.endpoint = make_endpoint(f"e-{index:02}", slots=case.slots)
        self.running = 0
        self.queue: deque[Any] = deque()
        usual = USUAL_SLOWDOWNS[index % len(USUAL_SLOWDOWNS)]
        self._usual = usual if case.uneven else 1.0
        self._changes_s = [0.0]
        # Queued requests still run after the last arrival.
        while case.uneven and self._changes_s[-1] < 2 * case.duration_s:
            mean_s = DISTURBED_S if len(self._changes_s) % 2 == 0 else QUIET_S
            gap_s = rng.expovariate(1 / mean_s)
            self._changes_s.append(self._changes_s[-1] + gap_s)
        self._next = 1

    def slowdown(self, now_s: float) -> float:
        """Returns the factor; times may not decrease between calls."""
        while (
            self._next < len(self._changes_s)
            and self._changes_s[self._next] <= now_s
        ):
            self._next += 1
        disturbed = self._next % 2 == 0
        return self._usual * (DISTURBED_FACTOR if disturbed else 1.0)


class _Node:
    """What a node knows."""

    def __init__(self) -> None:
        self.table = WorkTable()
        self.loads = ServerLoads()


class LoadReplay:
    """Replays one case.

    Args:
      case: Deployment.
      choose: Function that returns the candidate for a request.
    """

    def __init__(self, case: LoadCase, choose: Choose) -> None:
        self._case = case
        self._choose = choose
        self._rng = random.Random(case.seed)
        self._servers = {}
        for index in range(case.endpoints):
            server = _Server(case, index, self._rng)
            self._servers[server.endpoint.endpoint_id] = server
        self._nodes = [_Node() for _ in range(case.nodes)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now_s = 0.0
        self._times_s: list[float] = []
        self._chosen: Counter[str] = Counter()

    def run(self) -> LoadResult:
        """Runs the case and returns its figures."""
        self._at(0.0, self._arrive)
        self._at(0.0, self._report)
        while self._events:
            self._now_s, _, act = heapq.heappop(self._events)
            act()
        times_s = sorted(self._times_s)
        mean = sum(self._chosen.values()) / len(self._servers)
        return LoadResult(
            times_s[len(times_s) // 2],
            times_s[int(0.99 * len(times_s))],
            max(self._chosen.values()) / mean,
            dict(self._chosen),
        )

    def _at(self, delay_s: float, act: Callable[[], None]) -> None:
        entry = (self._now_s + delay_s, next(self._order), act)
        heapq.heappush(self._events, entry)

    def _report(self) -> None:
        if self._now_s >= self._case.duration_s:
            return
        own = [node.table.own_loads() for node in self._nodes]
        self._at(REPORT_DELAY_S, lambda: self._deliver(own))
        self._at(REPORT_PERIOD_S, self._report)

    def _deliver(self, own: list[dict[str, Load]]) -> None:
        total: dict[str, Load] = {}
        for loads in own:
            for name, load in loads.items():
                total[name] = total.get(name, Load()) + load
        for node, loads in zip(self._nodes, own, strict=True):
            others = {n: t - loads.get(n, Load()) for n, t in total.items()}
            node.table.relay(others, self._now_s + 1.0)

    def _arrive(self) -> None:
        if self._now_s >= self._case.duration_s:
            return
        self._at(self._rng.expovariate(self._case.rate_per_s), self._arrive)
        node = self._rng.choice(self._nodes)
        candidates = [
            Candidate(
                server.endpoint,
                node.table.total(name, self._now_s),
                figures=node.loads.figures(
                    name, node.table.own(name).requests, self._now_s
                ),
            )
            for name, server in self._servers.items()
        ]
        name = self._choose(candidates, self._rng).endpoint.endpoint_id
        if self._now_s >= WARM_UP_S:
            self._chosen[name] += 1
        server = self._servers[name]
        item = (node, node.table.start(name), self._now_s)
        if server.running < self._case.slots:
            self._start(server, item)
        else:
            server.queue.append(item)

    def _start(self, server: _Server, item: Any) -> None:
        server.running += 1
        factor = server.slowdown(self._now_s)
        self._at(self._case.work_s * factor, lambda: self._answer(server, item))
        self._at(
            (self._case.work_s + self._case.run_s) * factor,
            lambda: self._end(server, item),
        )

    def _answer(self, server: _Server, item: Any) -> None:
        node, _, began_s = item
        if began_s >= WARM_UP_S:
            self._times_s.append(self._now_s - began_s)
        slowdown = server.slowdown(self._now_s)
        load = ServerLoad(
            server.running,
            len(server.queue),
            self._case.slots,
            slowdown if self._case.states_slowdown else None,
        )
        name = server.endpoint.endpoint_id
        own = node.table.own(name).requests
        delay_s = self._rng.uniform(0.0, self._case.figure_delay_s)
        self._at(
            delay_s,
            lambda: node.loads.observe(name, load, own, self._now_s),
        )

    def _end(self, server: _Server, item: Any) -> None:
        item[0].table.finish(item[1])
        server.running -= 1
        if server.queue:
            self._start(server, server.queue.popleft())
