"""Entry point for caller requests."""

from __future__ import annotations

from guavalane_core.forwarding import CallerRequest
from guavalane_entry.gateway.admission import (
    AdmittedRequest,
    admit,
    make_stopping_error,
    refund,
)
from guavalane_entry.gateway.components import GatewayComponents
from guavalane_entry.gateway.errors import (
    AllotmentSpentError,
    QuarantinedError,
    RefusalError,
)
from guavalane_entry.gateway.exchange import Exchange
from guavalane_entry.gateway.problems import refuse
from guavalane_entry.gateway.reply import Reply


class Forwarder:
    """Admits requests and forwards them to endpoints.

    Args:
      components: Components of the node.
    """

    def __init__(self, components: GatewayComponents) -> None:
        self._components = components

    async def forward(self, request: CallerRequest, reply: Reply) -> None:
        """Handles one request."""
        try:
            admitted = self._admit(request)
        except RefusalError as error:
            if isinstance(error, AllotmentSpentError):
                self._components.metrics.count("allotment_refusals", error.draw)
            await refuse(self._components, request, reply, error)
            return
        if admitted.wait_s > 0 and not await self._wait_for_units(
            request, admitted
        ):
            error = make_stopping_error(self._components.view)
            await refuse(self._components, request, reply, error)
            return
        await Exchange(self._components, request, admitted, reply).run()

    async def _wait_for_units(
        self, request: CallerRequest, admitted: AdmittedRequest
    ) -> bool:
        """Waits until the units of a request have flowed in.

        Returns:
          Whether they have; False if the node stops before. The units are
          refunded then, and also if the caller disconnects.
        """
        components = self._components
        route = admitted.route.name
        components.metrics.record("allotment_wait", route, admitted.wait_s)
        components.log.request(
            "request.delayed",
            request.request_id,
            route=route,
            units=admitted.units,
            wait_s=round(admitted.wait_s, 3),
        )
        view = components.view
        arrived = False
        try:
            async with view.stop_deadline.limit():
                await view.timers.sleep(admitted.wait_s)
            arrived = True
        except TimeoutError:
            pass
        finally:
            if not arrived:
                refund(view, admitted)
        return arrived

    def _admit(self, request: CallerRequest) -> AdmittedRequest:
        view = self._components.view
        try:
            return admit(view, request)
        except QuarantinedError as error:
            if not self._components.quarantine.take_trial(error.quarantine):
                raise
        return admit(view, request, is_trial=True)
