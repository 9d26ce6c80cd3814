"""Latency, recomputed tokens and decision time of the routing policies."""

from __future__ import annotations

import copy
import pathlib
import random
import statistics
import time
from typing import Any

import cbor2
from loguru import logger as log

from bench.report import BENCHES, Report
from guavalane_core.configuration import Configuration, parse_configuration
from guavalane_core.requests import RequestContext
from guavalane_core.requests.prompt import Prompt
from guavalane_core.routing import POLICIES, CacheChange
from guavalane_core.timers import ManualTimers
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_standins.routing_replay import (
    RoutingOutcome,
    RoutingReplay,
    load_trace,
    percentile,
)

TRACES = pathlib.Path(__file__).parent.parent / "traces"
SEEDS = (1, 2, 3, 4, 5)
BASELINES = ("least_loaded", "random_of_two")
# Latency targets for the 95th percentile, in seconds.
FIRST_TOKEN_TARGET_S = 0.65
TOKEN_GAP_TARGET_S = 0.054
# Price of an engine's VM per hour, as in the fleet traces.
ENGINE_PRICE_PER_H = 0.52
# The search for the fewest engines that meet the targets: load as a factor on
# the load of the trace, numbers of engines and seeds.
SIZING_LOAD = 4.0
SIZING_ENGINES = range(4, 25)
SIZING_SEEDS = SEEDS[:2]
# Sources of the prefix index besides the node's own dispatches. The entry node
# uses answers.
INDEX_SOURCES = {
    "dispatches": (),
    "answers": ("answers",),
    "events": ("events",),
    "answers and events": ("answers", "events"),
}
# Time between engine restarts, in seconds; the engines restart in turn.
RESTART_PERIOD_S = 20
# Size of an engine's cache block in cache events, in tokens.
ENGINE_BLOCK_SIZE = 16
# Upper limit of token ids in a typical vocabulary.
MAX_TOKEN_ID = 128_000
# Requests per second of each model server (section 2.6 of the design).
ENDPOINT_REQUESTS_PER_S = 30_000 / 6_400
FLEET_SIZES = (6, 24, 100, 640, 6400)
DECISIONS = 400
ROUNDS = 15
# Size of the endpoint subset that a node uses of a large fleet. The time per
# decision may not grow with the fleet beyond this size.
SUBSET_SIZE = 24
# The time should be constant; the margin allows for measurement noise.
MAX_DECISION_TIME_RATIO = 1.5


@BENCHES.register("routing")
def run(report: Report) -> None:
    """Compares the policies on the routing traces."""
    log.disable("guavalane_entry")
    try:
        for path in sorted(TRACES.glob("routing-*.json")):
            _compare_policies(report, path)
            _compare_index_sources(report, path)
    finally:
        log.enable("guavalane_entry")
    _measure_decisions(report)


def _compare_policies(report: Report, path: pathlib.Path) -> None:
    trace = load_trace(path)
    name = path.stem.removeprefix("routing-")
    price = len(trace["engines"]) * ENGINE_PRICE_PER_H
    hours = trace["end_s"] / 3600
    recomputed, answered_cost, first_token = {}, {}, {}
    for policy in POLICIES.names:
        runs = [RoutingReplay(trace, policy, seed).run() for seed in SEEDS]
        first = [percentile(r.first_token_s, 0.95) for r in runs]
        first_token[policy] = statistics.mean(first)
        between = [percentile(r.token_s, 0.95) for r in runs]
        recomputed[policy] = statistics.mean(r.recomputed_tokens for r in runs)
        in_time = statistics.mean(r.in_time for r in runs)
        answered_cost[policy] = price * hours / in_time
        label = f"{name}, {policy}"
        bounds = (
            {} if policy in BASELINES else {"at_most": FIRST_TOKEN_TARGET_S}
        )
        _report_value(
            report,
            f"{label}: p95 first token, worst seed",
            max(first),
            "s",
            bounds,
        )
        bounds = {} if policy in BASELINES else {"at_most": TOKEN_GAP_TARGET_S}
        _report_value(
            report,
            f"{label}: p95 between tokens, worst seed",
            max(between),
            "s",
            bounds,
        )
        report.figure(f"{label}: recomputed", recomputed[policy], "tokens")
        report.figure(
            f"{label}: cost per request answered in time",
            answered_cost[policy] * 1e6,
            "1e-6",
        )
    best = min(recomputed[b] for b in BASELINES)
    report.bound(
        f"{name}: recomputed, prefix_aware to the best baseline",
        recomputed["prefix_aware"] / best,
        "ratio",
        at_most=1.0,
    )
    report.bound(
        f"{name}: p95 first token, prefix_aware to the best baseline",
        first_token["prefix_aware"] / min(first_token[b] for b in BASELINES),
        "ratio",
        at_most=1.0,
    )
    engines = {p: _engines_needed(trace, p) for p in POLICIES.names}
    for policy, count in engines.items():
        report.figure(
            f"{name}, {policy}: engines for {SIZING_LOAD:g} times the load",
            count,
            "engines",
        )
    report.bound(
        f"{name}: engines, prefix_aware to the best baseline",
        engines["prefix_aware"] / min(engines[b] for b in BASELINES),
        "ratio",
        at_most=1.0,
    )


