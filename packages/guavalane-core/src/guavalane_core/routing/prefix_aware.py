"""Prefix-aware routing by the expected time to first token."""

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
    OrganisationLookup,
    Policy,
    find_no_organisation,
)
from guavalane_core.routing.preferences import filter_preferred, preference_rank
from guavalane_core.routing.prefix_index import PrefixIndex
from guavalane_core.routing.view import EndpointView
from guavalane_core.streams import PromptUsage

# Prefill time per token and slowdown per running request, in seconds, on the
# accelerators that the latency target of 0.65 s applies to.
PREFILL_TOKEN_S = 1 / 8000
RUNNING_REQUEST_S = 0.002
CROSS_ZONE_RTT_S = 0.003
# Cost per preference rank, in seconds. It is lower than the latency target, so
# that requests move away from an overloaded preferred endpoint.
PREFERENCE_RANK_COST_S = 0.1
# Time constant of the exponential decay of load reports, in seconds.
REPORT_DECAY_S = 2.0
# Fraction of a prompt that the home endpoint of its first block is assumed to
# have cached. Nodes with the same endpoints compute the same home without
# communication, so that few endpoints prefill the same context. The fraction is
# small, so that it only breaks ties between endpoints of similar cost: at 0.5
# or more, a first block shared by all prompts overloads one endpoint.
HOME_CACHED_FRACTION = 0.05
# Number of randomly sampled candidates and of candidates with the most cached
# blocks. A small random sample prevents nodes with the same load reports from
# all choosing the same endpoint.
RANDOM_CANDIDATES = 3
CACHED_CANDIDATES = 2
# Upper bound on the estimated number of nodes that send requests.
MAX_SENDERS = 64.0
# Initial value of the mean prefill per request, in tokens.
INITIAL_REQUEST_TOKENS = 500.0
# Weight of the newest sample in the exponentially weighted moving average.
EWMA_WEIGHT = 0.05
# Token density varies within a prompt: a section can have up to this many times
# as many engine tokens per character as the whole prompt.
TOKEN_DENSITY_SPREAD = 2


