"""Tests that each rule on repeats is found broken, and only then."""

from __future__ import annotations

import pathlib

import pytest

from soak.checks import REFUSALS
from soak.events import encode_event, read_events
from soak.history import Arrival, CallerRequest, History
from soak.repeats import (
    MAX_EXCESSIVE_REQUESTS,
    MAX_EXCESSIVE_TIMES,
    REPEAT_CHECKS,
)
from soak.sheet import read_sheet

SITE = pathlib.Path(__file__).with_name("small-site.toml")
# Requests in the window of a history, and the repeats that are allowed then.
REQUESTS = 100
ALLOWED = 40


@pytest.fixture(scope="module")
def sheet():
    """Returns the small installation."""
    return read_sheet(SITE)


class Play:
    """Made-up history of requests."""

    def __init__(self, sheet):
        self.history = History()
        self.excused = set()
        self._sheet = sheet

    def send(self, number, at_s=100.0, route="balance", status=200):
        """Adds a request of a caller and returns its identifier."""
        request = CallerRequest(
            f"q-{number}", route, "edge-1", at_s, 1.5, at_s + 1.0, status
        )
        self.history.requests.append(request)
        return request.request_id

    def receive(
        self, data, *, last=3, is_whole=True, route="notice", ended_s=101.0
    ):
        """Adds a stream that a caller received and returns its identifier."""
        events, rest = read_events(data)
        request = CallerRequest(
            f"q-{len(self.history.requests)}",
            route,
            "edge-1",
            100.0,
            1.5,
            ended_s,
            200,
            is_whole,
            last_event=last,
            events=events,
            rest=rest,
        )
        self.history.requests.append(request)
        return request.request_id

    def arrive(self, request_id, at_s=100.0, endpoint="i-1", **changes):
        """Adds an arrival that has run for 0.1 s."""
        values = {
            "service": "ledger",
            "time_limit_s": 1.0,
            "has_run": True,
            "ended_s": at_s + 0.1,
        }
        arrival = Arrival(
            request_id=request_id,
            endpoint=endpoint,
            at_s=at_s,
            **{**values, **changes},
        )
        self.history.arrivals.append(arrival)

    def check(self, name):
        """Returns the violations that a check finds."""
        check = REPEAT_CHECKS.get(name)
        return list(check(self._sheet, self.history, self._excuses))

    def _excuses(self, name, start_s, end_s):
        return name in self.excused


@pytest.fixture
def play(sheet):
    """Returns an empty history."""
    return Play(sheet)


class TestSheet:
    """Guards against an installation that is read wrongly."""

    def test_counts_and_rates_come_from_the_file(self, sheet):
        assert sheet.nodes == 3
        assert {s.name: s.endpoints for s in sheet.services.values()} == {
            "writer": 2,
            "ledger": 2,
        }
        rates = {name: route.per_s for name, route in sheet.routes.items()}
        assert rates == {
            "draft": 12.0,
            "notice": 6.0,
            "entry": 6.0,
            "balance": 6.0,
        }
        assert sheet.retries.slack == 20.0
        assert sheet.services["writer"].is_engine
        assert not sheet.services["ledger"].is_engine


class TestRetryBudget:
    """Guards against a check that counts runs instead of arrivals."""

    def fill(self, play, repeats, *, at_s=100.0, has_run=False):
        """Adds requests over three windows, and repeats at a time."""
        for number in range(3 * REQUESTS):
            sent_s = 80.0 + number * 10.0 / REQUESTS
            request_id = play.send(number, sent_s)
            play.arrive(request_id, sent_s, has_run=has_run)
        for number in range(repeats):
            play.arrive("q-0", at_s + number * 0.001, "i-2", has_run=has_run)

    @pytest.mark.parametrize("has_run", [True, False])
    def test_arrivals_count_even_if_they_are_rejected(self, play, has_run):
        self.fill(play, ALLOWED, has_run=has_run)
        assert play.check("retry_budget") == []
        play.arrive("q-0", 100.5, "i-2", has_run=has_run)
        assert play.check("retry_budget")

    def test_the_largest_of_three_windows_counts(self, play):
        self.fill(play, ALLOWED, at_s=109.9)
        assert play.check("retry_budget") == []

    def test_requests_long_before_do_not(self, play):
        self.fill(play, ALLOWED, at_s=131.0)
        assert play.check("retry_budget")

    def test_each_service_has_its_own_budget(self, play):
        self.fill(play, ALLOWED)
        request_id = play.send("other", route="draft")
        for _ in range(20):
            play.arrive(request_id, service="writer")
        assert play.check("retry_budget") == []
        for _ in range(2):
            play.arrive(request_id, service="writer")
        assert play.check("retry_budget")


