"""Days on which machines of the system are suspended for seconds, in virtual time."""

import json
from collections.abc import Callable

import msgspec
import pytest

from merlinstand.directory.daemon import DirectoryDaemon
from merlinstand.kernel.effects import Effect, SetTimer, WriteRecord
from merlinstand.kernel.events import CallFailed, CallResponded, Event, Started, TimerFired
from merlinstand_lab.simulator.process import SimulatedProcess
from tests.users_platform.checks import answered_share, records, violations, whole_steps
from tests.users_platform.control_caller import CALL_PREFIX, TIMER_PREFIX, ControlCaller, Order
from tests.users_platform.world import SimulatedDeployment

DAY_SECONDS = 44.0
SUSPENSIONS = 4
CONFIGS = tuple(10.0 + 1.7 * number for number in range(12))


def gateway(world: SimulatedDeployment, number: int) -> str:
    return world.gateways[number % len(world.gateways)]


def leading_keeper(world: SimulatedDeployment, _number: int) -> str:
    return world.leading_keeper()


def leading_control(world: SimulatedDeployment, _number: int) -> str:
    return world.leading_control()


def any_control(world: SimulatedDeployment, number: int) -> str:
    return world.controls[number % len(world.controls)]


class VersionSeen(msgspec.Struct, frozen=True):
    """A configuration was acknowledged, or read back."""

    version: int
    sent_at: float
    """When it was asked for first."""


class Changer:
    """Puts one configuration after the other, and notes which are acknowledged."""

    def __init__(self, world: SimulatedDeployment) -> None:
        self._world = world
        self._caller = ControlCaller(world.control_addresses)

    def start(self, event: Started, now: float) -> list[Effect]:
        return [SetTimer(f"{number}", at) for number, at in enumerate(CONFIGS)]

    def reduce(self, event: Event, now: float) -> list[Effect]:
        match event:
            case CallResponded() | CallFailed() if event.call_id.startswith(CALL_PREFIX):
                return self._caller.on_call(event, now)
            case TimerFired(name=name) if name.startswith(TIMER_PREFIX):
                return self._caller.on_timer(name)
            case TimerFired(name=name):
                return self._put(10 + int(name), now)
            case _:
                return []

    def _put(self, version: int, sent_at: float) -> list[Effect]:
        def done(status: int, body: bytes, now: float) -> list[Effect]:
            is_taken = status == 200
            return [WriteRecord("changed", VersionSeen(version, sent_at))] if is_taken else []

        body = json.dumps(self._world.make_config(version)).encode()
        return self._caller.send(Order(f"put-{version}", "PUT", "/config", body, done))


class Reader:
    """Reads the configuration back all the time, from any control daemon."""

    def __init__(self, world: SimulatedDeployment) -> None:
        self._caller = ControlCaller(world.control_addresses)
        self._count = 0

    def start(self, event: Started, now: float) -> list[Effect]:
        return [SetTimer("read", CONFIGS[0])]

    def reduce(self, event: Event, now: float) -> list[Effect]:
        match event:
            case CallResponded() | CallFailed() if event.call_id.startswith(CALL_PREFIX):
                return self._caller.on_call(event, now)
            case TimerFired(name="read"):
                return [SetTimer("read", 0.05), *self._read(now)]
            case TimerFired(name=name) if name.startswith(TIMER_PREFIX):
                return self._caller.on_timer(name)
            case _:
                return []

    def _read(self, sent_at: float) -> list[Effect]:
        self._count += 1

        def done(status: int, body: bytes, now: float) -> list[Effect]:
            if status != 200:
                return []
            return [WriteRecord("read", VersionSeen(json.loads(body)["Version"], sent_at))]

        return self._caller.send(Order(f"read-{self._count}", "GET", "/config", b"", done))


def stale_reads(world: SimulatedDeployment) -> list[str]:
    """Reads that were sent after a newer version had been acknowledged."""
    acknowledged_at = world.simulation.record_times.get("changed", [])
    acknowledged = list(zip(acknowledged_at, records(world, "changed"), strict=True))
    found = []
    for read in records(world, "read"):
        newest = max((c.version for at, c in acknowledged if at < read.sent_at), default=0)
        if read.version < newest:
            found.append(f"{read} after {newest} was acknowledged")
    return found


def suspended_day(
    seed: int, whose: Callable[[SimulatedDeployment, int], str], counts_suspensions: bool = True
) -> SimulatedDeployment:
    """Machines are suspended one after the other, while configurations change and are read."""
    world = SimulatedDeployment(seed, counts_suspensions=counts_suspensions)
    world.add_caller("changer", lambda: Changer(world))
    world.add_caller("reading", lambda: Reader(world))
    for number in range(SUSPENSIONS):

        def strike(number: int = number) -> None:
            seconds = 1.2 + 1.1 * ((seed + number) % 4)
            world.process(whose(world, number)).suspend(seconds)

        world.at(9.1 + 6.3 * number + 0.37 * seed, strike)
    world.simulation.run_until(DAY_SECONDS)
    return world


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("whose", [gateway, leading_keeper, leading_control, any_control])
def test_machines_that_were_suspended_keep_all_promises(
    whose: Callable[[SimulatedDeployment, int], str], seed: int
) -> None:
    world = suspended_day(seed, whose)
    assert violations(world) == []
    assert stale_reads(world) == []
    assert len(records(world, "changed")) == len(CONFIGS)
    assert len(records(world, "read")) > 100
    assert whole_steps(world) == 5
    assert answered_share(world) > 0.8


@pytest.mark.parametrize("counts_suspensions", [True, False])
def test_a_leader_that_wakes_up_takes_its_lease_for_held_only_by_a_clock_that_stood_still(
    counts_suspensions: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """At the moment in which it goes on, before it has read what came in meanwhile."""
    held: list[bool] = []
    thaw = SimulatedProcess.thaw

    def look_and_thaw(process: SimulatedProcess) -> None:
        assert isinstance(process.reducer, DirectoryDaemon)
        held.append(process.reducer.replica.may_act(process.local_clock.now()))
        thaw(process)

    monkeypatch.setattr(SimulatedProcess, "thaw", look_and_thaw)
    suspended_day(0, leading_control, counts_suspensions)
    assert held == [not counts_suspensions] * SUSPENSIONS
