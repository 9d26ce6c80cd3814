"""Tests of positions in the history of an object API."""

from __future__ import annotations

import pytest

from guavalane_core.objects import Position, era_of


class TestPosition:
    """Guards against revisions of different eras that are confused."""

    @pytest.mark.parametrize(
        ("text", "position"),
        [("7", Position(0, 7)), ("2.7", Position(2, 7))],
    )
    def test_a_version_is_read_as_it_is_written(self, text, position):
        assert Position.parse(text) == position
        assert str(position) == text

    def test_a_later_era_comes_after_any_revision_of_an_earlier_one(self):
        assert Position(1, 900) < Position(2, 5) < Position(2, 10)

    @pytest.mark.parametrize("text", ["", "a", "1.", "1.2.3", "x.1"])
    def test_other_texts_are_no_positions(self, text):
        with pytest.raises(ValueError):
            Position.parse(text)
        assert era_of(text) == 0
