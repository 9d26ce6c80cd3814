"""Ranks endpoints by the expected time to first token."""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs
import xxhash

from guavalane_core.forwarding.configuration import Engine
from guavalane_core.forwarding.endpoint import Endpoint
from guavalane_core.forwarding.request import Prompt
from guavalane_core.placement.rates import EngineRates
from guavalane_core.placement.server_load import UNKNOWN, Figures
from guavalane_core.placement.work import Load

# Cost per request that an engine already runs, in seconds: each one lengthens
# the decoding steps of the batch.
RUNNING_REQUEST_COST_S = 0.002
# Cost of an endpoint in another availability zone, in seconds. It covers the
# round trip and breaks ties in favour of the local zone.
CROSS_ZONE_COST_S = 0.003
# Fraction of the shareable prompt that the prompt's home endpoint is assumed to
# have cached, so that all nodes send the same prompt to the same endpoint
# without communication.
HOME_CACHED_FRACTION = 0.5
# Number of randomly sampled candidates and of candidates with the most cached
# tokens. Without sampling, nodes with the same outdated reports would all
# choose the same endpoint.
RANDOM_CANDIDATES = 3
CACHED_CANDIDATES = 2
# Number of random candidates for a service without an engine.
PLAIN_CANDIDATES = 2
# Prompt tokens that wait at an endpoint above which it counts as busy; about
# 0.1 s of work, a fifth of the latency objectives of streams.
BUSY_PREFILL_TOKENS = 10_000
# The same if speeds are known. With one slow endpoint of four, every second
# pair contains it, and a choice from such a pair takes it whenever the other
# endpoint is slow for a moment. Three candidates offer a better one more often.
PLAIN_CANDIDATES_WITH_SPEED = 3
# Cost of another availability zone for a service without an engine, as a
# fraction of the usual time of a request.
CROSS_ZONE_FRACTION = 0.1


@attrs.frozen
class Candidate:
    """An endpoint that can receive a request.

    Attributes:
      endpoint: Endpoint.
      load: Load from all nodes.
      cached_tokens: Prompt tokens that the endpoint is expected to have cached.
      cold: Whether it takes few requests for some time.
      figures: What its responses tell of its load and speed.
    """

    endpoint: Endpoint
    load: Load
    cached_tokens: int = 0
    cold: bool = False
    figures: Figures = UNKNOWN

    @property
    def slowdown(self) -> float:
        """Expected time of work as a multiple of the usual; 1 if unknown."""
        slowdown = self.figures.slowdown
        return 1.0 if slowdown is None else slowdown

    @property
    def requests(self) -> int:
        """Requests at the endpoint by the most recent information."""
        stated = self.figures.requests
        return self.load.requests if stated is None else stated


