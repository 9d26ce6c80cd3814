"""Replays routing traces on the production endpoint pool and simulated engines.

The engine model has a prefill queue, a batch whose decode time per token grows
with the number of running requests, and a prefix cache of limited size.
"""

from __future__ import annotations

import json
import pathlib
import random
from collections import Counter, OrderedDict, deque
from collections.abc import Collection, Iterator
from typing import Any

import attrs

from guavalane_core.configuration import Configuration, parse_configuration
from guavalane_core.exceptions import NoEndpointError
from guavalane_core.requests import RequestContext
from guavalane_core.requests.prompt import Prompt, digest_text
from guavalane_core.routing import (
    CacheChange,
    CacheEvent,
    EndpointView,
    PrefixAware,
)
from guavalane_core.streams import PromptUsage
from guavalane_core.timers import ManualTimers
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_entry.fleet.vm_list import READ_PERIOD_S, ListedVm

PREFILL_TOKEN_S = 1 / 8000
DECODE_TOKEN_S = 0.02
# Increase of the decode time per token for each running request, in seconds.
DECODE_TOKEN_PER_RUNNING_S = 0.0006
MAX_RUNNING = 48
# Fraction of the prefill time by which running requests are delayed.
PREFILL_STALL_FRACTION = 0.3
CACHE_BLOCKS = 600
BLOCK_TOKENS = Prompt().block_tokens
# Range of the delivery delay of cache events, in seconds.
EVENT_DELAY_S = (0.2, 3.0)
# Probability that a cache event is not delivered.
EVENT_LOSS_PROBABILITY = 0.1
POLLS_PER_S = 6.0
# Time after which a leaving endpoint must get no new requests, in seconds.
MAX_LEAVING_DELAY_S = 4.0
CROSS_ZONE_DELAY_S = 0.0015
# Characters per block of generated prompt text.
BLOCK_CHARACTERS = 512
# Number of endpoints that each entry node uses.
SUBSET_SIZE = 24
REQUEST_TIMEOUT_S = 60
# Number of recent conversations per organisation that follow-ups continue.
MAX_CONVERSATIONS = 20
# Range of the completion length, in tokens.
COMPLETION_TOKENS = (20, 200)
# Sources of the prefix index in an entry node.
ENTRY_INDEX_SOURCES = ("answers",)


@attrs.define
class RoutingOutcome:
    """Measurements of a replay.

    Attributes:
      first_token_s: Time to first token of each request, in seconds.
      token_s: Mean time between tokens of each request, in seconds.
      prompt_tokens: Number of tokens of all prompts.
      recomputed_tokens: Number of prompt tokens computed although an engine
          had already computed the same prefix.
      answered: Number of completed requests.
      in_time: Number of requests whose first token met the target.
      retried: Number of attempts rejected by a leaving endpoint.
      event_blocks: Number of blocks in cache events, by kind of change.
      violations: Descriptions of violated invariants.
    """

    first_token_s: list[float] = attrs.field(factory=list)
    token_s: list[float] = attrs.field(factory=list)
    prompt_tokens: int = 0
    recomputed_tokens: int = 0
    answered: int = 0
    in_time: int = 0
    retried: int = 0
    event_blocks: Counter[CacheChange] = attrs.field(factory=Counter)
    violations: list[str] = attrs.field(factory=list)


def percentile(values: list[float], fraction: float) -> float:
    """Returns the quantile `fraction` of the values; 0 if there are none."""
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
        if ordered
        else 0.0
    )


@attrs.define
class _Job:
    """A request in the queueing model of an engine."""

    prompt: Prompt
    tokens: int
    arrived_s: float
    node: int
    view: EndpointView
    request: RequestContext
    cached: int = 0
    first_token_at_s: float = 0.0
    prefilled_s: float = 0.0


