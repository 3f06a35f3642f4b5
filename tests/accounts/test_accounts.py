"""The accounts of a run: steps against their shortest time, bytes between zones."""

import pytest

from merlinstand_lab.accounts.log_lines import LogLine, read_log
from merlinstand_lab.accounts.steps import EVENTS as STEP_EVENTS
from merlinstand_lab.accounts.steps import ItemTime, shortest_time, step_rows
from merlinstand_lab.accounts.traffic import EVENTS as TRAFFIC_EVENTS
from merlinstand_lab.accounts.traffic import TrafficRow, traffic_rows, zones_of

STEP_LOG = """
 0.1 store-1 time=2026-01-01T00:00:00.000Z node=k event=job.submitted job=j items=4 groups=2 \
step=3 wanted_groups=1 slots=2 event_seconds=0.1
 0.2 store-1 time=2026-01-01T00:00:01.000Z node=k event=item.done item=a job=j events=10 \
group=g waited=0 generated=1.0 scored=0 runs=1
 0.2 store-1 time=2026-01-01T00:00:01.500Z node=k event=item.done item=a job=j events=10 group=g
 0.2 store-1 time=2026-01-01T00:00:02.000Z node=k event=item.done item=b job=j events=5 group=h
 0.2 store-1 time=2026-01-01T00:00:03.000Z node=k event=item.done item=c job=j events=15 group=g
 0.2 store-1 time=2026-01-01T00:00:03.500Z node=k event=item.done item=x job=unknown events=1
 0.2 store-1 time=2026-01-01T00:00:04.000Z node=k event=job.end job=j
"""

TRAFFIC_LOG = """
time=2026-01-01T00:00:00.000Z node=c event=daemon.reported daemon=1.1 zone=a address=1.1:70
time=2026-01-01T00:00:00.000Z node=c event=daemon.reported daemon=2.1 zone=b address=2.1:70
time=2026-01-01T00:00:00.000Z node=c event=backend.changed backend=i zone=a address=1.9:80
time=2026-01-01T00:00:05.000Z node=1.1 event=host.traffic kind=item direction=sent bytes=1.9:10
time=2026-01-01T00:00:05.000Z node=1.1 event=host.traffic kind=Ask direction=sent bytes=2.1:7,3.1:5
time=2026-01-01T00:00:10.000Z node=1.1 event=host.traffic kind=Ask direction=sent bytes=2.1:20,3.1:5
time=2026-01-01T00:00:15.000Z node=1.1 event=host.traffic kind=Ask direction=sent bytes=2.1:4
"""


def lines(text: str, events: frozenset[str]) -> list[LogLine]:
    return list(read_log(text.splitlines(), events))


def test_a_step_is_whole_when_every_item_of_the_wanted_groups_ended() -> None:
    [row] = step_rows(lines(STEP_LOG, STEP_EVENTS))
    assert (row.step, row.items, row.done, row.ended_at) == (3, 4, 3, 4.0)
    assert row.whole_at == 3.0
    assert row.critical is not None
    assert row.critical.events == 15
    assert row.bound == pytest.approx(0.5)


@pytest.mark.parametrize(
    ("lengths", "wanted", "slots", "bound"),
    [
        ({"g": [10, 20], "h": [40]}, 1, 9, 2.0),
        ({"g": [10, 20], "h": [40]}, 2, 9, 4.0),
        ({"g": [10, 10], "h": [10]}, 2, 1, 3.0),
        ({"g": [30, 20, 10]}, 1, 2, 3.0),
        ({}, 2, 4, 0.0),
    ],
    ids=["shortest group", "both", "one slot", "longest first", "nothing"],
)
def test_shortest_time(
    lengths: dict[str, list[int]], wanted: int, slots: int, bound: float
) -> None:
    items = [
        ItemTime(group, 0.0, 0.0, 0.0, 0.0, events, 1)
        for group, of_group in lengths.items()
        for events in of_group
    ]
    assert shortest_time(items, wanted, slots, 0.1) == pytest.approx(bound)


def test_bytes_are_told_apart_by_zone_and_added_over_the_lives_of_a_process() -> None:
    read = lines(TRAFFIC_LOG, TRAFFIC_EVENTS)
    assert traffic_rows(read, zones_of(read)) == [
        TrafficRow("Ask", "sent", 24, 29, 5),
        TrafficRow("item", "sent", 0, 10, 0),
    ]


@pytest.mark.parametrize(
    "line",
    ["", "no pairs", "time=yesterday event=job.end", "time= event=job.end", 'time=" event='],
)
def test_malformed_lines_are_passed_over(line: str) -> None:
    assert lines(line, STEP_EVENTS) == []
