"""Routing policies and their registry."""

from __future__ import annotations

import abc
import random
from collections.abc import Callable, Sequence

from guavalane_core.configuration import Organisation
from guavalane_core.registry import Registry
from guavalane_core.requests import RequestContext
from guavalane_core.routing.view import EndpointView
from guavalane_core.streams import PromptUsage

OrganisationLookup = Callable[[str], Organisation | None]


def find_no_organisation(_: str) -> Organisation | None:
    """Returns None, so that no endpoint is preferred."""
    return None


class Policy(abc.ABC):
    """Chooses one of several endpoints.

    Args:
      rng: Random number generator.
      zone: Availability zone of this node.
      find_organisation: Returns an organisation by name.

    Attributes:
      uses_prompt: Whether the choice depends on the request's prompt.
      ranks_preferences: Whether the policy applies the organisation's
          preferences itself. Otherwise it receives only preferred endpoints.
    """

    uses_prompt = False
    ranks_preferences = False

    def __init__(
        self,
        rng: random.Random | None = None,
        zone: str = "",
        find_organisation: OrganisationLookup = find_no_organisation,
    ) -> None:
        self._rng = rng or random.Random()
        self._zone = zone
        self._find_organisation = find_organisation

    @abc.abstractmethod
    def choose(
        self,
        request: RequestContext,
        candidates: Sequence[EndpointView],
        now_s: float,
    ) -> EndpointView:
        """Returns one of the candidates, which must not be empty."""

    def on_failure(self, request: RequestContext, endpoint: str) -> None:
        """Records a failed attempt."""
        del request, endpoint

    def on_usage(
        self,
        request: RequestContext,
        endpoint: str,
        usage: PromptUsage,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Records the prompt usage that a response reports.

        Args:
          request: Request that was answered.
          endpoint: Name of the endpoint.
          usage: Number of prompt tokens and of cached prompt tokens.
          sent_s: Monotonic time at which the attempt started.
          now_s: Monotonic time in seconds.
        """
        del request, endpoint, usage, sent_s, now_s

    def forget(self, endpoint: str) -> None:
        """Discards the state of an endpoint that was removed or replaced."""
        del endpoint


POLICIES: Registry[type[Policy]] = Registry("routing policy")


def _load(view: EndpointView) -> int:
    return view.in_flight + view.reported_waiting


@POLICIES.register("least_loaded")
class LeastLoaded(Policy):
    """Chooses the endpoint with the fewest running and waiting requests."""

    def choose(
        self,
        request: RequestContext,
        candidates: Sequence[EndpointView],
        now_s: float,
    ) -> EndpointView:
        """Returns the least loaded candidate."""
        del request, now_s
        return min(candidates, key=lambda v: (_load(v), self._rng.random()))


@POLICIES.register("random_of_two")
class RandomOfTwo(Policy):
    """Chooses the less loaded of two random endpoints.

    This is the power-of-two-choices policy.
    """

    def choose(
        self,
        request: RequestContext,
        candidates: Sequence[EndpointView],
        now_s: float,
    ) -> EndpointView:
        """Returns the less loaded of two random candidates."""
        del request, now_s
        pair = self._rng.sample(list(candidates), min(2, len(candidates)))
        return min(pair, key=_load)
