"""Process tests of streams and retries under endpoint and caller faults."""

from __future__ import annotations

import collections
import json
import re
import signal
import socket
import threading
import time

import pytest

from guavalane_standins import text
from guavalane_standins.cluster import Cluster, caller_headers
from guavalane_standins.processes import ProcessGroup, fetch

TOKENS = 40
ENGINES = ("engine-a", "engine-b", "engine-c", "engine-d")
# Faults whose value is a token index.
TOKEN_INDEX_FAULTS = ("skip_token", "error_event_at")
HEALTHY = {
    "token_s": 0.01,
    "fail_status": 0,
    "fail_after_tokens": -1,
    "fail_streams": 1_000_000,
    "leaving": False,
    "hang": False,
    "duplicate_chunks": False,
    "skip_token": -1,
    "separate_finish": False,
    "break_before_finish": False,
    "error_event_at": -1,
}


@pytest.fixture(scope="module")
def cluster():
    """Runs four engines, one service and one entry node."""
    with ProcessGroup() as group:
        cluster = Cluster(group)
        cluster.group = group
        cluster.start_platform()
        for name, zone in zip(ENGINES, "abcd", strict=True):
            cluster.start_engine(name, f"zone-{zone}", kv_transfer=True)
        cluster.start_service("certificates-a", "zone-a")
        cluster.start_node("entry-a", "zone-a", limits={"slow_reader_s": 1.0})
        yield cluster


@pytest.fixture(autouse=True)
def healthy_engines(cluster):
    """Resets the injected faults of all engines before each test."""
    for name in ENGINES:
        cluster.set_behaviour(name, **HEALTHY)


def open_stream(cluster, question, tokens=TOKENS, timeout_ms=20_000):
    """Sends a streaming request and returns the socket."""
    host, port = cluster.nodes["entry-a"].callers[7:].split(":")
    messages = [{"role": "user", "content": question}]
    body = json.dumps(
        {
            "model": "assistant",
            "messages": messages,
            "max_tokens": tokens,
            "stream": True,
        }
    )
    headers = caller_headers(**{"X-Request-Timeout-Ms": str(timeout_ms)})
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        f"Host: {host}",
        "Connection: close",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *(f"{key}: {value}" for key, value in headers.items()),
    ]
    sock = socket.create_connection((host, int(port)), timeout=20)
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
    return sock


def read_all(sock, seen=b""):
    """Reads until the peer closes the connection."""
    while data := sock.recv(65536):
        seen += data
    sock.close()
    return seen


def read_until(sock, word):
    """Reads until the received data contains `word`."""
    seen = b""
    while word not in seen:
        data = sock.recv(4096)
        assert data, seen
        seen += data
    return seen


def check_complete(raw, question, tokens=TOKENS):
    """Asserts that a raw response has all tokens, one finish and the usage."""
    raw = raw.decode()
    events = re.findall(r"^data: (.*?)\r?$", raw, re.MULTILINE)
    assert events and events[-1] == "[DONE]", raw[-800:]
    chunks = [json.loads(event) for event in events[:-1]]
    content = "".join(
        choice["delta"].get("content", "")
        for chunk in chunks
        for choice in chunk["choices"]
    )
    messages = [{"role": "user", "content": question}]
    assert content == text.make_completion(messages, tokens)
    reasons = [c["finish_reason"] for k in chunks for c in k["choices"]]
    assert [r for r in reasons if r] == ["length"]
    usage = [c["usage"] for c in chunks if "usage" in c][-1]
    prompt = text.count_tokens(text.format_prompt(messages))
    assert usage["completion_tokens"] == tokens
    assert usage["prompt_tokens"] == prompt
    assert usage["total_tokens"] == prompt + tokens


def serving_engine(cluster):
    """Returns the engine that is running a request."""
    for name in ENGINES:
        _, metrics = fetch(f"{cluster.urls[name]}/metrics")
        if "running 1" in metrics:
            return name
    raise AssertionError("no engine is running a request")


def counter(cluster, name):
    """Returns a counter of the node, summed over all labels."""
    counters = cluster.operator_get("entry-a", "dump")["counters"]
    return sum(v for k, v in counters.items() if k.startswith(name + "{"))


def endpoint_view(cluster, name):
    """Returns the entry of an endpoint in the report of the node."""
    views = cluster.operator_get("entry-a", "endpoints")
    return next(view for view in views if view["endpoint"] == name)


