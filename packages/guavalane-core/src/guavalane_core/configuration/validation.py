"""Validation of a configuration beyond the schema."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from guavalane_core.configuration.generated import Configuration
from guavalane_core.exceptions import ConfigurationError
from guavalane_core.schema import options

# Shares have few digits, so their sum may differ slightly from 1.
SHARE_TOLERANCE = 1e-6


def parse_configuration(data: Mapping[str, Any]) -> Configuration:
    """Returns a validated configuration from plain data.

    Raises:
      ConfigurationError: The data are invalid; lists all errors.
    """
    configuration = options.build(Configuration, data)
    errors = [
        *_check_routes(configuration),
        *_check_deployments(configuration),
        *_check_endpoints(configuration),
        *_check_fleets(configuration),
    ]
    if errors:
        raise ConfigurationError(errors)
    return configuration


def _unknown_name(path: str, noun: str, name: str, known: Mapping) -> str:
    allowed = ", ".join(sorted(known)) or "none is defined"
    return f"{path}: unknown {noun} {name!r}; allowed: {allowed}"


def _check_routes(configuration: Configuration) -> list[str]:
    errors = []
    selectors: dict[tuple[str, str], str] = {}
    for name, route in configuration.routes.items():
        path = f"routes.{name}"
        if route.deployment not in configuration.deployments:
            errors.append(
                _unknown_name(
                    f"{path}.deployment",
                    "deployment",
                    route.deployment,
                    configuration.deployments,
                )
            )
        if (route.kind, route.request_class) == ("model", "at_most_once"):
            # An interrupted stream is resumed on another engine, which
            # at-most-once semantics forbid.
            errors.append(
                f"{path}.request_class: at_most_once needs kind service"
            )
        key = "model" if route.kind == "model" else "path"
        selector = getattr(route, key)
        if not selector:
            errors.append(f"{path}.{key}: missing for kind {route.kind}")
        elif (key, selector) in selectors:
            other = selectors[key, selector]
            errors.append(f"{path}.{key}: {selector!r} is used by {other}")
        selectors[key, selector] = path
        errors += [
            _unknown_name(
                f"{path}.organisations",
                "organisation",
                organisation,
                configuration.organisations,
            )
            for organisation in route.organisations
            if organisation not in configuration.organisations
        ]
    return errors


def _check_deployments(configuration: Configuration) -> list[str]:
    errors = []
    for name, deployment in configuration.deployments.items():
        path = f"deployments.{name}"
        if not deployment.versions:
            errors.append(f"{path}.versions: at least one is needed")
            continue
        total = sum(v.share for v in deployment.versions.values())
        if abs(total - 1) > SHARE_TOLERANCE:
            errors.append(f"{path}.versions: shares add up to {total}, not 1")
        if deployment.move is not None:
            for key in ("old", "new"):
                version = getattr(deployment.move, key)
                if version not in deployment.versions:
                    errors.append(
                        _unknown_name(
                            f"{path}.move.{key}",
                            "version",
                            version,
                            deployment.versions,
                        )
                    )
    return errors


def _check_endpoints(configuration: Configuration) -> list[str]:
    errors = []
    for name, endpoint in configuration.endpoints.items():
        path = f"endpoints.{name}"
        deployment = configuration.deployments.get(endpoint.deployment)
        if deployment is None:
            errors.append(
                _unknown_name(
                    f"{path}.deployment",
                    "deployment",
                    endpoint.deployment,
                    configuration.deployments,
                )
            )
        elif endpoint.version not in deployment.versions:
            errors.append(
                _unknown_name(
                    f"{path}.version",
                    "version",
                    endpoint.version,
                    deployment.versions,
                )
            )
    return errors


def _check_fleets(configuration: Configuration) -> list[str]:
    errors = []
    for name, fleet in configuration.fleets.items():
        path = f"fleets.{name}"
        if name not in configuration.deployments:
            errors.append(
                _unknown_name(
                    path, "deployment", name, configuration.deployments
                )
            )
        seen = set()
        for index, price in enumerate(fleet.prices):
            at = f"{path}.prices[{index}]"
            if price.vm_class not in fleet.classes:
                errors.append(
                    _unknown_name(
                        f"{at}.vm_class",
                        "VM class",
                        price.vm_class,
                        fleet.classes,
                    )
                )
            key = (price.zone, price.vm_class, price.reclaimable)
            if key in seen:
                errors.append(f"{at}: this kind of VM is listed twice")
            seen.add(key)
    return errors
