"""Pool of the endpoints that this node uses."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection
from urllib.parse import urlsplit

from loguru import logger as log

from guavalane_core.configuration import Configuration, Endpoint, Organisation
from guavalane_core.exceptions import AttemptError, NoEndpointError
from guavalane_core.requests import RequestContext
from guavalane_core.requests.prompt import digest_chat
from guavalane_core.routing import (
    POLICIES,
    EndpointView,
    OutlierEjector,
    choose_subset,
    filter_preferred,
)
from guavalane_core.streams import PromptUsage
from guavalane_core.timers import Timers
from guavalane_entry.fleet.vm_list import ListedVm

Shares = Callable[[str], dict[str, float]]


class EndpointPool:
    """Keeps the state of endpoints and selects one per attempt.

    Args:
      node: Name of this node.
      zone: Availability zone of this node.
      subset_size: Maximum number of endpoints per deployment.
      timers: Timer service.
      policy: Name of the routing policy.
      shares: Returns the traffic share of each version of a deployment;
          defaults to those of the configuration.
      rng: Source of random choices.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        subset_size: int,
        timers: Timers,
        policy: str = "least_loaded",
        shares: Shares | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._node = node
        self._zone = zone
        self._subset_size = subset_size
        self._timers = timers
        self._rng = rng or random.Random()
        self._policy = POLICIES.get(policy)(self._rng, zone, self._organisation)
        self._ejector = OutlierEjector()
        self._views: dict[str, EndpointView] = {}
        self._subsets: dict[str, list[str]] = {}
        self._listed_leaving: set[str] = set()
        self._arrivals: Counter[tuple[str, str]] = Counter()
        self._configuration = Configuration()
        self._shares = shares or self._configured_shares

    @property
    def views(self) -> dict[str, EndpointView]:
        """Views of the endpoints that this node uses, by name."""
        return self._views

    def apply(self, configuration: Configuration) -> None:
        """Applies a new configuration; unchanged endpoints keep their state."""
        self._configuration = configuration
        members: dict[str, dict[str, Endpoint]] = {}
        for name, endpoint in configuration.endpoints.items():
            members.setdefault(endpoint.deployment, {})[name] = endpoint
        organisations = configuration.organisations.values()
        zones = {z for o in organisations for z in o.zones}
        classes = {c for o in organisations for c in o.vm_classes}
        views = {}
        self._subsets = {}
        for deployment in configuration.deployments:
            subset = choose_subset(
                self._node,
                self._zone,
                members.get(deployment, {}),
                self._subset_size,
                zones,
                classes,
            )
            self._subsets[deployment] = subset
            for name in subset:
                views[name] = self._update_view(
                    name, configuration.endpoints[name]
                )
        for name in self._views.keys() - views.keys():
            self._discard_state(name)
        self._views = views

    def _update_view(self, name: str, endpoint: Endpoint) -> EndpointView:
        view = self._views.get(name)
        if view is not None and view.endpoint.url == endpoint.url:
            if view.endpoint.version != endpoint.version:
                self._policy.forget(name)
            view.endpoint = endpoint
            return view
        if view is not None:
            self._discard_state(name)
        return EndpointView(name, endpoint)

    def _discard_state(self, name: str) -> None:
        self._policy.forget(name)
        self._ejector.forget(name)
        self._listed_leaving.discard(name)

    def count_arrival(self, request: RequestContext) -> None:
        """Counts a request towards the load used in fleet planning."""
        self._arrivals[request.route.deployment, request.organisation] += 1

    def take_arrivals(self) -> Counter[tuple[str, str]]:
        """Returns and resets the arrivals by deployment and organisation."""
        taken, self._arrivals = self._arrivals, Counter()
        return taken

    def choose(
        self, request: RequestContext, excluded: Collection[str] = ()
    ) -> EndpointView:
        """Returns the endpoint for the next attempt.

        Args:
          request: Request to place.
          excluded: Endpoints that failed this request.

        Raises:
          NoEndpointError: No endpoint is available.
        """
        now = self._timers.now()
        present = [
            view
            for name in self._subsets.get(request.route.deployment, ())
            if not (view := self._views[name]).leaving
        ]
        held = self._ejector.held([view.name for view in present], now)
        usable = [view for view in present if view.name not in excluded]
        # Ejected endpoints are used if no other is left.
        usable = [v for v in usable if v.name not in held] or usable
        usable = self._with_version(request, usable)
        if not usable:
            raise NoEndpointError(
                f"no endpoint of {request.route.deployment} is available",
                not_run=not request.sent,
            )
        if not self._policy.ranks_preferences:
            organisation = self._organisation(request.organisation)
            usable = filter_preferred(usable, organisation)
        if (
            request.prompt is None
            and request.route.kind == "model"
            and self._policy.uses_prompt
        ):
            request.prompt = digest_chat(request.body)
        chosen = self._policy.choose(request, usable, now)
        self._ejector.on_dispatch(chosen.name, now)
        return chosen

    def _with_version(
        self, request: RequestContext, views: list[EndpointView]
    ) -> list[EndpointView]:
        present = {view.endpoint.version for view in views}
        shares = {
            name: share
            for name, share in self._shares(request.route.deployment).items()
            if name in present and share > 0
        }
        if not shares:
            return []
        (chosen,) = self._rng.choices(list(shares), list(shares.values()))
        return [view for view in views if view.endpoint.version == chosen]

    def _configured_shares(self, deployment: str) -> dict[str, float]:
        found = self._configuration.deployments.get(deployment)
        if found is None:
            return {}
        return {name: v.share for name, v in found.versions.items()}

    def _organisation(self, name: str) -> Organisation | None:
        return self._configuration.organisations.get(name)

    def state(self, name: str) -> str:
        """Returns `closed`, `ejected` or `half_open` for an endpoint."""
        return self._ejector.state(name, self._timers.now())

    def on_success(self, name: str) -> None:
        """Records a successful attempt."""
        self._ejector.on_success(name)

    def on_failure(
        self, name: str, request: RequestContext, error: AttemptError
    ) -> None:
        """Records a failed attempt."""
        self._policy.on_failure(request, name)
        # Overloaded and leaving endpoints are not faulty, and failed
        # connections are recorded by `mark_unreachable`.
        if error.overloaded or error.leaving or not error.sent:
            return
        before = self.state(name)
        self._ejector.on_failure(name, self._timers.now())
        if before != "ejected" and self.state(name) == "ejected":
            log.warning(
                "endpoints: {} is ejected after repeated failures", name
            )

    def on_usage(
        self,
        name: str,
        request: RequestContext,
        usage: PromptUsage,
        sent_s: float,
    ) -> None:
        """Records the prompt token usage that an answer reports.

        Args:
          name: Name of the endpoint.
          request: Request that was answered.
          usage: Number of prompt tokens and of cached ones among them.
          sent_s: Monotonic time at which the attempt started, in seconds.
        """
        now = self._timers.now()
        self._policy.on_usage(request, name, usage, sent_s, now)

    def on_load(
        self, name: str, running: int, waiting: int, at_s: float
    ) -> None:
        """Records a load report.

        Args:
          name: Name of the endpoint.
          running: Running requests, from all nodes.
          waiting: Waiting requests, from all nodes.
          at_s: Monotonic time at which it was requested, in seconds.
        """
        view = self._views.get(name)
        if view is not None:
            view.report(running, waiting, at_s)

    def on_vm_list(self, vms: Collection[ListedVm]) -> None:
        """Applies the terminating states of the VM list.

        The list lags, so it does not override an endpoint that reported itself
        as leaving. Only if the list showed the VM as terminating and no longer
        does is the endpoint used again: its address belongs to a new VM.

        Args:
          vms: VMs of the list.
        """
        terminating = {vm.address: vm.leaving for vm in vms}
        for view in self._views.values():
            leaving = terminating.get(urlsplit(view.endpoint.url).netloc)
            if leaving:
                self._listed_leaving.add(view.name)
                self.mark_leaving(view.name)
            elif leaving is False and view.name in self._listed_leaving:
                self._discard_state(view.name)
                view.leaving = False
                log.info("endpoints: {} is back", view.name)

    def mark_leaving(self, name: str) -> None:
        """Excludes an endpoint from new requests because its VM is leaving."""
        view = self._views.get(name)
        if view is not None and not view.leaving:
            view.leaving = True
            log.info("endpoints: {} is leaving", name)

    def mark_unreachable(self, name: str) -> None:
        """Excludes an endpoint from new requests for a short time."""
        self._ejector.on_unreachable(name, self._timers.now())
        # An engine that restarts refuses connections and loses its cache. After
        # a network fault, usage reports restore the cache estimate.
        self._policy.forget(name)
