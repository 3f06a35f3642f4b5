"""Bytes between zones by kind, from the `host.traffic` lines of all processes."""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from merlinstand_lab.accounts.log_lines import LogLine

TRAFFIC_EVENT = "host.traffic"
REPORTED_EVENT = "daemon.reported"
BACKEND_EVENT = "backend.changed"
EVENTS = frozenset((TRAFFIC_EVENT, REPORTED_EVENT, BACKEND_EVENT))


class TrafficRow(msgspec.Struct, frozen=True):
    """One kind of traffic in one direction, as the process that connects sees it."""

    kind: str
    direction: str
    crossing_bytes: int
    """Between processes of two zones."""
    total_bytes: int
    unknown_bytes: int
    """With a peer whose zone no line tells."""


def zones_of(lines: Iterable[LogLine]) -> dict[str, str]:
    """Tell the zone of each ip from what daemons and back ends said of themselves."""
    zones: dict[str, str] = {}
    for line in lines:
        address = line.fields.get("address", "")
        zone = line.fields.get("zone", "")
        if line.event != TRAFFIC_EVENT and address and zone:
            zones[address.rpartition(":")[0]] = zone
    return zones


def traffic_rows(lines: Iterable[LogLine], zones: Mapping[str, str]) -> list[TrafficRow]:
    """Sum the newest counts of each life of each process up, most crossing bytes first.

    Counts begin at zero with a process: a count below the one before begins another life.
    """
    newest: dict[tuple[str, str, str], dict[str, int]] = {}
    ended: Counter[tuple[str, str, str, str]] = Counter()
    for line in lines:
        if line.event != TRAFFIC_EVENT:
            continue
        key = (line.node, line.fields.get("kind", ""), line.fields.get("direction", ""))
        counts = _counts(line.fields.get("bytes", ""))
        before = newest.get(key, {})
        if sum(counts.values()) < sum(before.values()):
            for peer, count in before.items():
                ended[(*key, peer)] += count
        newest[key] = counts
    for key, counts in newest.items():
        for peer, count in counts.items():
            ended[(*key, peer)] += count
    return _rows(ended, zones)


def _rows(
    counts: Mapping[tuple[str, str, str, str], int], zones: Mapping[str, str]
) -> list[TrafficRow]:
    crossing: Counter[tuple[str, str]] = Counter()
    total: Counter[tuple[str, str]] = Counter()
    unknown: Counter[tuple[str, str]] = Counter()
    for (node, kind, direction, peer), count in counts.items():
        key = (kind, direction)
        total[key] += count
        if node not in zones or peer not in zones:
            unknown[key] += count
        elif zones[node] != zones[peer]:
            crossing[key] += count
    rows = [TrafficRow(*key, crossing[key], total[key], unknown[key]) for key in total]
    return sorted(rows, key=lambda row: (-row.crossing_bytes, -row.total_bytes))


def _counts(text: str) -> dict[str, int]:
    counts: dict[str, int] = {}
    for row in text.split(","):
        peer, _colon, count = row.rpartition(":")
        if count.isascii() and count.isdigit():
            counts[peer] = int(count)
    return counts
