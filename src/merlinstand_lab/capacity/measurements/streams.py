"""Processor time of a gateway against streamed chunks, at several tokens a chunk."""

from collections.abc import Iterator, Sequence
from pathlib import Path

from merlinstand.configuration.objects import PoolKind
from merlinstand_lab.capacity.endpoint_bench import EndpointBench, EndpointLoad, EndpointWindow
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.window import Subject

STREAM_COUNTS = (20, 40, 80, 160)
TOKENS_PER_CHUNK = (1, 4, 16)
TOKENS_PER_SECOND_OF_A_STREAM = 50.0
STREAM_SECONDS = 40.0
WINDOW_SECONDS = 8.0


def measure_streams(
    folder: Path,
    stream_counts: Sequence[int] = STREAM_COUNTS,
    tokens_per_chunk: Sequence[int] = TOKENS_PER_CHUNK,
    window_seconds: float = WINDOW_SECONDS,
    direct: bool = False,
) -> Iterator[Measured]:
    """Measure gateway, server and caller at each load."""
    for tokens in tokens_per_chunk:
        for streams in stream_counts:
            load = EndpointLoad(
                pool_kind=PoolKind.ENGINE,
                streams=streams,
                tokens_per_chunk=tokens,
                chunk_interval_seconds=tokens / TOKENS_PER_SECOND_OF_A_STREAM,
                tokens_per_stream=round(STREAM_SECONDS * TOKENS_PER_SECOND_OF_A_STREAM),
                direct=direct,
            )
            with EndpointBench(load, folder / f"streams-{tokens}-{streams}") as bench:
                yield from _rows(bench.measure(window_seconds), load)


def _rows(window: EndpointWindow, load: EndpointLoad) -> list[Measured]:
    elapsed = window.caller.elapsed_seconds
    offered = load.streams * TOKENS_PER_SECOND_OF_A_STREAM
    name = "streams-direct" if load.direct else "streams"
    subject = Subject(name, f"tokens_per_second_in_chunks_of_{load.tokens_per_chunk}", offered)
    rows = [
        subject.row("server", "core_share", window.server.core_share, elapsed),
        subject.row("caller", "core_share", window.caller.core_share, elapsed),
        subject.row("caller", "reads_per_second", window.chunks / elapsed, elapsed),
        subject.row("caller", "bytes_per_second", window.stream_bytes / elapsed, elapsed),
        subject.row("caller", "failed_streams", float(window.failed + window.refused), elapsed),
    ]
    if window.gateway is not None:
        rows.append(subject.row("gateway", "core_share", window.gateway.core_share, elapsed))
        rows.append(
            subject.row("gateway", "resident_bytes", window.gateway.resident_bytes, elapsed)
        )
    return rows
