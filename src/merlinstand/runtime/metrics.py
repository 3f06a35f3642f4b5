"""Counters and gauges, exported in Prometheus's text format."""

import re
from collections.abc import Callable
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

_PREFIX = "merlinstand_"
_BAD_CHARACTERS = re.compile(r"[^a-zA-Z0-9_]")
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAXIMUM_SERIES = 10_000
"""Most label combinations of one process; further ones are dropped and counted."""


class Metrics:
    """The metrics of one process, in a registry of their own."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._registry = CollectorRegistry()
        self._families: dict[str, Any] = {}
        self._series: dict[tuple[Any, ...], Any] = {}
        self.dropped = 0

    def count(self, name: str, amount: float, labels: dict[str, str]) -> None:
        """Add to a counter."""
        series = self._find(Counter, name, labels)
        if series is not None and amount >= 0:
            series.inc(amount)

    def set_gauge(self, name: str, value: float, labels: dict[str, str]) -> None:
        """Set a gauge."""
        series = self._find(Gauge, name, labels)
        if series is not None:
            series.set(value)

    def add_callback(self, name: str, read: Callable[[], float]) -> None:
        """Export a gauge that is read when it is asked for."""
        family = Gauge(_metric_name(name), name, registry=self._registry)
        family.set_function(read)

    def register(self, collector: Any) -> None:
        """Add a collector in prometheus_client's own interface."""
        self._registry.register(collector)

    def export(self) -> bytes:
        """Render all metrics."""
        return generate_latest(self._registry)

    def _find(self, family_class: type, name: str, labels: dict[str, str]) -> Any:
        series_key = (family_class, name, *labels.items())
        series = self._series.get(series_key)
        if series is None:
            series = self._create(family_class, name, labels)
            if series is not None:
                self._series[series_key] = series
        return series

    def _create(self, family_class: type, name: str, labels: dict[str, str]) -> Any:
        if len(self._series) >= MAXIMUM_SERIES:
            self.dropped += 1
            return None
        label_names = tuple(sorted(labels))
        try:
            family = self._families.get(name)
            if family is None:
                family = family_class(
                    _metric_name(name), name, label_names, registry=self._registry
                )
                self._families[name] = family
            return family.labels(**labels) if labels else family
        except ValueError:
            # Another label set under the same name: a fault of the reducer, never fatal.
            self.dropped += 1
            return None


def _metric_name(name: str) -> str:
    cleaned = _BAD_CHARACTERS.sub("_", name)
    return cleaned if cleaned.startswith(_PREFIX) else _PREFIX + cleaned
