"""Short plays of a small installation with fixed seeds."""

from __future__ import annotations

import pathlib

import pytest

SITE = pathlib.Path(__file__).with_name("small-site.toml")
# Disturbances that have broken a rule stay here, with a line on the cause.
PLAYS = (
    # Nodes that did not know each other each used the retries of all.
    (3, ("nodes_restart_without_peers", "service_rejects")),
    # A silent endpoint went on after its streams had moved to another one.
    (5, ("endpoints_preempt",)),
    # The copy of a refusal was taken for the response to the same request.
    (22, ("endpoints_restart_and_repeat",)),
    # A reset that arrived beside the last bytes was taken for an ordinary end.
    (31, ("responses_reset",)),
    (4, ("responses_lost", "node_slow", "endpoints_reject")),
)


class TestSheetPlays:
    """Guards against repeats beyond the operators' rules."""

    @pytest.mark.parametrize(("seed", "names"), PLAYS)
    async def test_repeats_keep_the_rules(self, seed, names, play_seed):
        await play_seed(SITE, seed, names)
