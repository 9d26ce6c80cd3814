"""Load and speed that endpoints state in their responses."""

from __future__ import annotations

import math
import re

import attrs

from guavalane_core.forwarding.configuration import Engine

# Larger counts of requests or slots are taken for a mistake.
MAX_COUNT = 100_000
# Range of the fourth figure in percent. Values outside it are ignored, as no VM
# that serves requests is that fast or slow.
MIN_PERCENT = 1.0
MAX_PERCENT = 10_000.0
# Time constant with which the latest figure gives way to the average, in
# seconds. The figure changes many times a second.
LATEST_FADING_S = 0.2
# Time constant of the average over the figures, in seconds. A node of a large
# fleet gets a response of an endpoint every few seconds; a shorter average
# would be little more than the last of them.
AVERAGE_S = 20.0
# Time constant with which the average of an endpoint without responses returns
# to the usual speed, in seconds, so that it gets a request now and then.
RETURN_S = 30.0
# Age from which nothing is known of the speed, in seconds.
MAX_SPEED_AGE_S = 60.0
# Age up to which the stated requests are used, in seconds. The reports of the
# other nodes are as old.
MAX_LOAD_AGE_S = 0.25
# Endpoints beyond this number are forgotten, those without a response for the
# longest time first.
MAX_ENDPOINTS = 16_384
_COUNT = re.compile(r"[0-9]{1,9}", re.ASCII)
_PERCENT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
# Value of the fourth figure at the usual speed.
USUAL_PERCENT = 100.0


@attrs.frozen
class ServerLoad:
    """Figures in a response.

    Attributes:
      running: Running requests.
      waiting: Waiting requests.
      slots: Slots.
      slowdown: Time that work takes as a multiple of the usual; None if it is
          not stated or out of range.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None

    @classmethod
    def parse(cls, text: str | None) -> ServerLoad | None:
        """Parses a header value; returns None unless it has valid counts."""
        fields = [f.strip() for f in text.split(",", 4)] if text else []
        if len(fields) not in (3, 4):
            return None
        if not all(_COUNT.fullmatch(field) for field in fields[:3]):
            return None
        running, waiting, slots = (int(field) for field in fields[:3])
        if max(running, waiting, slots) > MAX_COUNT or slots == 0:
            return None
        slowdown = _parse_slowdown(fields[3]) if len(fields) == 4 else None
        return cls(running, waiting, slots, slowdown)


def has_room(
    load: ServerLoad,
    engine: Engine | None,
    tokens: int,
    *,
    is_estimate: bool = False,
) -> bool:
    """Returns whether an endpoint could have run a request that it rejected.

    An engine is full as well if the memory of its prompts is, which is not
    stated. With half of its slots free, and the request in half of its memory,
    it is taken to have room.

    Args:
      load: Load at the rejection, without the request.
      engine: Engine of the service; None if it has none.
      tokens: Tokens of the request, with its output.
      is_estimate: Whether the load is the nodes' count instead of what the
          endpoint stated. Reports of other nodes are late.
    """
    margin = 1 if engine is None and not is_estimate else 2
    has_memory = engine is None or 2 * tokens <= engine.kv_tokens
    is_idle = load.waiting == 0 and margin * load.running < load.slots
    return is_idle and has_memory


def _parse_slowdown(text: str) -> float | None:
    if not _PERCENT.fullmatch(text):
        return None
    percent = float(text)
    if not MIN_PERCENT <= percent <= MAX_PERCENT:
        return None
    return percent / USUAL_PERCENT


@attrs.frozen
class Figures:
    """What the responses of an endpoint tell now.

    Attributes:
      slowdown: Expected time of work as a multiple of the usual; None if it is
          not known.
      requests: Requests at the endpoint; None if they are not known.
    """

    slowdown: float | None = None
    requests: int | None = None


UNKNOWN = Figures()


@attrs.define
class _StatedFigures:
    """Figures that one endpoint stated, with their times.

    Attributes:
      requests: Requests that it stated last.
      own_requests: Requests of this node among them.
      stated_s: Monotonic time of that statement.
      slowdown: Slowdown that it stated last; None if it never did.
      average: Average of the slowdowns.
      slowdown_s: Monotonic time of the last slowdown.
    """

    requests: int = 0
    own_requests: int = 0
    stated_s: float = -math.inf
    slowdown: float | None = None
    average: float = 1.0
    slowdown_s: float = -math.inf


class ServerLoads:
    """Latest figures of each endpoint with their age."""

    def __init__(self) -> None:
        self._figures: dict[str, _StatedFigures] = {}

    def observe(
        self, endpoint: str, load: ServerLoad, own_requests: int, now_s: float
    ) -> None:
        """Records the figures in a response.

        Args:
          endpoint: Endpoint.
          load: Figures.
          own_requests: Requests of this node at the endpoint, including the
              one that is answered.
          now_s: Monotonic time in seconds.
        """
        figures = self._figures.pop(endpoint, None) or _StatedFigures()
        # The endpoint that was heard of longest ago comes first.
        self._figures[endpoint] = figures
        if len(self._figures) > MAX_ENDPOINTS:
            del self._figures[next(iter(self._figures))]
        figures.requests = load.running + load.waiting
        figures.own_requests = own_requests
        figures.stated_s = now_s
        if load.slowdown is None:
            return
        if figures.slowdown is None:
            figures.average = load.slowdown
        else:
            elapsed_s = now_s - figures.slowdown_s
            weight = 1.0 - math.exp(-elapsed_s / AVERAGE_S)
            figures.average += weight * (load.slowdown - figures.average)
        figures.slowdown = load.slowdown
        figures.slowdown_s = now_s

    def slowdown(self, endpoint: str, now_s: float) -> float | None:
        """Returns the expected time of work as a multiple of the usual.

        It goes from the latest figure to the average and then to the usual.

        Returns:
          Multiple; None if nothing recent is known.
        """
        figures = self._figures.get(endpoint)
        if figures is None or figures.slowdown is None:
            return None
        age_s = now_s - figures.slowdown_s
        if age_s > MAX_SPEED_AGE_S:
            return None
        average = 1.0 + (figures.average - 1.0) * math.exp(-age_s / RETURN_S)
        weight = math.exp(-age_s / LATEST_FADING_S)
        return weight * figures.slowdown + (1.0 - weight) * average

    def requests(
        self, endpoint: str, own_requests: int, now_s: float
    ) -> int | None:
        """Returns the requests at an endpoint by its latest response.

        Args:
          endpoint: Endpoint.
          own_requests: Requests of this node at the endpoint now.
          now_s: Monotonic time in seconds.

        Returns:
          Stated requests with the change by this node since; None if the
          response is too old.
        """
        figures = self._figures.get(endpoint)
        if figures is None or now_s - figures.stated_s > MAX_LOAD_AGE_S:
            return None
        change = own_requests - figures.own_requests
        return max(own_requests, figures.requests + change)

    def figures(
        self, endpoint: str, own_requests: int, now_s: float
    ) -> Figures:
        """Returns what is known of an endpoint; see the methods above."""
        if endpoint not in self._figures:
            return UNKNOWN
        return Figures(
            self.slowdown(endpoint, now_s),
            self.requests(endpoint, own_requests, now_s),
        )

    def known(self, now_s: float) -> dict[str, float]:
        """Returns the expected slowdown of the endpoints with a known one."""
        slowdowns = {e: self.slowdown(e, now_s) for e in self._figures}
        return {e: s for e, s in slowdowns.items() if s is not None}

    def forget(self, endpoint: str) -> None:
        """Discards the figures of an endpoint that was removed or restarted."""
        self._figures.pop(endpoint, None)