@POLICIES.register("prefix_aware")
class PrefixAware(Policy):
    """Chooses the endpoint with the lowest expected time to first token.

    Args:
      rng: Random number generator for the candidate sample.
      zone: Availability zone of this node.
      find_organisation: Returns an organisation by name.
      index: Index of cached prefixes.
    """

    uses_prompt = True
    ranks_preferences = True

    def __init__(
        self,
        rng: random.Random | None = None,
        zone: str = "",
        find_organisation: OrganisationLookup = find_no_organisation,
        index: PrefixIndex | None = None,
    ) -> None:
        super().__init__(rng, zone, find_organisation)
        self._index = index or PrefixIndex()
        self._mean_request_tokens = INITIAL_REQUEST_TOKENS

    @property
    def index(self) -> PrefixIndex:
        """Index of cached prefixes, which receives the cache events."""
        return self._index

    def choose(
        self,
        request: RequestContext,
        candidates: Sequence[EndpointView],
        now_s: float,
    ) -> EndpointView:
        """Returns the best shortlisted candidate and records the dispatch."""
        prompt = request.prompt or Prompt()
        cached = self._expected_tokens(request, candidates, now_s)
        shortlist = self._shortlist(request, candidates, cached)
        costs = self._costs(
            request, prompt, cached, candidates, shortlist, now_s
        )
        chosen = min(shortlist, key=lambda v: costs[v.name])
        uncached = max(0.0, prompt.tokens - cached.get(chosen.name, 0.0))
        chosen.add_prefill(uncached * PREFILL_TOKEN_S, now_s)
        self._mean_request_tokens += EWMA_WEIGHT * (
            uncached - self._mean_request_tokens
        )
        self._index.record(chosen.name, prompt.blocks, now_s)
        return chosen

    def on_failure(self, request: RequestContext, endpoint: str) -> None:
        """Removes the prompt from the index, as it may not be cached."""
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
        """Updates the index with the cached tokens that a response reports."""
        prompt, cached = request.prompt, usage.cached_tokens
        if prompt is None or cached is None:
            return
        if not 0 <= cached <= usage.prompt_tokens or not usage.prompt_tokens:
            return
        cached_ratio = TOKEN_DENSITY_SPREAD * cached / usage.prompt_tokens
        max_cached_blocks = math.ceil(
            cached_ratio * prompt.tokens / prompt.block_tokens
        )
        self._index.on_answer(
            endpoint, prompt.blocks, max_cached_blocks, sent_s, now_s
        )

    def forget(self, endpoint: str) -> None:
        """Removes all cached prefixes of an endpoint."""
        self._index.forget(endpoint)

    def expected_s(
        self,
        request: RequestContext,
        candidates: Sequence[EndpointView],
        now_s: float,
    ) -> dict[str, float]:
        """Returns the cost of each candidate in seconds, by name.

        The cost is the expected time to first token plus a penalty for the
        endpoint's rank in the organisation's preferences.
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
            organisation = self._find_organisation(request.organisation)
            preferred = filter_preferred(candidates, organisation)
            home = home_endpoint(prompt.blocks[0], [v.name for v in preferred])
            cached[home] = max(
                cached.get(home, 0.0),
                HOME_CACHED_FRACTION * len(prompt.blocks) * prompt.block_tokens,
            )
        return cached

    def _shortlist(
        self,
        request: RequestContext,
        candidates: Sequence[EndpointView],
        cached: dict[str, float],
    ) -> list[EndpointView]:
        organisation = self._find_organisation(request.organisation)
        preferred = filter_preferred(candidates, organisation)
        sample = self._rng.sample(
            preferred, min(RANDOM_CANDIDATES, len(preferred))
        )
        if len(preferred) < len(candidates):
            # Add one other endpoint in case all preferred ones are overloaded.
            names = {view.name for view in preferred}
            others = [v for v in candidates if v.name not in names]
            sample.append(self._rng.choice(others))
        holders = [v for v in candidates if v.name in cached]
        holders.sort(key=lambda v: (-cached[v.name], self._rng.random()))
        return sample + holders[:CACHED_CANDIDATES]

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
        organisation = self._find_organisation(request.organisation)
        request_s = self._mean_request_tokens * PREFILL_TOKEN_S
        costs = {}
        for view in shortlist:
            age_s = now_s - view.reported_at_s
            # An old report decays to the mean of all reports. Decaying to zero
            # would make endpoints with lost reports look idle.
            report_weight = math.exp(-max(0.0, age_s) / REPORT_DECAY_S)
            queue = (
                report_weight * view.reported_waiting
                + (1 - report_weight) * mean.waiting
            )
            batch = (
                report_weight * _running_from_other_nodes(view)
                + (1 - report_weight) * mean.running
            )
            # Other nodes act on the same report, so the load that they added
            # since then is extrapolated from this node's own.
            unreported_s = max(
                mean.senders * view.prefill_since_report_s - max(0.0, age_s),
                view.prefill_until_s - now_s,
                0.0,
            )
            uncached = max(0.0, prompt.tokens - cached.get(view.name, 0.0))
            cost = queue * request_s + unreported_s
            cost += (batch + view.in_flight) * RUNNING_REQUEST_S
            cost += uncached * PREFILL_TOKEN_S
            if view.endpoint.zone != self._zone:
                cost += CROSS_ZONE_RTT_S
            costs[view.name] = (
                cost
                + preference_rank(view, organisation) * PREFERENCE_RANK_COST_S
            )
        return costs


def home_endpoint(block: int, names: Sequence[str]) -> str:
    """Returns the home endpoint of a block by rendezvous hashing."""
    return max(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed=block),
    )


def _running_from_other_nodes(view: EndpointView) -> int:
    return max(0, view.reported_running - view.own_at_report)


@attrs.frozen
class _MeanLoad:
    """Mean reported load, and the estimated number of sending nodes."""

    waiting: float
    running: float
    senders: float


def _mean_load(candidates: Sequence[EndpointView]) -> _MeanLoad:
    waiting = running = foreign = own = 0
    for view in candidates:
        waiting += view.reported_waiting
        running += view.reported_running
        own += view.own_at_report
        foreign += _running_from_other_nodes(view)
    senders = min(MAX_SENDERS, max(1.0, (waiting + running) / max(1, own)))
    count = len(candidates)
    return _MeanLoad(waiting / count, foreign / count, senders)
