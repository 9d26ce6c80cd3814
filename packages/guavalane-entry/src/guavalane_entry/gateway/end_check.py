"""Check of response bodies that end with their connection."""

from __future__ import annotations

from guavalane_core.forwarding import CallerRequest
from guavalane_entry.gateway.components import GatewayComponents
from guavalane_entry.gateway.endpoint_client import (
    BrokenResponseError,
    EndpointResponse,
)
from guavalane_entry.gateway.progress import AttemptState
from guavalane_entry.response_end import (
    Reachability,
    ResponseEnd,
    probe_after_end,
)

# Time that is left for the end of the response after the check, in seconds.
END_MARGIN_S = 0.02


class EndCheck:
    """Distinguishes a complete body from one whose endpoint was killed.

    Both end in order if nothing else delimits the body, but nothing listens on
    the port of a process that has ended. An endpoint that leaves as planned
    listens for longer than it serves, so a refused connection means the same
    there. A body is complete unless the connection is refused: a silent
    endpoint may only have lost a packet.

    Args:
      components: Components of the node.
      request: Request.
      deadline_s: Deadline of the request on the monotonic clock.
    """

    def __init__(
        self,
        components: GatewayComponents,
        request: CallerRequest,
        deadline_s: float,
    ) -> None:
        self._components = components
        self._request = request
        self._deadline_s = deadline_s

    async def check(
        self, attempt: AttemptState, response: EndpointResponse
    ) -> None:
        """Checks a body that was read to its end.

        Raises:
          BrokenResponseError: The endpoint has ended, and the body may be
              incomplete.
        """
        if response.end is not ResponseEnd.CONNECTION:
            return
        endpoint = attempt.endpoint
        reachability = await probe_after_end(
            self._components.view.timers,
            lambda: self._components.endpoint_client.probe(endpoint),
            self._left_s() - END_MARGIN_S,
        )
        self._components.metrics.count("end_checks", reachability.value)
        self._components.log.request(
            "attempt.end_checked",
            self._request.request_id,
            endpoint=endpoint.endpoint_id,
            reachability=reachability.value,
        )
        if reachability is Reachability.REFUSES:
            raise BrokenResponseError(
                "the endpoint has ended with the connection of its response"
            )

    def _left_s(self) -> float:
        view = self._components.view
        left_s = self._deadline_s - view.timers.now()
        return min(left_s, view.stop_deadline.left_s)
