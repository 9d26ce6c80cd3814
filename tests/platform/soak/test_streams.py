"""Short plays of an installation with many streams, with fixed seeds."""

from __future__ import annotations

import pathlib

SITE = pathlib.Path(__file__).with_name("streams-site.toml")
RESETS = ("streams_reset", "nodes_killed", "nodes_stop_in_turn", "node_slow")


class TestStreamPlays:
    """Guards against streams that end as complete before their last event."""

    async def test_streams_are_reset_beside_faults_of_nodes(self, play_seed):
        await play_seed(SITE, 6, RESETS)

    async def test_endpoints_are_killed(self, play_seed):
        # An endpoint that was killed at an end of an event closed its
        # connections in order, which was taken for the end of its streams.
        result = await play_seed(SITE, 1, ("endpoints_killed",))
        assert result.cut_streams > 0
