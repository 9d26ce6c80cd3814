"""Tests of routing policies, preferences and subsetting."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from guavalane_core.configuration import Endpoint, Organisation, Route
from guavalane_core.requests import RequestContext
from guavalane_core.requests.prompt import digest_text
from guavalane_core.routing import (
    POLICIES,
    EndpointView,
    PrefixAware,
    choose_subset,
    filter_preferred,
)

ROUTE = Route(kind="model", request_class="interactive", deployment="d")


def endpoint(zone: str = "z", vm_class: str = "") -> Endpoint:
    """Returns an endpoint of deployment `d`."""
    return Endpoint(
        url="http://127.0.0.1:1",
        zone=zone,
        vm_class=vm_class,
        deployment="d",
        version="v1",
    )


def views(count: int, now_s: float = 0.0) -> list[EndpointView]:
    """Returns views of idle endpoints."""
    made = [EndpointView(f"e{i}", endpoint()) for i in range(count)]
    for view in made:
        view.report(0, 0, now_s)
    return made


def request(text: str = "", organisation: str = "o") -> RequestContext:
    """Returns a request with the given prompt text."""
    return RequestContext(
        request_id="r",
        organisation=organisation,
        route_name="chat",
        route=ROUTE,
        deadline_s=60.0,
        prompt=digest_text(text),
    )


class TestPrefixAware:
    """Guards against unnecessary prefill and waiting."""

    def test_repeated_prompt_goes_to_the_cached_prefix(self):
        policy = PrefixAware(random.Random(1), "z")
        candidates = views(12)
        prompt = "x" * 8000
        first = policy.choose(request(prompt), candidates, 0.0)
        for second in range(1, 20):
            again = policy.choose(request(prompt), candidates, 2.0 * second)
            assert again is first

    def test_nodes_send_a_new_prefix_to_the_same_preferred_endpoint(self):
        organisation = Organisation(key_sha256=(), zones=("b",))
        near, *far = (EndpointView(f"e{i}", endpoint("b")) for i in range(6))
        near.endpoint = endpoint("a")
        for view in (near, *far):
            view.report(0, 0, 0.0)
        homes = set()
        for prompt in range(20):
            asked = request(str(prompt) * 4000)
            chosen = set()
            for node in range(8):
                policy = PrefixAware(
                    random.Random(node), "a", lambda _: organisation
                )
                for view in (near, *far):
                    view.prefill_until_s = 0.0
                    view.prefill_since_report_s = 0.0
                chosen.add(policy.choose(asked, [near, *far], 0.0).name)
            assert len(chosen) == 1
            homes |= chosen
        assert homes == {view.name for view in far}

    def test_queue_outweighs_the_cache(self):
        policy = PrefixAware(random.Random(1), "z")
        candidates = views(3)
        first = policy.choose(request("x" * 800), candidates, 0.0)
        first.report(8, 40, 1.0)
        assert policy.choose(request("x" * 800), candidates, 1.0) is not first

    def test_old_report_decays_to_the_mean(self):
        policy = PrefixAware(random.Random(1), "z")
        silent, *others = views(4)
        for view in others:
            view.report(10, 10, 100.0)
        costs = policy.expected_s(request(), [silent, *others], 100.0)
        mean = sum(costs[v.name] for v in others) / 3
        assert costs[silent.name] >= 0.7 * mean

    def test_failure_removes_the_prompt_from_the_index(self):
        policy = PrefixAware(random.Random(1), "z")
        asked = request("x" * 4096)
        chosen = policy.choose(asked, views(1), 0.0)
        blocks = asked.prompt.blocks
        assert policy.index.cached_blocks(blocks, 0.0) == {chosen.name: 8}
        policy.on_failure(asked, chosen.name)
        assert policy.index.cached_blocks(blocks, 0.0) == {}

    @pytest.mark.parametrize("seed", range(5))
    def test_no_thundering_herd_to_an_idle_endpoint(self, seed):
        def sent_to_idle(name: str) -> int:
            counts: Counter[str] = Counter()
            for node in range(8):
                policy = POLICIES.get(name)(random.Random(seed * 8 + node), "z")
                known = views(24)
                for view in known[1:]:
                    view.in_flight = 1
                    view.report(8, 4, 0.0)
                for step in range(5):
                    now = 0.02 * step
                    asked = request(f"{node}/{step}" * 500)
                    chosen = policy.choose(asked, known, now)
                    chosen.in_flight += 1
                    counts[chosen.name] += 1
            return counts["e0"]

        # The idle endpoint is four requests short of the others; 40 are sent.
        assert sent_to_idle("least_loaded") >= 30
        assert sent_to_idle("prefix_aware") <= 12

    def test_preferred_zone_is_used_until_overloaded(self):
        organisation = Organisation(key_sha256=(), zones=("b", "a"))
        policy = PrefixAware(random.Random(1), "a", lambda _: organisation)
        near, far = (EndpointView(z, endpoint(z)) for z in "ab")
        near.report(0, 0, 0.0)
        far.report(0, 0, 0.0)
        assert policy.choose(request(), [near, far], 0.0) is far
        far.report(20, 20, 0.1)
        assert policy.choose(request(), [near, far], 0.1) is near


class TestKeepPreferred:
    """Guards against preferences that are ignored or cause refusals."""

    def test_listed_zones_and_classes_are_preferred(self):
        known = [
            EndpointView(f"{z}{c}", endpoint(z, c)) for z in "ab" for c in "lm"
        ]
        organisation = Organisation(
            key_sha256=(), zones=("a",), vm_classes=("m", "x")
        )
        kept = filter_preferred(known, organisation)
        assert [v.name for v in kept] == ["am"]
        assert filter_preferred(known[2:], organisation) == known[2:]
        assert filter_preferred(known, None) == known


class TestChooseSubset:
    """Guards against subsets emptied by a zone failure or a preference."""

    def test_zones_and_classes_are_represented(self):
        known = {
            f"{zone}-{i}": endpoint(f"z{zone}", "rare" if i == 0 else "plain")
            for zone in range(9)
            for i in range(200)
        }
        for node in range(20):
            chosen = choose_subset(
                f"n{node}", "z0", known, 24, {"z7"}, {"rare", "absent"}
            )
            assert len(set(chosen)) == len(chosen) == 24
            zones = Counter(known[n].zone for n in chosen)
            assert zones["z0"] >= 16
            assert zones["z7"] >= 1
            assert len(zones) >= 6
            assert "rare" in {known[n].vm_class for n in chosen}
