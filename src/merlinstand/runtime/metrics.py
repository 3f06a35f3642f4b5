"""Counters and gauges, exported in Prometheus's text format.

They are plain numbers until somebody asks for them: prometheus_client, which renders them, holds
1.5 MB and takes a tenth of the time to start, and most daemons are never asked.
"""

import enum
import re
from collections.abc import Iterator
from typing import Any

_PREFIX = "merlinstand_"
_BAD_CHARACTERS = re.compile(r"[^a-zA-Z0-9_]")
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAXIMUM_SERIES = 10_000
"""Most label combinations of one process; further ones are dropped and counted. Chosen, not
measured."""


class _Kind(enum.Enum):
    COUNTER = "counter"
    GAUGE = "gauge"


class _Family:
    """All series of one name."""

    __slots__ = ("kind", "label_names", "name", "values")

    def __init__(self, name: str, kind: _Kind, label_names: tuple[str, ...]) -> None:
        self.name = name
        self.kind = kind
        self.label_names = label_names
        self.values: dict[tuple[str, ...], float] = {}
        """By the labels' values, in the order of their names."""


class _Series:
    """One number within its family."""

    __slots__ = ("_key", "_values")

    def __init__(self, family: _Family, key: tuple[str, ...]) -> None:
        self._values = family.values
        self._key = key
        self._values.setdefault(key, 0.0)

    def add(self, amount: float) -> None:
        self._values[self._key] += amount

    def set(self, value: float) -> None:
        self._values[self._key] = float(value)


class Metrics:
    """The metrics of one process, apart from those of others in the same process."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._families: dict[str, _Family] = {}
        """By the name on the page: at most one a series."""
        self._series: dict[tuple[Any, ...], _Series] = {}
        self._collectors: list[Any] = []
        self.dropped = 0

    def count(self, name: str, amount: float, labels: dict[str, str]) -> None:
        """Add to a counter."""
        series = self._find(_Kind.COUNTER, name, labels)
        if series is not None and amount >= 0:
            series.add(amount)

    def set_gauge(self, name: str, value: float, labels: dict[str, str]) -> None:
        """Set a gauge."""
        series = self._find(_Kind.GAUGE, name, labels)
        if series is not None:
            series.set(value)

    def register(self, collector: Any) -> None:
        """Add a collector in prometheus_client's own interface."""
        self._collectors.append(collector)

    def export(self) -> bytes:
        """Render all metrics."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        for collector in self._collectors:
            registry.register(collector)
        return generate_latest(registry)

    def collect(self) -> Iterator[Any]:
        """Export in prometheus_client's collector interface."""
        from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily

        classes = {_Kind.COUNTER: CounterMetricFamily, _Kind.GAUGE: GaugeMetricFamily}
        for family in self._families.values():
            page = classes[family.kind](family.name, family.name, labels=family.label_names)
            for key, value in family.values.items():
                page.add_metric(key, value)
            yield page

    def _find(self, kind: _Kind, name: str, labels: dict[str, str]) -> _Series | None:
        series_key = (kind, name, *labels.items())
        series = self._series.get(series_key)
        if series is None:
            series = self._create(kind, name, labels)
            if series is not None:
                self._series[series_key] = series
        return series

    def _create(self, kind: _Kind, name: str, labels: dict[str, str]) -> _Series | None:
        if len(self._series) >= MAXIMUM_SERIES:
            self.dropped += 1
            return None
        label_names = tuple(sorted(labels))
        page_name = _metric_name(name)
        family = self._families.get(page_name)
        if family is None:
            family = self._families[page_name] = _Family(page_name, kind, label_names)
        if family.kind is not kind or family.label_names != label_names:
            # Another label set under the same name: a fault of the reducer, never fatal.
            self.dropped += 1
            return None
        return _Series(family, tuple(str(labels[label]) for label in label_names))


def _metric_name(name: str) -> str:
    cleaned = _BAD_CHARACTERS.sub("_", name)
    return cleaned if cleaned.startswith(_PREFIX) else _PREFIX + cleaned
