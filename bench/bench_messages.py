"""CPU cost of encoding and decoding messages between nodes."""

from __future__ import annotations

import time

from bench.report import BENCHES, Report
from guavalane_core import messages

ROUNDS = 5_000
ENDPOINT_COUNT = 24
# Limit for control traffic per node, in bytes per second.
MAX_CONTROL_BYTES_PER_S = 2_000


@BENCHES.register("messages")
def run(report: Report) -> None:
    """Measures a load report for the endpoint subset of one node."""
    message = messages.LoadReport(
        loads=tuple(
            messages.EndpointLoad(
                endpoint=f"engine-{i}", waiting=i, running=i, age_ms=10 * i
            )
            for i in range(ENDPOINT_COUNT)
        )
    )
    frame = messages.encode(message)
    start = time.process_time()
    for _ in range(ROUNDS):
        messages.decode(messages.encode(message))
    cost_us = (time.process_time() - start) / ROUNDS * 1e6
    report.figure("encode and decode a load report", cost_us, "us")
    report.bound(
        f"load report of {ENDPOINT_COUNT} endpoints, one a second",
        len(frame),
        "bytes",
        at_most=MAX_CONTROL_BYTES_PER_S,
    )
