"""Simulated runs in which machines are suspended for seconds."""

import json
from collections.abc import Callable

import msgspec
import pytest

from merlinstand.directory.daemon import DirectoryDaemon
from merlinstand.kernel.effects import Effect, SetTimer, WriteRecord
from merlinstand.kernel.events import CallFailed, CallResponded, Event, Started, TimerFired
from merlinstand_lab.simulator.process import SimulatedProcess
from tests.users_platform.checks import complete_steps, lookup_success_rate, records, violations
from tests.users_platform.control_caller import (
    CALL_PREFIX,
    TIMER_PREFIX,
    ControlCall,
    ControlCaller,
)
from tests.users_platform.world import SimulatedDeployment

RUN_DURATION_SECONDS = 44.0
SUSPENSIONS = 4
CONFIGS = tuple(10.0 + 1.7 * number for number in range(12))


def gateway(deployment: SimulatedDeployment, number: int) -> str:
    return deployment.gateways[number % len(deployment.gateways)]


def leading_keeper(deployment: SimulatedDeployment, _number: int) -> str:
    return deployment.leading_keeper()


def leading_control(deployment: SimulatedDeployment, _number: int) -> str:
    return deployment.leading_control()


def control_by_number(deployment: SimulatedDeployment, number: int) -> str:
    return deployment.controls[number % len(deployment.controls)]


class ObservedVersion(msgspec.Struct, frozen=True):
    """A configuration version that was acknowledged or read."""

    version: int
    sent_at: float
    """Time at which the call was first sent."""


class ConfigWriter:
    """Puts configurations in sequence and records the acknowledged ones."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        self._caller = ControlCaller(deployment.control_addresses)

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
        def on_response(status: int, body: bytes, now: float) -> list[Effect]:
            is_accepted = status == 200
            return (
                [WriteRecord("changed", ObservedVersion(version, sent_at))] if is_accepted else []
            )

        body = json.dumps(self._deployment.make_config(version)).encode()
        return self._caller.send(ControlCall(f"put-{version}", "PUT", "/config", body, on_response))


class ConfigReader:
    """Reads the configuration continuously, from all control daemons in turn."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._caller = ControlCaller(deployment.control_addresses)
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

        def on_response(status: int, body: bytes, now: float) -> list[Effect]:
            if status != 200:
                return []
            return [WriteRecord("read", ObservedVersion(json.loads(body)["Version"], sent_at))]

        return self._caller.send(
            ControlCall(f"read-{self._count}", "GET", "/config", b"", on_response)
        )


def stale_reads(deployment: SimulatedDeployment) -> list[str]:
    """Return reads of a version older than one acknowledged before the read was sent."""
    acknowledged_at = deployment.simulation.record_times.get("changed", [])
    acknowledged = list(zip(acknowledged_at, records(deployment, "changed"), strict=True))
    found = []
    for read in records(deployment, "read"):
        newest = max((c.version for at, c in acknowledged if at < read.sent_at), default=0)
        if read.version < newest:
            found.append(f"{read} after {newest} was acknowledged")
    return found


def run_suspensions(
    seed: int, select: Callable[[SimulatedDeployment, int], str], counts_suspensions: bool = True
) -> SimulatedDeployment:
    """Suspend machines in sequence while configurations are written and read."""
    deployment = SimulatedDeployment(seed, counts_suspensions=counts_suspensions)
    deployment.add_caller("changer", lambda: ConfigWriter(deployment))
    deployment.add_caller("reading", lambda: ConfigReader(deployment))
    for number in range(SUSPENSIONS):

        def fault(number: int = number) -> None:
            seconds = 1.2 + 1.1 * ((seed + number) % 4)
            deployment.process(select(deployment, number)).suspend(seconds)

        deployment.at(9.1 + 6.3 * number + 0.37 * seed, fault)
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    return deployment


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("select", [gateway, leading_keeper, leading_control, control_by_number])
def test_suspended_machines_cause_no_violations(
    select: Callable[[SimulatedDeployment, int], str], seed: int
) -> None:
    deployment = run_suspensions(seed, select)
    assert violations(deployment) == []
    assert stale_reads(deployment) == []
    assert len(records(deployment, "changed")) == len(CONFIGS)
    assert len(records(deployment, "read")) > 100
    assert complete_steps(deployment) == 5
    assert lookup_success_rate(deployment) > 0.8


@pytest.mark.parametrize("counts_suspensions", [True, False])
def test_resumed_leader_holds_its_lease_only_if_the_clock_excludes_suspensions(
    counts_suspensions: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Checked when it resumes, before it reads messages that arrived meanwhile."""
    held: list[bool] = []
    thaw = SimulatedProcess.thaw

    def check_lease_and_thaw(process: SimulatedProcess) -> None:
        assert isinstance(process.reducer, DirectoryDaemon)
        held.append(process.reducer.replica.may_act(process.local_clock.now()))
        thaw(process)

    monkeypatch.setattr(SimulatedProcess, "thaw", check_lease_and_thaw)
    run_suspensions(0, leading_control, counts_suspensions)
    assert held == [not counts_suspensions] * SUSPENSIONS
