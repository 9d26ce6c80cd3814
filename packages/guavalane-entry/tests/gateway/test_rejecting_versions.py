"""Tests of rejections as evidence on the version of an endpoint."""

from __future__ import annotations

import pytest

from guavalane_core.forwarding import (
    Delivery,
    Engine,
    MovePhase,
    VersionMove,
)
from guavalane_standins.forwarding_samples import make_configuration, make_route
from guavalane_standins.gateway_rig import NAMES, GatewayRig, echo_headers

ENGINE = Engine(slots=4, kv_tokens=100_000)
SLOTS = 4
# Load in the rejection, tokens of the request, and whether it tells of a fault.
PLAIN = (
    ("0,0,4", None, True),
    ("3,0,4", None, True),
    ("4,0,4", None, False),
    ("3,1,4", None, False),
    (None, None, True),
    ("odd", None, True),
)
ENGINES = (
    ("1,0,4", "1000,50", True),
    ("2,0,4", "1000,50", False),
    ("0,0,4", "50000,50", False),
)


async def count_failures(delivery, script, tokens=None, **changes):
    """Returns the attempts and failures that a request adds to a trial."""
    engine = ENGINE if delivery is Delivery.STREAM else None
    route = make_route(delivery=delivery)
    async with GatewayRig(make_configuration(route, engine=engine)) as rig:
        move = VersionMove("app", "v2", 12.0, MovePhase.RUNNING)
        rig.view.moves.offer(move, rig.view.timers.now())
        await rig.add_endpoint(script, version="v2", slots=SLOTS)
        headers = {} if tokens is None else {NAMES.token_counts: tokens}
        async with rig.call(headers=headers) as response:
            await response.read()
        trial = rig.view.moves.running("app").trial
        counts = [c.counts for c in trial.counts if c.is_new]
        return sum(c.requests for c in counts), sum(c.errors for c in counts)


def reject(load, status=503):
    """Returns a script that rejects requests as not run."""

    async def script(exchange):
        headers = {**echo_headers(exchange), NAMES.not_run: "1"}
        if load is not None:
            headers[NAMES.load] = load
        await exchange.answer(status, headers)

    return script


class TestRejections:
    """Guards against a version that rejects while idle and counts as good.

    One that rejects because it is full must not count as bad.
    """

    @pytest.mark.parametrize(("load", "tokens", "is_fault"), PLAIN)
    async def test_of_a_plain_service(self, load, tokens, is_fault):
        counted = await count_failures(
            Delivery.AT_MOST_ONCE, reject(load), tokens
        )
        assert counted == (is_fault, is_fault)

    @pytest.mark.parametrize(("load", "tokens", "is_fault"), ENGINES)
    async def test_of_an_engine(self, load, tokens, is_fault):
        counted = await count_failures(Delivery.STREAM, reject(load), tokens)
        assert counted == (is_fault, is_fault)

    @pytest.mark.parametrize("status", [400, 421, 429])
    async def test_for_other_reasons(self, status):
        script = reject("0,0,4", status)
        counted = await count_failures(Delivery.AT_MOST_ONCE, script)
        assert counted == (0, 0)
