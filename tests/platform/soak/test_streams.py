"""Short plays of an installation with many streams, with fixed seeds."""

from __future__ import annotations

import pathlib

SITE = pathlib.Path(__file__).with_name("streams-site.toml")
RESETS = ("streams_reset", "nodes_killed", "nodes_stop_in_turn", "node_slow")


class TestStreamPlays:
    """Guards against streams that end as complete before their last event."""

    async def test_streams_are_reset_beside_faults_of_nodes(self, play_seed):
        await play_seed(SITE, 6, RESETS)
