"""Lookup of routes and organisations."""

from __future__ import annotations

import random

from guavalane_core.forwarding.configuration import (
    ForwardingConfiguration,
    Organisation,
    Route,
)


class RouteTable:
    """Index of routes and keys of one configuration version.

    Args:
      configuration: Configuration to index.
    """

    def __init__(self, configuration: ForwardingConfiguration) -> None:
        self._configuration = configuration
        self._routes: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._organisations = {
            key: organisation
            for organisation in configuration.organisations or ()
            for key in organisation.keys
        }

    @property
    def configuration(self) -> ForwardingConfiguration:
        """Indexed configuration."""
        return self._configuration

    @property
    def needs_keys(self) -> bool:
        """Whether routes that are not public require a key."""
        return self._configuration.organisations is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_organisation(self, key: str | None) -> Organisation | None:
        """Returns the organisation that holds a key."""
        return self._organisations.get(key) if key else None

    def named_organisation(self, name: str) -> Organisation | None:
        """Returns the organisation with this name."""
        for organisation in self._configuration.organisations or ():
            if organisation.name == name:
                return organisation
        return None

    def choose_service(self, route: Route, rng: random.Random) -> str | None:
        """Returns a service of the route, chosen at random by weight."""
        shares = [share for share in route.shares if share.weight > 0]
        if not shares:
            return None
        weights = [share.weight for share in shares]
        return rng.choices(shares, weights)[0].service
