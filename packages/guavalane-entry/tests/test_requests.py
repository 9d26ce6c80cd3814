"""Process tests of at-most-once calls, durable requests and shutdowns."""

from __future__ import annotations

import contextlib
import functools
import http.client
import itertools
import json
import signal
import time
import urllib.request
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import attrs
import pytest

from guavalane_standins import text
from guavalane_standins.cluster import Cluster, caller_headers
from guavalane_standins.processes import ProcessGroup, fetch, wait_for

OWNER_GRACE_S = 0.5
WAIT_LIMIT_S = 15.0
QUESTION = [{"role": "user", "content": "Plan the season of the well."}]
node_numbers = itertools.count(1)
until = functools.partial(wait_for, limit_s=WAIT_LIMIT_S)


@attrs.frozen
class Event:
    """Server-sent event."""

    id: str
    name: str
    data: str


@pytest.fixture(scope="module")
def group():
    """Yields a process group that is shared by the module."""
    with ProcessGroup() as processes:
        yield processes


@pytest.fixture(scope="module")
def cluster(group):
    """Returns a cluster with endpoints and two nodes that stay up."""
    system = Cluster(group)
    system.start_platform()
    system.start_engine("engine-a", "zone-a")
    system.start_engine("engine-b", "zone-b")
    system.start_service("service-a", "zone-a")
    system.start_node("entry-b", "zone-b", owner_grace_s=OWNER_GRACE_S)
    system.start_node("entry-c", "zone-c", owner_grace_s=OWNER_GRACE_S)
    return system


@pytest.fixture(autouse=True)
def reset_faults(cluster):
    """Resets the faults that a test injected."""
    yield
    cluster.set_object_api_faults(down=False, lose_answers=0, delay_s=0.0)
    cluster.set_behaviour(
        "service-a", delay_s=0.005, lose_answers=0, fail_status=0
    )
    for engine in ("engine-a", "engine-b"):
        cluster.set_behaviour(engine, token_s=0.005, fail_status=0)
    # Nodes notice the end of an object API outage with a delay.
    for node in ("entry-b", "entry-c"):
        until(
            lambda node=node: (
                cluster.operator_get(node, "status")["object_api"]
                == "reachable"
            )
        )


@pytest.fixture(scope="module")
def slow_store_node(cluster):
    """Returns a node with a long object API timeout.

    Its last user is `test_sigterm_during_a_stream`, which stops it.
    """
    objects = {"kind": "http", "url": cluster.urls["objects"]}
    return start_stoppable_node(
        cluster, object_api={**objects, "timeout_s": 20.0}
    )


@pytest.fixture
def stoppable_node(cluster):
    """Returns a node in zone-a that the test may stop."""
    return start_stoppable_node(cluster)


def start_stoppable_node(cluster, **overrides):
    """Starts a node in zone-a and waits until both others are its peers."""
    handle = cluster.start_node(
        f"stoppable-{next(node_numbers)}",
        "zone-a",
        owner_grace_s=OWNER_GRACE_S,
        **overrides,
    )
    until(
        lambda: all(
            handle.name in cluster.operator_get(node, "status")["peers"]
            for node in ("entry-b", "entry-c")
        )
    )
    return handle


def request_certificate(node, key, item="kettle", **headers):
    """Requests a certificate; returns the status and the answer."""
    status, answer = fetch(
        f"{node.callers}/certificates",
        body={"item": item},
        headers=caller_headers(**{"Idempotency-Key": key, **headers}),
    )
    return status, json.loads(answer)


def calls_with(cluster, key):
    """Returns the calls with an idempotency key that the service received."""
    calls = cluster.endpoint_stats("service-a")["requests"]
    return [call for call in calls if call["key"] == key]


def runs_of(cluster, request_id):
    """Returns how often the endpoints received a request."""
    return sum(
        request["id"] == request_id
        for endpoint in ("engine-a", "engine-b", "service-a")
        for request in cluster.endpoint_stats(endpoint)["requests"]
    )


