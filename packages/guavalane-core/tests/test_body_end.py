"""Tests of the decision whether a body that ended in order is complete."""

from __future__ import annotations

import pytest

from guavalane_core.forwarding.body_end import Reachability, is_cut_off

FLAGS = (False, True)


class TestIsCutOff:
    """Guards against cut bodies that look whole, and the reverse."""

    @pytest.mark.parametrize("leaving", FLAGS)
    @pytest.mark.parametrize("can_repeat", FLAGS)
    def test_the_body_of_a_listening_endpoint_is_whole(
        self, leaving, can_repeat
    ):
        assert not is_cut_off(
            Reachability.ACCEPTS,
            restarted=False,
            leaving=leaving,
            can_repeat=can_repeat,
        )

    @pytest.mark.parametrize("can_repeat", FLAGS)
    def test_the_body_of_a_killed_endpoint_is_cut_off(self, can_repeat):
        assert is_cut_off(
            Reachability.REFUSES,
            restarted=False,
            leaving=False,
            can_repeat=can_repeat,
        )

    def test_the_body_of_an_endpoint_that_is_back_already_is_cut_off(self):
        assert is_cut_off(
            Reachability.ACCEPTS,
            restarted=True,
            leaving=False,
            can_repeat=False,
        )

    @pytest.mark.parametrize(
        ("reachability", "leaving"),
        [
            (Reachability.REFUSES, True),
            (Reachability.SILENT, False),
            (Reachability.SILENT, True),
        ],
    )
    @pytest.mark.parametrize("can_repeat", FLAGS)
    def test_a_doubtful_body_is_repeated_but_never_broken_off(
        self, reachability, leaving, can_repeat
    ):
        is_cut = is_cut_off(
            reachability,
            restarted=False,
            leaving=leaving,
            can_repeat=can_repeat,
        )
        assert is_cut is can_repeat
