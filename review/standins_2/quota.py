"""Traffic of one tenant and the check of its allotment."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from standins_2.rig import BOUNDS, KEY, Headers, Rig

RATE_PER_S = BURST = 120_312
TOKENS = 6000
TOKEN_COUNT = "5900,100"
# The tenant's usual tokens a second; the site file gives limits of 1.8 times.
USUAL_PER_S = RATE_PER_S / 1.8
HOT_FACTOR = 7.5
USUAL_S = 3.0
HOT_S = 11.0


def limit_of_window() -> float:
    """Returns the tokens that the rule allows in one window."""
    window_s = BOUNDS["QuotaWindowS"]
    allowed = RATE_PER_S * window_s + BURST
    return allowed * (1 + BOUNDS["QuotaOver"]) + BOUNDS["QuotaSlack"]


def busiest_window(runs: list[tuple[float, float]]) -> int:
    """Returns the most tokens that were sent and arrived in one window.

    Args:
      runs: Time of sending and of arrival of each request that ran.
    """
    window_s = BOUNDS["QuotaWindowS"]
    most = 0
    for start_s, _ in runs:
        count = sum(
            sent_s >= start_s and ran_s <= start_s + window_s
            for sent_s, ran_s in runs
        )
        most = max(most, count * TOKENS)
    return most


async def play_tenant(
    rig: Rig,
    headers: Headers,
    hot_factor: float,
    on_time: Callable[[float], None] = lambda at_s: None,
) -> bool:
    """Sends a tenant's requests and returns whether QUOTA held.

    Args:
      rig: Deployment, with its servers.
      headers: Headers of all requests.
      hot_factor: Multiple of the usual traffic in the hot time.
      on_time: Called often with the time since the start in seconds.
    """
    sent: dict[str, float] = {}
    tasks = set()
    start_s = due_s = time.monotonic()
    count = 0
    while (now_s := time.monotonic()) < start_s + USUAL_S + HOT_S:
        on_time(now_s - start_s)
        if now_s < due_s:
            await asyncio.sleep(min(0.005, due_s - now_s))
            continue
        is_hot = now_s >= start_s + USUAL_S
        due_s += TOKENS / (USUAL_PER_S * (hot_factor if is_hot else 1.0))
        node = rig.nodes[count % len(rig.nodes)]
        count += 1
        request_id = f"{count:016x}"
        sent[request_id] = time.monotonic()
        call = rig.client.call(
            node.callers,
            "/look/item",
            headers=headers,
            deadline_ms=1500,
            key=KEY,
            request_id=request_id,
        )
        task = asyncio.create_task(call)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    runs = [
        (sent[run.request_id], run.at_s)
        for server in rig.servers.values()
        for run in server.runs
    ]
    most, limit = busiest_window(runs), limit_of_window()
    text = f"most tokens in a window: {most}, allowed: {limit:.0f}"
    rig.record.write(text)
    print(text)
    return most <= limit