class TestMaxAttempts:
    """Guards against a check that blames endpoints that were cut off."""

    def fill(self, play, requests):
        """Adds requests that ran at one endpoint too many."""
        for number in range(requests):
            request_id = play.send(number)
            for endpoint in ("i-1", "i-2", "i-3"):
                play.arrive(request_id, endpoint=endpoint)

    def test_a_few_requests_are_allowed(self, play):
        self.fill(play, MAX_EXCESSIVE_REQUESTS)
        assert play.check("max_attempts") == []

    def test_more_are_not(self, play):
        self.fill(play, MAX_EXCESSIVE_REQUESTS + 1)
        assert play.check("max_attempts")
        play.excused.add("i-2")
        assert play.check("max_attempts") == []

    def test_rejections_do_not_count(self, play):
        self.fill(play, MAX_EXCESSIVE_REQUESTS + 1)
        for arrival in play.history.arrivals:
            arrival.has_run = arrival.endpoint != "i-3"
        assert play.check("max_attempts") == []


class TestTimeLimits:
    """Guards against endpoints that work on when the caller has left."""

    @pytest.mark.parametrize("limit_s", [None, 2.1])
    def test_more_time_than_the_caller_has(self, play, limit_s):
        for number in range(MAX_EXCESSIVE_TIMES):
            play.arrive(play.send(number), time_limit_s=limit_s)
        assert play.check("time_limits") == []
        play.arrive(play.send(MAX_EXCESSIVE_TIMES), time_limit_s=limit_s)
        assert play.check("time_limits")

    def test_a_fifth_of_the_requests_is_allowed(self, play):
        for number in range(5 * (MAX_EXCESSIVE_TIMES + 1)):
            is_excessive = number % 5 == 0
            limit_s = 3.0 if is_excessive else 1.0
            play.arrive(play.send(number), time_limit_s=limit_s)
        assert play.check("time_limits") == []

    @pytest.mark.parametrize(("limit_s", "broken"), [(0.3, False), (1.3, True)])
    def test_a_repeat_may_not_start_the_time_anew(self, play, limit_s, broken):
        for number in range(MAX_EXCESSIVE_TIMES + 1):
            request_id = play.send(number)
            play.arrive(request_id, time_limit_s=1.0)
            play.arrive(request_id, 100.7, "i-2", time_limit_s=limit_s)
        assert bool(play.check("time_limits")) == broken


class TestRunsAtTheSameTime:
    """Guards against a check that overlooks a run that goes on."""

    def test_a_run_that_ends_in_time_is_allowed(self, play):
        request_id = play.send(1, route="draft")
        play.arrive(request_id, 100.0, ended_s=102.3)
        play.arrive(request_id, 102.0, "i-2", ended_s=103.0)
        assert play.check("one_endpoint_at_a_time") == []

    @pytest.mark.parametrize("party", ["i-1", "edge-1"])
    def test_a_run_that_goes_on_is_not(self, play, party):
        request_id = play.send(1, route="draft")
        play.arrive(request_id, 100.0, ended_s=102.5)
        play.arrive(request_id, 102.0, "i-2", ended_s=103.0)
        assert play.check("one_endpoint_at_a_time")
        play.excused.add(party)
        assert play.check("one_endpoint_at_a_time") == []

    def test_a_request_that_must_not_be_repeated(self, play):
        request_id = play.send(1, route="entry")
        play.arrive(request_id)
        play.arrive(request_id, endpoint="i-2", has_run=False)
        assert play.check("at_most_once") == []
        play.arrive(request_id, endpoint="i-2")
        assert play.check("at_most_once")

    def test_a_stream_that_cannot_be_resumed_must_not_be_repeated(self, play):
        request_id = play.send(1, route="notice")
        play.arrive(request_id)
        play.arrive(request_id, endpoint="i-2")
        assert play.check("at_most_once")


class TestTrueRefusals:
    """Guards against a check that overlooks a refused request that runs."""

    @pytest.mark.parametrize("route", ["entry", "notice"])
    @pytest.mark.parametrize("status", sorted(REFUSALS))
    @pytest.mark.parametrize("at_s", [100.1, 103.0])
    def test_a_refused_request_that_runs(self, play, route, status, at_s):
        request_id = play.send(1, route=route, status=status)
        play.arrive(request_id, at_s)
        assert play.check("true_refusals")

    def test_a_rejected_arrival_is_no_run(self, play):
        request_id = play.send(1, route="entry", status=503)
        play.arrive(request_id, has_run=False)
        assert play.check("true_refusals") == []

    @pytest.mark.parametrize("status", [200, 500, 502, 504, None])
    def test_other_ends_promise_nothing(self, play, status):
        play.arrive(play.send(1, route="entry", status=status))
        assert play.check("true_refusals") == []

    @pytest.mark.parametrize("route", ["balance", "draft"])
    def test_requests_that_may_be_repeated(self, play, route):
        play.arrive(play.send(1, route=route, status=503))
        assert play.check("true_refusals") == []