def _compare_index_sources(report: Report, path: pathlib.Path) -> None:
    name = path.stem.removeprefix("routing-")
    steady = load_trace(path)
    restarts = copy.deepcopy(steady)
    engines = list(steady["engines"])
    times = range(
        RESTART_PERIOD_S, int(steady["arrive_until_s"]), RESTART_PERIOD_S
    )
    restarts["events"] += [
        {"at_s": at_s, "restarted": engines[number % len(engines)]}
        for number, at_s in enumerate(times, 1)
    ]
    event_bytes = []
    for kind, trace in (("steady", steady), ("restarts", restarts)):
        recomputed = {}
        for source_name, sources in INDEX_SOURCES.items():
            runs = [
                RoutingReplay(trace, "prefix_aware", seed, sources).run()
                for seed in SEEDS
            ]
            event_bytes += [_event_bytes(r) / r.answered for r in runs]
            recomputed[source_name] = statistics.mean(
                r.recomputed_tokens for r in runs
            )
            first = statistics.mean(
                percentile(r.first_token_s, 0.95) for r in runs
            )
            label = f"{name}, {kind}, index fed by {source_name}"
            report.figure(
                f"{label}: recomputed", recomputed[source_name], "tokens"
            )
            report.figure(f"{label}: p95 first token, mean", first, "s")
        baselines = [
            statistics.mean(
                RoutingReplay(trace, policy, seed).run().recomputed_tokens
                for seed in SEEDS
            )
            for policy in BASELINES
        ]
        report.bound(
            f"{name}, {kind}: recomputed, fed by answers to the best baseline",
            recomputed["answers"] / min(baselines),
            "ratio",
            at_most=1.0,
        )
        report.figure(
            f"{name}, {kind}: recomputed, answers to dispatches",
            recomputed["answers"] / recomputed["dispatches"],
            "ratio",
        )
    report.figure(
        f"{name}: cache events of {SUBSET_SIZE} endpoints, bytes",
        SUBSET_SIZE * ENDPOINT_REQUESTS_PER_S * min(event_bytes),
        "B/s",
    )


def _event_bytes(outcome: RoutingOutcome) -> float:
    """Returns the size of all cache events in the format of vLLM.

    CBOR and MessagePack, which vLLM uses, take the same space for these values.
    Events for generated tokens, which engines cache as well, are not included.
    """
    rng = random.Random(1)
    count = Prompt().block_tokens // ENGINE_BLOCK_SIZE
    hashes = [rng.getrandbits(64) for _ in range(count)]
    tokens = [rng.randrange(MAX_TOKEN_ID) for _ in range(Prompt().block_tokens)]
    stored = ["BlockStored", hashes, hashes[0], tokens, ENGINE_BLOCK_SIZE]
    sizes = {
        CacheChange.STORED: len(cbor2.dumps(stored)),
        CacheChange.REMOVED: len(cbor2.dumps(["BlockRemoved", hashes])),
    }
    return sum(
        sizes[change] * blocks
        for change, blocks in outcome.event_blocks.items()
    )


