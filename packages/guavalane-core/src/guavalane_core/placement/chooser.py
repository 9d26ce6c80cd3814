"""Ranks endpoints by the time that a request would wait at each."""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs
import xxhash

from guavalane_core.forwarding.configuration import Engine
from guavalane_core.forwarding.endpoint import Endpoint
from guavalane_core.forwarding.request import Prompt
from guavalane_core.placement.rates import EngineRates
from guavalane_core.placement.work import Load

# Added per request that an engine already runs, in seconds: each lengthens the
# steps of a batch.
BATCH_COST_S = 0.002
# Added for an endpoint in another availability zone, in seconds. It covers the
# round trip and breaks ties in favour of the own zone.
ZONE_COST_S = 0.003
# Part of the shareable prompt that the agreed home of a prompt is credited
# with, so that all nodes send the same prompt to the same endpoint without a
# message.
HOME_CREDIT = 0.5
# Random candidates that are compared, and candidates with the most cached
# tokens. Many nodes that hold the same old reports would all choose the
# endpoint that is best by them.
SAMPLE = 3
PLAIN_SAMPLE = 2
CACHED_SAMPLE = 2


@attrs.frozen
class Candidate:
    """An endpoint that may take a request.

    Attributes:
      endpoint: Endpoint.
      load: Work of all nodes at it.
      cached_tokens: Tokens of the prompt that it is expected to hold.
    """

    endpoint: Endpoint
    load: Load
    cached_tokens: int = 0


def rank_engines(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    engine: Engine,
    rates: EngineRates,
    zone: str,
    home: Candidate | None = None,
) -> list[tuple[float, Candidate]]:
    """Returns candidates with their cost in seconds, the best first.

    The cost is the expected time to the first token: the queue for a slot, the
    prompts that are read before, and the part of this prompt that the engine
    does not hold.

    Args:
      candidates: Endpoints to compare.
      prompt: Prompt of the request.
      engine: Engine of the endpoints.
      rates: Speeds of the engines.
      zone: Availability zone of this node.
      home: Home of the prompt; that among the candidates if None.
    """
    home = home or _home_of(candidates, prompt)
    ranked = [
        (_engine_cost(c, c is home, prompt, engine, rates, zone), c)
        for c in candidates
    ]
    ranked.sort(key=lambda pair: pair[0])
    return ranked


def shortlist(
    candidates: Sequence[Candidate], prompt: Prompt, rng: random.Random
) -> tuple[list[Candidate], Candidate | None]:
    """Returns the candidates to compare where many nodes choose at once.

    They are a random sample, those that hold most of the prompt, and the
    prompt's home, on which all nodes agree.

    Returns:
      The candidates, and the home among them.
    """
    home = _home_of(candidates, prompt)
    if len(candidates) <= SAMPLE:
        return list(candidates), home
    chosen = rng.sample(candidates, SAMPLE)
    holders = [c for c in candidates if c.cached_tokens]
    holders.sort(key=lambda c: c.cached_tokens, reverse=True)
    chosen += holders[:CACHED_SAMPLE]
    if home is not None:
        chosen.append(home)
    by_name = {c.endpoint.endpoint_id: c for c in chosen}
    return list(by_name.values()), home


def sample_endpoints(
    candidates: Sequence[Candidate], rng: random.Random
) -> list[Candidate]:
    """Returns two random candidates of a plain service, or all of fewer.

    With reports that are old, the better of two spreads the requests of many
    nodes better than the best of all.
    """
    return rng.sample(candidates, min(PLAIN_SAMPLE, len(candidates)))


def choose_endpoint(
    candidates: Sequence[Candidate], zone: str
) -> Candidate | None:
    """Returns the candidate of a plain service with the least load.

    Load is counted in slots, so that larger endpoints get more.
    """
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda c: (
            c.load.requests / max(1, c.endpoint.slots),
            c.endpoint.slow_s > 0,
            c.endpoint.zone != zone,
            c.endpoint.endpoint_id,
        ),
    )


def _engine_cost(
    candidate: Candidate,
    is_home: bool,
    prompt: Prompt,
    engine: Engine,
    rates: EngineRates,
    zone: str,
) -> float:
    load = candidate.load
    cached = candidate.cached_tokens
    if is_home:
        cached = max(cached, int(HOME_CREDIT * _shareable_tokens(prompt)))
    unread = max(0, prompt.input_tokens - cached)
    cost_s = (load.prefill_tokens + unread) / rates.prefill_tokens_per_s
    cost_s += BATCH_COST_S * load.requests
    waiting = load.requests + 1 - engine.slots
    if waiting > 0:
        cost_s += waiting * rates.run_s / engine.slots
    if candidate.endpoint.zone != zone:
        cost_s += ZONE_COST_S
    return cost_s


def _shareable_tokens(prompt: Prompt) -> int:
    return sum(part.tokens for part in prompt.parts[:-1])


def _home_of(
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
