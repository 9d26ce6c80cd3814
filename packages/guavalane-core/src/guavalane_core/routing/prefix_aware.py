"""Routing by the expected time to the first token."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

import attrs
import xxhash

from guavalane_core.requests import RequestContext
from guavalane_core.requests.prompt import Prompt
from guavalane_core.routing.policies import (
    POLICIES,
    Organisations,
    Policy,
    no_organisation,
)
from guavalane_core.routing.preferences import filter_preferred, rank
from guavalane_core.routing.prefix_index import PrefixIndex
from guavalane_core.routing.view import EndpointView
from guavalane_core.streams import PromptUsage

# Prefill time per token and slowdown per running request, in seconds, of the
# accelerators that the latency target of 0.65 s was stated for.
PREFILL_TOKEN_S = 1 / 8000
RUNNING_REQUEST_S = 0.002
# Round trip between availability zones, in seconds.
ZONE_DISTANCE_S = 0.003
# Added per place in an organisation's order of preference, in seconds: less
# than the latency target, so that an overloaded first choice is left.
PREFERENCE_STEP_S = 0.1
# Time after which a load report counts for 1/e, in seconds.
REPORT_DECAY_S = 2.0
# Part of a prompt that the home of its first block is expected to hold. All
# nodes that use the same endpoints agree on the home without a message, so
# that each context is computed at few of them. It only decides between
# endpoints that cost about the same: at half a prompt or more, a first block
# that all prompts share crowds one endpoint.
HOME_PART = 0.05
# Random candidates that are compared, and candidates with the most cached
# blocks. A small random sample keeps nodes that hold the same reports from
# choosing the same endpoint.
SAMPLE = 3
CACHED_SAMPLE = 2
# Bounds the estimate of how much other nodes send.
MAX_SENDERS = 64.0
# Prefill of one request before any is known, in tokens.
FIRST_REQUEST_TOKENS = 500.0
# Weight of the newest request in the mean prefill.
MEAN_WEIGHT = 0.05
# Engines count in their own tokens, of which one part of a prompt may have
# this many times as many per character as the whole.
TOKEN_DENSITY_SPREAD = 2


@POLICIES.register("prefix_aware")
class PrefixAware(Policy):
    """Chooses the endpoint with the least expected time to first token.

    Args:
      rng: Source of the random sample.
      zone: Availability zone of this node.
      organisations: Returns an organisation by its name.
      index: Index of cached prefixes.
    """

    uses_prompt = True
    ranks_preferences = True

    def __init__(
        self,
        rng: random.Random | None = None,
        zone: str = "",
        organisations: Organisations = no_organisation,
        index: PrefixIndex | None = None,
    ) -> None:
        super().__init__(rng, zone, organisations)
        self._index = index or PrefixIndex()
        self._request_tokens = FIRST_REQUEST_TOKENS

    @property
    def index(self) -> PrefixIndex:
        """Index of cached prefixes, to be fed with cache events."""
        return self._index

    def choose(
        self,
        request: RequestContext,
        candidates: Sequence[EndpointView],
        now_s: float,
    ) -> EndpointView:
        """Returns the best of a few candidates and notes the dispatch."""
        prompt = request.prompt or Prompt()
        cached = self._expected_tokens(request, candidates, now_s)
        shortlist = self._shortlist(request, candidates, cached)
        costs = self._costs(
            request, prompt, cached, candidates, shortlist, now_s
        )
        chosen = min(shortlist, key=lambda v: costs[v.name])
        missing = max(0.0, prompt.tokens - cached.get(chosen.name, 0.0))
        chosen.note_prefill(missing * PREFILL_TOKEN_S, now_s)
        self._request_tokens += MEAN_WEIGHT * (missing - self._request_tokens)
        self._index.record(chosen.name, prompt.blocks, now_s)
        return chosen

    def on_failure(self, request: RequestContext, endpoint: str) -> None:
        """Takes back the credit for a prompt that may not be computed."""
        if request.prompt is not None:
            self._index.drop(endpoint, request.prompt.blocks)

    def on_usage(
        self,
        request: RequestContext,
        endpoint: str,
        usage: PromptUsage,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Corrects the credit by the cached tokens that an answer tells."""
        prompt, cached = request.prompt, usage.cached_tokens
        if prompt is None or cached is None:
            return
        if not 0 <= cached <= usage.prompt_tokens or not usage.prompt_tokens:
            return
        part = TOKEN_DENSITY_SPREAD * cached / usage.prompt_tokens
        most = math.ceil(part * prompt.tokens / prompt.block_tokens)
        self._index.on_answer(endpoint, prompt.blocks, most, sent_s, now_s)

    def forget(self, endpoint: str) -> None:
        """Drops the cached prefixes of an endpoint."""
        self._index.forget(endpoint)

    def expected_s(
        self,
        request: RequestContext,
        candidates: Sequence[EndpointView],
        now_s: float,
    ) -> dict[str, float]:
        """Returns the cost of each candidate in seconds, by name.

        The cost is the expected time to the first token, plus the places in
        the organisation's preferences.
        """
        prompt = request.prompt or Prompt()
        cached = self._expected_tokens(request, candidates, now_s)
        return self._costs(
            request, prompt, cached, candidates, candidates, now_s
        )

    def _cached_tokens(self, prompt: Prompt, now_s: float) -> dict[str, float]:
        blocks = self._index.cached_blocks(prompt.blocks, now_s)
        size = prompt.block_tokens
        return {name: count * size for name, count in blocks.items()}

    def _expected_tokens(
        self,
        request: RequestContext,
        candidates: Sequence[EndpointView],
        now_s: float,
    ) -> dict[str, float]:
        prompt = request.prompt or Prompt()
        cached = self._cached_tokens(prompt, now_s)
        if prompt.blocks:
            organisation = self._organisations(request.organisation)
            preferred = filter_preferred(candidates, organisation)
            home = home_endpoint(prompt.blocks[0], [v.name for v in preferred])
            cached[home] = max(
                cached.get(home, 0.0),
                HOME_PART * len(prompt.blocks) * prompt.block_tokens,
            )
        return cached

    def _shortlist(
        self,
        request: RequestContext,
        candidates: Sequence[EndpointView],
        cached: dict[str, float],
    ) -> list[EndpointView]:
        organisation = self._organisations(request.organisation)
        preferred = filter_preferred(candidates, organisation)
        sample = self._rng.sample(preferred, min(SAMPLE, len(preferred)))
        if len(preferred) < len(candidates):
            # One of the others, for when all that is preferred is overloaded.
            names = {view.name for view in preferred}
            others = [v for v in candidates if v.name not in names]
            sample.append(self._rng.choice(others))
        holders = [v for v in candidates if v.name in cached]
        holders.sort(key=lambda v: (-cached[v.name], self._rng.random()))
        return sample + holders[:CACHED_SAMPLE]

    def _costs(
        self,
        request: RequestContext,
        prompt: Prompt,
        cached: dict[str, float],
        candidates: Sequence[EndpointView],
        shortlist: Sequence[EndpointView],
        now_s: float,
    ) -> dict[str, float]:
        mean = _mean_load(candidates)
        organisation = self._organisations(request.organisation)
        request_s = self._request_tokens * PREFILL_TOKEN_S
        costs = {}
        for view in shortlist:
            age_s = now_s - view.reported_at_s
            # An old report says nothing about its endpoint, so it fades to
            # the mean of all reports; fading to zero would make endpoints
            # with lost reports look idle.
            trust = math.exp(-max(0.0, age_s) / REPORT_DECAY_S)
            queue = trust * view.reported_waiting + (1 - trust) * mean.waiting
            batch = trust * _foreign_running(view) + (1 - trust) * mean.running
            # Other nodes read the same report and send alike, so their part
            # since the report is estimated from this node's own.
            unreported_s = max(
                mean.senders * view.prefill_since_report_s - max(0.0, age_s),
                view.prefill_until_s - now_s,
                0.0,
            )
            missing = max(0.0, prompt.tokens - cached.get(view.name, 0.0))
            cost = queue * request_s + unreported_s
            cost += (batch + view.in_flight) * RUNNING_REQUEST_S
            cost += missing * PREFILL_TOKEN_S
            if view.endpoint.zone != self._zone:
                cost += ZONE_DISTANCE_S
            costs[view.name] = (
                cost + rank(view, organisation) * PREFERENCE_STEP_S
            )
        return costs


def home_endpoint(block: int, names: Sequence[str]) -> str:
    """Returns the endpoint that a prefix belongs to, by rendezvous hashing."""
    return max(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed=block),
    )


def _foreign_running(view: EndpointView) -> int:
    return max(0, view.reported_running - view.own_at_report)


@attrs.frozen
class _MeanLoad:
    """Mean of the reports, and how many nodes like this one send."""

    waiting: float
    running: float
    senders: float


def _mean_load(candidates: Sequence[EndpointView]) -> _MeanLoad:
    waiting = running = foreign = own = 0
    for view in candidates:
        waiting += view.reported_waiting
        running += view.reported_running
        own += view.own_at_report
        foreign += _foreign_running(view)
    senders = min(MAX_SENDERS, max(1.0, (waiting + running) / max(1, own)))
    count = len(candidates)
    return _MeanLoad(waiting / count, foreign / count, senders)
