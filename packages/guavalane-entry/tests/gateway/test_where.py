"""Tests of the explanation of where a request would be sent."""

from __future__ import annotations

import json
import math
import random

import pytest

from guavalane_core.forwarding import (
    Engine,
    MovePhase,
    Organisation,
    VersionMove,
)
from guavalane_core.limits.endpoint_rates import StatedLimit
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.admission import admit
from guavalane_entry.gateway.errors import RefusalError
from guavalane_entry.gateway.selection import select_endpoint
from guavalane_entry.gateway.view import NodeView
from guavalane_entry.gateway.where import (
    InvalidQueryError,
    WhereQuery,
    explain,
)
from guavalane_standins.forwarding_samples import (
    make_caller_request,
    make_configuration,
    make_endpoint,
    make_prompt,
    make_route,
)
from guavalane_standins.gateway_rig import make_settings

ORGANISATION = Organisation(
    "org-1", frozenset({"secret"}), rate_per_s=1.0, burst=9.0
)
ENGINE = Engine(slots=4, kv_tokens=100_000)
QUERY = WhereQuery(host="app.example", path="/a/x", organisation="org-1")
MODEL_QUERY = WhereQuery(
    host="app.example",
    path="/a/x",
    organisation="org-1",
    prompt=make_prompt(),
)


def make_view(nodes=1, endpoints=6, engine=None, seed=1):
    """Returns the state of a node with endpoints of uneven load."""
    view = NodeView(
        make_settings(), ManualTimers(), random.Random(seed), -math.inf
    )
    view.on_peers_listed()
    view.update_configuration(
        make_configuration(
            make_route(), organisations=(ORGANISATION,), engine=engine
        )
    )
    for i in range(1, nodes):
        view.peers[f"n{i + 1}"] = "127.0.0.1:1"
    rng = random.Random(seed)
    for i in range(endpoints):
        view.directory.put(
            make_endpoint(f"e-{i}", version=rng.choice(["v1", "v2"]))
        )
        for _ in range(rng.randrange(4)):
            view.work.start(f"e-{i}", 100)
    return view


def decide(view, query):
    """Returns the decision on a request, which draws what it needs."""
    request = make_caller_request(key="secret", prompt=query.prompt)
    try:
        admitted = admit(view, request)
    except RefusalError as error:
        return error.code
    chosen = select_endpoint(
        view, admitted.service, admitted.route.name, request, ()
    )
    return chosen and chosen.endpoint.endpoint_id


class TestExplain:
    """Guards against explanations that differ from the decision."""

    @pytest.mark.parametrize("nodes", [1, 40])
    @pytest.mark.parametrize("query", [QUERY, MODEL_QUERY])
    def test_the_next_decision_is_predicted_and_not_changed(self, nodes, query):
        engine = None if query is QUERY else ENGINE
        asked, other = (make_view(nodes, engine=engine) for _ in range(2))
        for view in (asked, other):
            move = VersionMove("app", "v2", 60.0, MovePhase.RUNNING)
            view.moves.offer(move, 0.0)
            view.endpoint_rates.observe("e-0", StatedLimit(3.0, 0.0))
        for _ in range(12):
            outcome = explain(asked, query)["outcome"]
            explain(asked, query)
            decision = decide(asked, query)
            assert decision == decide(other, query)
            expected = outcome.get("sent_to") or outcome["rejected"]
            assert decision == expected
        assert decision == "allotment_spent"
        assert asked.rng.getstate() == other.rng.getstate()

    def test_costs_and_capacity_are_named(self):
        view = make_view(engine=ENGINE)
        found = explain(view, MODEL_QUERY)
        assert found["route"]["name"] == "r-1"
        assert found["organisation"] == {
            "name": "org-1",
            "units": 1,
            "units_left": 9.0,
            "units_per_s": 1.0,
        }
        service = found["service"]
        assert service["slots"] == 24
        assert service["free"] == 24 - service["requests"]
        costs = {
            each["endpoint"]: sum(each["cost"].values())
            for each in found["candidates"]
        }
        assert min(costs, key=costs.get) == found["outcome"]["sent_to"]
        assert set(found["candidates"][0]["cost"]) == {
            "prefill",
            "running",
            "slot_wait",
            "other_zone",
        }

    def test_each_other_endpoint_has_its_reason(self):
        view = make_view(endpoints=0)
        for name in ("drains", "fails", "full", "limited", "tried", "x", "y"):
            view.directory.put(
                make_endpoint(name, version="v1", leaving=name == "drains")
            )
        view.directory.put(make_endpoint("next", version="v2"))
        view.moves.offer(VersionMove("app", "v2", 60.0), 0.0)
        view.ejector.on_unreachable("fails", 0.0)
        for _ in range(100):
            view.work.start("full")
        view.endpoint_rates.observe("limited", StatedLimit(0.0, 0.0))
        query = WhereQuery(
            host="app.example",
            path="/a/x",
            organisation="org-1",
            tried=frozenset({"tried"}),
        )
        found = explain(view, query)
        assert {e["endpoint"]: e["reason"] for e in found["excluded"]} == {
            "drains": "draining",
            "fails": "ejected",
            "full": "no_connection",
            "limited": "rate_limit",
            "next": "version",
            "tried": "tried",
        }
        assert {e["endpoint"] for e in found["candidates"]} == {"x", "y"}

    def test_rejections_have_the_code_of_the_response(self):
        def rejected(view, **changes):
            values = {"host": "app.example", "path": "/a/x"}
            values["organisation"] = "org-1"
            found = explain(view, WhereQuery(**{**values, **changes}))
            return found["outcome"]["rejected"]

        assert rejected(make_view(), path="/b/x") == "unknown_route"
        assert rejected(make_view(), organisation="other") == "unknown_key"
        assert rejected(make_view(endpoints=0)) == "no_endpoint"
        limited = make_view(endpoints=1)
        limited.endpoint_rates.observe("e-0", StatedLimit(0.0, 0.0))
        assert rejected(limited) == "endpoints_limited"
        empty = NodeView(make_settings(), ManualTimers(), random.Random(1))
        assert rejected(empty) == "not_configured"

    def test_keys_are_not_shown(self):
        assert "secret" not in json.dumps(explain(make_view(), QUERY))


class TestQuery:
    """Guards against queries that are misread."""

    def test_a_prompt_is_read(self):
        query = WhereQuery.parse(
            {
                "host": "App.example:80",
                "path": "/a/x",
                "tokens": "100,5",
                "parts": "a:60,b:40",
                "tried": "e-1,e-2",
            }
        )
        assert query.host == "app.example"
        assert query.prompt.input_tokens == 100
        assert [p.part_id for p in query.prompt.parts] == ["a", "b"]
        assert query.tried == {"e-1", "e-2"}

    @pytest.mark.parametrize(
        "changes",
        [
            {"host": ""},
            {"path": "x"},
            {"tokens": "1"},
            {"tokens": "a,b"},
            {"tokens": "-1,1"},
            {"parts": "a:1"},
            {"tokens": "1,1", "parts": "a:b"},
            {"key": "secret"},
        ],
    )
    def test_invalid_queries_are_rejected(self, changes):
        with pytest.raises(InvalidQueryError):
            WhereQuery.parse({"host": "h", "path": "/", **changes})