def prefer_warm(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Returns the candidates that are not cold if half of them have room.

    Otherwise, all candidates are returned: a cold endpoint can take a few
    requests while the others are busy. An engine with many slots is busy long
    before they are taken, as prompts wait for each other. A node of a large
    fleet compares a few of the candidates, so one with room is not enough.
    """
    warm = [c for c in candidates if not c.cold]
    if warm and 2 * sum(map(_has_room, warm)) >= len(warm):
        return warm
    return list(candidates)


def _has_room(candidate: Candidate) -> bool:
    load = candidate.load
    return (
        load.requests < candidate.endpoint.slots
        and load.prefill_tokens <= BUSY_PREFILL_TOKENS
    )


def rank_engines(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    engine: Engine,
    rates: EngineRates,
    zone: str,
    home: Candidate | None = None,
) -> list[tuple[float, Candidate]]:
    """Returns the candidates with their cost in seconds, lowest cost first.

    The cost is the expected time to first token: the wait for a slot, the
    prefill of earlier prompts, and the prefill of the uncached part of this
    prompt, with a surcharge for each request in the batch. If any endpoint
    states its speed, this time is multiplied by the slowdown of the endpoint.
    The surcharge for another zone is added last.

    Args:
      candidates: Endpoints to compare.
      prompt: Prompt of the request.
      engine: Engine of the endpoints.
      rates: Throughput of the engines.
      zone: Availability zone of this node.
      home: Home endpoint of the prompt. If None, it is computed from the
          candidates.
    """
    costs = _engine_costs(candidates, prompt, engine, rates, zone, home)
    ranked = [
        (sum(cost), candidate)
        for cost, candidate in zip(costs, candidates, strict=True)
    ]
    ranked.sort(key=lambda pair: pair[0])
    return ranked


def cost_engines(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    engine: Engine,
    rates: EngineRates,
    zone: str,
    home: Candidate | None = None,
) -> list[tuple[dict[str, float], Candidate]]:
    """Returns the candidates with the terms of their cost in seconds, by name.

    The cost is the sum of the terms. The arguments are those of `rank_engines`.
    """
    costs = _engine_costs(candidates, prompt, engine, rates, zone, home)
    return [
        (dict(zip(ENGINE_TERMS, cost, strict=True)), candidate)
        for cost, candidate in zip(costs, candidates, strict=True)
    ]


def shortlist(
    candidates: Sequence[Candidate], prompt: Prompt, rng: random.Random
) -> tuple[list[Candidate], Candidate | None]:
    """Returns the candidates to compare when many nodes choose concurrently.

    The shortlist consists of a random sample, the candidates with the most
    cached tokens, and the prompt's home endpoint, which is the same on all
    nodes.

    Returns:
      The shortlist and the home endpoint.
    """
    home = _find_home(candidates, prompt)
    if len(candidates) <= RANDOM_CANDIDATES:
        return list(candidates), home
    chosen = rng.sample(candidates, RANDOM_CANDIDATES)
    holders = [c for c in candidates if c.cached_tokens]
    holders.sort(key=lambda c: c.cached_tokens, reverse=True)
    chosen += holders[:CACHED_CANDIDATES]
    if home is not None:
        chosen.append(home)
    by_name = {c.endpoint.endpoint_id: c for c in chosen}
    return list(by_name.values()), home


def sample_endpoints(
    candidates: Sequence[Candidate], rng: random.Random
) -> list[Candidate]:
    """Returns a few random candidates of a service without an engine.

    With outdated load reports, the better of two random endpoints distributes
    the requests of many nodes more evenly than the best of all endpoints.
    """
    count = PLAIN_CANDIDATES
    if has_speeds(candidates):
        count = PLAIN_CANDIDATES_WITH_SPEED
    return rng.sample(candidates, min(count, len(candidates)))


def choose_endpoint(
    candidates: Sequence[Candidate], zone: str
) -> Candidate | None:
    """Returns the best candidate of a service without an engine.

    It is the least loaded one, relative to the number of slots, so that larger
    endpoints receive more requests. If the speed of any endpoint is known, it
    is the one with the shortest expected time.
    """
    if not candidates:
        return None
    speeds_known = has_speeds(candidates)
    return min(
        candidates,
        key=lambda c: _endpoint_cost(c, zone, speeds_known=speeds_known),
    )


def cost_endpoints(
    candidates: Sequence[Candidate], zone: str
) -> list[tuple[dict[str, float | str], Candidate]]:
    """Returns what candidates without an engine are compared by.

    Returns:
      Candidates with the terms by name; each term decides only if those before
      it are equal.
    """
    speeds_known = has_speeds(candidates)
    names = SPEED_TERMS if speeds_known else ENDPOINT_TERMS
    return [
        (
            dict(
                zip(
                    names,
                    _endpoint_cost(c, zone, speeds_known=speeds_known),
                    strict=True,
                )
            ),
            c,
        )
        for c in candidates
    ]


def has_speeds(candidates: Sequence[Candidate]) -> bool:
    """Returns whether any endpoint states its speed.

    Otherwise, choices do not depend on the figures of the responses.
    """
    return any(c.figures.slowdown is not None for c in candidates)


# Names of the terms that `_endpoint_cost` returns, without and with speeds.
ENDPOINT_TERMS = ("load_per_slot", "cold", "other_zone", "endpoint")
SPEED_TERMS = ("relative_time", "endpoint")


def _endpoint_cost(
    candidate: Candidate, zone: str, *, speeds_known: bool
) -> tuple[float | str, ...]:
    endpoint = candidate.endpoint
    if speeds_known:
        return _relative_time(candidate, zone), endpoint.endpoint_id
    return (
        candidate.load.requests / max(1, endpoint.slots),
        candidate.cold,
        endpoint.zone != zone,
        endpoint.endpoint_id,
    )


def _relative_time(candidate: Candidate, zone: str) -> float:
    """Returns the expected time as a multiple of the usual without a wait.

    Requests below the number of slots count as well: the load is outdated, and
    nodes with the same figures would all choose the fastest endpoint.
    """
    slots = max(1, candidate.endpoint.slots)
    requests = candidate.requests
    waiting = max(0, requests + 1 - slots)
    relative_time = candidate.slowdown * (1.0 + (requests + waiting) / slots)
    if candidate.endpoint.zone != zone:
        relative_time += CROSS_ZONE_FRACTION
    return relative_time


def _engine_costs(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    engine: Engine,
    rates: EngineRates,
    zone: str,
    home: Candidate | None,
) -> list[tuple[float, ...]]:
    """Returns the terms of the cost of each candidate; see `rank_engines`."""
    home = home or _find_home(candidates, prompt)
    speeds_known = has_speeds(candidates)
    return [
        _engine_cost(
            c,
            c is home,
            prompt,
            engine,
            rates,
            zone,
            speeds_known=speeds_known,
        )
        for c in candidates
    ]


# Names of the terms that `_engine_cost` returns, in seconds.
ENGINE_TERMS = ("prefill", "running", "slot_wait", "other_zone")


def _engine_cost(
    candidate: Candidate,
    is_home: bool,
    prompt: Prompt,
    engine: Engine,
    rates: EngineRates,
    zone: str,
    *,
    speeds_known: bool,
) -> tuple[float, ...]:
    load = candidate.load
    requests = candidate.requests if speeds_known else load.requests
    cached = candidate.cached_tokens
    if is_home:
        cached = max(
            cached, int(HOME_CACHED_FRACTION * _shareable_tokens(prompt))
        )
    uncached = max(0, prompt.input_tokens - cached)
    waiting = requests + 1 - engine.slots
    slowdown = candidate.slowdown if speeds_known else 1.0
    return (
        slowdown
        * (load.prefill_tokens + uncached)
        / rates.prefill_tokens_per_s,
        slowdown * RUNNING_REQUEST_COST_S * requests,
        slowdown * waiting * rates.run_s / engine.slots if waiting > 0 else 0.0,
        CROSS_ZONE_COST_S if candidate.endpoint.zone != zone else 0.0,
    )


def _shareable_tokens(prompt: Prompt) -> int:
    return sum(part.tokens for part in prompt.parts[:-1])


def _find_home(
    candidates: Sequence[Candidate], prompt: Prompt
) -> Candidate | None:
    part_id = prompt.home_part
    if part_id is None or not candidates:
        return None
    return max(
        candidates,
        key=lambda c: xxhash.xxh3_64_intdigest(
            f"{part_id}/{c.endpoint.endpoint_id}".encode()
        ),
    )
