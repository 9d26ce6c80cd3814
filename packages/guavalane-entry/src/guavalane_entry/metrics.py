"""Counters and latency figures of one node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)

# Histograms cover 0.1 ms to 1 hour in units of 0.1 ms.
UNIT_S = 0.0001
HIGHEST_UNITS = 36_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)


class Metrics:
    """Counts events and records times, each under a name and a label."""

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, str]] = Counter()
        self._times: dict[tuple[str, str], HdrHistogram] = {}
        self._sums: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[str, Callable[[], dict[str, float]]] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Adds to a counter."""
        self._counters[name, label] += amount

    def gauge(self, name: str, read: Callable[[], dict[str, float]]) -> None:
        """Adds a figure that is read when the metrics are.

        Args:
          name: Name, with its unit.
          read: Function that returns the values by label.
        """
        self._gauges[name] = read

    def total(self, name: str) -> int:
        """Returns a counter summed over its labels."""
        return sum(n for (key, _), n in self._counters.items() if key == name)

    def record(self, name: str, label: str, seconds: float) -> None:
        """Records a time in seconds."""
        key = (name, label)
        histogram = self._times.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, HIGHEST_UNITS, SIGNIFICANT_DIGITS)
            self._times[key] = histogram
        units = max(1, min(HIGHEST_UNITS, int(seconds / UNIT_S)))
        histogram.record_value(units)
        self._sums[key] += seconds

    def percentile(self, name: str, label: str, per_cent: float) -> float:
        """Returns a percentile in seconds; 0 if nothing was recorded."""
        histogram = self._times.get((name, label))
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(per_cent) * UNIT_S

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics for the Prometheus library."""
        counters: dict[str, CounterMetricFamily] = {}
        for (name, label), value in sorted(self._counters.items()):
            family = counters.setdefault(
                name,
                CounterMetricFamily(
                    f"guavalane_{name}", f"Number of {name}.", labels=["label"]
                ),
            )
            family.add_metric([label], value)
        yield from counters.values()
        for name, read in sorted(self._gauges.items()):
            gauge = GaugeMetricFamily(
                f"guavalane_{name}", f"Current {name}.", labels=["label"]
            )
            for label, value in sorted(read().items()):
                gauge.add_metric([label], value)
            yield gauge
        for (name, label), histogram in sorted(self._times.items()):
            family = SummaryMetricFamily(
                f"guavalane_{name}_seconds",
                f"Distribution of {name}.",
                labels=["label"],
            )
            family.add_metric(
                [label], histogram.get_total_count(), self._sums[name, label]
            )
            for quantile in QUANTILES:
                family.add_sample(
                    f"guavalane_{name}_seconds",
                    {"label": label, "quantile": str(quantile)},
                    self.percentile(name, label, quantile * 100),
                )
            yield family

    def render(self) -> bytes:
        """Returns all metrics as Prometheus text."""
        return generate_latest(self._registry)

    def dump(self) -> dict[str, int]:
        """Returns all counters for a state dump."""
        return {
            f"{name}{{{label}}}": value
            for (name, label), value in sorted(self._counters.items())
        }
