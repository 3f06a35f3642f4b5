"""An engine that leaves, by any of three signals, gets no new generations and is no capacity."""

import json

import pytest

from merlinstand.common.ids import CallId
from merlinstand.coordinator.settings import GenerationSettings
from merlinstand.kernel.events import CallResponded
from tests.coordinator.driver import CoordinatorDriver, engine_pool, make_job
from tests.coordinator.names import JOB

MACHINE_LIST = "10.7.0.1:80"
LEAVING = "engine-0"
CONCURRENCY = 2


class LeavingDriver(CoordinatorDriver):
    """A coordinator whose platform's list and engines the test speaks for."""

    def __init__(self) -> None:
        super().__init__(
            make_job(batch_size=64),
            pool=engine_pool(2),
            machine_list_address=MACHINE_LIST,
            generation=GenerationSettings(engine_concurrency=CONCURRENCY),
        )

    def list_says(self, state: str | None, as_of: float) -> None:
        """Answer the latest question to the platform's list; None leaves the machine out."""
        machines = [{"address": "10.0.1.1:80", "state": "live"}]
        if state is not None:
            machines.append({"address": "10.0.1.0:80", "state": state})
        asked = [call for call in self.calls if call.address == MACHINE_LIST][-1]
        body = json.dumps({"machines": machines, "as_of": as_of}).encode()
        self.send(CallResponded(CallId(asked.call_id), 200, {}, body))

    def on_leaving(self) -> set[str]:
        """Names of the streams on the leaving engine."""
        streams = self.open_streams()
        return {s.request_id for s in streams if self.backend_of(s.address) == LEAVING}

    def run_on(self) -> None:
        """End what is in progress and let more begin, a few times."""
        for _ in range(3):
            for stream in self.open_streams():
                self.complete(stream, version=1)
            self.tick()

    def stream_limit(self) -> float:
        """Streams that the job may have at a time."""
        runner = self.daemon._work.runner(JOB)
        assert runner is not None
        return runner.stream_limit


def _signal(driver: LeavingDriver, signal: str) -> None:
    if signal == "list":
        driver.list_says("leaving", as_of=2.0)
    elif signal == "gone from the list":
        driver.list_says(None, as_of=2.0)
    elif signal == "operator":
        driver.configure(drains=[LEAVING])
    else:
        driver.serve(LEAVING, 1, state="leaving")
        driver.tick(1.0)


@pytest.mark.parametrize("signal", ["list", "gone from the list", "operator", "own word"])
def test_a_leaving_engine_gets_nothing_new_and_is_no_capacity(signal: str) -> None:
    driver = LeavingDriver()
    driver.list_says("live", as_of=1.0)
    driver.tick(1.0)
    assert driver.on_leaving()
    assert driver.stream_limit() == 2 * CONCURRENCY
    driver.tick(1.0)
    _signal(driver, signal)
    running = driver.on_leaving()
    driver.tick()
    assert driver.on_leaving() == running, "nothing is begun there, and what runs is not cut"
    driver.run_on()
    assert driver.on_leaving() == set()
    assert len(driver.open_streams()) == CONCURRENCY, "the other engine goes on"
    assert driver.stream_limit() == CONCURRENCY


def test_a_list_that_lags_does_not_undo_what_the_operator_said() -> None:
    driver = LeavingDriver()
    driver.tick(1.0)
    driver.configure(drains=[LEAVING])
    driver.list_says("live", as_of=5.0)
    driver.run_on()
    assert driver.on_leaving() == set()


def test_an_engine_that_the_list_takes_back_is_used_again() -> None:
    driver = LeavingDriver()
    driver.tick(1.0)
    driver.list_says("leaving", as_of=1.0)
    driver.run_on()
    assert driver.on_leaving() == set()
    driver.tick(1.0)
    driver.list_says("live", as_of=2.0)
    driver.run_on()
    assert driver.on_leaving()