class TestWholeResponses:
    """Guards against a check that overlooks a reset response."""

    def test_a_reset_response_that_looks_complete(self, play):
        play.arrive(play.send(1), was_reset=True)
        assert play.check("whole_responses")

    def test_a_response_that_was_reset_at_first(self, play):
        request_id = play.send(1)
        play.arrive(request_id, was_reset=True)
        play.arrive(request_id, endpoint="i-2")
        assert play.check("whole_responses") == []

    def test_a_response_that_is_no_success(self, play):
        play.arrive(play.send(1, status=502), was_reset=True)
        assert play.check("whole_responses") == []


def encode_stream(*numbers, run="i-1/1"):
    """Returns events of a run as they are sent."""
    return b"".join(encode_event(number, run) for number in numbers)


class TestStreamOrder:
    """Guards against a check that overlooks a stream with events missing."""

    @pytest.mark.parametrize("route", ["draft", "notice"])
    @pytest.mark.parametrize("is_whole", [True, False])
    def test_a_whole_stream(self, play, route, is_whole):
        play.receive(encode_stream(1, 2, 3), route=route, is_whole=is_whole)
        assert play.check("stream_order") == []

    @pytest.mark.parametrize("route", ["draft", "notice"])
    @pytest.mark.parametrize("numbers", [(), (1,), (1, 2)])
    def test_a_stream_that_is_complete_too_early(self, play, route, numbers):
        play.excused |= {"i-1", "edge-1"}
        play.receive(encode_stream(*numbers), route=route)
        assert play.check("stream_order")

    @pytest.mark.parametrize("numbers", [(), (1,), (1, 2)])
    def test_a_stream_that_breaks_may_lack_its_end(self, play, numbers):
        play.receive(encode_stream(*numbers), is_whole=False)
        play.receive(encode_stream(*numbers) + b"id: 3", is_whole=False)
        assert play.check("stream_order") == []

    @pytest.mark.parametrize("is_whole", [True, False])
    @pytest.mark.parametrize(
        "numbers", [(1, 3), (2, 3), (1, 1, 2, 3), (2, 1, 3), (1, 2, 3, 4)]
    )
    def test_events_that_are_missing_or_not_in_order(
        self, play, numbers, is_whole
    ):
        play.receive(encode_stream(*numbers), is_whole=is_whole)
        assert play.check("stream_order")

    @pytest.mark.parametrize("rest", [b"id: 4", b"HTTP/1.1 200 OK\r\n"])
    def test_bytes_after_the_last_event(self, play, rest):
        play.receive(encode_stream(1, 2, 3) + rest)
        assert play.check("stream_order")

    def test_events_joined_in_the_middle(self, play):
        data = encode_stream(1)[:-4] + encode_stream(2, 3, run="i-2/1")
        play.receive(data, route="draft")
        assert play.check("stream_order")

    @pytest.mark.parametrize("is_whole", [True, False])
    def test_runs_are_joined_only_if_a_stream_may_be_resumed(
        self, play, is_whole
    ):
        data = encode_stream(1) + encode_stream(2, 3, run="i-2/1")
        play.receive(data, route="draft", is_whole=is_whole)
        assert play.check("stream_order") == []
        play.receive(data, route="notice", is_whole=is_whole)
        assert play.check("stream_order")

    def test_other_statuses_and_other_requests_are_no_streams(self, play):
        play.send(1, route="notice", status=502)
        play.send(2, route="balance")
        assert play.check("stream_order") == []


class TestWholeStreams:
    """Guards against a check that overlooks a whole stream that was broken."""

    def break_off(self, play, **changes):
        """Adds a stream of three events that broke at its caller."""
        request_id = play.receive(encode_stream(1, 2), is_whole=False)
        play.arrive(request_id, **changes)

    @pytest.mark.parametrize("party", ["i-1", "edge-1"])
    def test_a_stream_that_was_sent_to_its_end(self, play, party):
        self.break_off(play, was_sent=True)
        assert play.check("whole_streams")
        play.excused.add(party)
        assert play.check("whole_streams") == []

    def test_a_stream_that_its_endpoint_broke_off(self, play):
        self.break_off(play)
        assert play.check("whole_streams") == []

    def test_a_stream_whose_caller_has_no_time_left(self, play):
        request_id = play.receive(
            encode_stream(1, 2), is_whole=False, ended_s=101.6
        )
        play.arrive(request_id, was_sent=True)
        assert play.check("whole_streams") == []

    def test_a_stream_that_arrived(self, play):
        play.arrive(play.receive(encode_stream(1, 2, 3)), was_sent=True)
        assert play.check("whole_streams") == []