class TestStreamFaults:
    """Guards against truncated, corrupted or needlessly recomputed streams."""

    @pytest.mark.parametrize(
        "fault",
        [
            {"duplicate_chunks": True},
            {"skip_token": 7},
            {"skip_token": TOKENS - 1},
            {"error_event_at": 9},
            {"separate_finish": True},
            {"separate_finish": True, "break_before_finish": True},
            {"fail_after_tokens": 13},
            {"fail_after_tokens": 5, "separate_finish": True},
        ],
        ids=lambda fault: "-".join(fault) + f"-{next(iter(fault.values()))}",
    )
    def test_stream_is_complete_despite_faults(self, cluster, fault):
        for number, name in enumerate(ENGINES):
            # Each engine fails at a different token: the node ends a stream
            # after four consecutive attempts without progress.
            indexes = {
                k: v - number
                for k, v in fault.items()
                if k in TOKEN_INDEX_FAULTS
            }
            cluster.set_behaviour(name, **{**fault, **indexes})
        question = f"fault {fault}"
        check_complete(read_all(open_stream(cluster, question)), question)

    def test_suspended_engine(self, cluster):
        sock = open_stream(cluster, "frozen")
        seen = read_until(sock, b":5\n")
        name = serving_engine(cluster)
        cluster.group.signal(name, signal.SIGSTOP)
        try:
            check_complete(read_all(sock, seen), "frozen")
        finally:
            cluster.group.signal(name, signal.SIGCONT)

    def test_leaving_engine_transfers_its_cache(self, cluster):
        before = sum(
            cluster.endpoint_stats(n)["recomputed_tokens"] for n in ENGINES
        )
        # The stream must take longer than the VM list period of at most 2.5 s.
        for name in ENGINES:
            cluster.set_behaviour(name, token_s=0.12)
        sock = open_stream(cluster, "leaving")
        seen = read_until(sock, b":3\n")
        name = serving_engine(cluster)
        port = cluster.urls[name].rpartition(":")[2]
        vm = {"name": name, "address": f"127.0.0.1:{port}", "zone": "zone-a"}
        fetch(
            f"{cluster.urls['vms']}/standin/vms", body={**vm, "leaving": True}
        )
        received = len(cluster.endpoint_stats(name)["requests"])
        check_complete(read_all(sock, seen), "leaving")
        assert counter(cluster, "caches_moved") == 1
        assert cluster.endpoint_stats(name)["cancelled"] >= 1
        # Only tokens generated between the cache export and the switch to the
        # new engine are recomputed.
        after = sum(
            cluster.endpoint_stats(n)["recomputed_tokens"] for n in ENGINES
        )
        assert after - before <= 2
        for number in range(6):
            question = f"after leaving {number}"
            sock = open_stream(cluster, question, 2)
            check_complete(read_all(sock), question, 2)
        assert len(cluster.endpoint_stats(name)["requests"]) == received

    def test_engine_that_rejects_as_leaving_gets_one_request(self, cluster):
        # Earlier tests may have caused engines to be ejected, and ejected
        # engines get no requests, so the test chooses the engine that serves
        # most requests. The node prefers engines of its zone, so another
        # engine might get none of the next 30 requests.
        end = time.monotonic() + 15
        state = ""
        while state != "closed":
            assert time.monotonic() < end
            served = collections.Counter()
            for _ in range(12):
                sock = open_stream(cluster, "who serves")
                seen = read_until(sock, b":2\n")
                served[serving_engine(cluster)] += 1
                check_complete(read_all(sock, seen), "who serves")
            name, _ = served.most_common(1)[0]
            state = endpoint_view(cluster, name)["state"]
        cluster.set_behaviour(name, leaving=True)
        received = len(cluster.endpoint_stats(name)["requests"])
        for number in range(30):
            question = f"says it leaves {number}"
            check_complete(
                read_all(open_stream(cluster, question, 2)), question, 2
            )
        assert len(cluster.endpoint_stats(name)["requests"]) == received + 1

    def test_caller_that_disconnects(self, cluster):
        sock = open_stream(cluster, "gone", 2000)
        read_until(sock, b":5\n")
        name = serving_engine(cluster)
        cancelled = cluster.endpoint_stats(name)["cancelled"]
        sock.close()
        end = time.monotonic() + 5
        while cluster.endpoint_stats(name)["cancelled"] == cancelled:
            assert time.monotonic() < end
            time.sleep(0.02)
        assert cluster.operator_get("entry-a", "status")["in_flight"] == 0

    def test_slow_reader_is_disconnected_and_delays_no_other(self, cluster):
        for name in ENGINES:
            cluster.set_behaviour(name, token_s=0)
        sock = open_stream(cluster, "slow", 100_000)
        check_complete(read_all(open_stream(cluster, "quick")), "quick")
        end = time.monotonic() + 15
        while not counter(cluster, "slow_readers"):
            assert time.monotonic() < end
            time.sleep(0.05)
        sock.close()
        assert cluster.operator_get("entry-a", "status")["in_flight"] == 0

    def test_deadline_is_propagated_and_enforced(self, cluster):
        for name in ENGINES:
            cluster.set_behaviour(name, token_s=0.1)
        started = time.monotonic()
        raw = read_all(open_stream(cluster, "late", timeout_ms=700))
        assert time.monotonic() - started < 1.5
        assert b"event: error" in raw and b'"deadline_exceeded"' in raw
        passed = [
            int(request["timeout_ms"])
            for name in ENGINES
            for request in cluster.endpoint_stats(name)["requests"]
        ]
        assert min(passed) <= 700 < 20_000 >= max(passed)

    def test_retries_stay_within_the_budget(self, cluster):
        for name in ENGINES:
            cluster.set_behaviour(name, fail_status=500)
        before = sum(
            len(cluster.endpoint_stats(n)["requests"]) for n in ENGINES
        )
        requests, answers = 120, []

        def call(part):
            for number in range(requests // 6):
                raw = read_all(open_stream(cluster, f"{part} {number}", 2))
                answers.append(b'"endpoint_failed"' in raw)

        started = time.monotonic()
        threads = [threading.Thread(target=call, args=(i,)) for i in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        seconds = time.monotonic() - started
        after = sum(len(cluster.endpoint_stats(n)["requests"]) for n in ENGINES)
        assert answers == [True] * requests
        # The retry budget allows a burst of 10, one retry per 10 requests and
        # one per second.
        retries = after - before - requests
        assert retries <= 10 + 0.1 * requests + seconds + 1

    def test_killed_engine(self, cluster):
        sock = open_stream(cluster, "killed")
        seen = read_until(sock, b":5\n")
        cluster.group.signal(serving_engine(cluster), signal.SIGKILL)
        check_complete(read_all(sock, seen), "killed")