class _Engine:
    """Queueing model of one engine with continuous batching."""

    def __init__(self, name: str, zone: str, replay: RoutingReplay) -> None:
        self.name = name
        self.zone = zone
        self.leaving_since_s: float | None = None
        self._replay = replay
        self._waiting: deque[_Job] = deque()
        self._running = 0
        self._prefilling = False
        self._prefilled_s = 0.0
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0

    @property
    def load(self) -> tuple[int, int]:
        """Numbers of running and waiting requests."""
        return self._running, len(self._waiting)

    def submit(self, job: _Job) -> None:
        self._waiting.append(job)
        self._admit()

    def lose_cache(self) -> None:
        """Clears the prefix cache, as an engine restart does."""
        self._cache.clear()

    def _admit(self) -> None:
        if (
            self._prefilling
            or not self._waiting
            or self._running >= MAX_RUNNING
        ):
            return
        job = self._waiting.popleft()
        self._running += 1
        self._prefilling = True
        cached = 0
        for block in job.prompt.blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            cached += 1
        job.cached = cached
        missing = job.prompt.tokens - cached * BLOCK_TOKENS
        self._replay.on_prefill(job.prompt, cached)
        prefill_s = missing * PREFILL_TOKEN_S + self._decode_token_s()
        self._replay.timers.call_later(
            prefill_s, lambda: self._on_first_token(job, prefill_s)
        )

    def _decode_token_s(self) -> float:
        return DECODE_TOKEN_S + self._running * DECODE_TOKEN_PER_RUNNING_S

    def _on_first_token(self, job: _Job, prefill_s: float) -> None:
        self._prefilling = False
        self._prefilled_s += prefill_s
        self._store(job.prompt)
        job.first_token_at_s = self._replay.timers.now()
        job.prefilled_s = self._prefilled_s
        self._replay.on_first_token(job)
        self._replay.timers.call_later(
            job.tokens * self._decode_token_s(),
            lambda: self._on_decoded(job),
        )
        self._admit()

    def _on_decoded(self, job: _Job) -> None:
        # Prefills that ran during the decoding delay its tokens.
        stall_s = (self._prefilled_s - job.prefilled_s) * PREFILL_STALL_FRACTION
        job.prefilled_s = self._prefilled_s
        if stall_s > DECODE_TOKEN_S:
            self._replay.timers.call_later(
                stall_s, lambda: self._on_decoded(job)
            )
            return
        self._running -= 1
        self._replay.on_done(job)
        self._admit()

    def _store(self, prompt: Prompt) -> None:
        new = tuple(b for b in prompt.blocks if b not in self._cache)
        for block in prompt.blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        evicted = []
        while len(self._cache) > CACHE_BLOCKS:
            evicted.append(self._cache.popitem(last=False)[0])
        for change, blocks in (
            (CacheChange.STORED, new),
            (CacheChange.REMOVED, tuple(evicted)),
        ):
            if blocks:
                self._sequence += 1
                now = self._replay.timers.now()
                self._replay.on_cache_event(
                    CacheEvent(self.name, self._sequence, change, blocks, now)
                )


