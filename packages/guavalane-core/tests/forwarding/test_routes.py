"""Tests of the lookup of routes and organisations."""

from __future__ import annotations

import random

from guavalane_core.forwarding import (
    Organisation,
    RouteTable,
    ServiceShare,
)
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_route,
)


class TestRouteTable:
    """Guards against requests that match the wrong route or key."""

    def test_longest_prefix_wins(self):
        short = make_route(name="short", path_prefix="/a/")
        long = make_route(name="long", path_prefix="/a/b/")
        table = RouteTable(make_configuration(short, long))
        assert table.find_route("app.example", "/a/b/c") is long
        assert table.find_route("app.example", "/a/c") is short

    def test_prefix_matches_whole_path_segments(self):
        table = RouteTable(make_configuration(make_route()))
        assert table.find_route("app.example", "/ab") is None
        assert table.find_route("app.example", "/a") is None

    def test_routes_match_only_their_host(self):
        table = RouteTable(make_configuration(make_route()))
        assert table.find_route("other.example", "/a/x") is None

    def test_key_belongs_to_one_organisation(self):
        one = Organisation("one", frozenset({"k1", "k2"}))
        two = Organisation("two", frozenset({"k3"}))
        table = RouteTable(
            make_configuration(make_route(), organisations=(one, two))
        )
        assert table.find_organisation("k2") is one
        assert table.find_organisation("k3") is two
        assert table.find_organisation("k4") is None
        assert table.find_organisation(None) is None

    def test_keys_are_needed_only_with_organisations(self):
        assert not RouteTable(make_configuration()).needs_keys
        # With an empty list, every route that is not public needs a key.
        assert RouteTable(make_configuration(organisations=())).needs_keys

    def test_share_with_weight_zero_gets_no_requests(self):
        route = make_route(
            shares=(ServiceShare("old", 0.0), ServiceShare("new", 1.0))
        )
        table = RouteTable(make_configuration(route))
        rng = random.Random(1)
        chosen = {table.choose_service(route, rng) for _ in range(200)}
        assert chosen == {"new"}
        empty = make_route(shares=(ServiceShare("old", 0.0),))
        assert table.choose_service(empty, rng) is None
