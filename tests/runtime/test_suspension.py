"""Detection of suspensions of the machine by an event loop."""

import time

import gevent
import pytest

from merlinstand.runtime import suspension
from merlinstand.runtime.suspension import (
    CHECK_INTERVAL_SECONDS,
    MINIMUM_SUSPENSION_SECONDS,
    SuspensionWatch,
)
from merlinstand.runtime.timers import Timers
from merlinstand.runtime.watchdog import Watchdog


class Clocks:
    """Controls both clocks of the machine."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.suspended = 0.0
        self.delay = 0.0
        """Seconds that pass between two readings."""
        self._real = time.clock_gettime
        self._passed = 0.0
        monkeypatch.setattr(time, "clock_gettime", self.read)
        monkeypatch.setattr(suspension, "_watches", type(suspension._watches)())

    def read(self, clock: int) -> float:
        self._passed += self.delay
        suspended = self.suspended if clock == time.CLOCK_BOOTTIME else 0.0
        return self._real(clock) + suspended + self._passed


class RecordingListener:
    """A listener that records the reported suspensions."""

    def __init__(self) -> None:
        self.seconds: list[float] = []

    def on_suspended(self, suspended_seconds: float) -> None:
        self.seconds.append(round(suspended_seconds, 2))


@pytest.fixture
def clocks(monkeypatch: pytest.MonkeyPatch) -> Clocks:
    return Clocks(monkeypatch)


def test_each_suspension_is_reported_once_when_the_time_is_read(clocks: Clocks) -> None:
    watch, listener = SuspensionWatch(), RecordingListener()
    watch.subscribe(listener)
    before = watch.now()
    for seconds in (2.0, 3.0):
        clocks.suspended += seconds
        assert watch.now() - before >= clocks.suspended
        watch.now()
    watch.unsubscribe(listener)
    assert listener.seconds == [2.0, 3.0]


def test_a_suspension_is_detected_without_events(clocks: Clocks) -> None:
    listener = RecordingListener()
    watch = suspension.current_watch()
    watch.subscribe(listener)
    clocks.suspended += 2.0
    with gevent.Timeout(20 * CHECK_INTERVAL_SECONDS):
        while not listener.seconds:
            gevent.sleep(CHECK_INTERVAL_SECONDS / 5)
    watch.unsubscribe(listener)


@pytest.mark.parametrize(
    ("suspended", "delay"),
    [
        pytest.param(MINIMUM_SUSPENSION_SECONDS / 2, 0.0, id="shorter than the minimum"),
        pytest.param(0.0, 0.001, id="slow clock readings"),
    ],
)
def test_small_clock_differences_are_no_suspension(
    clocks: Clocks, suspended: float, delay: float
) -> None:
    watch, listener = SuspensionWatch(), RecordingListener()
    watch.subscribe(listener)
    clocks.suspended += suspended
    clocks.delay = delay
    for _ in range(5):
        watch.now()
    watch.unsubscribe(listener)
    assert listener.seconds == []


def test_preemption_between_two_readings_is_no_suspension(clocks: Clocks) -> None:
    watch, listener = SuspensionWatch(), RecordingListener()
    watch.subscribe(listener)
    readings = iter([0.0, 1.0])

    def slow_once(clock: int) -> float:
        clocks._passed += next(readings, 0.0)
        return Clocks.read(clocks, clock)

    time.clock_gettime = slow_once
    watch.now()
    watch.unsubscribe(listener)
    assert listener.seconds == []


def test_timers_due_after_a_suspension_fire_in_order_and_others_wait(
    clocks: Clocks,
) -> None:
    fired: list[str] = []
    timers = Timers(fired.append)
    for name, seconds in (("c", 50.0), ("a", 30.0), ("later", 70.0), ("b", 40.0)):
        timers.set(name, seconds)
    timers.set("gone", 10.0)
    timers.cancel("gone")
    clocks.suspended += 60.0
    suspension.current_watch().now()
    gevent.sleep(0.1)
    assert fired == ["a", "b", "c"]
    clocks.suspended += 60.0
    suspension.current_watch().now()
    gevent.sleep(0.1)
    timers.close()
    assert fired == ["a", "b", "c", "later"]


def test_a_step_that_expired_during_a_suspension_ends_and_a_longer_one_continues(
    clocks: Clocks,
) -> None:
    ended: list[str] = []

    def step(name: str, seconds: float) -> None:
        watchdog = Watchdog()
        watchdog.set_limit(seconds, TimeoutError)
        try:
            gevent.sleep(5.0)
        except TimeoutError:
            ended.append(name)
        finally:
            watchdog.close()

    steps = [gevent.spawn(step, "short", 30.0), gevent.spawn(step, "long", 90.0)]
    gevent.sleep(0)
    clocks.suspended += 60.0
    suspension.current_watch().now()
    gevent.sleep(0.1)
    assert ended == ["short"]
    gevent.killall(steps)


def test_the_watch_stops_after_the_last_listener_unsubscribes(clocks: Clocks) -> None:
    timers = Timers(lambda _name: None)
    watch = suspension.current_watch()
    assert watch._timer is not None
    timers.close()
    assert watch._timer is None
