"""Tests of changes that a relay passes on across eras of the object API."""

from __future__ import annotations

from guavalane_core.objects import (
    ObjectBatch,
    ObjectEvent,
    Position,
    StoredObject,
)
from guavalane_entry.relays.followed_kind import FollowedKind


def make_batch(version, *names):
    """Returns a batch with a change of each name."""
    events = tuple(
        ObjectEvent(StoredObject("servers", name, version, {}))
        for name in names
    )
    return ObjectBatch(events, version)


def make_followed():
    """Returns what a relay told in the first era, up to revision 20."""
    followed = FollowedKind(Position(1, 10), Position(1, 10))
    followed.append(Position(1, 10), make_batch("1.20", "old"))
    return followed


class TestEras:
    """Guards against changes that are counted in another history."""

    def test_changes_of_a_new_era_do_not_continue_the_old_one(self):
        followed = make_followed()
        followed.append(Position(2, 12), make_batch("2.15", "new"))
        assert not followed.covers(Position(1, 20))
        assert not followed.covers(Position(2, 11))
        assert followed.covers(Position(2, 12))
        changes = followed.changes_after(Position(2, 12))
        assert [event.object.name for event in changes.events] == ["new"]
        assert changes.version == "2.15"

    def test_a_relay_of_an_earlier_era_covers_no_later_position(self):
        followed = make_followed()
        assert followed.covers(Position(1, 15))
        assert not followed.covers(Position(2, 15))
