"""Zone and VM-class preferences of organisations."""

from __future__ import annotations

from collections.abc import Sequence

from guavalane_core.configuration import Organisation
from guavalane_core.routing.view import EndpointView

# Places by which an unlisted zone or class is behind the first.
UNLISTED_PLACES = 4


def matches(view: EndpointView, organisation: Organisation) -> bool:
    """Returns whether an organisation lists the endpoint's zone and class."""
    zones, classes = organisation.zones, organisation.vm_classes
    return (not zones or view.endpoint.zone in zones) and (
        not classes or view.endpoint.vm_class in classes
    )


def filter_preferred(
    views: Sequence[EndpointView], organisation: Organisation | None
) -> Sequence[EndpointView]:
    """Returns the views that an organisation prefers.

    If none is left, all are returned: an answer from another zone is better
    than none.
    """
    if organisation is None:
        return views
    if not organisation.zones and not organisation.vm_classes:
        return views
    return [v for v in views if matches(v, organisation)] or views


def rank(view: EndpointView, organisation: Organisation | None) -> int:
    """Returns the place of an endpoint in the preferences; 0 is first."""
    if organisation is None:
        return 0
    places = 0
    for value, order in (
        (view.endpoint.zone, organisation.zones),
        (view.endpoint.vm_class, organisation.vm_classes),
    ):
        if order:
            listed = value in order
            place = order.index(value) if listed else UNLISTED_PLACES
            places += min(place, UNLISTED_PLACES)
    return places
