"""Process tests of streams and retries with faults of endpoints and callers."""

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
ONE_TOKEN = ("skip_token", "error_event_at")
QUIET = {
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
def quiet(cluster):
    """Starts each test with engines that work."""
    for name in ENGINES:
        cluster.behave(name, **QUIET)


def open_stream(cluster, question, tokens=TOKENS, timeout_ms=20_000):
    """Sends a request for a stream and returns its socket."""
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
    """Reads to the end of the connection."""
    while data := sock.recv(65536):
        seen += data
    sock.close()
    return seen


def read_until(sock, word):
    """Reads until a word has arrived."""
    seen = b""
    while word not in seen:
        data = sock.recv(4096)
        assert data, seen
        seen += data
    return seen


def check_whole(raw, question, tokens=TOKENS):
    """Checks that a raw answer holds the whole stream with its usage."""
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
    assert content == text.answer(messages, tokens)
    reasons = [c["finish_reason"] for k in chunks for c in k["choices"]]
    assert [r for r in reasons if r] == ["length"]
    usage = [c["usage"] for c in chunks if "usage" in c][-1]
    prompt = text.count_tokens(text.prompt_of(messages))
    assert usage["completion_tokens"] == tokens
    assert usage["prompt_tokens"] == prompt
    assert usage["total_tokens"] == prompt + tokens


def serving(cluster):
    """Returns the engine whose stream runs."""
    for name in ENGINES:
        _, metrics = fetch(f"{cluster.urls[name]}/metrics")
        if "running 1" in metrics:
            return name
    raise AssertionError("no engine is serving")


def counter(cluster, name):
    """Returns a counter of the node, summed over labels."""
    counters = cluster.operator_get("entry-a", "dump")["counters"]
    return sum(v for k, v in counters.items() if k.startswith(name + "{"))


def cluster_view(cluster, name):
    """Returns what the node reports of an endpoint."""
    views = cluster.operator_get("entry-a", "endpoints")
    return next(view for view in views if view["endpoint"] == name)


class TestStreamFaults:
    """Guards against answers that are cut, mixed up or computed needlessly."""

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
    def test_engines_with_a_fault(self, cluster, fault):
        for number, name in enumerate(ENGINES):
            # Each engine fails at a token of its own: four attempts in a row
            # without progress would rightly end the stream.
            at = {k: v - number for k, v in fault.items() if k in ONE_TOKEN}
            cluster.behave(name, **{**fault, **at})
        question = f"fault {fault}"
        check_whole(read_all(open_stream(cluster, question)), question)

    def test_frozen_engine(self, cluster):
        sock = open_stream(cluster, "frozen")
        seen = read_until(sock, b":5\n")
        name = serving(cluster)
        cluster.group.signal(name, signal.SIGSTOP)
        try:
            check_whole(read_all(sock, seen), "frozen")
        finally:
            cluster.group.signal(name, signal.SIGCONT)

    def test_leaving_engine_hands_its_cache_over(self, cluster):
        before = sum(cluster.seen(n)["recomputed_tokens"] for n in ENGINES)
        # The stream outlasts the period of the VM list, 2.5 s at most.
        for name in ENGINES:
            cluster.behave(name, token_s=0.12)
        sock = open_stream(cluster, "leaving")
        seen = read_until(sock, b":3\n")
        name = serving(cluster)
        port = cluster.urls[name].rpartition(":")[2]
        vm = {"name": name, "address": f"127.0.0.1:{port}", "zone": "zone-a"}
        fetch(
            f"{cluster.urls['vms']}/standin/vms", body={**vm, "leaving": True}
        )
        received = len(cluster.seen(name)["requests"])
        check_whole(read_all(sock, seen), "leaving")
        assert counter(cluster, "caches_moved") == 1
        assert cluster.seen(name)["cancelled"] >= 1
        # At most the tokens between the export and the switch.
        after = sum(cluster.seen(n)["recomputed_tokens"] for n in ENGINES)
        assert after - before <= 2
        for number in range(6):
            question = f"after leaving {number}"
            sock = open_stream(cluster, question, 2)
            check_whole(read_all(sock), question, 2)
        assert len(cluster.seen(name)["requests"]) == received

    def test_engine_that_says_it_leaves_is_asked_once(self, cluster):
        # Faults before may have ejected engines, and an ejected one is not
        # asked at all, so the engine is one that serves. It is the one that
        # serves most: the node prefers engines of its zone, and another may
        # get none of the next thirty requests.
        end = time.monotonic() + 15
        state = ""
        while state != "closed":
            assert time.monotonic() < end
            served = collections.Counter()
            for _ in range(12):
                sock = open_stream(cluster, "who serves")
                seen = read_until(sock, b":2\n")
                served[serving(cluster)] += 1
                check_whole(read_all(sock, seen), "who serves")
            name, _ = served.most_common(1)[0]
            state = cluster_view(cluster, name)["state"]
        cluster.behave(name, leaving=True)
        received = len(cluster.seen(name)["requests"])
        for number in range(30):
            question = f"says it leaves {number}"
            check_whole(
                read_all(open_stream(cluster, question, 2)), question, 2
            )
        assert len(cluster.seen(name)["requests"]) == received + 1

    def test_caller_that_goes_away(self, cluster):
        sock = open_stream(cluster, "gone", 2000)
        read_until(sock, b":5\n")
        name = serving(cluster)
        cancelled = cluster.seen(name)["cancelled"]
        sock.close()
        end = time.monotonic() + 5
        while cluster.seen(name)["cancelled"] == cancelled:
            assert time.monotonic() < end
            time.sleep(0.02)
        assert cluster.operator_get("entry-a", "status")["in_flight"] == 0

    def test_slow_reader_is_cut_and_harms_no_one(self, cluster):
        for name in ENGINES:
            cluster.behave(name, token_s=0)
        sock = open_stream(cluster, "slow", 100_000)
        check_whole(read_all(open_stream(cluster, "quick")), "quick")
        end = time.monotonic() + 15
        while not counter(cluster, "slow_readers"):
            assert time.monotonic() < end
            time.sleep(0.05)
        sock.close()
        assert cluster.operator_get("entry-a", "status")["in_flight"] == 0

    def test_deadline_is_passed_on_and_kept(self, cluster):
        for name in ENGINES:
            cluster.behave(name, token_s=0.1)
        began = time.monotonic()
        raw = read_all(open_stream(cluster, "late", timeout_ms=700))
        assert time.monotonic() - began < 1.5
        assert b"event: error" in raw and b'"deadline_exceeded"' in raw
        passed = [
            int(request["timeout_ms"])
            for name in ENGINES
            for request in cluster.seen(name)["requests"]
        ]
        assert min(passed) <= 700 < 20_000 >= max(passed)

    def test_retry_storm_stays_within_the_budget(self, cluster):
        for name in ENGINES:
            cluster.behave(name, fail_status=500)
        before = sum(len(cluster.seen(n)["requests"]) for n in ENGINES)
        requests, answers = 120, []

        def call(part):
            for number in range(requests // 6):
                raw = read_all(open_stream(cluster, f"{part} {number}", 2))
                answers.append(b'"endpoint_failed"' in raw)

        began = time.monotonic()
        threads = [threading.Thread(target=call, args=(i,)) for i in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        seconds = time.monotonic() - began
        after = sum(len(cluster.seen(n)["requests"]) for n in ENGINES)
        assert answers == [True] * requests
        # Ten saved retries, a tenth of the requests and one a second.
        retries = after - before - requests
        assert retries <= 10 + 0.1 * requests + seconds + 1

    def test_killed_engine(self, cluster):
        sock = open_stream(cluster, "killed")
        seen = read_until(sock, b":5\n")
        cluster.group.signal(serving(cluster), signal.SIGKILL)
        check_whole(read_all(sock, seen), "killed")
