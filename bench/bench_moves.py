"""Moves to faulty and to good versions, compared with a fixed schedule.

The outcome of each request is drawn at random for its version. The production
judges of three nodes and of the leader evaluate the outcomes. The baseline uses
the same seeds: it takes steps of equal length and compares rates and mean
latencies at the end of each.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from bench.report import BENCHES, Report
from guavalane_core.configuration import (
    Configuration,
    Deployment,
    Version,
    parse_configuration,
)
from guavalane_core.messages import encode
from guavalane_core.moves import (
    WINDOW_S,
    AttemptCounts,
    EndMove,
    Judge,
    MovePlan,
    MoveRequest,
    MoveState,
    RaiseVeto,
    StepShares,
    VetoSet,
    effective_shares,
    latency_bucket,
    make_veto,
    plan_move,
    stage_shares,
    to_message,
    window_index,
)
from guavalane_core.timers import ManualTimers
from guavalane_entry.moves.mover import MAX_REPORTERS

OLD, NEW = "v1", "v2"
ROUTES = ("chat", "plans")
NODE_COUNT = 3
REQUESTS_PER_S = 50
MOVE_DEADLINE_S = 600.0
PLANS_FRACTION = 0.1
GOOD_SEEDS = 60
BAD_SEEDS = 10
# Time until nodes apply a stored configuration; invariant I8 allows 8 s.
PROPAGATION_S = 2.0
ERROR_RATE = 0.005
REJECTION_RATE = 0.02
# Fraction of the requests that a version that is bad from the start may receive
# (invariant I2).
MAX_BAD_FRACTION = 0.05
# Factor on the fraction above: a rollback takes few requests, so the fraction
# that the version received varies randomly around its share.
BAD_FRACTION_TOLERANCE = 1.2
# Requests per second of one node, and its limit for control traffic in bytes
# per second (section 2.6 of the design).
NODE_REQUESTS_PER_S = 55
MAX_CONTROL_BYTES_PER_S = 2_000
SIZE_ROUTES = ("answers", "season-plans", "pass-tags")
# Limits of the baseline, relative to the old version: difference of the rates
# and ratio of the latencies.
BASELINE_RATE_MARGIN = 0.02
BASELINE_LATENCY_RATIO = 1.5


@attrs.frozen
class Outcome:
    """Randomly drawn outcome of one request.

    Attributes:
      status: HTTP status, or 0 for a failed attempt.
      first_token_s: Time to the first token.
      gap_s: Time between tokens.
    """

    status: int
    first_token_s: float
    gap_s: float


@attrs.frozen(kw_only=True)
class Case:
    """Behaviour of both versions during a move.

    Attributes:
      name: Name in the report.
      fault_s: Time at which the new version becomes bad, in seconds.
      shared: Returns error rate and slowdown of both versions at a time.
      new: Returns what the new version adds after the fault: error rate,
          rejection rate, and slowdown of first tokens and of gaps. Arguments
          are the route, the share and the time since the fault.
    """

    name: str
    fault_s: float = 0.0
    shared: Callable[[float], tuple[float, float]] = lambda _: (ERROR_RATE, 1.0)
    new: Callable[[str, float, float], tuple[float, float, float, float]] = (
        lambda route, share, since_s: (0.0, 0.0, 1.0, 1.0)
    )


def _load_waves(at_s: float) -> tuple[float, float]:
    # Both versions are three times slower for one minute in three.
    return ERROR_RATE, 3.0 if at_s % 180 < 60 else 1.0


def _error_bursts(at_s: float) -> tuple[float, float]:
    # 20 % of all requests fail for 20 s in every 150 s.
    return (0.2 if at_s % 150 < 20 else ERROR_RATE), 1.0


GOOD = (
    Case(name="steady"),
    Case(name="load waves", shared=_load_waves),
    Case(name="error bursts", shared=_error_bursts),
)
BAD = (
    Case(name="bad at once", new=lambda r, s, t: (1.0, 0, 1, 1)),
    Case(
        name="a tenth fails at once", new=lambda r, s, t: (0.1, 0.0, 1.0, 1.0)
    ),
    Case(
        name="bad later", fault_s=240, new=lambda r, s, t: (0.5, 0.0, 1.0, 1.0)
    ),
    Case(
        name="slow leak",
        new=lambda r, s, t: (0.0, 0.0, 1 + t / 100, 1 + t / 100),
    ),
    Case(
        name="bad under load",
        new=lambda r, s, t: (0.3 if s > 0.15 else 0.0, 0.0, 1.0, 1.0),
    ),
    Case(
        name="bad on one route",
        new=lambda r, s, t: (0.5 if r == "plans" else 0.0, 0.0, 1.0, 1.0),
    ),
    Case(name="wrong status", new=lambda r, s, t: (0.0, 0.3, 1.0, 1.0)),
    Case(name="slow first token", new=lambda r, s, t: (0.0, 0.0, 3.0, 1.0)),
    Case(name="slow tokens", new=lambda r, s, t: (0.0, 0.0, 1.0, 2.0)),
)
# Cases in which the new version is clearly bad from its first request.
IMMEDIATE_FAULTS = (
    "bad at once",
    "a tenth fails at once",
    "wrong status",
    "slow first token",
    "slow tokens",
)


def _configuration() -> Configuration:
    endpoint = {"url": "http://127.0.0.1:1", "zone": "z", "deployment": "d"}
    return parse_configuration(
        {
            "deployments": {
                "d": {"versions": {OLD: {"share": 1}, NEW: {"share": 0}}}
            },
            "routes": {
                route: {
                    "kind": "model",
                    "model": route,
                    "request_class": "interactive",
                    "deployment": "d",
                }
                for route in ROUTES
            },
            "endpoints": {
                "a": {**endpoint, "version": OLD},
                "b": {**endpoint, "version": NEW},
            },
        }
    )


def make_plan(wall_s: float) -> MovePlan:
    """Returns the plan that both the move and the baseline use."""
    request = MoveRequest(
        name="m",
        deployment="d",
        new=NEW,
        deadline_s=wall_s + MOVE_DEADLINE_S,
        requests_per_s=REQUESTS_PER_S,
    )
    return plan_move(request, _configuration(), wall_s)


class Traffic:
    """Draws the outcomes of one run.

    Args:
      case: Behaviour of the versions.
      seed: Seed of the random generator.
    """

    def __init__(self, case: Case, seed: int) -> None:
        self._case = case
        self._rng = random.Random(seed)
        self.served = 0
        self.served_bad = 0

    def draw(self, at_s: float, share: float) -> tuple[str, str, Outcome]:
        """Returns the version, route and outcome of a request."""
        rng, case = self._rng, self._case
        route = ROUTES[rng.random() < PLANS_FRACTION]
        errors, slowdown = case.shared(at_s)
        rejections, token_slowdown = REJECTION_RATE, 1.0
        version = NEW if rng.random() < share else OLD
        since_s = at_s - case.fault_s
        if version == NEW and since_s >= 0:
            (
                added_errors,
                added_rejections,
                added_slowdown,
                token_slowdown,
            ) = case.new(route, share, since_s)
            errors += added_errors
            rejections += added_rejections
            slowdown *= added_slowdown
        if since_s >= 0:
            self.served += 1
            self.served_bad += version == NEW
        draw = rng.random()
        status = 200
        if draw < errors:
            status = 0
        elif draw < errors + rejections:
            status = 400
        first_token_s = rng.lognormvariate(-2.0, 0.5) * slowdown
        gap_s = rng.lognormvariate(-4.0, 0.2) * token_slowdown
        return version, route, Outcome(status, first_token_s, gap_s)


def add_outcome(counts: AttemptCounts, outcome: Outcome) -> None:
    """Adds an outcome to counts as an entry node does."""
    counts.requests += 1
    if outcome.status == 0:
        counts.errors += 1
        return
    counts.rejected += outcome.status == 400
    counts.latency[latency_bucket(outcome.first_token_s)] += 1
    if outcome.status == 200:
        counts.gaps[latency_bucket(outcome.gap_s)] += 1


@attrs.frozen
class Result:
    """Result of one run.

    Attributes:
      outcome: `done`, `undone` or `none`.
      end_s: Time from the fault until the move was done or the new version
          received no more requests, in seconds.
      bad_share: Fraction of the requests that the bad version served until
          then.
    """

    outcome: str
    end_s: float
    bad_share: float


def _result(outcome: str, at_s: float, case: Case, traffic: Traffic) -> Result:
    return Result(
        outcome,
        at_s - case.fault_s,
        traffic.served_bad / max(1, traffic.served),
    )


def run_move(case: Case, seed: int) -> Result:
    """Runs a move with the production judges."""
    timers = ManualTimers()
    plan = make_plan(timers.wall())
    traffic = Traffic(case, seed)
    shares = {OLD: 1.0, NEW: 0.0}
    deployment = _deployment(shares, plan)
    state = MoveState("d", plan.rule(), plan, timers.wall())
    state.follow(deployment, timers.now(), timers.wall())
    judges = [Judge(OLD, NEW, ROUTES, NODE_COUNT) for _ in range(NODE_COUNT)]
    vetoes = VetoSet()
    apply_s, next_deployment = float("inf"), deployment
    outcome = ""
    while not outcome:
        window = window_index(timers.wall())
        share = effective_shares(deployment, vetoes.versions("m"), False)[NEW]
        vetoed = bool(vetoes.all)
        node_counts: list[dict] = [{} for _ in range(NODE_COUNT)]
        for number in range(int(REQUESTS_PER_S * WINDOW_S)):
            at_s = timers.now() + number / REQUESTS_PER_S
            version, route, drawn = traffic.draw(at_s, share)
            counts_by_key = node_counts[number % NODE_COUNT]
            add_outcome(
                counts_by_key.setdefault((version, route), AttemptCounts()),
                drawn,
            )
        for index, counts_by_key in enumerate(node_counts):
            for (version, route), counted in counts_by_key.items():
                message = to_message("m", version, route, window, counted)
                state.on_evidence(f"n{index}", message, timers.wall())
        timers.advance(WINDOW_S)
        for judge, counts_by_key in zip(judges, node_counts, strict=True):
            judge.observe(counts_by_key, warm_up=timers.now() <= plan.warm_up_s)
            finding = judge.finding()
            if finding is not None:
                command = RaiseVeto("m", "d", NEW, finding.text)
                vetoes.offer(make_veto(command, "n", timers.wall()))
        if timers.now() >= apply_s:
            deployment, apply_s = next_deployment, float("inf")
            state.follow(deployment, timers.now(), timers.wall())
        # The leader's state learns of a step when it is stored; nodes apply it
        # after the propagation time.
        for command in state.on_timer(timers.now(), timers.wall(), vetoes):
            if isinstance(command, RaiseVeto):
                vetoes.offer(make_veto(command, "n", timers.wall()))
            elif isinstance(command, StepShares):
                shares = stage_shares(shares, OLD, NEW, command.share)
                next_deployment = _deployment(shares, plan)
                apply_s = timers.now() + PROPAGATION_S
            elif isinstance(command, EndMove):
                outcome = command.outcome
        if vetoed and not outcome:
            outcome = "undone"
    return _result(outcome, timers.now(), case, traffic)


def _deployment(shares: dict[str, float], plan: MovePlan) -> Deployment:
    return Deployment(
        versions={name: Version(share=s) for name, s in shares.items()},
        move=plan.rule(),
    )


class _Step:
    """Sums over one step of the baseline, by version."""

    def __init__(self) -> None:
        self.count = {OLD: 0, NEW: 0}
        self.errors = {OLD: 0, NEW: 0}
        self.rejected = {OLD: 0, NEW: 0}
        self.first_token_s = {OLD: 0.0, NEW: 0.0}
        self.gaps = {OLD: 0.0, NEW: 0.0}

    def add(self, version: str, outcome: Outcome) -> None:
        self.count[version] += 1
        self.errors[version] += outcome.status == 0
        self.rejected[version] += outcome.status == 400
        self.first_token_s[version] += outcome.first_token_s
        self.gaps[version] += outcome.gap_s

    def is_bad(self) -> bool:
        def mean(sums: dict, version: str) -> float:
            return sums[version] / max(1, self.count[version])

        return any(
            mean(sums, NEW) > mean(sums, OLD) + BASELINE_RATE_MARGIN
            for sums in (self.errors, self.rejected)
        ) or any(
            mean(sums, NEW) > mean(sums, OLD) * BASELINE_LATENCY_RATIO
            for sums in (self.first_token_s, self.gaps)
        )


def run_baseline(case: Case, seed: int) -> Result:
    """Runs a fixed schedule of equal steps, each evaluated at its end."""
    plan = make_plan(0.0)
    traffic = Traffic(case, seed)
    step_s = MOVE_DEADLINE_S / len(plan.stages)
    at_s = 0.0
    for index, stage in enumerate(plan.stages):
        step = _Step()
        while at_s < (index + 1) * step_s:
            version, _, outcome = traffic.draw(at_s, stage.share)
            step.add(version, outcome)
            at_s += 1 / REQUESTS_PER_S
        if step.is_bad():
            return _result("undone", at_s, case, traffic)
    return _result("done", at_s, case, traffic)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _report_good(report: Report, case: Case) -> None:
    results = [run_move(case, seed) for seed in range(GOOD_SEEDS)]
    baseline = [run_baseline(case, seed) for seed in range(GOOD_SEEDS)]
    done = sum(r.outcome == "done" for r in results)
    rolled_back = sum(
        r.outcome == "undone" and r.end_s < MOVE_DEADLINE_S for r in results
    )
    report.bound(
        f"good version, {case.name}: done by the deadline, of {GOOD_SEEDS}",
        done,
        "moves",
        at_least=GOOD_SEEDS,
    )
    report.bound(
        f"good version, {case.name}: false rollbacks",
        rolled_back,
        "moves",
        at_most=0,
    )
    report.figure(
        f"good version, {case.name}: mean time to done",
        _mean([r.end_s for r in results]),
        "s",
    )
    report.figure(
        f"good version, {case.name}: false rollbacks of the fixed schedule",
        sum(r.outcome == "undone" for r in baseline),
        "moves",
    )


def _report_bad(report: Report, case: Case) -> None:
    results = [run_move(case, seed) for seed in range(BAD_SEEDS)]
    baseline = [run_baseline(case, seed) for seed in range(BAD_SEEDS)]
    undone = sum(r.outcome == "undone" for r in results)
    report.bound(
        f"{case.name}: rolled back, of {BAD_SEEDS}",
        undone,
        "moves",
        at_least=BAD_SEEDS,
    )
    share = _mean([r.bad_share for r in results])
    # Compares request counts, because the share alone does not show a late
    # rollback.
    served = _mean([r.bad_share * r.end_s for r in results])
    served_baseline = _mean([r.bad_share * r.end_s for r in baseline])
    name = (
        f"{case.name}: fraction of the requests served by it until the rollback"
    )
    if case.name in IMMEDIATE_FAULTS:
        report.bound(
            name,
            100 * share,
            "%",
            at_most=100 * MAX_BAD_FRACTION * BAD_FRACTION_TOLERANCE,
        )
    else:
        report.figure(name, 100 * share, "%")
    report.figure(
        f"{case.name}: mean time to the rollback",
        _mean([r.end_s for r in results]),
        "s",
    )
    report.figure(
        f"{case.name}: fixed schedule: rolled back",
        sum(r.outcome == "undone" for r in baseline),
        "moves",
    )
    report.figure(
        f"{case.name}: fixed schedule: mean time to the end",
        _mean([r.end_s for r in baseline]),
        "s",
    )
    report.bound(
        f"{case.name}: requests served by it, against the fixed schedule",
        served / served_baseline,
        "times",
        at_most=1.0,
    )


def _report_evidence_size(report: Report) -> None:
    traffic = Traffic(GOOD[0], 1)
    counts_by_key: dict[tuple[str, str], AttemptCounts] = {}
    for _ in range(int(NODE_REQUESTS_PER_S * WINDOW_S)):
        version, _, outcome = traffic.draw(0.0, 0.5)
        route = SIZE_ROUTES[traffic.served % len(SIZE_ROUTES)]
        add_outcome(
            counts_by_key.setdefault((version, route), AttemptCounts()), outcome
        )
    size = sum(
        len(
            encode(
                to_message("assistant-v2-a1b2c3", version, route, 1, counted)
            )
        )
        for (version, route), counted in counts_by_key.items()
    )
    report.bound(
        f"evidence at the leader, {MAX_REPORTERS} reporters of"
        f" {len(SIZE_ROUTES)} routes",
        MAX_REPORTERS * size / WINDOW_S,
        "bytes/s",
        at_most=MAX_CONTROL_BYTES_PER_S,
    )


@BENCHES.register("moves")
def run(report: Report) -> None:
    """Measures faulty and good versions, each with its baseline."""
    _report_evidence_size(report)
    for case in GOOD:
        _report_good(report, case)
    for case in BAD:
        _report_bad(report, case)
