"""Counters and gauges, exported in the Prometheus text format.

Values are plain numbers until they are exported: prometheus_client, which renders them, uses 1.5 MB
and a tenth of the start time, and most daemons are never scraped.
"""

import enum
import re
from collections.abc import Iterator
from typing import Any

_PREFIX = "merlinstand_"
_BAD_CHARACTERS = re.compile(r"[^a-zA-Z0-9_]")
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAXIMUM_SERIES = 10_000
"""Maximum label combinations of one process; further ones are dropped and counted."""


class _Kind(enum.Enum):
    COUNTER = "counter"
    GAUGE = "gauge"


class _Family:
    """All series of one metric name."""

    __slots__ = ("kind", "label_names", "name", "values")

    def __init__(self, name: str, kind: _Kind, label_names: tuple[str, ...]) -> None:
        self.name = name
        self.kind = kind
        self.label_names = label_names
        self.values: dict[tuple[str, ...], float] = {}
        """Values by label values, which are in the order of `label_names`."""


class _Series:
    """One value of a family."""

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
    """The metrics of one host, separate from other hosts in the same process."""

    def __init__(self) -> None:
        """Create an empty set of metrics."""
        self._families: dict[str, _Family] = {}
        """Families by exported name; at most as many as series."""
        self._series: dict[tuple[Any, ...], _Series] = {}
        self._collectors: list[Any] = []
        self.dropped = 0

    def count(self, name: str, amount: float, labels: dict[str, str]) -> None:
        """Add to a counter; negative amounts are ignored."""
        series = self._find(_Kind.COUNTER, name, labels)
        if series is not None and amount >= 0:
            series.add(amount)

    def set_gauge(self, name: str, value: float, labels: dict[str, str]) -> None:
        """Set a gauge."""
        series = self._find(_Kind.GAUGE, name, labels)
        if series is not None:
            series.set(value)

    def register(self, collector: Any) -> None:
        """Add a collector with prometheus_client's interface."""
        self._collectors.append(collector)

    def export(self) -> bytes:
        """Render all metrics in the Prometheus text format."""
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
            # Different kind or labels for the same name: a reducer bug, but not fatal.
            self.dropped += 1
            return None
        return _Series(family, tuple(str(labels[label]) for label in label_names))


def _metric_name(name: str) -> str:
    cleaned = _BAD_CHARACTERS.sub("_", name)
    return cleaned if cleaned.startswith(_PREFIX) else _PREFIX + cleaned
