"""Tests of the endpoint pool."""

from __future__ import annotations

import random

import pytest

from guavalane_core.configuration import parse_configuration
from guavalane_core.exceptions import AttemptError, NoEndpointError
from guavalane_core.requests import RequestContext
from guavalane_core.requests.prompt import digest_chat
from guavalane_core.routing import POLICIES
from guavalane_core.streams import PromptUsage
from guavalane_core.timers import ManualTimers
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_entry.fleet.vm_list import ListedVm

BODY = b'{"messages": [{"role": "user", "content": "hello"}]}'
LONG_BODY = BODY.replace(b"hello", b"hello" * 1000)


def configuration(generation: int = 1, **endpoints: int):
    """Returns a configuration; endpoints are given as name and port."""
    routes = {
        "chat": {
            "kind": "model",
            "model": "m",
            "request_class": "interactive",
            "deployment": "d",
        }
    }
    return parse_configuration(
        {
            "generation": generation,
            "routes": routes,
            "deployments": {"d": {"versions": {"v1": {}}}},
            "organisations": {"o": {"key_sha256": [], "zones": ["z2"]}},
            "endpoints": {
                name: {
                    "url": f"http://127.0.0.1:{port}",
                    "zone": f"z{port % 4}",
                    "deployment": "d",
                    "version": "v1",
                }
                for name, port in endpoints.items()
            },
        }
    )


def make_pool(policy: str = "prefix_aware", count: int = 6):
    """Returns a pool of endpoints on ports from 100 on, and its timers."""
    timers = ManualTimers()
    pool = EndpointPool("n", "z1", 24, timers, policy, rng=random.Random(1))
    ports = {f"e{i}": 100 + i for i in range(count)}
    pool.apply(configuration(**ports))
    return pool, timers


def request(pool: EndpointPool, organisation: str = "") -> RequestContext:
    """Returns a request on route `chat`."""
    route = pool._configuration.routes["chat"]
    return RequestContext(
        request_id="r",
        organisation=organisation,
        route_name="chat",
        route=route,
        deadline_s=60.0,
        body=BODY,
    )


def cached_tokens(pool: EndpointPool, name: str) -> float:
    """Returns the estimated cached tokens of the long prompt."""
    prompt = digest_chat(LONG_BODY)
    return pool._policy._cached_tokens(prompt, 0.0).get(name, 0.0)


def listed(leaving: dict[int, bool]) -> list[ListedVm]:
    """Returns listed VMs by port, each with its terminating state."""
    return [
        ListedVm(f"vm-{port}", f"127.0.0.1:{port}", "z", flag)
        for port, flag in leaving.items()
    ]


def chosen(pool: EndpointPool, organisation: str = "", count: int = 200):
    """Returns the endpoints that are chosen for a number of requests."""
    return {pool.choose(request(pool, organisation)).name for _ in range(count)}


@pytest.mark.parametrize("policy", POLICIES.names)
class TestEndpointPool:
    """Guards against requests to endpoints that should get none."""

    def test_vm_list_excludes_and_restores_an_endpoint(self, policy):
        pool, _ = make_pool(policy)
        assert len(chosen(pool)) == 6
        pool.on_vm_list(listed({100: True, 101: False}))
        assert chosen(pool) == {f"e{i}" for i in range(1, 6)}
        pool.on_vm_list(listed({100: False}))
        assert len(chosen(pool)) == 6

    def test_list_does_not_override_the_endpoint(self, policy):
        pool, _ = make_pool(policy)
        pool.mark_leaving("e1")
        pool.on_vm_list(listed({100 + i: False for i in range(6)}))
        assert "e1" not in chosen(pool)

    def test_common_fault_ejects_at_most_half(self, policy):
        pool, timers = make_pool(policy)
        asked = request(pool)
        for name in pool.views:
            for _ in range(5):
                error = AttemptError("status 500", sent=True)
                pool.on_failure(name, asked, error)
        assert len(chosen(pool)) == 3
        timers.advance(6.0)
        assert len(chosen(pool)) == 6

    def test_refusal_for_load_does_not_eject(self, policy):
        pool, _ = make_pool(policy)
        error = AttemptError("status 429", sent=True, overloaded=True)
        for _ in range(20):
            pool.on_failure("e0", request(pool), error)
        assert pool.state("e0") == "closed"

    def test_preferences_hold_until_no_endpoint_is_left(self, policy):
        pool, _ = make_pool(policy)
        assert chosen(pool, "o") == {"e2"}
        pool.mark_leaving("e2")
        assert len(chosen(pool, "o")) == 5

    def test_no_endpoint(self, policy):
        pool, _ = make_pool(policy, count=1)
        pool.mark_unreachable("e0")
        assert chosen(pool) == {"e0"}
        with pytest.raises(NoEndpointError) as caught:
            pool.choose(request(pool), ["e0"])
        assert caught.value.not_run

    def test_replaced_endpoint_resets_its_state(self, policy):
        pool, _ = make_pool(policy, count=2)
        pool.mark_leaving("e0")
        for _ in range(5):
            error = AttemptError("status 500", sent=True)
            pool.on_failure("e1", request(pool), error)
        pool.apply(configuration(2, e0=200, e1=201))
        assert pool.state("e1") == "closed"
        assert chosen(pool) == {"e0", "e1"}


class TestPromptUsage:
    """Guards against cache estimates for prompts that an engine evicted."""

    def answer(self, pool, timers, usage):
        asked = request(pool)
        asked.body = LONG_BODY
        timers.advance(1.0)
        view = pool.choose(asked)
        sent_s = timers.now()
        timers.advance(1.0)
        pool.on_usage(view.name, asked, usage, sent_s)
        return view.name

    def test_cache_miss_clears_older_estimates(self):
        pool, timers = make_pool(count=1)
        name = self.answer(pool, timers, PromptUsage(1000, 900))
        index = pool._policy.index
        other = digest_chat(LONG_BODY.replace(b"user", b"used")).blocks
        index.record(name, other, 0.5)
        assert index.cached_blocks(other, 1.0)[name] > 8
        self.answer(pool, timers, PromptUsage(1000, 0))
        assert index.cached_blocks(other, 2.0) == {name: 0.0}

    @pytest.mark.parametrize(
        "usage",
        [
            PromptUsage(1000, None),
            PromptUsage(0, 0),
            PromptUsage(100, 101),
            PromptUsage(100, -1),
        ],
    )
    def test_wrong_or_missing_usage_changes_nothing(self, usage):
        pool, timers = make_pool(count=1)
        name = self.answer(pool, timers, PromptUsage(1000, 900))
        before = cached_tokens(pool, name)
        assert before > 1000
        self.answer(pool, timers, usage)
        assert cached_tokens(pool, name) >= before
        pool.on_usage("unknown", request(pool), usage, 0.0)

    def test_refused_connection_clears_all_estimates(self):
        pool, timers = make_pool(count=1)
        name = self.answer(pool, timers, PromptUsage(1000, 900))
        pool.mark_unreachable(name)
        assert cached_tokens(pool, name) == 0