def _report_value(
    report: Report, name: str, value: float, unit: str, bounds: dict[str, float]
) -> None:
    if bounds:
        report.bound(name, value, unit, **bounds)
    else:
        report.figure(name, value, unit)


def _engines_needed(trace: dict[str, Any], policy: str) -> int:
    """Returns the fewest engines that meet the targets with all seeds."""
    zones = sorted(set(trace["engines"].values()))
    for count in SIZING_ENGINES:
        sized = copy.deepcopy(trace)
        sized["events"] = []
        sized["requests_per_s"] *= SIZING_LOAD
        sized["peak"]["requests_per_s"] *= SIZING_LOAD
        sized["engines"] = {
            f"engine-{i}": zones[i % len(zones)] for i in range(count)
        }
        if all(
            _meets_targets(RoutingReplay(sized, policy, seed).run())
            for seed in SIZING_SEEDS
        ):
            return count
    return SIZING_ENGINES.stop


def _meets_targets(outcome: RoutingOutcome) -> bool:
    return (
        percentile(outcome.first_token_s, 0.95) <= FIRST_TOKEN_TARGET_S
        and percentile(outcome.token_s, 0.95) <= TOKEN_GAP_TARGET_S
    )


def _measure_decisions(report: Report) -> None:
    pools = {size: _make_pool(size) for size in FLEET_SIZES}
    times: dict[int, list[float]] = {size: [] for size in FLEET_SIZES}
    # Interleaves the sizes so that other load on the machine affects them all.
    for _ in range(ROUNDS):
        for size, (pool, route) in pools.items():
            requests = [
                _make_request(route, number) for number in range(DECISIONS)
            ]
            start = time.process_time()
            for request in requests:
                pool.choose(request)
            times[size].append((time.process_time() - start) / DECISIONS)
    best = {size: min(values) for size, values in times.items()}
    for size, seconds in best.items():
        report.figure(f"decision with {size} endpoints", seconds * 1e6, "us")
    report.bound(
        f"decision with {FLEET_SIZES[-1]} endpoints to {SUBSET_SIZE}",
        best[FLEET_SIZES[-1]] / best[SUBSET_SIZE],
        "ratio",
        at_most=MAX_DECISION_TIME_RATIO,
    )
    report.bound(
        f"decision with {FLEET_SIZES[-1]} endpoints to {FLEET_SIZES[0]}",
        best[FLEET_SIZES[-1]] / best[FLEET_SIZES[0]],
        "ratio",
        at_most=MAX_DECISION_TIME_RATIO,
    )


def _make_pool(size: int) -> tuple[EndpointPool, Any]:
    configuration = _make_configuration(size)
    pool = EndpointPool(
        "node",
        "z0",
        SUBSET_SIZE,
        ManualTimers(),
        "prefix_aware",
        rng=random.Random(1),
    )
    pool.apply(configuration)
    for view in pool.views.values():
        pool.on_load(view.name, 5, 1, 0.0)
    return pool, configuration.routes["chat"]


def _make_configuration(size: int) -> Configuration:
    return parse_configuration(
        {
            "generation": 1,
            "deployments": {"d": {"versions": {"v1": {}}}},
            "routes": {
                "chat": {
                    "kind": "model",
                    "model": "m",
                    "request_class": "interactive",
                    "deployment": "d",
                }
            },
            "endpoints": {
                f"e{i}": {
                    "url": f"http://127.0.0.1:{1000 + i}",
                    "zone": f"z{i % 4}",
                    "deployment": "d",
                    "version": "v1",
                }
                for i in range(size)
            },
        }
    )


def _make_request(route: Any, number: int) -> RequestContext:
    # One of 20 shared contexts of 16 blocks, followed by a unique block.
    shared = tuple(1000 * (number % 20) + i for i in range(16))
    return RequestContext(
        request_id=str(number),
        organisation="o",
        route_name="chat",
        route=route,
        deadline_s=60.0,
        prompt=Prompt(2200, (*shared, 10**6 + number)),
    )
