"""Throughput of the engines of a service."""

from __future__ import annotations

# Assumed for a large model on eight accelerators: about 100 tokens per
# millisecond.
DEFAULT_PREFILL_TOKENS_PER_S = 100_000.0
# Initial value of the mean run time of a request, in seconds.
DEFAULT_RUN_S = 1.0
# Weight of the newest sample in the exponentially weighted moving average.
EWMA_WEIGHT = 0.05


class EngineRates:
    """Prefill throughput and mean run time of one service's engines."""

    def __init__(self) -> None:
        self._run_s = DEFAULT_RUN_S

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prompt tokens that an engine processes per second."""
        return DEFAULT_PREFILL_TOKENS_PER_S

    @property
    def run_s(self) -> float:
        """Mean time in seconds from a request's first event to its end."""
        return self._run_s

    def on_run(self, run_s: float) -> None:
        """Adds the time from the first event of a request to its end."""
        self._run_s += EWMA_WEIGHT * (run_s - self._run_s)
