"""Process test of routing by the cached tokens that answers report."""

from __future__ import annotations

import itertools
import json
import time

import pytest

from guavalane_core.requests.prompt import digest_chat
from guavalane_core.routing.prefix_aware import home_endpoint
from guavalane_standins.cluster import Cluster, caller_headers
from guavalane_standins.processes import ProcessGroup, fetch

ENGINES = ("near", "far")
# Repetitions of a name in a prompt, which are estimated as 0.25 s of prefill.
REPEATS = 1_600


@pytest.fixture
def cluster():
    """Runs an entry node, an engine in its zone and one in another zone."""
    with ProcessGroup() as group:
        cluster = Cluster(group)
        cluster.start_platform()
        cluster.start_engine("near", "zone-a")
        cluster.start_engine("far", "zone-b")
        cluster.start_node("entry-a", "zone-a")
        yield cluster


def chat(name):
    """Returns a chat completion body whose prompt repeats a name."""
    content = f"{name} " * REPEATS
    messages = [{"role": "user", "content": content}]
    return {"model": "assistant", "messages": messages, "max_tokens": 2}


def names_at_home_in(engine, count):
    """Returns names whose prompts hash to an engine."""
    names = []
    for number in itertools.count():
        body = json.dumps(chat(name := f"n{number:03}")).encode()
        if home_endpoint(digest_chat(body).blocks[0], ENGINES) == engine:
            names.append(name)
        if len(names) == count:
            return names


def ask(cluster, name, *, stream):
    """Sends a prompt; returns the engine and its cached tokens."""
    before = {e: len(cluster.endpoint_stats(e)["requests"]) for e in ENGINES}
    body = {**chat(name), "stream": stream}
    url = f"{cluster.nodes['entry-a'].callers}/v1/chat/completions"
    status, text = fetch(url, body=body, headers=caller_headers())
    assert status == 200, text
    if stream:
        events = [line for line in text.splitlines() if "usage" in line]
        text = events[-1].removeprefix("data:")
    usage = json.loads(text)["usage"]
    (served,) = (
        e
        for e in ENGINES
        if len(cluster.endpoint_stats(e)["requests"]) > before[e]
    )
    return served, usage["prompt_tokens_details"]["cached_tokens"]


def show_near(cluster, *, leaving):
    """Sets the state of the near VM in the list and waits for the node."""
    vm = {
        "name": "near",
        "address": cluster.urls["near"].removeprefix("http://"),
        "zone": "zone-a",
        "leaving": leaving,
    }
    fetch(f"{cluster.urls['vms']}/standin/vms", body=vm)
    cluster.wait_for_log(
        "entry-a", "near is " + ("leaving" if leaving else "back")
    )


class TestLostCache:
    """Guards against routing to an engine because of a cache that it lost."""

    @pytest.mark.parametrize("stream", [True, False])
    def test_cache_miss_changes_routing(self, cluster, stream):
        older, newer = names_at_home_in("near", 2)
        show_near(cluster, leaving=True)
        for name in (older, newer):
            assert ask(cluster, name, stream=stream) == ("far", 0)
        for name in (older, newer):
            served, cached = ask(cluster, name, stream=stream)
            assert served == "far"
            assert cached > 1000
        show_near(cluster, leaving=False)
        # After this time the far engine counts as idle again.
        time.sleep(1.0)
        cluster.clear_cache("far")
        # The miss of the newer prompt implies that the older one is lost too.
        assert ask(cluster, newer, stream=stream) == ("far", 0)
        assert ask(cluster, older, stream=stream) == ("near", 0)
