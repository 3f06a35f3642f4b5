"""Processor time and added latency of a gateway against short requests."""

from collections.abc import Iterator, Sequence
from pathlib import Path

from merlinstand.configuration.objects import PoolKind
from merlinstand_lab.capacity.endpoint_bench import EndpointBench, EndpointLoad, EndpointWindow
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.slopes import percentile
from merlinstand_lab.capacity.window import Subject

RATES = (25.0, 50.0, 100.0, 200.0, 400.0)
WINDOW_SECONDS = 8.0


def measure_lookups(
    folder: Path,
    rates: Sequence[float] = RATES,
    window_seconds: float = WINDOW_SECONDS,
    direct: bool = False,
) -> Iterator[Measured]:
    """Measure gateway, server and caller at each rate."""
    for rate in rates:
        load = EndpointLoad(pool_kind=PoolKind.SERVICE, requests_per_second=rate, direct=direct)
        with EndpointBench(load, folder / f"lookups-{rate:g}") as bench:
            yield from _rows(bench.measure(window_seconds), load)


def _rows(window: EndpointWindow, load: EndpointLoad) -> list[Measured]:
    elapsed = window.caller.elapsed_seconds
    name = "lookups-direct" if load.direct else "lookups"
    subject = Subject(name, "requests_per_second", load.requests_per_second)
    rows = [
        subject.row("server", "core_share", window.server.core_share, elapsed),
        subject.row("caller", "core_share", window.caller.core_share, elapsed),
        subject.row("caller", "answers_per_second", window.answers / elapsed, elapsed),
        subject.row("caller", "not_answered", float(window.refused + window.failed), elapsed),
    ]
    if window.latencies_seconds:
        for share in (0.5, 0.99):
            latency = percentile(window.latencies_seconds, share)
            rows.append(subject.row("caller", f"latency_p{share * 100:g}_seconds", latency))
    if window.gateway is not None:
        rows.append(subject.row("gateway", "core_share", window.gateway.core_share, elapsed))
    return rows
