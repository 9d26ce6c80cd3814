"""Search for the cheapest mix that withstands all scenarios."""

from __future__ import annotations

import itertools
import math
import operator
from collections.abc import Generator, Iterator, Sequence

import attrs

from guavalane_core.fleet.demand import CapacityPool, FleetInput
from guavalane_core.fleet.latency import (
    P95_MEANS,
    mean_wait_s,
    required_capacity,
)
from guavalane_core.fleet.relaxation import Row, minimise
from guavalane_core.fleet.scenarios import Scenario, make_scenarios

Counts = list[int]
Move = tuple[float, tuple[int, ...], tuple[int, ...]]
# Fleets above this size are searched in lots of several VMs first.
FINE_VMS = 24
# Fleets above this size are searched from the rounded linear program only:
# rounding costs a VM or two, and the other starts save less than that.
LARGE_VMS = 400
# Lots with which searches from the rounded linear program begin. They end in
# different mixes, which differ by a VM or two.
ROUNDED_LOTS = (1, 4, 16)
# A rounded start that costs this part more than the best mix is left alone.
HOPELESS = 0.02
# Kinds of VM up to which moves of two VMs for two are tried.
MAX_PAIR_POOLS = 16
# Constraints added to the linear program at once, the most violated first.
ROWS_AT_ONCE = 4
# Linear programs per class; the second knows the number of servers.
ROUNDS = 2
# Checks of a scenario after which a search ends with what it has. They take
# about half a second, and a plan consists of up to three searches in 1.44 s.
MAX_CHECKS = 60_000
# Scenarios that moves are filtered by before all are checked.
FILTER_SCENARIOS = 12
# Steps of a search between two points at which it yields.
OUTS_PER_SLICE = 8
MOVES_PER_SLICE = 200
TOLERANCE = 1e-9

# A search yields between its steps, so that the caller may do other work.
Search = Generator[None, None, tuple[Counts, bool]]


@attrs.frozen
class Choice:
    """A kind of VM as the search sees it.

    Attributes:
      pool: Kind of VM.
      price: Price per hour of a VM that runs already.
      start_price: Price per hour of a further VM, with its start.
      running: VMs that run already.
      limit: Largest number of VMs.
    """

    pool: CapacityPool
    price: float
    start_price: float
    running: int
    limit: float


