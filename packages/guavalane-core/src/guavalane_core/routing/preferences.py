"""Availability zone and VM class preferences of organisations."""

from __future__ import annotations

from collections.abc import Sequence

from guavalane_core.configuration import Organisation
from guavalane_core.routing.view import EndpointView

# Rank of a zone or class that the organisation does not list, and the largest
# rank of a listed one.
UNLISTED_RANK = 4


def matches(view: EndpointView, organisation: Organisation) -> bool:
    """Returns whether an endpoint matches the organisation's preferences."""
    zones, classes = organisation.zones, organisation.vm_classes
    return (not zones or view.endpoint.zone in zones) and (
        not classes or view.endpoint.vm_class in classes
    )


def filter_preferred(
    views: Sequence[EndpointView], organisation: Organisation | None
) -> Sequence[EndpointView]:
    """Returns the endpoints that match the organisation's preferences.

    All endpoints are returned if none matches, because a response from another
    zone is better than none.
    """
    if organisation is None:
        return views
    if not organisation.zones and not organisation.vm_classes:
        return views
    return [v for v in views if matches(v, organisation)] or views


def preference_rank(
    view: EndpointView, organisation: Organisation | None
) -> int:
    """Returns the preference rank of an endpoint; 0 is the most preferred."""
    if organisation is None:
        return 0
    total = 0
    for value, order in (
        (view.endpoint.zone, organisation.zones),
        (view.endpoint.vm_class, organisation.vm_classes),
    ):
        if order:
            listed = value in order
            position = order.index(value) if listed else UNLISTED_RANK
            total += min(position, UNLISTED_RANK)
    return total
