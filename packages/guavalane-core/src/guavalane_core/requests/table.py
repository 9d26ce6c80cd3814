"""Lookup of organisations and routes in a configuration."""

from __future__ import annotations

import hashlib

from guavalane_core.configuration import Configuration, Route
from guavalane_core.exceptions import (
    ForbiddenRouteError,
    UnauthorizedError,
    UnknownRouteError,
)
from guavalane_core.header_text import encode_header


def digest_key(key: str) -> str:
    """Returns the digest of a caller's key as listed in a configuration.

    Args:
      key: Key as read from a header, of any bytes.
    """
    return hashlib.sha256(encode_header(key)).hexdigest()


class RouteTable:
    """Finds the organisation of a key and the route of a request.

    Args:
      configuration: Active configuration.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._organisations = {
            digest: name
            for name, organisation in configuration.organisations.items()
            for digest in organisation.key_sha256
        }
        self._models = {
            route.model: name
            for name, route in configuration.routes.items()
            if route.kind == "model"
        }
        # Longest prefix first, so that the most specific route matches.
        self._paths = sorted(
            (
                (route.path, name)
                for name, route in configuration.routes.items()
                if route.kind == "service"
            ),
            key=lambda item: -len(item[0]),
        )

    def authenticate(self, key: str) -> str:
        """Returns the name of the organisation that a key belongs to.

        Raises:
          UnauthorizedError: The key is unknown.
        """
        organisation = self._organisations.get(digest_key(key))
        if organisation is None:
            raise UnauthorizedError("unknown organisation key", not_run=True)
        return organisation

    def model_route(self, model: str, organisation: str) -> tuple[str, Route]:
        """Returns the name and route of a model.

        Raises:
          UnknownRouteError: No route serves this model.
          ForbiddenRouteError: The organisation may not use the route.
        """
        name = self._models.get(model)
        if name is None:
            raise UnknownRouteError(f"unknown model {model!r}", not_run=True)
        return name, self._allowed(name, organisation)

    def service_route(self, path: str, organisation: str) -> tuple[str, Route]:
        """Returns the name and route of a path.

        Raises:
          UnknownRouteError: No route matches this path.
          ForbiddenRouteError: The organisation may not use the route.
        """
        for prefix, name in self._paths:
            if path == prefix or path.startswith(prefix.rstrip("/") + "/"):
                return name, self._allowed(name, organisation)
        raise UnknownRouteError(f"no route for {path!r}", not_run=True)

    def named_route(self, name: str) -> Route:
        """Returns the route with a name.

        Raises:
          UnknownRouteError: No route has this name.
        """
        route = self._configuration.routes.get(name)
        if route is None:
            raise UnknownRouteError(f"unknown route {name!r}", not_run=False)
        return route

    def _allowed(self, name: str, organisation: str) -> Route:
        route = self._configuration.routes[name]
        if route.organisations and organisation not in route.organisations:
            raise ForbiddenRouteError(
                f"{organisation} may not use route {name}", not_run=True
            )
        return route
