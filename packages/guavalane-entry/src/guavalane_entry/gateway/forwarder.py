"""Entry point for caller requests."""

from __future__ import annotations

from guavalane_core.forwarding import CallerRequest
from guavalane_entry.gateway.admission import AdmittedRequest, admit
from guavalane_entry.gateway.components import GatewayComponents
from guavalane_entry.gateway.errors import QuarantinedError, RefusalError
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
            await refuse(self._components, request, reply, error)
            return
        await Exchange(self._components, request, admitted, reply).run()

    def _admit(self, request: CallerRequest) -> AdmittedRequest:
        view = self._components.view
        try:
            return admit(view, request)
        except QuarantinedError as error:
            if not self._components.quarantine.take_trial(error.quarantine):
                raise
        return admit(view, request, is_trial=True)
