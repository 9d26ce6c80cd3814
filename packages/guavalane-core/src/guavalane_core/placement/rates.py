"""Speed of an engine as seen from its answers."""

from __future__ import annotations

# Assumed before the first answers; a large model on eight accelerators reads
# about a hundred tokens in a millisecond.
DEFAULT_PREFILL_TOKENS_PER_S = 100_000.0
# Assumed time of one request in a slot before the first has ended, in seconds.
DEFAULT_RUN_S = 1.0
# Weight of one new sample in the averages.
SAMPLE_WEIGHT = 0.05


class EngineRates:
    """Running averages over the engines of one service."""

    def __init__(self) -> None:
        self._run_s = DEFAULT_RUN_S

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prompt tokens that an engine reads in a second."""
        return DEFAULT_PREFILL_TOKENS_PER_S

    @property
    def run_s(self) -> float:
        """Mean time from the first event of a request to its end."""
        return self._run_s

    def on_run(self, run_s: float) -> None:
        """Adds the time from the first event of a request to its end."""
        self._run_s += SAMPLE_WEIGHT * (run_s - self._run_s)