class RoutingReplay:
    """Replays one trace with one routing policy.

    Args:
      trace: Decoded trace.
      policy: Name of the routing policy.
      seed: Seed of the arrivals and of the routing choices.
      index_sources: Sources of the prefix index in addition to the requests
          that the node dispatched: `answers` and `events`.
    """

    def __init__(
        self,
        trace: dict[str, Any],
        policy: str,
        seed: int,
        index_sources: Collection[str] = ENTRY_INDEX_SOURCES,
    ) -> None:
        self._index_sources = index_sources
        self._trace = trace
        self._rng = random.Random(seed)
        # A separate generator keeps the arrivals the same for each policy.
        self._event_rng = random.Random(seed + 1)
        self.timers = ManualTimers()
        self.outcome = RoutingOutcome()
        self._engines = {
            name: _Engine(name, zone, self)
            for name, zone in trace["engines"].items()
        }
        self._configuration = self._make_configuration()
        self._route = self._configuration.routes["chat"]
        zones = sorted(set(trace["engines"].values()))
        self._pools = []
        for node in range(trace["nodes"]):
            pool = EndpointPool(
                f"node-{node}",
                zones[node % len(zones)],
                SUBSET_SIZE,
                self.timers,
                policy,
                rng=random.Random(seed * 100 + node),
            )
            pool.apply(self._configuration)
            self._pools.append(pool)
        self._computed_blocks: set[int] = set()
        self._prompts: dict[str, Prompt] = {}
        self._requests = 0

    def _make_configuration(self) -> Configuration:
        return parse_configuration(
            {
                "generation": 1,
                "organisations": {
                    name: {"key_sha256": [], **values.get("preferences", {})}
                    for name, values in self._trace["organisations"].items()
                },
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
                    name: {
                        "url": f"http://{name}:1",
                        "zone": engine.zone,
                        "deployment": "d",
                        "version": "v1",
                    }
                    for name, engine in self._engines.items()
                },
            }
        )

    def run(self) -> RoutingOutcome:
        """Replays the whole trace and returns the measurements."""
        for at_s, organisation, prompt, tokens in self._arrivals():
            self.timers.call_later(
                at_s,
                lambda o=organisation, p=prompt, t=tokens: self._arrive(
                    o, p, t, self._rng.randrange(len(self._pools))
                ),
            )
        for event in self._trace["events"]:
            handler = self._reclaim if "zone" in event else self._restart
            self.timers.call_later(
                event["at_s"], lambda h=handler, e=event: h(e)
            )
        for index, pool in enumerate(self._pools):
            self._poll_load(pool, 0)
            offset_s = READ_PERIOD_S * index / len(self._pools)
            self.timers.call_later(
                offset_s, lambda pool=pool: self._update_vm_list(pool)
            )
        self.timers.advance(self._trace["end_s"])
        return self.outcome

    def _arrivals(self) -> Iterator[tuple[float, str, Prompt, int]]:
        """Yields arrival time, organisation, prompt and completion tokens."""
        organisations = self._trace["organisations"]
        weights = [values["weight"] for values in organisations.values()]
        rng, at_s = self._rng, 0.0
        conversations: dict[str, list[str]] = {}
        arrive_until_s = self._trace["arrive_until_s"]
        while True:
            peak = self._trace["peak"]
            rate = self._trace["requests_per_s"]
            if peak["from_s"] <= at_s < peak["to_s"]:
                rate = peak["requests_per_s"]
            at_s += rng.expovariate(rate)
            if at_s >= arrive_until_s:
                return
            (name,) = rng.choices(list(organisations), weights)
            contexts = organisations[name]["contexts"]
            recent = conversations.setdefault(name, [])
            if recent and rng.random() < self._trace["follow_up_part"]:
                index = rng.randrange(len(recent))
                text = recent[index] + _random_text(rng, 2)
                recent[index] = text
            else:
                context = rng.randrange(contexts)
                blocks = 8 + 3 * (context % 8)
                text = _random_text(random.Random(f"{name}/{context}"), blocks)
                text += _random_text(rng, 1)
                recent.append(text)
                del recent[:-MAX_CONVERSATIONS]
            yield at_s, name, digest_text(text), rng.randint(*COMPLETION_TOKENS)

    def _arrive(
        self, organisation: str, prompt: Prompt, tokens: int, node: int
    ) -> None:
        pool = self._pools[node]
        self._requests += 1
        request = RequestContext(
            request_id=str(self._requests),
            organisation=organisation,
            route_name="chat",
            route=self._route,
            deadline_s=self.timers.now() + REQUEST_TIMEOUT_S,
            prompt=prompt,
        )
        self.outcome.prompt_tokens += prompt.tokens
        now, refused = self.timers.now(), []
        while True:
            try:
                view = pool.choose(request, refused)
            except NoEndpointError:
                self.outcome.violations.append(
                    f"{now:.1f} s: no endpoint available"
                )
                return
            engine = self._engines[view.name]
            since_s = engine.leaving_since_s
            if since_s is None:
                break
            if now - since_s > MAX_LEAVING_DELAY_S:
                self.outcome.violations.append(
                    f"{now:.1f} s: {view.name} is leaving but got a new request"
                )
            pool.mark_leaving(view.name)
            refused.append(view.name)
            self.outcome.retried += 1
        view.in_flight += 1
        job = _Job(prompt, tokens, now, node, view, request)
        delay_s = CROSS_ZONE_DELAY_S * (pool._zone != engine.zone)
        self.timers.call_later(delay_s, lambda: engine.submit(job))

    def on_prefill(self, prompt: Prompt, cached: int) -> None:
        """Counts the recomputed tokens of a prefill."""
        missing = prompt.blocks[cached:]
        recomputed = sum(block in self._computed_blocks for block in missing)
        self.outcome.recomputed_tokens += recomputed * BLOCK_TOKENS
        self._computed_blocks.update(missing)

    def on_first_token(self, job: _Job) -> None:
        """Records the time to first token."""
        elapsed_s = job.first_token_at_s - job.arrived_s
        self.outcome.first_token_s.append(elapsed_s)
        self.outcome.in_time += elapsed_s <= self._trace["target_s"]

    def on_done(self, job: _Job) -> None:
        """Records a completed request."""
        job.view.in_flight -= 1
        pool = self._pools[job.node]
        pool.on_success(job.view.name)
        if "answers" in self._index_sources:
            # The final chunk reports the usage; some engines report it only
            # there.
            usage = PromptUsage(
                job.prompt.tokens,
                job.cached * BLOCK_TOKENS,
            )
            pool.on_usage(
                job.view.name,
                job.request,
                usage,
                job.arrived_s,
            )
        self.outcome.answered += 1
        elapsed_s = self.timers.now() - job.first_token_at_s
        self.outcome.token_s.append(elapsed_s / job.tokens)

    def on_cache_event(self, event: CacheEvent) -> None:
        """Delivers a cache event with a random delay or drops it."""
        self.outcome.event_blocks[event.change] += len(event.blocks)
        if "events" not in self._index_sources:
            return
        for pool in self._pools:
            policy = pool._policy
            if not isinstance(policy, PrefixAware):
                return
            if self._event_rng.random() < EVENT_LOSS_PROBABILITY:
                continue
            self.timers.call_later(
                self._event_rng.uniform(*EVENT_DELAY_S),
                lambda index=policy.index: index.on_event(
                    event, self.timers.now()
                ),
            )

    def _poll_load(self, pool: EndpointPool, poll_number: int) -> None:
        names = sorted(pool.views)
        name = names[poll_number % len(names)]
        running, waiting = self._engines[name].load
        pool.on_load(name, running, waiting, self.timers.now())
        self.timers.call_later(
            1 / POLLS_PER_S, lambda: self._poll_load(pool, poll_number + 1)
        )

    def _update_vm_list(self, pool: EndpointPool) -> None:
        pool.on_vm_list(
            [
                ListedVm(
                    name,
                    f"{name}:1",
                    engine.zone,
                    engine.leaving_since_s is not None,
                )
                for name, engine in self._engines.items()
            ]
        )
        self.timers.call_later(
            READ_PERIOD_S, lambda: self._update_vm_list(pool)
        )

    def _restart(self, event: dict[str, Any]) -> None:
        self._engines[event["restarted"]].lose_cache()

    def _reclaim(self, event: dict[str, Any]) -> None:
        for engine in self._engines.values():
            if engine.zone == event["zone"]:
                engine.leaving_since_s = self.timers.now()


def _random_text(rng: random.Random, blocks: int) -> str:
    return "".join(
        f"{rng.getrandbits(64):<{BLOCK_CHARACTERS}}" for _ in range(blocks)
    )


def load_trace(path: str | pathlib.Path) -> dict[str, Any]:
    """Loads a recorded trace."""
    return json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
