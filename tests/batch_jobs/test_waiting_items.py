"""Why items wait is in the log and the metrics.

Guards against items that wait for seconds although engines have room, without any line that tells
what holds them.
"""

import pytest

from merlinstand.batch_calls.jobs import BatchItem
from merlinstand.batch_jobs.engines import EngineState
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.placement import ItemRequirements
from merlinstand.batch_jobs.waiting_items import (
    LINES_PER_REVIEW,
    LONG_WAIT_SECONDS,
    REVIEW_INTERVAL_SECONDS,
    WaitMonitor,
    WaitReason,
    find_wait_reason,
)
from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId
from merlinstand.kernel.effects import Effect, LogEvent, SetGauge

NOW = 10.0


def engine(**changes: object) -> EngineState:
    """Make an engine with room; `zone`, `slots` and `is_draining` describe its backend."""
    fields: dict[str, object] = {"zone": "z", "slots": 2, "is_draining": False}
    fields |= {name: changes.pop(name) for name in list(changes) if name in fields}
    changes.setdefault("versions", {"m": 3})
    backend = Backend(backend_id=BackendId("e"), service="llm", address="10.0.0.1:1", **fields)  # type: ignore[arg-type]
    return EngineState(backend, **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("engines", "expected"),
    [
        pytest.param([], WaitReason.NO_ENGINE, id="no engine"),
        pytest.param([engine(zone="y")], WaitReason.ZONE_NOT_ALLOWED, id="another zone"),
        pytest.param([engine(versions={"m": 2})], WaitReason.WEIGHTS_TOO_OLD, id="old weights"),
        pytest.param([engine(is_draining=True)], WaitReason.DRAINING, id="draining"),
        pytest.param([engine(is_loading=True)], WaitReason.LOADING, id="loading"),
        pytest.param([engine(backoff_until=11.0)], WaitReason.BACKOFF, id="backoff"),
        pytest.param([engine(running=2)], WaitReason.FULL, id="full"),
        pytest.param([engine(is_loading=True), engine(running=2)], WaitReason.FULL, id="nearest"),
        pytest.param([engine(running=2), engine()], WaitReason.DUE, id="room"),
    ],
)
def test_the_reason_is_that_of_the_engine_that_is_nearest_to_room(
    engines: list[EngineState], expected: WaitReason
) -> None:
    requirements = ItemRequirements(model="m", minimum_version=3, allowed_zones=frozenset("z"))
    assert find_wait_reason(engines, requirements, lambda _engine: False, NOW) is expected


def test_an_engine_without_a_granted_attempt_is_named_as_cold() -> None:
    requirements = ItemRequirements(model="m", minimum_version=3)
    assert find_wait_reason([engine()], requirements, lambda _e: True, NOW) is WaitReason.COLD


class Waits:
    """Items that have waited since time 0."""

    def __init__(self, count: int) -> None:
        self.runs = [
            ItemRun("j", BatchItem(item_id=f"i{n}", path="/l", headers={}, body=b"", group="g"))
            for n in range(count)
        ]
        self.reason = WaitReason.BACKOFF
        self.monitor = WaitMonitor(self)

    def begin_review(self) -> None:
        pass

    def reason_of(self, _run: ItemRun, _now: float) -> WaitReason:
        return self.reason

    def review(self, now: float) -> list[Effect]:
        return self.monitor.review(self.runs, now)


def lines(effects: list[Effect]) -> list[tuple[object, object]]:
    return [
        (e.fields["item"], e.fields["reason"])
        for e in effects
        if isinstance(e, LogEvent) and e.name == "item.waiting"
    ]


def gauge(effects: list[Effect], name: str, reason: str) -> float:
    [value] = [
        e.value
        for e in effects
        if isinstance(e, SetGauge) and e.name == name and e.labels == {"reason": reason}
    ]
    return value


def test_a_long_wait_is_logged_once_for_each_reason() -> None:
    waits = Waits(1)
    assert lines(waits.review(LONG_WAIT_SECONDS / 2)) == []
    assert lines(waits.review(LONG_WAIT_SECONDS)) == [("i0", "backoff")]
    assert lines(waits.review(LONG_WAIT_SECONDS + REVIEW_INTERVAL_SECONDS)) == []
    waits.reason = WaitReason.LOADING
    assert lines(waits.review(LONG_WAIT_SECONDS + 2 * REVIEW_INTERVAL_SECONDS)) == [
        ("i0", "loading")
    ]


def test_a_second_wait_for_the_same_reason_is_logged_again() -> None:
    waits = Waits(1)
    assert lines(waits.review(LONG_WAIT_SECONDS)) == [("i0", "backoff")]
    [run] = waits.runs
    run.waiting_since = LONG_WAIT_SECONDS + 0.5
    begun_again = run.waiting_since + LONG_WAIT_SECONDS
    assert lines(waits.review(begun_again)) == [("i0", "backoff")]


def test_the_lines_of_one_review_are_bounded_and_the_rest_follow() -> None:
    waits = Waits(LINES_PER_REVIEW + 1)
    first = waits.review(LONG_WAIT_SECONDS)
    assert len(lines(first)) == LINES_PER_REVIEW
    assert {e.fields["not_logged"] for e in first if isinstance(e, LogEvent)} == {1}
    second = waits.review(LONG_WAIT_SECONDS + REVIEW_INTERVAL_SECONDS)
    assert lines(second) == [(f"i{LINES_PER_REVIEW}", "backoff")]


def test_gauges_count_waiting_items_by_reason_and_return_to_zero() -> None:
    waits = Waits(3)
    effects = waits.review(1.0)
    assert gauge(effects, "merlinstand_waiting_items", "backoff") == 3
    assert gauge(effects, "merlinstand_waiting_items_oldest_seconds", "backoff") == 1.0
    for run in waits.runs:
        run.phase = RunPhase.GENERATING
    assert gauge(waits.review(5.0), "merlinstand_waiting_items", "backoff") == 0
    assert gauge(waits.monitor.clear(), "merlinstand_waiting_items_oldest_seconds", "backoff") == 0
