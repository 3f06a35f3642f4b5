"""Where the time of each batch job went, and the shortest time its items could have taken."""

import heapq
from collections.abc import Iterable, Sequence

import msgspec

from merlinstand_lab.accounts.log_lines import LogLine

SUBMITTED_EVENT = "job.submitted"
DONE_EVENT = "item.done"
ENDED_EVENT = "job.end"
EVENTS = frozenset((SUBMITTED_EVENT, DONE_EVENT, ENDED_EVENT))
USUAL_EVENT_SECONDS = 0.04
"""Taken where no engine's speed was known when the job came."""


class ItemTime(msgspec.Struct, frozen=True):
    """One item that ended."""

    group: str
    done_at: float
    """Seconds after the job was submitted."""
    waited: float
    generated: float
    scored: float
    events: int
    runs: int


class StepRow(msgspec.Struct, frozen=True, kw_only=True):
    """One batch job; times in seconds after it was submitted."""

    job_id: str
    step: int
    submitted_at: float
    items: int
    done: int
    whole_at: float | None
    """When the wanted groups were whole; None if they never were."""
    ended_at: float | None
    bound: float
    """The shortest time for the wanted groups, see `shortest_time`."""
    critical: ItemTime | None
    """The item that made the last wanted group whole."""

    @property
    def ratio(self) -> float | None:
        """Time over the shortest time."""
        return self.whole_at / self.bound if self.whole_at is not None and self.bound else None


def step_rows(lines: Iterable[LogLine]) -> list[StepRow]:
    """Give the jobs in order of their submission."""
    submitted: dict[str, LogLine] = {}
    ended: dict[str, float] = {}
    items: dict[str, dict[str, ItemTime]] = {}
    for line in sorted(lines, key=lambda line: line.time_seconds):
        job_id = line.fields.get("job", "")
        if line.event == SUBMITTED_EVENT:
            submitted.setdefault(job_id, line)
        elif line.event == ENDED_EVENT:
            ended.setdefault(job_id, line.time_seconds)
        elif line.event == DONE_EVENT and job_id in submitted:
            of_job = items.setdefault(job_id, {})
            item = _item_time(line, submitted[job_id].time_seconds)
            of_job.setdefault(line.fields.get("item", ""), item)
    return [
        _row(line, list(items.get(job_id, {}).values()), ended.get(job_id))
        for job_id, line in submitted.items()
    ]


def shortest_time(
    items: Sequence[ItemTime], wanted_groups: int, slots: int, event_seconds: float
) -> float:
    """Bound the time until the wanted groups are whole by list scheduling.

    Items with known lengths begin on the first free slot, those of the shortest groups first and
    within a group the longest first, each event as fast as the fastest engine made one. (Graham,
    "Bounds on multiprocessing timing anomalies", 1969; a bound in practice, not in theory.)
    """
    longest: dict[str, int] = {}
    for item in items:
        longest[item.group] = max(longest.get(item.group, 0), item.events)
    chosen = sorted(longest, key=lambda group: longest[group])[:wanted_groups]
    wanted = sorted((i for i in items if i.group in chosen), key=lambda item: -item.events)
    free = [0.0] * max(1, slots)
    last = 0.0
    for item in wanted:
        end = heapq.heappop(free) + item.events * event_seconds
        heapq.heappush(free, end)
        last = max(last, end)
    return last


def _item_time(line: LogLine, submitted_at: float) -> ItemTime:
    return ItemTime(
        group=line.fields.get("group", ""),
        done_at=line.time_seconds - submitted_at,
        waited=line.number("waited"),
        generated=line.number("generated"),
        scored=line.number("scored"),
        events=int(line.number("events")),
        runs=int(line.number("runs")),
    )


def _whole_groups(
    items: Sequence[ItemTime], item_count: int, group_count: int
) -> list[list[ItemTime]]:
    """Give the groups all of whose items ended; groups of one job have one size."""
    size = item_count // max(1, group_count)
    groups: dict[str, list[ItemTime]] = {}
    for item in items:
        groups.setdefault(item.group, []).append(item)
    return [group for group in groups.values() if len(group) >= size]


def _row(line: LogLine, items: list[ItemTime], ended_at: float | None) -> StepRow:
    wanted = int(line.number("wanted_groups"))
    whole = _whole_groups(items, int(line.number("items")), int(line.number("groups")))
    ends = [max(group, key=lambda item: item.done_at) for group in whole]
    ends.sort(key=lambda item: item.done_at)
    critical = ends[wanted - 1] if 0 < wanted <= len(ends) else None
    event_seconds = line.number("event_seconds") or USUAL_EVENT_SECONDS
    return StepRow(
        job_id=line.fields.get("job", ""),
        step=int(line.number("step")),
        submitted_at=line.time_seconds,
        items=int(line.number("items")),
        done=len(items),
        whole_at=None if critical is None else critical.done_at,
        ended_at=None if ended_at is None else ended_at - line.time_seconds,
        bound=shortest_time(items, wanted, int(line.number("slots")), event_seconds),
        critical=critical,
    )
