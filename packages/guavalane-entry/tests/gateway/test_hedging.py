"""Tests of hedged attempts with scripted endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import types

import aiohttp
import attrs
import pytest

from guavalane_core.forwarding import (
    Delivery,
    Engine,
    MovePhase,
    Organisation,
    VersionMove,
)
from guavalane_core.tasks import cancel_tasks
from guavalane_entry.gateway.settings import HedgeSettings
from guavalane_entry.hedged_race import HedgedRace
from guavalane_standins.forwarding_samples import (
    make_caller_request,
    make_configuration,
    make_prompt,
    make_route,
)
from guavalane_standins.gateway_rig import NAMES, GatewayRig, echo_headers

DELAY_S = 0.25
ENGINE = Engine(slots=4, kv_tokens=100_000)
ORGANISATION = Organisation("org-1", frozenset({"k"}), rate_per_s=1, burst=9)
HEADERS = {"Authorization": "Bearer k"}
STREAM_HEADERS = {
    **HEADERS,
    NAMES.model: "m",
    NAMES.token_counts: "1000,50",
    NAMES.prompt_parts: "common:250,thing-1:500,thing-1-own:250",
}


def make_plain(**changes):
    """Returns a configuration with one idempotent route."""
    values = {"delivery": Delivery.IDEMPOTENT, "max_endpoints": 2}
    return make_configuration(
        make_route(**{**values, "timeout_s": 2.0, **changes}),
        organisations=(ORGANISATION,),
    )


def make_stream(**changes):
    """Returns a configuration with one route of streams."""
    values = {"delivery": Delivery.STREAM, "max_endpoints": 2}
    values |= {"resumable": True, "timeout_s": 2.0}
    return make_configuration(
        make_route(**{**values, **changes}),
        organisations=(ORGANISATION,),
        engine=ENGINE,
    )


class HedgingRig(GatewayRig):
    """Rig with two endpoints and a known delay.

    Args:
      configuration: Active configuration.
      *scripts: Scripts of the requests, in the order in which endpoints
          receive them.
    """

    def __init__(self, configuration, *scripts, max_extra=0.5):
        super().__init__(configuration)
        self.scripts = list(scripts)
        self.received = []
        self.closed = []
        # Called when the first request arrives, before its hedge is due.
        self.on_first_request = lambda: None
        self.lines = []
        self.log.request = lambda event, request_id, **fields: (
            self.lines.append((event, fields))
        )
        changed = attrs.evolve(
            self.view.settings, hedges=HedgeSettings(max_extra=max_extra)
        )
        assert self.view.reload(changed) == []
        for tokens in (0, make_prompt().input_tokens):
            for _ in range(20):
                self.view.first_responses.record("r-1", tokens, DELAY_S)
        for _ in range(4):
            self.view.hedge_budget("app").on_request()
            self.view.retries("app").on_request(self.view.timers.now())

    async def __aenter__(self):
        await super().__aenter__()
        await self.add_endpoint(self._play, "e-1")
        await self.add_endpoint(self._play, "e-2")
        return self

    async def _play(self, exchange):
        index = len(self.received)
        self.received.append(exchange.request)
        if index == 0:
            self.on_first_request()
        script = asyncio.ensure_future(self.scripts[index](exchange))
        closed = asyncio.ensure_future(exchange.wait_closed_by_peer())
        await asyncio.wait(
            {script, closed}, return_when=asyncio.FIRST_COMPLETED
        )
        if script.done():
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await closed
            return
        self.closed.append(self.view.timers.now())
        script.cancel()
        raise ConnectionResetError

    @property
    def hedges(self):
        """Numbers of hedges sent and won."""
        total = self.metrics.total
        return total("hedges"), total("hedges_won")

    async def wait_ended(self):
        """Waits for the last line of the request and returns its fields.

        The caller has the response a little earlier.
        """
        ends = ("request.answered", "request.broken", "request.abandoned")
        found = {}
        await wait_for(
            lambda: found.update(e for e in self.lines if e[0] in ends) or found
        )
        return next(iter(found.values()))

    @property
    def suppressed(self):
        """Reasons for which no hedge was sent."""
        return [f["reason"] for e, f in self.lines if e == "hedge.suppressed"]

    @property
    def usage(self):
        """Number of requests that were counted."""
        return sum(count.requests for count in self.view.usage.recent())


async def hang(exchange):
    """Never responds."""
    await asyncio.sleep(30)


async def reject(exchange):
    """Responds that the request has not run."""
    headers = {**echo_headers(exchange), NAMES.not_run: "1"}
    await exchange.answer(503, headers)


def after(seconds, script):
    """Returns a script that begins after a time."""

    async def run(exchange):
        await asyncio.sleep(seconds)
        await script(exchange)

    return run


def answer(body, status=200):
    """Returns a script that sends a complete response."""

    async def run(exchange):
        await exchange.answer(status, echo_headers(exchange), body)

    return run


def stream(*data, pause_s=0.0, complete=True):
    """Returns a script that sends a stream in chunks."""

    async def run(exchange):
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{k}: {v}" for k, v in echo_headers(exchange).items()]
        await exchange.send("\r\n".join(lines).encode() + b"\r\n\r\n")
        for part in data:
            await exchange.send(b"%x\r\n%s\r\n" % (len(part), part))
            await asyncio.sleep(pause_s)
        if complete:
            await exchange.send(b"0\r\n\r\n")
        else:
            await exchange.close()

    return run


def event(name):
    """Returns the encoding of one event."""
    return f"id: {name}\ndata: {name}\n\n".encode()


async def post(rig, headers=HEADERS):
    """Returns the status and body of the response to one request."""
    async with rig.call(headers=headers) as response:
        return response.status, await response.read()


async def wait_for(condition):
    """Waits until a condition holds, for at most 2 s."""
    async with asyncio.timeout(2.0):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


class TestPlainRequests:
    """Guards against slow responses, and against two of them for a request."""

    async def test_the_second_response_is_used_and_the_first_cancelled(self):
        async with HedgingRig(make_plain(), hang, answer(b"two")) as rig:
            assert await post(rig) == (200, b"two")
            await wait_for(lambda: len(rig.closed) == 1)
            assert rig.hedges == (1, 1)
            assert len(rig.received) == 2
            sent = [f["hedge"] for e, f in rig.lines if e == "attempt.sent"]
            assert sent == [False, True]
            assert [e for e, _ in rig.lines].count("attempt.lost") == 1
            end = await rig.wait_ended()
            assert rig.view.work.own_loads() == {}
            assert rig.view.retries("app").repeats == 1
            assert (end["arrivals"], end["status"]) == (2, 200)

    async def test_the_first_response_may_still_win(self):
        first = after(3 * DELAY_S, answer(b"one"))
        async with HedgingRig(make_plain(), first, hang) as rig:
            assert await post(rig) == (200, b"one")
            await wait_for(lambda: len(rig.closed) == 1)
            assert rig.hedges == (1, 0)

    @pytest.mark.parametrize("failed", [reject, answer(b"", 500)])
    async def test_a_failure_leaves_the_other_running(self, failed):
        for scripts in (
            (after(2 * DELAY_S, failed), after(3 * DELAY_S, answer(b"x"))),
            (after(4 * DELAY_S, answer(b"x")), failed),
        ):
            async with HedgingRig(make_plain(), *scripts) as rig:
                assert await post(rig) == (200, b"x")
                decisions = [
                    fields["decision"]
                    for name, fields in rig.lines
                    if name == "attempt.failed"
                ]
                assert decisions == ["await_other"]

    async def test_a_request_that_both_refuse_has_not_run(self):
        slow = after(2 * DELAY_S, reject)
        async with HedgingRig(make_plain(), slow, slow) as rig:
            status, _ = await post(rig)
            assert status == 503
            assert rig.usage == 0
            level = rig.view.allotments.level("org-1")
            assert level == pytest.approx(9.0, abs=0.1)

    async def test_usage_counts_once_although_one_refuses(self):
        first = after(4 * DELAY_S, answer(b"x"))
        async with HedgingRig(make_plain(), first, reject) as rig:
            assert (await post(rig))[0] == 200
            assert rig.usage == 1

    async def test_the_hedge_gets_no_more_time_than_is_left(self):
        async with HedgingRig(make_plain(), hang, answer(b"x")) as rig:
            limits = {**HEADERS, NAMES.time_left_ms: "800"}
            assert (await post(rig, limits))[0] == 200
            one, two = (int(r.header(NAMES.time_left_ms)) for r in rig.received)
            assert two <= one - DELAY_S * 1000 + 1

    async def test_both_attempts_end_when_the_caller_leaves(self):
        async with HedgingRig(make_plain(), hang, hang) as rig:
            call = asyncio.ensure_future(post(rig))
            await wait_for(lambda: len(rig.received) == 2)
            began_s = rig.view.timers.now()
            call.cancel()
            await wait_for(lambda: len(rig.closed) == 2)
            assert max(rig.closed) - began_s < 0.5
            await rig.wait_ended()
            assert rig.view.work.own_loads() == {}

    async def test_both_attempts_end_at_the_deadline(self):
        configuration = make_plain(timeout_s=0.4)
        async with HedgingRig(configuration, hang, hang) as rig:
            assert (await post(rig))[0] == 504
            await wait_for(lambda: len(rig.closed) == 2)

    async def test_a_cancelled_attempt_is_no_outcome_of_its_version(self):
        async with HedgingRig(make_plain(), hang, answer(b"x")) as rig:
            move = VersionMove("app", "v2", 60.0, MovePhase.RUNNING)
            rig.view.moves.offer(move, rig.view.timers.now())
            assert (await post(rig))[0] == 200
            await rig.wait_ended()
            trial = rig.view.moves.running("app").trial
            assert trial.requests() == 1


class TestStreams:
    """Guards against streams made of the events of two attempts."""

    async def test_the_first_event_decides(self):
        slow = stream(b": ping\n\n", event("x"), pause_s=0.3)
        fast = stream(event("a"), event("b"), pause_s=0.02)
        async with HedgingRig(make_stream(), slow, fast) as rig:
            status, body = await post(rig, STREAM_HEADERS)
            assert (status, body) == (200, event("a") + event("b"))
            assert rig.hedges == (1, 1)
            assert rig.usage == 1

    async def test_comments_are_forwarded_with_the_first_event(self):
        only = stream(b": ping\n\n", event("a"), pause_s=0.01)
        async with HedgingRig(make_stream(), only) as rig:
            assert await post(rig, STREAM_HEADERS) == (
                200,
                b": ping\n\n" + event("a"),
            )

    async def test_a_begun_stream_is_not_hedged(self):
        slow = stream(event("a"), event("b"), pause_s=3 * DELAY_S)
        async with HedgingRig(make_stream(), slow) as rig:
            status, body = await post(rig, STREAM_HEADERS)
            assert (status, body) == (200, event("a") + event("b"))
            assert len(rig.received) == 1

    async def test_a_winner_that_breaks_uses_up_its_endpoints(self):
        """The cancelled attempt has run as well."""
        broken = stream(event("a"), complete=False)
        async with HedgingRig(make_stream(), hang, broken) as rig:
            with pytest.raises(aiohttp.ClientPayloadError):
                await post(rig, STREAM_HEADERS)
            assert len(rig.received) == 2


def fill(rig):
    """Fills the slots of both endpoints."""
    for name in ("e-1", "e-2"):
        for _ in range(4):
            rig.view.work.start(name)


def fill_one(rig):
    """Fills the slots of the second endpoint."""
    for _ in range(4):
        rig.view.work.start("e-2")


def use_up_retries(rig):
    """Uses up the retry budget."""
    budget = rig.view.retries("app")
    now_s = rig.view.timers.now()
    while budget.may_spend(now_s, rig.view.sharing_nodes):
        budget.spend(now_s)


def use_up_hedges(rig):
    """Uses up the limit of hedged attempts."""
    while rig.view.hedge_budget("app").may_spend():
        rig.view.hedge_budget("app").spend()


def stop(rig):
    """Begins the stop of the node."""
    rig.view.stop_deadline.begin(5.0)


def suspect(rig):
    """Reports an open crash of every request."""
    rig.view.quarantines.has_open_crash = lambda parts: True


def lengthen(rig):
    """Records a long request of the route."""
    rig.view.durations.record("r-1", 60.0)


class TestSuppression:
    """Guards against hedges that a rule forbids."""

    @pytest.mark.parametrize(
        "configuration",
        [
            make_plain(delivery=Delivery.AT_MOST_ONCE),
            make_plain(max_endpoints=1),
            make_stream(resumable=False),
        ],
    )
    async def test_by_route(self, configuration):
        late = after(3 * DELAY_S, answer(b"x", 404))
        async with HedgingRig(configuration, late) as rig:
            await post(rig, STREAM_HEADERS)
            assert len(rig.received) == 1
            assert rig.suppressed == []

    async def test_by_default(self):
        late = after(3 * DELAY_S, answer(b"x"))
        async with HedgingRig(make_plain(), late, max_extra=0.0) as rig:
            await post(rig)
            assert len(rig.received) == 1

    @pytest.mark.parametrize(
        ("prepare", "reason"),
        [
            (fill, "service_full"),
            (fill_one, "no_endpoint"),
            (use_up_retries, "retry_budget"),
            (use_up_hedges, "hedge_limit"),
            (stop, "stopping"),
            (suspect, "possible_crash"),
            (lengthen, "time_left"),
        ],
    )
    async def test_by_situation(self, prepare, reason):
        late = after(3 * DELAY_S, answer(b"x"))
        async with HedgingRig(make_plain(), late) as rig:
            rig.on_first_request = functools.partial(prepare, rig)
            assert await post(rig) == (200, b"x")
            assert rig.suppressed == [reason]
            assert len(rig.received) == 1
            assert rig.metrics.total("hedges_suppressed") == 1


class TestCounting:
    """Guards against limits that tasks exceed because they start later."""

    async def test_an_attempt_is_counted_when_it_is_chosen(self):
        """Otherwise several requests take the last place at once."""
        async with HedgingRig(make_plain(), *[hang] * 8) as rig:
            requests = [
                make_caller_request(
                    request_id=f"q-{i}",
                    arrived_s=rig.view.timers.now(),
                    key="k",
                )
                for i in range(8)
            ]
            reply = types.SimpleNamespace(started=False)
            tasks = [
                asyncio.ensure_future(rig.forwarder.forward(request, reply))
                for request in requests
            ]
            # One step of each task; those that they start have not run yet.
            await asyncio.sleep(0)
            loads = rig.view.work.own_loads()
            assert [loads[n].requests for n in ("e-1", "e-2")] == [4, 4]
            await cancel_tasks(*tasks)
            assert rig.view.work.own_loads() == {}

    async def test_a_hedge_that_never_starts_leaves_no_count(self, monkeypatch):
        start = HedgedRace._start

        def start_and_cancel(race, attempt, *, is_hedge):
            start(race, attempt, is_hedge=is_hedge)
            if is_hedge:
                list(race._tasks.values())[-1].cancel()

        monkeypatch.setattr(HedgedRace, "_start", start_and_cancel)
        first = after(3 * DELAY_S, answer(b"x"))
        async with HedgingRig(make_plain(), first) as rig:
            assert await post(rig) == (200, b"x")
            assert rig.hedges == (1, 0)
            await wait_for(lambda: rig.view.work.own_loads() == {})
            assert rig.usage == 1
            assert len(rig.received) == 1
