"""Check of response bodies that end with their connection."""

from __future__ import annotations

from collections.abc import Callable

from guavalane_core.forwarding import CallerRequest, Endpoint
from guavalane_core.forwarding.body_end import is_cut_off
from guavalane_entry.gateway.admission import AdmittedRequest
from guavalane_entry.gateway.components import GatewayComponents
from guavalane_entry.gateway.endpoint_client import (
    BrokenResponseError,
    EndpointResponse,
)
from guavalane_entry.gateway.progress import AttemptState
from guavalane_entry.response_end import ResponseEnd, probe_after_end

# Time for which an endpoint that leaves as planned serves on at least after its
# entry was removed, in seconds. The operators state 2 s and more.
MIN_LEAVING_S = 1.0


class EndCheck:
    """Tells a complete body from one whose endpoint was killed.

    Both end in order if nothing else delimits the body. The check opens a
    connection to the endpoint, which takes one round trip and no slot; only
    the end of the response is delayed by it.

    Args:
      components: Components of the node.
      request: Request.
      admitted: Result of the admission.
      can_continue: Returns whether another endpoint could go on with the
          request in time.
    """

    def __init__(
        self,
        components: GatewayComponents,
        request: CallerRequest,
        admitted: AdmittedRequest,
        can_continue: Callable[[], bool],
    ) -> None:
        self._components = components
        self._request = request
        self._admitted = admitted
        self._can_continue = can_continue

    async def check(
        self, attempt: AttemptState, response: EndpointResponse
    ) -> None:
        """Checks a body that was read to its end.

        Raises:
          BrokenResponseError: The body counts as incomplete.
        """
        if response.end is not ResponseEnd.CONNECTION:
            return
        endpoint = attempt.endpoint
        directory = self._components.view.directory
        leaving = self._is_leaving(endpoint)
        reachability = await probe_after_end(
            self._components.view.timers,
            lambda: self._components.endpoint_client.probe(endpoint),
        )
        known = directory.get(endpoint.endpoint_id)
        restarted = known is not None and known.process != endpoint.process
        is_cut = is_cut_off(
            reachability,
            restarted=restarted,
            leaving=leaving,
            can_repeat=self._admitted.route.repeatable and self._can_continue(),
        )
        self._components.metrics.count("end_checks", reachability.value)
        self._components.log.request(
            "attempt.end_checked",
            self._request.request_id,
            endpoint=endpoint.endpoint_id,
            reachability=reachability.value,
            restarted=restarted,
            leaving=leaving,
            complete=not is_cut,
        )
        if is_cut:
            raise BrokenResponseError(
                "the endpoint may have been killed at the end of its connection"
                f" ({reachability.value})"
            )

    def _is_leaving(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint has left, or leaves, as planned.

        The entry of a killed endpoint may be removed in the same moment.
        """
        directory = self._components.view.directory
        known = directory.get(endpoint.endpoint_id)
        if known is not None:
            return known.leaving
        removed_s = directory.removed_s(endpoint)
        now_s = self._components.view.timers.now()
        return removed_s is None or now_s - removed_s >= MIN_LEAVING_S
