"""Random pieces of fault schedules."""

import random

from merlinstand_lab.simulator import faults as ft
from merlinstand_lab.simulator.network import LinkQuality

FIRST_FAULT_SECONDS = 5.0
"""Seconds of virtual time; chosen, not measured."""


def kill(source: random.Random, node: str, at: float, longest_down: float = 6.0) -> ft.Kill:
    """Return a kill that may strike within a reduce call and may take the power with it."""
    return ft.Kill(
        at=at,
        node=node,
        after_effects=source.randrange(0, 12),
        down_seconds=source.uniform(0.2, longest_down),
        power_loss=source.random() < 0.5,
    )


def freeze(source: random.Random, node: str, at: float, longest: float = 12.0) -> ft.Freeze:
    """Return a freeze, from a hiccup to much longer than every lease."""
    return ft.Freeze(at=at, node=node, seconds=source.uniform(0.3, longest))


def isolate(source: random.Random, node: str, at: float, longest: float = 12.0) -> ft.Isolate:
    """Return a silent cut of one node in both directions."""
    return ft.Isolate(at=at, node=node, seconds=source.uniform(0.5, longest))


def one_way(source: random.Random, node: str, at: float, longest: float = 12.0) -> ft.Isolate:
    """Return a silent cut of one node in one direction."""
    inward = source.random() < 0.5
    return ft.Isolate(
        at=at, node=node, seconds=source.uniform(0.5, longest), inward=inward, outward=not inward
    )


def degrade(
    source: random.Random, nodes: tuple[str, ...], at: float, longest: float = 12.0
) -> ft.Degrade:
    """Return links that lose, double, delay and reorder."""
    quality = LinkQuality(
        loss=source.choice((0.0, 0.05, 0.3)),
        duplicate=source.choice((0.0, 0.1, 0.3)),
        reorder=source.choice((0.0, 0.1, 0.5)),
        extra_delay_seconds=source.choice((0.0, 0.005, 0.05, 0.2)),
    )
    return ft.Degrade(at=at, nodes=nodes, seconds=source.uniform(1.0, longest), quality=quality)


def slow_disk(source: random.Random, node: str, at: float) -> ft.SlowDisk:
    """Return a disk whose syncs take up to seconds."""
    return ft.SlowDisk(
        at=at, node=node, seconds=source.uniform(1.0, 8.0), factor=source.choice((10.0, 100.0))
    )


def some_times(source: random.Random, count: int, start: float, spread: float) -> list[float]:
    """Return sorted random times; some of them coincide nearly or exactly."""
    times: list[float] = []
    for _ in range(count):
        if times and source.random() < 0.3:
            times.append(times[-1] + source.choice((0.0, 0.001, 0.3)))
        else:
            times.append(start + source.uniform(0.0, spread))
    return sorted(times)


def harmless_to_data(
    source: random.Random, nodes: tuple[str, ...], count: int, start: float, spread: float
) -> list[ft.AnyFault]:
    """Return random faults of processes and links, none of which loses a disk."""
    result: list[ft.AnyFault] = []
    for at in some_times(source, count, start, spread):
        node = source.choice(nodes)
        kind = source.randrange(6)
        if kind == 0:
            result.append(kill(source, node, at))
        elif kind == 1:
            result.append(freeze(source, node, at))
        elif kind == 2:
            result.append(isolate(source, node, at))
        elif kind == 3:
            result.append(one_way(source, node, at))
        elif kind == 4:
            result.append(degrade(source, (node,), at))
        else:
            result.append(slow_disk(source, node, at))
    return result
