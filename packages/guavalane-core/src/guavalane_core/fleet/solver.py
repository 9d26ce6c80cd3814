"""Local search for the cheapest mix that satisfies all failure scenarios."""

from __future__ import annotations

import itertools
import math
import operator
from collections.abc import Generator, Iterator, Sequence

import attrs

from guavalane_core.fleet.demand import CapacityPool, FleetInput
from guavalane_core.fleet.latency import (
    P95_TO_MEAN,
    mean_wait_s,
    required_capacity,
)
from guavalane_core.fleet.relaxation import Row, minimise
from guavalane_core.fleet.scenarios import Scenario, make_scenarios

Counts = list[int]
Move = tuple[float, tuple[int, ...], tuple[int, ...]]
# Fleets above this size are first searched with steps of several VMs.
SINGLE_STEP_VMS = 24
# Fleets above this size are searched from the rounded linear program only:
# rounding costs one or two VMs, and other starting points save less than that.
LARGE_FLEET_VMS = 400
# Initial step sizes, in VMs, of searches from the rounded linear program. The
# resulting mixes differ by one or two VMs.
ROUNDED_STEP_SIZES = (1, 4, 16)
# A rounded start that exceeds the best cost by this fraction is not improved.
MAX_COST_EXCESS = 0.02
# Moves that remove two VMs are tried for up to this many capacity pools.
MAX_PAIR_POOLS = 16
# Constraints added to the linear program at once, the most violated first.
MAX_ADDED_CONSTRAINTS = 4
# Linear programs solved per wait limit. The second uses the number of servers
# found by the first.
RELAXATION_ROUNDS = 2
# A search stops after this many scenario checks and returns its best result.
# They take about half a second; a plan runs up to three searches in 1.44 s.
MAX_CHECKS = 60_000
# Scenarios used to filter moves before all scenarios are checked.
FILTER_SCENARIOS = 12
# Removals and moves examined between two yields of a search.
REMOVALS_PER_SLICE = 8
MOVES_PER_SLICE = 200
TOLERANCE = 1e-9

# Generator that yields between steps so that the caller can do other work.
Search = Generator[None, None, tuple[Counts, bool]]


@attrs.frozen
class Choice:
    """A capacity pool that the search may use.

    Attributes:
      pool: Capacity pool.
      price: Price per hour of a VM that is already running.
      start_price: Price per hour of an additional VM, including its start.
      running: Number of VMs that are already running.
      limit: Maximum number of VMs.
    """

    pool: CapacityPool
    price: float
    start_price: float
    running: int
    limit: float


