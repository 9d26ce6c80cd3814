"""A version that is bad on one route only is moved to."""

from __future__ import annotations

import asyncio
import os
import random
from typing import Any

import aiohttp
from harness import TROUBLE, Deployment, Record, run

from guavalane_platform_standins import deployment as platform
from guavalane_platform_standins.deployment import API_KEY, HOST
from guavalane_platform_standins.endpoint import EndpointServer

NODES = 7
TIME_S = float(os.environ.get("STEP_S", "12"))
# Requests per second and work of the sheet of zhk-pat.
ONCE_PER_S, LOOK_PER_S = 12.8, 5.14
WORK_S = 0.09
# Failures that the old version has as well.
LOOK_ERRORS = 0.14
# Part of the requests that the bad version fails on its bad route.
BAD_SHARE = float(os.environ.get("BAD_SHARE", "0.4"))
BAD_ROUTE = os.environ.get("BAD_ROUTE", "look")
WARM_UP_S = 10.0
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50


class Server(EndpointServer):
    """Plain server of one version that fails a part of its requests."""

    def __init__(
        self, endpoint_id: str, record: Record, rng: random.Random, bad: bool
    ) -> None:
        super().__init__(endpoint_id)
        self.arrivals: list[tuple[float, bool]] = []
        self._record, self._rng, self._bad = record, rng, bad

    async def _serve(self, request: Any) -> Any:
        identifier = request.headers.get("Request-Id", "")
        if request.headers.get("Expect-Instance") != self.endpoint_id:
            return platform.web.Response(
                status=421, headers={"Request-Id": identifier}
            )
        await request.read()
        share = LOOK_ERRORS if request.path.startswith("/look/") else 0.0
        if self._bad and request.path.startswith(f"/{BAD_ROUTE}/"):
            share = max(share, BAD_SHARE)
        fails = self._rng.random() < share
        self.arrivals.append((self._record.now(), fails))
        self._record.add(
            "runs", server=self.endpoint_id, id=identifier, fails=int(fails)
        )
        await asyncio.sleep(WORK_S * self._rng.uniform(0.5, 1.5))
        return platform.web.Response(
            status=500 if fails else 200,
            body=b"done",
            headers={
                "Request-Id": identifier,
                "Response-Seal": f"seal.{identifier}",
                "Server-Load": "1,0,6",
            },
        )


async def send(
    deployment: Deployment,
    session: aiohttp.ClientSession,
    record: Record,
    number: int,
    path: str,
    node: Any,
) -> None:
    """Sends a request."""
    headers = {
        "Host": HOST,
        "Request-Id": f"{number:016x}",
        "Deadline-Ms": "1500",
        "Authorization": f"Token {API_KEY}",
    }
    method = "POST" if path.startswith("/once/") else "GET"
    async with session.request(
        method, f"http://{node.callers}{path}", headers=headers
    ) as answer:
        await answer.read()
        record.add("answered", id=headers["Request-Id"], status=answer.status)


async def load(
    deployment: Deployment,
    record: Record,
    rng: random.Random,
    path: str,
    per_s: float,
    numbers: Any,
) -> None:
    """Sends requests at random times until it is cancelled."""
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            group.create_task(
                send(
                    deployment,
                    session,
                    record,
                    next(numbers),
                    path,
                    rng.choice(deployment.nodes),
                )
            )


def count_arrivals(servers: list[Server], begin_s: float, end_s: float) -> int:
    """Returns the number of requests that reached servers in a time."""
    return sum(
        begin_s <= at_s <= end_s
        for server in servers
        for at_s, _ in server.arrivals
    )


async def case(record: Record) -> bool:
    """Returns whether the bad version got no more than its share."""
    rng = random.Random()
    numbers = iter(range(1, 1_000_000))
    async with Deployment(NODES) as deployment:
        old = [Server(f"i-old{n}", record, rng, False) for n in range(4)]
        new = [Server(f"i-new{n}", record, rng, TROUBLE) for n in range(4)]
        for server in old:
            await deployment.add_server(server, "app")
        await asyncio.sleep(1.0)
        loads = [
            asyncio.create_task(
                load(deployment, record, rng, path, per_s, numbers)
            )
            for path, per_s in (
                ("/once/x", ONCE_PER_S),
                ("/look/x", LOOK_PER_S),
            )
        ]
        await asyncio.sleep(WARM_UP_S)
        order = {"Service": "app", "Target": "v2", "StepIntervalS": int(TIME_S)}
        deployment.store.put("rollouts", "app", order, {})
        order_s = record.now()
        record.add("order")
        for server in new:
            await deployment.add_server(server, "app", Version="v2")
        states: list[str] = []
        while record.now() < order_s + TIME_S:
            state = (deployment.store.status("rollouts", "app") or {}).get(
                "State"
            )
            if state and state not in states:
                states.append(state)
                record.add("state", state=state)
            await asyncio.sleep(0.1)
        for one in loads:
            one.cancel()
        await asyncio.gather(*loads, return_exceptions=True)
    end_s = order_s + TIME_S
    to_new = count_arrivals(new, order_s, end_s)
    to_old = count_arrivals(old, order_s, end_s)
    bad = sum(f for s in new for at, f in s.arrivals if order_s <= at <= end_s)
    allowed = EXPOSURE_SHARE * (to_new + to_old) + EXPOSURE_SLACK
    record.add(
        "counted",
        new=to_new,
        old=to_old,
        bad=bad,
        allowed=allowed,
        states="+".join(states),
    )
    assert to_new + to_old > 100
    return not TROUBLE or to_new <= allowed


run(case)