def engine_requests(cluster):
    """Returns the requests that the engines received."""
    return [
        request
        for engine in ("engine-a", "engine-b")
        for request in cluster.endpoint_stats(engine)["requests"]
    ]


def writes(cluster):
    """Returns the number of writes to the object API, except for leases.

    The lease of the order sender is renewed continuously.
    """
    calls = json.loads(fetch(f"{cluster.urls['objects']}/standin/calls")[1])
    return calls["writes"] - calls["lease_writes"]


def open_stream(url, body=None, **headers) -> Iterator[Event]:
    """Yields a pseudo event with the request ID, then the SSE events."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data, {"Content-Type": "application/json", **headers}
    )
    with urllib.request.urlopen(request, timeout=30) as answer:
        yield Event(answer.headers["X-Request-Id"], "open", "")
        fields = {}
        for line in answer:
            name, _, value = line.decode().rstrip("\n").partition(": ")
            if name:
                fields[name] = value
            elif fields:
                yield Event(
                    fields.get("id", ""),
                    fields.get("event", ""),
                    fields["data"],
                )
                fields = {}


def chat(node, model, tokens):
    """Opens a streamed chat completion."""
    body = {
        "model": model,
        "messages": QUESTION,
        "max_tokens": tokens,
        "stream": True,
    }
    url = f"{node.callers}/v1/chat/completions"
    return open_stream(url, body, **caller_headers())


def content(events):
    """Returns the concatenated text of chunks."""
    return "".join(
        choice["delta"].get("content", "")
        for event in events
        if event.data != "[DONE]" and not event.name
        for choice in json.loads(event.data)["choices"]
    )


def refusal(node):
    """Sends a durable request; returns status and problem if it got a 503."""
    status, problem = fetch(
        f"{node.callers}/v1/chat/completions",
        body={"model": "planner", "messages": QUESTION, "max_tokens": 1},
        headers=caller_headers(),
    )
    return (status, json.loads(problem)) if status == 503 else None


def member_of(cluster, viewer, name):
    """Returns the entry of a node in the member list of another one."""
    report = cluster.operator_get(viewer, "nodes")
    return next(member for member in report if member["node"] == name)


class TestAtMostOnce:
    """Guards against calls that run twice and wrong values of `not_run`."""

    def test_same_key_at_two_nodes_at_once(self, cluster):
        cluster.set_behaviour("service-a", delay_s=0.3)
        nodes = [cluster.nodes["entry-b"], cluster.nodes["entry-c"]] * 2
        with ThreadPoolExecutor(4) as pool:
            results = list(
                pool.map(lambda node: request_certificate(node, "both"), nodes)
            )
        statuses = sorted(status for status, _ in results)
        assert statuses == [201, 409, 409, 409]
        assert len(calls_with(cluster, "both")) == 1
        (first,) = [body for status, body in results if status == 201]
        for node in nodes:
            assert request_certificate(node, "both") == (201, first)
        status, problem = request_certificate(nodes[0], "both", item="lamp")
        assert (status, problem["code"]) == (422, "idempotency_key_reused")
        assert len(calls_with(cluster, "both")) == 1

    def test_lost_write_answers(self, cluster):
        before = writes(cluster)
        cluster.set_object_api_faults(lose_answers=1)
        status, first = request_certificate(cluster.nodes["entry-b"], "lost")
        assert status == 201
        assert writes(cluster) - before == 2
        assert request_certificate(cluster.nodes["entry-c"], "lost") == (
            201,
            first,
        )
        assert len(calls_with(cluster, "lost")) == 1

    def test_outage(self, cluster):
        cluster.set_behaviour("service-a", delay_s=0.3)
        node = cluster.nodes["entry-b"]
        with ThreadPoolExecutor(1) as pool:
            running = pool.submit(request_certificate, node, "before")
            until(lambda: calls_with(cluster, "before"))
            cluster.set_object_api_faults(down=True)
            status, problem = request_certificate(node, "during")
            assert (status, problem["code"]) == (503, "claim_unavailable")
            assert problem["not_run"] is True
            status, answer = running.result()
            assert status == 201
        # The answer is kept in memory until it can be stored.
        assert request_certificate(node, "before") == (201, answer)
        assert calls_with(cluster, "during") == []
        cluster.set_object_api_faults(down=False)
        other = cluster.nodes["entry-c"]
        until(lambda: request_certificate(other, "before") == (201, answer))
        assert request_certificate(other, "during")[0] == 201
        assert len(calls_with(cluster, "before")) == 1

    def test_endpoint_that_does_not_answer(self, cluster):
        cluster.set_behaviour("service-a", lose_answers=1)
        for node in ("entry-b", "entry-b", "entry-c"):
            status, problem = request_certificate(cluster.nodes[node], "silent")
            assert (status, problem["code"]) == (502, "outcome_unknown")
            assert problem["not_run"] is False
        assert len(calls_with(cluster, "silent")) == 1

    def test_caller_that_disconnects(self, cluster):
        cluster.set_behaviour("service-a", delay_s=0.4)
        node = cluster.nodes["entry-b"]
        with pytest.raises(TimeoutError):
            fetch(
                f"{node.callers}/certificates",
                body={"item": "kettle"},
                headers=caller_headers(**{"Idempotency-Key": "left"}),
                timeout_s=0.2,
            )
        found = until(
            lambda: (
                answer
                if (answer := request_certificate(node, "left"))[0] == 201
                else None
            )
        )
        assert found[1]["served_by"] == "service-a"
        assert len(calls_with(cluster, "left")) == 1

    def test_node_frozen_between_claim_and_dispatch(
        self, cluster, group, slow_store_node
    ):
        stoppable_node = slow_store_node
        before = writes(cluster)
        cluster.set_object_api_faults(delay_s=0.4)
        with ThreadPoolExecutor(1) as pool:
            running = pool.submit(request_certificate, stoppable_node, "frozen")
            until(lambda: writes(cluster) > before)
            group.signal(stoppable_node.name, signal.SIGSTOP)
            time.sleep(0.5)
            cluster.set_object_api_faults(delay_s=0.0)
            status, problem = request_certificate(
                cluster.nodes["entry-c"], "frozen"
            )
            assert (status, problem["code"]) == (409, "request_in_progress")
            time.sleep(1.8)
            assert calls_with(cluster, "frozen") == []
            group.signal(stoppable_node.name, signal.SIGCONT)
            assert running.result()[0] == 201
        # Creations by both nodes, the rewritten claim and the answer.
        assert writes(cluster) - before == 4
        assert len(calls_with(cluster, "frozen")) == 1


class TestDurable:
    """Guards against accepted requests that are lost or answered twice."""

    def test_outage(self, cluster):
        for engine in ("engine-a", "engine-b"):
            cluster.set_behaviour(engine, token_s=0.05)
        node = cluster.nodes["entry-b"]
        events = chat(node, "planner", 10)
        opened = next(events)
        cluster.set_object_api_faults(down=True)
        seen = len(engine_requests(cluster))
        status, problem = fetch(
            f"{node.callers}/v1/chat/completions",
            body={"model": "planner", "messages": QUESTION},
            headers=caller_headers(),
        )
        problem = json.loads(problem)
        assert (status, problem["code"]) == (503, "recording_unavailable")
        assert problem["not_run"] is True
        assert content(events) == text.make_completion(QUESTION, 10)
        # The rejected request did not reach an engine.
        assert len(engine_requests(cluster)) == seen
        cluster.set_object_api_faults(down=False)
        path = f"/v1/requests/{opened.id}"
        url = cluster.nodes["entry-c"].callers + path
        again = list(open_stream(url, **caller_headers()))
        assert content(again[1:]) == text.make_completion(QUESTION, 10)

    def test_service_route_survives_its_endpoint_and_its_caller(self, cluster):
        cluster.set_behaviour("service-a", fail_status=500)
        node = cluster.nodes["entry-b"]
        with pytest.raises(TimeoutError):
            fetch(
                f"{node.callers}/orders",
                body={"item": "bunting"},
                headers=caller_headers(),
                timeout_s=0.3,
            )
        cluster.set_behaviour("service-a", fail_status=0)
        call = next(
            c
            for c in cluster.endpoint_stats("service-a")["requests"]
            if c["path"] == "/orders"
        )
        url = cluster.nodes["entry-c"].callers + f"/v1/requests/{call['id']}"
        until(lambda: fetch(url, headers=caller_headers())[0] == 201)


class TestKilledNode:
    """Guards against requests that are lost or repeated after a crash."""

    def test_kill_with_three_requests_in_flight(
        self, cluster, group, stoppable_node
    ):
        for engine in ("engine-a", "engine-b"):
            cluster.set_behaviour(engine, token_s=0.1)
        cluster.set_behaviour("service-a", delay_s=1.5)
        body = {"model": "planner", "messages": QUESTION, "max_tokens": 20}
        url = f"{stoppable_node.callers}/v1/chat/completions"
        ids = []
        with ThreadPoolExecutor(3) as pool:
            broken = [
                pool.submit(request_certificate, stoppable_node, "killed")
            ]
            until(lambda: calls_with(cluster, "killed"))
            for streamed in (True, False):
                seen = {r["id"] for r in engine_requests(cluster)}
                broken.append(
                    pool.submit(
                        fetch,
                        url,
                        body={**body, "stream": streamed},
                        headers=caller_headers(),
                    )
                )
                ids += until(
                    lambda seen=seen: (
                        {r["id"] for r in engine_requests(cluster)} - seen
                    )
                )
            group.signal(stoppable_node.name, signal.SIGKILL)
            assert all(call.exception() is not None for call in broken)
        for engine in ("engine-a", "engine-b"):
            cluster.set_behaviour(engine, token_s=0.005)
        self.check_claim(cluster)
        self.check_records(cluster, *ids)

    def check_claim(self, cluster):
        node = cluster.nodes["entry-b"]
        codes = []

        def ask():
            codes.append(request_certificate(node, "killed")[1]["code"])
            return codes[-1] == "outcome_unknown"

        until(ask)
        assert set(codes) == {"request_in_progress", "outcome_unknown"}
        assert len(calls_with(cluster, "killed")) == 1

    def check_records(self, cluster, streamed, whole):
        base = f"{cluster.nodes['entry-c'].callers}/v1/requests"

        def ask(request_id):
            status, answer = fetch(
                f"{base}/{request_id}", headers=caller_headers()
            )
            assert status in (200, 202), answer
            return answer if status == 200 else None

        message = json.loads(until(lambda: ask(whole)))["choices"][0]["message"]
        assert message["content"] == text.make_completion(QUESTION, 20)
        until(lambda: ask(streamed))
        url = f"{base}/{streamed}"
        events = list(open_stream(url, **caller_headers()))[1:]
        assert content(events) == text.make_completion(QUESTION, 20)
        assert events[-1].data == "[DONE]"
        rest = open_stream(
            url, **caller_headers(), **{"Last-Event-ID": events[6].id}
        )
        assert list(rest)[1:] == events[7:]
        assert [runs_of(cluster, i) for i in (streamed, whole)] == [2, 2]
        status, problem = fetch(url, headers=caller_headers("south"))
        assert (status, json.loads(problem)["code"]) == (404, "unknown_request")


class TestPlannedStop:
    """Guards against answers that a shutdown or a reclaim truncates."""

    def test_sigterm_during_a_stream(self, cluster, group, slow_store_node):
        stoppable_node = slow_store_node
        for engine in ("engine-a", "engine-b"):
            cluster.set_behaviour(engine, token_s=0.05)
        events = chat(stoppable_node, "assistant", 12)
        head = [next(events) for _ in range(3)]
        group.signal(stoppable_node.name, signal.SIGTERM)
        until(lambda: fetch(f"{stoppable_node.callers}/readyz")[0] == 503)
        status, problem = request_certificate(stoppable_node, "stopping")
        assert (status, problem["not_run"]) == (503, True)
        assert calls_with(cluster, "stopping") == []
        rest = list(events)
        assert content([*head[1:], *rest]) == text.make_completion(QUESTION, 12)
        assert rest[-1].data == "[DONE]"
        assert group.process(stoppable_node.name).wait(10) == 0

    def test_reclaim_notice_with_requests_in_flight(self, cluster, group):
        stoppable_node = start_stoppable_node(cluster, notice_s=3.2)
        for engine in ("engine-a", "engine-b"):
            cluster.set_behaviour(engine, token_s=0.03)
        cluster.set_behaviour("service-a", delay_s=5.0)
        streams = {
            model: chat(stoppable_node, model, 60)
            for model in ("assistant", "planner")
        }
        heads = {
            model: [next(events) for _ in range(4)]
            for model, events in streams.items()
        }
        whole = {
            "model": "assistant",
            "messages": QUESTION,
            "max_tokens": 60,
        }
        with ThreadPoolExecutor(3) as pool:
            call = pool.submit(request_certificate, stoppable_node, "cut")
            until(lambda: calls_with(cluster, "cut"))
            look_up = pool.submit(
                fetch,
                f"{stoppable_node.callers}/records/1",
                headers=caller_headers(),
            )
            answer = pool.submit(
                fetch,
                f"{stoppable_node.callers}/v1/chat/completions",
                body=whole,
                headers=caller_headers(),
            )
            time.sleep(0.2)
            url = f"{cluster.urls['cloud']}/standin/reclaim"
            fetch(url, body={"names": [stoppable_node.name]})
            for model, events in streams.items():
                self.check_stream(cluster, [*heads[model], *events])
            self.check_whole(cluster, *answer.result())
            status, problem = call.result()
            assert (status, problem["code"]) == (502, "outcome_unknown")
            status, problem = look_up.result()
            problem = json.loads(problem)
            assert (status, problem["code"]) == (503, "draining")
            assert problem["not_run"] is False
        assert group.process(stoppable_node.name).wait(10) == 0
        # The node stores this outcome itself, so no failure detection is
        # needed.
        status, problem = request_certificate(cluster.nodes["entry-b"], "cut")
        assert (status, problem["code"]) == (502, "outcome_unknown")
        assert len(calls_with(cluster, "cut")) == 1

    def test_kill_in_the_middle_of_a_reclaim(self, cluster, group):
        stoppable_node = start_stoppable_node(cluster)
        for engine in ("engine-a", "engine-b"):
            cluster.set_behaviour(engine, token_s=0.1)
        events = chat(stoppable_node, "planner", 30)
        head = [next(events) for _ in range(4)]
        url = f"{cluster.urls['cloud']}/standin/reclaim"
        fetch(url, body={"names": [stoppable_node.name]})
        until(lambda: fetch(f"{stoppable_node.callers}/readyz")[0] == 503)
        group.signal(stoppable_node.name, signal.SIGKILL)
        with contextlib.suppress(OSError, http.client.HTTPException):
            head += list(events)
        assert head[-1].data != "[DONE]"
        for engine in ("engine-a", "engine-b"):
            cluster.set_behaviour(engine, token_s=0.005)
        again = f"{cluster.nodes['entry-c'].callers}/v1/requests/{head[0].id}"
        headers = caller_headers(**{"Last-Event-ID": head[-1].id})
        until(lambda: fetch(again, headers=caller_headers())[0] == 200)
        rest = list(open_stream(again, **headers))[1:]
        assert content([*head[1:], *rest]) == text.make_completion(QUESTION, 30)
        assert rest[-1].data == "[DONE]"

    def test_reclaim_during_an_outage(self, cluster, group):
        stoppable_node = start_stoppable_node(cluster, notice_s=3.2)
        for engine in ("engine-a", "engine-b"):
            cluster.set_behaviour(engine, token_s=0.1)
        events = chat(stoppable_node, "planner", 60)
        head = [next(events) for _ in range(4)]
        cluster.set_object_api_faults(down=True)
        url = f"{cluster.urls['cloud']}/standin/reclaim"
        fetch(url, body={"names": [stoppable_node.name]})
        status, problem = until(lambda: refusal(stoppable_node))
        assert (status, problem["not_run"]) == (503, True)
        # The stream is handed over to a peer, which provides the rest.
        self.check_stream(cluster, [*head, *events])
        assert group.process(stoppable_node.name).wait(10) == 0
        cluster.set_object_api_faults(down=False)
        self.check_record(cluster, head[0].id, 60)

    def test_kill_during_an_outage(self, cluster, group, stoppable_node):
        for engine in ("engine-a", "engine-b"):
            cluster.set_behaviour(engine, token_s=0.1)
        events = chat(stoppable_node, "planner", 20)
        head = [next(events) for _ in range(4)]
        cluster.set_object_api_faults(down=True)
        group.signal(stoppable_node.name, signal.SIGKILL)
        with contextlib.suppress(OSError, http.client.HTTPException):
            head += list(events)
        for engine in ("engine-a", "engine-b"):
            cluster.set_behaviour(engine, token_s=0.005)
        until(
            lambda: (
                member_of(cluster, "entry-b", stoppable_node.name)["state"]
                == "dead"
            )
        )
        # No node may rerun the request before its record can be read.
        assert runs_of(cluster, head[0].id) == 1
        cluster.set_object_api_faults(down=False)
        self.check_record(cluster, head[0].id, 20)
        assert runs_of(cluster, head[0].id) == 2

    def check_record(self, cluster, request_id, tokens):
        url = f"{cluster.nodes['entry-c'].callers}/v1/requests/{request_id}"
        until(lambda: fetch(url, headers=caller_headers())[0] == 200)
        events = list(open_stream(url, **caller_headers()))[1:]
        assert content(events) == text.make_completion(QUESTION, tokens)
        assert events[-1].data == "[DONE]"

    def check_stream(self, cluster, head):
        moved = head.pop()
        assert moved.name == "error"
        problem = json.loads(moved.data)
        assert problem["code"] == "stream_moved"
        assert problem["node"] in ("entry-b", "entry-c")
        # A node that does not hold the stream also provides the rest.
        rest = []
        for node in ("entry-b", "entry-c"):
            again = open_stream(
                cluster.nodes[node].callers + f"/v1/requests/{head[0].id}",
                **caller_headers(),
                **{"Last-Event-ID": head[-1].id},
            )
            rest.append(list(again)[1:])
        assert rest[0] == rest[1]
        assert rest[0][-1].data == "[DONE]"
        assert content([*head[1:], *rest[0]]) == text.make_completion(
            QUESTION, 60
        )
        ids = [int(e.id.split(":")[1]) for e in [*head[1:], *rest[0][:-1]]]
        assert ids == list(range(1, 61))

    def check_whole(self, cluster, status, problem):
        problem = json.loads(problem)
        assert (status, problem["code"]) == (503, "stream_moved")
        url = cluster.nodes["entry-c"].callers + problem["location"]

        def ask():
            status, answer = fetch(url, headers=caller_headers())
            assert status in (200, 202), answer
            return answer if status == 200 else None

        message = json.loads(until(ask))["choices"][0]["message"]
        assert message["content"] == text.make_completion(QUESTION, 60)