class Solver:
    """Searches mixes of a few kinds of VM.

    Args:
      inputs: Load, classes and offers.
      choices: Kinds of VM that may be used.
    """

    def __init__(self, inputs: FleetInput, choices: Sequence[Choice]) -> None:
        self._choices = choices
        classes = [inputs.classes[c.pool.vm_class] for c in choices]
        self._rates = [c.requests_per_s for c in classes]
        self._waits = [inputs.target_s - c.first_token_s for c in classes]
        self._limits = [c.limit for c in choices]
        self._loads, self._members = self._index(make_scenarios(inputs))
        # Rate of each kind of VM in each scenario, 0 if it does not count.
        self._gains = [
            [
                rate if i in members else 0.0
                for i, rate in enumerate(self._rates)
            ]
            for members in map(set, self._members)
        ]
        # Capacity that is enough for any number of servers.
        longest = P95_MEANS / min(self._waits)
        self._ample = [load + longest for load in self._loads]
        # Scenarios in which similar counts failed lately come first.
        self._order = list(range(len(self._loads)))
        self._best: Counts | None = None
        self._fallback = [0] * len(choices)
        self._seen: set[tuple[int, ...]] = set()
        self._checks = 0
        self._make_moves()

    @property
    def checks(self) -> int:
        """Checks of a scenario so far, as a measure of the work."""
        return self._checks

    def _index(
        self, scenarios: list[Scenario]
    ) -> tuple[list[float], list[tuple[int, ...]]]:
        loads: dict[tuple[int, ...], float] = {}
        for scenario in scenarios:
            members = tuple(
                i
                for i, choice in enumerate(self._choices)
                if choice.pool in scenario.pools
            )
            loads[members] = max(loads.get(members, 0.0), scenario.load)
        return list(loads.values()), list(loads)

    def _make_moves(self) -> None:
        size = range(len(self._choices))
        singles = [(i,) for i in size]
        pairs = list(itertools.combinations_with_replacement(size, 2))
        self._ins: list[tuple[int, ...]] = [(), *singles, *pairs]
        self._outs = list(singles)
        if len(self._choices) <= MAX_PAIR_POOLS:
            self._outs += pairs
        self._in_prices = [
            sum(self._choices[i].price for i in add) for add in self._ins
        ]
        self._in_gains: dict[int, list[float]] = {}

    def _gains_of_ins(self, scenario: int) -> list[float]:
        found = self._in_gains.get(scenario)
        if found is None:
            gains = self._gains[scenario]
            found = [sum(gains[i] for i in add) for add in self._ins]
            self._in_gains[scenario] = found
        return found

    def cost(self, counts: Sequence[int]) -> float:
        """Returns the price per hour, with a surcharge for starts."""
        return sum(
            n * c.price
            if n <= c.running
            else c.running * c.price + (n - c.running) * c.start_price
            for n, c in zip(counts, self._choices, strict=True)
        )

    def _capacity(self, scenario: int, counts: Sequence[int]) -> float:
        return sum(map(operator.mul, self._gains[scenario], counts))

    def _servers_and_wait(
        self, scenario: int, counts: Sequence[int]
    ) -> tuple[int, float]:
        used = [i for i in self._members[scenario] if counts[i]]
        return (
            sum(counts[i] for i in used),
            min((self._waits[i] for i in used), default=math.inf),
        )

    def _holds(self, scenario: int, counts: Sequence[int]) -> bool:
        capacity = self._capacity(scenario, counts) + TOLERANCE
        load = self._loads[scenario]
        if capacity >= self._ample[scenario]:
            return True
        if capacity <= load:
            return load <= 0
        servers, wait_s = self._servers_and_wait(scenario, counts)
        return P95_MEANS * mean_wait_s(load, capacity, servers) <= wait_s

    def _missing(self, scenario: int, counts: Sequence[int]) -> float:
        capacity = self._capacity(scenario, counts)
        if capacity >= self._ample[scenario]:
            return 0.0
        load = self._loads[scenario]
        servers, wait_s = self._servers_and_wait(scenario, counts)
        if not servers:
            return load
        return max(0.0, required_capacity(load, servers, wait_s) - capacity)

    def feasible(self, counts: Sequence[int]) -> bool:
        """Returns whether the counts withstand all scenarios."""
        for place, scenario in enumerate(self._order):
            if not self._holds(scenario, counts):
                self._checks += place + 1
                # Similar counts tend to fail in the same scenario.
                self._order.insert(0, self._order.pop(place))
                return False
        self._checks += len(self._order)
        return True

    def _deficit(self, counts: Sequence[int]) -> float:
        self._checks += len(self._loads)
        return sum(
            self._missing(scenario, counts)
            for scenario in range(len(self._loads))
        )

    def solve(self) -> tuple[Counts, bool]:
        """Returns the best counts found and whether they are feasible.

        Without feasible counts, those with the smallest deficit are returned.
        """
        search = self.search()
        while True:
            try:
                next(search)
            except StopIteration as end:
                return end.value

    def search(self) -> Search:
        """Searches as `solve` does and yields between its steps."""
        for wait_s in sorted(set(self._waits)):
            start = yield from self._rounded(wait_s)
            if start is None:
                continue
            for lot in ROUNDED_LOTS:
                if self._best is None or self._checks < MAX_CHECKS:
                    yield from self._try(start, lot)
        large = max(self._loads) > LARGE_VMS * max(self._rates)
        if self._best is None or not large:
            starts = self._starts()
            if large:
                # No mix exists for a large fleet then, as a rule.
                starts = iter([self._all_that_start()])
            for start in starts:
                yield
                if start is not None and self._checks < MAX_CHECKS:
                    yield from self._try(start)
        if self._best is None:
            return self._fallback, False
        return self._best, True

    def _try(self, start: Counts, lot: int = 0) -> Generator[None]:
        counts = yield from self._fill(start, lot)
        if (lot, *counts) in self._seen:
            return
        self._seen.add((lot, *counts))
        if not self.feasible(counts):
            if self._deficit(counts) < self._deficit(self._fallback):
                self._fallback = counts
            return
        best = self._best
        if (
            lot
            and best is not None
            and self.cost(counts) > self.cost(best) * (1 + HOPELESS)
        ):
            return
        counts = yield from self._improve(counts, lot)
        if best is None or self.cost(counts) < self.cost(best) - TOLERANCE:
            self._best = counts

    def _rounded(self, wait_s: float) -> Generator[None, None, Counts | None]:
        """Returns the rounded optimum for fractions of VMs, None if none.

        The wait is a linear function of the VMs only if the classes in use
        and the number of servers are given. Classes that are slower than the
        wait are left out, and the number of servers is that of a solution for
        the fewest possible.
        """
        usable = [i for i, wait in enumerate(self._waits) if wait >= wait_s]
        # VMs that run already and further ones are variables of their own.
        columns = [
            (i, c.price, c.running)
            for i in usable
            if (c := self._choices[i]).running
        ]
        columns += [
            (i, c.start_price, c.limit - c.running)
            for i in usable
            if (c := self._choices[i]).limit > c.running
        ]
        rows = [[gains[i] for i, _, _ in columns] for gains in self._gains]
        servers = [max(1, int(x / max(self._rates))) for x in self._loads]
        counts: Counts | None = None
        for _ in range(ROUNDS):
            needed = [
                required_capacity(load, n, wait_s)
                for load, n in zip(self._loads, servers, strict=True)
            ]
            limits = [
                (j, limit)
                for j, (_, _, limit) in enumerate(columns)
                if limit < math.inf
            ]

            def violated(
                found: list[float],
                needed: list[float] = needed,
                limits: list[tuple[int, float]] = limits,
            ) -> list[tuple[Row, float]]:
                return _violated(found, rows, needed, limits)

            found: list[float] | None = []
            for solution in minimise([p for _, p, _ in columns], violated):
                found = solution
                yield
            if found is None:
                return counts
            counts = [0] * len(self._choices)
            parts = [0.0] * len(self._choices)
            for (i, _, _), value in zip(columns, found, strict=True):
                parts[i] += value
            counts = [int(part + TOLERANCE) for part in parts]
            servers = [
                max(1, sum(counts[i] for i in members))
                for members in self._members
            ]
        return counts

    def _starts(self) -> Iterator[Counts | None]:
        """Yields starts, and None while it computes the next."""
        yield [0] * len(self._choices)
        yield [
            min(c.running, int(c.limit)) if c.limit < math.inf else c.running
            for c in self._choices
        ]
        # Equal parts in the cheapest zones, one class at a time, are close to
        # the best mix when nothing is refused.
        by_class: dict[str, list[int]] = {}
        for i, choice in enumerate(self._choices):
            by_class.setdefault(choice.pool.vm_class, []).append(i)
        for members in by_class.values():
            members.sort(key=lambda i: self._choices[i].start_price)
        # More zones lose a smaller part with each, so they come first.
        for size in range(max(map(len, by_class.values())), 1, -1):
            for members in by_class.values():
                if size <= len(members):
                    yield from self._equal_parts(members[:size])

    def _all_that_start(self) -> Counts:
        """Returns the limits, and 0 for kinds of VM without a limit."""
        return [int(limit) if limit < math.inf else 0 for limit in self._limits]

    def _equal_parts(self, members: Sequence[int]) -> Iterator[Counts | None]:
        counts = [0] * len(self._choices)
        deficit = self._deficit(counts)
        while deficit > TOLERANCE and self._checks < MAX_CHECKS:
            yield None
            lot = max(1, sum(counts) // FINE_VMS)
            for i in members:
                counts[i] = int(min(counts[i] + lot, self._limits[i]))
            # Some scenarios may need a kind that is not among the members.
            left = self._deficit(counts)
            if left >= deficit - TOLERANCE:
                break
            deficit = left
        yield counts

    def _fill(self, start: Counts, most: int) -> Generator[None, None, Counts]:
        counts = list(start)
        while True:
            yield
            deficit = self._deficit(counts)
            spent = self._best is not None and self._checks >= MAX_CHECKS
            if spent or deficit <= TOLERANCE:
                return counts
            lot = max(1, sum(counts) // FINE_VMS)
            if most:
                # A rounded start lacks a few VMs only.
                lot = min(lot, most)
            best, best_gain = None, 0.0
            for i, choice in enumerate(self._choices):
                added = int(min(lot, choice.limit - counts[i]))
                if added <= 0:
                    continue
                counts[i] += added
                left = self._deficit(counts)
                counts[i] -= added
                gain = (deficit - left) / (added * choice.start_price)
                if gain > best_gain:
                    best, best_gain = (i, added), gain
            if best is None:
                return counts
            counts[best[0]] += best[1]

    def _improve(
        self, counts: Counts, lot: int
    ) -> Generator[None, None, Counts]:
        rounded = lot > 0
        lot = lot or max(1, sum(counts) // FINE_VMS)
        while self._checks < MAX_CHECKS:
            better = yield from self._step(counts, lot)
            if better is not None:
                counts = better
                if rounded:
                    # A start of the wrong class is a long way off.
                    lot *= 2
            elif lot > 1:
                lot //= 2
            else:
                break
        return counts

    def _step(
        self, counts: Counts, lot: int
    ) -> Generator[None, None, Counts | None]:
        """Returns the counts after the most saving feasible move."""
        cost = self.cost(counts)
        near = self._order[:FILTER_SCENARIOS]
        capacities = {s: self._capacity(s, counts) for s in near}
        moves: list[Move] = []
        # Filtering sixteen moves takes about as long as a check.
        self._checks += len(self._outs) * (len(near) + len(self._ins) // 16)
        for number, out in enumerate(self._outs):
            if number % OUTS_PER_SLICE == 0:
                yield
            reduced = list(counts)
            for i in out:
                reduced[i] -= lot
            if min(reduced) < 0:
                continue
            room = (cost - self.cost(reduced)) / lot - TOLERANCE
            # What is added must fill the scenario that lacks most of those
            # that failed lately.
            lack, worst = max(
                (
                    self._loads[s]
                    - capacities[s]
                    + lot * sum(self._gains[s][i] for i in out),
                    s,
                )
                for s in near
            )
            # A first filter; the order of the moves is by their saving.
            moves += [
                (price - room, out, add)
                for price, gain, add in zip(
                    self._in_prices,
                    self._gains_of_ins(worst),
                    self._ins,
                    strict=True,
                )
                if price < room and lot * gain >= lack
            ]
        moves.sort()
        for number, (_, out, add) in enumerate(moves):
            if number % MOVES_PER_SLICE == 0:
                yield
            if not set(out).isdisjoint(add):
                continue
            changed = list(counts)
            for i in out:
                changed[i] -= lot
            for i in add:
                changed[i] += lot
            if (
                all(map(operator.le, changed, self._limits))
                and self.cost(changed) < cost - TOLERANCE
                and self.feasible(changed)
            ):
                return changed
        return None


def _violated(
    found: list[float],
    rows: Sequence[Row],
    needed: Sequence[float],
    limits: Sequence[tuple[int, float]],
) -> list[tuple[Row, float]]:
    lacking = []
    for j, limit in limits:
        if found[j] > limit + TOLERANCE:
            row = [0.0] * len(found)
            row[j] = -1.0
            lacking.append((found[j] - limit, row, -limit))
    for row, bound in zip(rows, needed, strict=True):
        lack = bound - sum(map(operator.mul, row, found))
        if lack > TOLERANCE * max(1.0, bound):
            lacking.append((lack, row, bound))
    lacking.sort(key=lambda item: -item[0])
    return [(row, bound) for _, row, bound in lacking[:ROWS_AT_ONCE]]
