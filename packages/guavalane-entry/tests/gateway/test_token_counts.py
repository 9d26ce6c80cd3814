"""Tests of the units that requests draw by their token counts."""

from __future__ import annotations

import pytest

from guavalane_core.forwarding import Delivery, Engine, Organisation
from guavalane_standins.forwarding_samples import make_configuration, make_route
from guavalane_standins.gateway_rig import NAMES, GatewayRig, echo_headers

KEY = "key-1"
PLAIN_TOKENS = 200
BURST = 1_000_000
COUNTS = "5900,100"
INVALID_COUNTS = (
    "",
    "1460",
    "1460,",
    "1460,80,3",
    "-5900,100",
    "5900,-100",
    "+5900,100",
    "5_900,100",
    "5900.0,100",
    "0x10,100",
    "1460;80",
    f"{10**9},1",
    f"{'9' * 5000},1",
)


async def answer(exchange):
    """Sends a success."""
    await exchange.answer(200, echo_headers(exchange), b"data: done\n\n")


def make_rig(delivery):
    """Returns a rig with one route and one organisation."""
    engine = None
    if delivery is Delivery.STREAM:
        engine = Engine(slots=4, kv_tokens=100_000)
    organisation = Organisation(
        "org",
        frozenset({KEY}),
        # Nearly nothing flows in during a test.
        rate_per_s=0.001,
        burst=BURST,
        counts_tokens=True,
        plain_tokens=PLAIN_TOKENS,
    )
    route = make_route(delivery=delivery)
    return GatewayRig(
        make_configuration(route, organisations=(organisation,), engine=engine)
    )


async def call(rig, headers):
    """Sends a request and returns its status and the units drawn so far."""
    headers = {"Authorization": f"Bearer {KEY}", **headers}
    async with rig.call(headers=headers) as response:
        await response.read()
        return response.status, rig.view.allotments.drawn.get("org", 0)


@pytest.mark.parametrize(
    "delivery", [Delivery.AT_MOST_ONCE, Delivery.IDEMPOTENT, Delivery.STREAM]
)
class TestTokenCounts:
    """Guards against requests that get round the allotment of their tokens."""

    @pytest.mark.parametrize("model", [{}, {NAMES.model: "m"}])
    async def test_a_request_counts_by_its_tokens(self, delivery, model):
        async with make_rig(delivery) as rig:
            await rig.add_endpoint(answer)
            headers = {NAMES.token_counts: COUNTS, **model}
            assert await call(rig, headers) == (200, 6000)

    @pytest.mark.parametrize("model", [{}, {NAMES.model: "m"}])
    async def test_one_without_counts_counts_as_plain(self, delivery, model):
        async with make_rig(delivery) as rig:
            await rig.add_endpoint(answer)
            assert await call(rig, model) == (200, PLAIN_TOKENS)

    @pytest.mark.parametrize("counts", INVALID_COUNTS, ids=lambda c: c[:12])
    async def test_invalid_counts_are_rejected(self, delivery, counts):
        async with make_rig(delivery) as rig:
            endpoint = await rig.add_endpoint(answer)
            status, drawn = await call(rig, {NAMES.token_counts: counts})
            assert (status, drawn) == (400, 0)
            assert endpoint.requests == []
