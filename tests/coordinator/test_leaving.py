"""A leaving engine, by any of its signals, gets no new streams and is not counted as capacity."""

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
    """A driver that also simulates the platform's list of machines."""

    def __init__(self) -> None:
        super().__init__(
            make_job(batch_size=64),
            pool=engine_pool(2),
            machine_list_address=MACHINE_LIST,
            generation=GenerationSettings(engine_concurrency=CONCURRENCY),
        )

    def respond_with_list(self, state: str | None, as_of: float) -> None:
        """Respond to the latest request for the list; None omits the leaving machine."""
        machines = [{"address": "10.0.1.1:80", "state": "live"}]
        if state is not None:
            machines.append({"address": "10.0.1.0:80", "state": state})
        asked = [call for call in self.calls if call.address == MACHINE_LIST][-1]
        body = json.dumps({"machines": machines, "as_of": as_of}).encode()
        self.send(CallResponded(CallId(asked.call_id), 200, {}, body))

    def streams_on_leaving_engine(self) -> set[str]:
        """Return the request ids of the streams on the leaving engine."""
        streams = self.open_streams()
        return {s.request_id for s in streams if self.backend_of(s.address) == LEAVING}

    def run_rounds(self) -> None:
        """Complete the open streams and let new ones start, a few times."""
        for _ in range(3):
            for stream in self.open_streams():
                self.complete(stream, version=1)
            self.tick()

    def stream_limit(self) -> float:
        """Return the limit on the job's concurrent streams."""
        runner = self.daemon._work.runner(JOB)
        assert runner is not None
        return runner.stream_limit


def _signal(driver: LeavingDriver, signal: str) -> None:
    if signal == "list":
        driver.respond_with_list("leaving", as_of=2.0)
    elif signal == "gone from the list":
        driver.respond_with_list(None, as_of=2.0)
    elif signal == "operator":
        driver.configure(drains=[LEAVING])
    else:
        driver.serve(LEAVING, 1, state="leaving")
        driver.tick(1.0)


@pytest.mark.parametrize("signal", ["list", "gone from the list", "operator", "own status"])
def test_a_leaving_engine_gets_no_streams_and_is_no_capacity(signal: str) -> None:
    driver = LeavingDriver()
    driver.respond_with_list("live", as_of=1.0)
    driver.tick(1.0)
    assert driver.streams_on_leaving_engine()
    assert driver.stream_limit() == 2 * CONCURRENCY
    driver.tick(1.0)
    _signal(driver, signal)
    running = driver.streams_on_leaving_engine()
    driver.tick()
    assert driver.streams_on_leaving_engine() == running, (
        "no stream is started there and none is cut"
    )
    driver.run_rounds()
    assert driver.streams_on_leaving_engine() == set()
    assert len(driver.open_streams()) == CONCURRENCY, "the other engine continues"
    assert driver.stream_limit() == CONCURRENCY


def test_an_outdated_list_does_not_override_an_operator_drain() -> None:
    driver = LeavingDriver()
    driver.tick(1.0)
    driver.configure(drains=[LEAVING])
    driver.respond_with_list("live", as_of=5.0)
    driver.run_rounds()
    assert driver.streams_on_leaving_engine() == set()


def test_an_engine_that_the_list_shows_as_live_again_is_used() -> None:
    driver = LeavingDriver()
    driver.tick(1.0)
    driver.respond_with_list("leaving", as_of=1.0)
    driver.run_rounds()
    assert driver.streams_on_leaving_engine() == set()
    driver.tick(1.0)
    driver.respond_with_list("live", as_of=2.0)
    driver.run_rounds()
    assert driver.streams_on_leaving_engine()