class Solver:
    """Searches for the cheapest feasible mix of VMs.

    Args:
      inputs: Load, classes and offers.
      choices: Capacity pools that may be used.
    """

    def __init__(self, inputs: FleetInput, choices: Sequence[Choice]) -> None:
        self._choices = choices
        classes = [inputs.classes[c.pool.vm_class] for c in choices]
        self._rates = [c.requests_per_s for c in classes]
        self._waits = [inputs.target_s - c.first_token_s for c in classes]
        self._limits = [c.limit for c in choices]
        self._loads, self._members = self._index(make_scenarios(inputs))
        # Rate of one VM of each pool in each scenario; 0 if the scenario
        # excludes the pool.
        self._scenario_rates = [
            [
                rate if i in members else 0.0
                for i, rate in enumerate(self._rates)
            ]
            for members in map(set, self._members)
        ]
        # Capacity that is sufficient for any number of servers.
        max_spare = P95_TO_MEAN / min(self._waits)
        self._ample_capacity = [load + max_spare for load in self._loads]
        # Scenarios in order of checking; those that failed recently come first.
        self._check_order = list(range(len(self._loads)))
        self._best: Counts | None = None
        self._fallback = [0] * len(choices)
        self._evaluated: set[tuple[int, ...]] = set()
        self._checks = 0
        self._make_moves()

    @property
    def checks(self) -> int:
        """Number of scenario checks so far, as a measure of the work done."""
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
        self._additions: list[tuple[int, ...]] = [(), *singles, *pairs]
        self._removals = list(singles)
        if len(self._choices) <= MAX_PAIR_POOLS:
            self._removals += pairs
        self._addition_prices = [
            sum(self._choices[i].price for i in add) for add in self._additions
        ]
        self._addition_rates: dict[int, list[float]] = {}

    def _rates_of_additions(self, scenario: int) -> list[float]:
        found = self._addition_rates.get(scenario)
        if found is None:
            rates = self._scenario_rates[scenario]
            found = [sum(rates[i] for i in add) for add in self._additions]
            self._addition_rates[scenario] = found
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
        return sum(map(operator.mul, self._scenario_rates[scenario], counts))

    def _servers_and_wait(
        self, scenario: int, counts: Sequence[int]
    ) -> tuple[int, float]:
        used = [i for i in self._members[scenario] if counts[i]]
        return (
            sum(counts[i] for i in used),
            min((self._waits[i] for i in used), default=math.inf),
        )

    def _is_met(self, scenario: int, counts: Sequence[int]) -> bool:
        capacity = self._capacity(scenario, counts) + TOLERANCE
        load = self._loads[scenario]
        if capacity >= self._ample_capacity[scenario]:
            return True
        if capacity <= load:
            return load <= 0
        servers, wait_s = self._servers_and_wait(scenario, counts)
        return P95_TO_MEAN * mean_wait_s(load, capacity, servers) <= wait_s

    def _scenario_shortfall(
        self, scenario: int, counts: Sequence[int]
    ) -> float:
        capacity = self._capacity(scenario, counts)
        if capacity >= self._ample_capacity[scenario]:
            return 0.0
        load = self._loads[scenario]
        servers, wait_s = self._servers_and_wait(scenario, counts)
        if not servers:
            return load
        return max(0.0, required_capacity(load, servers, wait_s) - capacity)

    def feasible(self, counts: Sequence[int]) -> bool:
        """Returns whether the counts satisfy all scenarios."""
        for position, scenario in enumerate(self._check_order):
            if not self._is_met(scenario, counts):
                self._checks += position + 1
                # Similar counts tend to fail in the same scenario, so it is
                # checked first next time.
                self._check_order.insert(0, self._check_order.pop(position))
                return False
        self._checks += len(self._check_order)
        return True

    def _deficit(self, counts: Sequence[int]) -> float:
        self._checks += len(self._loads)
        return sum(
            self._scenario_shortfall(scenario, counts)
            for scenario in range(len(self._loads))
        )

    def solve(self) -> tuple[Counts, bool]:
        """Returns the best counts found and whether they are feasible.

        If no counts are feasible, returns those with the smallest deficit.
        """
        search = self.search()
        while True:
            try:
                next(search)
            except StopIteration as end:
                return end.value

    def search(self) -> Search:
        """Runs the search of `solve` and yields between its steps."""
        for wait_s in sorted(set(self._waits)):
            start = yield from self._rounded(wait_s)
            if start is None:
                continue
            for step in ROUNDED_STEP_SIZES:
                if self._best is None or self._checks < MAX_CHECKS:
                    yield from self._search_from(start, step)
        large = max(self._loads) > LARGE_FLEET_VMS * max(self._rates)
        if self._best is None or not large:
            starts = self._starts()
            if large:
                # The rounded programs found nothing, so a large fleet is
                # usually infeasible.
                starts = iter([self._limited_counts()])
            for start in starts:
                yield
                if start is not None and self._checks < MAX_CHECKS:
                    yield from self._search_from(start)
        if self._best is None:
            return self._fallback, False
        return self._best, True

    def _search_from(self, start: Counts, step: int = 0) -> Generator[None]:
        counts = yield from self._fill_greedily(start, step)
        if (step, *counts) in self._evaluated:
            return
        self._evaluated.add((step, *counts))
        if not self.feasible(counts):
            if self._deficit(counts) < self._deficit(self._fallback):
                self._fallback = counts
            return
        best = self._best
        if (
            step
            and best is not None
            and self.cost(counts) > self.cost(best) * (1 + MAX_COST_EXCESS)
        ):
            return
        counts = yield from self._improve(counts, step)
        if best is None or self.cost(counts) < self.cost(best) - TOLERANCE:
            self._best = counts

    def _rounded(self, wait_s: float) -> Generator[None, None, Counts | None]:
        """Returns the rounded optimum of the relaxation, or None if infeasible.

        The required capacity is a constant, and the constraints linear, only
        if the VM classes in use and the number of servers are fixed. VM classes
        that leave less than `wait_s` for queueing are therefore excluded. The
        first round assumes the minimum number of servers, and the next one uses
        the number from the previous solution.
        """
        usable = [i for i, wait in enumerate(self._waits) if wait >= wait_s]
        # Running and additional VMs have different prices and are separate
        # variables.
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
        rows = [
            [rates[i] for i, _, _ in columns] for rates in self._scenario_rates
        ]
        servers = [max(1, int(x / max(self._rates))) for x in self._loads]
        counts: Counts | None = None
        for _ in range(RELAXATION_ROUNDS):
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
                return _find_violated(found, rows, needed, limits)

            found: list[float] | None = []
            for solution in minimise([p for _, p, _ in columns], violated):
                found = solution
                yield
            if found is None:
                return counts
            counts = [0] * len(self._choices)
            fractions = [0.0] * len(self._choices)
            for (i, _, _), value in zip(columns, found, strict=True):
                fractions[i] += value
            counts = [int(value + TOLERANCE) for value in fractions]
            servers = [
                max(1, sum(counts[i] for i in members))
                for members in self._members
            ]
        return counts

    def _starts(self) -> Iterator[Counts | None]:
        """Yields starting points, and None while it computes the next one."""
        yield [0] * len(self._choices)
        yield [
            min(c.running, int(c.limit)) if c.limit < math.inf else c.running
            for c in self._choices
        ]
        # Equal numbers in the cheapest zones, one VM class at a time, are close
        # to the optimum when no starts are refused.
        by_class: dict[str, list[int]] = {}
        for i, choice in enumerate(self._choices):
            by_class.setdefault(choice.pool.vm_class, []).append(i)
        for members in by_class.values():
            members.sort(key=lambda i: self._choices[i].start_price)
        # With more zones, the loss of one removes a smaller fraction, so these
        # come first.
        for size in range(max(map(len, by_class.values())), 1, -1):
            for members in by_class.values():
                if size <= len(members):
                    yield from self._equal_counts(members[:size])

    def _limited_counts(self) -> Counts:
        """Returns the limits, and 0 for capacity pools without a limit."""
        return [int(limit) if limit < math.inf else 0 for limit in self._limits]

    def _equal_counts(self, members: Sequence[int]) -> Iterator[Counts | None]:
        counts = [0] * len(self._choices)
        deficit = self._deficit(counts)
        while deficit > TOLERANCE and self._checks < MAX_CHECKS:
            yield None
            step = max(1, sum(counts) // SINGLE_STEP_VMS)
            for i in members:
                counts[i] = int(min(counts[i] + step, self._limits[i]))
            # Some scenarios may need a pool that is not among the members.
            left = self._deficit(counts)
            if left >= deficit - TOLERANCE:
                break
            deficit = left
        yield counts

    def _fill_greedily(
        self, start: Counts, max_step: int
    ) -> Generator[None, None, Counts]:
        counts = list(start)
        while True:
            yield
            deficit = self._deficit(counts)
            exhausted = self._best is not None and self._checks >= MAX_CHECKS
            if exhausted or deficit <= TOLERANCE:
                return counts
            step = max(1, sum(counts) // SINGLE_STEP_VMS)
            if max_step:
                # A rounded start lacks only a few VMs.
                step = min(step, max_step)
            best, best_gain = None, 0.0
            for i, choice in enumerate(self._choices):
                added = int(min(step, choice.limit - counts[i]))
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
        self, counts: Counts, step: int
    ) -> Generator[None, None, Counts]:
        rounded = step > 0
        step = step or max(1, sum(counts) // SINGLE_STEP_VMS)
        while self._checks < MAX_CHECKS:
            better = yield from self._best_move(counts, step)
            if better is not None:
                counts = better
                if rounded:
                    # A start with the wrong VM class is far from the optimum.
                    step *= 2
            elif step > 1:
                step //= 2
            else:
                break
        return counts

    def _best_move(
        self, counts: Counts, step: int
    ) -> Generator[None, None, Counts | None]:
        """Returns the counts after the feasible move that saves the most."""
        cost = self.cost(counts)
        recent = self._check_order[:FILTER_SCENARIOS]
        capacities = {s: self._capacity(s, counts) for s in recent}
        moves: list[Move] = []
        # Filtering 16 moves takes about as long as one scenario check.
        self._checks += len(self._removals) * (
            len(recent) + len(self._additions) // 16
        )
        for number, out in enumerate(self._removals):
            if number % REMOVALS_PER_SLICE == 0:
                yield
            reduced = list(counts)
            for i in out:
                reduced[i] -= step
            if min(reduced) < 0:
                continue
            max_price = (cost - self.cost(reduced)) / step - TOLERANCE
            # The added VMs must cover the largest shortage among the scenarios
            # that failed recently.
            shortage, worst = max(
                (
                    self._loads[s]
                    - capacities[s]
                    + step * sum(self._scenario_rates[s][i] for i in out),
                    s,
                )
                for s in recent
            )
            # Coarse filter; the remaining moves are sorted by saving and then
            # checked in full.
            moves += [
                (price - max_price, out, add)
                for price, gain, add in zip(
                    self._addition_prices,
                    self._rates_of_additions(worst),
                    self._additions,
                    strict=True,
                )
                if price < max_price and step * gain >= shortage
            ]
        moves.sort()
        for number, (_, out, add) in enumerate(moves):
            if number % MOVES_PER_SLICE == 0:
                yield
            if not set(out).isdisjoint(add):
                continue
            changed = list(counts)
            for i in out:
                changed[i] -= step
            for i in add:
                changed[i] += step
            if (
                all(map(operator.le, changed, self._limits))
                and self.cost(changed) < cost - TOLERANCE
                and self.feasible(changed)
            ):
                return changed
        return None


def _find_violated(
    found: list[float],
    rows: Sequence[Row],
    needed: Sequence[float],
    limits: Sequence[tuple[int, float]],
) -> list[tuple[Row, float]]:
    violations = []
    for j, limit in limits:
        if found[j] > limit + TOLERANCE:
            row = [0.0] * len(found)
            row[j] = -1.0
            violations.append((found[j] - limit, row, -limit))
    for row, bound in zip(rows, needed, strict=True):
        shortage = bound - sum(map(operator.mul, row, found))
        if shortage > TOLERANCE * max(1.0, bound):
            violations.append((shortage, row, bound))
    violations.sort(key=lambda item: -item[0])
    return [
        (row, bound) for _, row, bound in violations[:MAX_ADDED_CONSTRAINTS]
    ]
