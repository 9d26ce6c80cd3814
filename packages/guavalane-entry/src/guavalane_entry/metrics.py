"""Metrics of one node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry
    from prometheus_client.core import Metric

# Histograms cover 0.1 ms to 1 hour with a resolution of 0.1 ms.
RESOLUTION_S = 0.0001
MAX_UNITS = 36_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)


class Metrics:
    """Counters, gauges and duration histograms by name and label."""

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._sums: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[str, Callable[[], dict[str, float]]] = {}
        self._registry: CollectorRegistry | None = None

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increments a counter."""
        self._counters[name, label] += amount

    def gauge(self, name: str, read: Callable[[], dict[str, float]]) -> None:
        """Registers a gauge that is read when the metrics are collected.

        Args:
          name: Name, including the unit.
          read: Returns the values by label.
        """
        self._gauges[name] = read

    def total(self, name: str) -> int:
        """Returns the sum of a counter over all labels."""
        return sum(n for (key, _), n in self._counters.items() if key == name)

    def record(self, name: str, label: str, seconds: float) -> None:
        """Records a duration in seconds."""
        key = (name, label)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        units = max(1, min(MAX_UNITS, int(seconds / RESOLUTION_S)))
        histogram.record_value(units)
        self._sums[key] += seconds

    def percentile(self, name: str, label: str, percent: float) -> float:
        """Returns a percentile in seconds, or 0 if nothing was recorded."""
        histogram = self._histograms.get((name, label))
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(percent) * RESOLUTION_S

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics; called by the Prometheus client."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            SummaryMetricFamily,
        )

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
        for (name, label), histogram in sorted(self._histograms.items()):
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
        """Returns all metrics in the Prometheus text format.

        The Prometheus client is imported on first use: it takes a twentieth of
        the startup time, and a node listens before it is asked for metrics.
        """
        from prometheus_client import CollectorRegistry, generate_latest

        if self._registry is None:
            self._registry = CollectorRegistry()
            self._registry.register(self)
        return generate_latest(self._registry)

    def dump(self) -> dict[str, int]:
        """Returns all counters for the state dump."""
        return {
            f"{name}{{{label}}}": value
            for (name, label), value in sorted(self._counters.items())
        }
