"""Batch calls while the leading keeper can't be reached: correct failures before the deadline."""

import pytest

from merlinstand.batch_calls.calls import BatchCall, EndJob, JobEnded, ReadResults, encode
from merlinstand.common.ids import RequestId
from merlinstand.forwarding.batch_relay import BatchRelay
from merlinstand.forwarding.interface import BatchFailure
from merlinstand.kernel.effects import Effect, SetTimer, StartCall
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from tests.forwarding.test_near_copies import SETTINGS, keeper, make_relay

KEEPERS = tuple(keeper(name, "b", is_leader=name == "leader") for name in ("leader", "k2", "k3"))


def run_until_failure(
    relay: BatchRelay, call: BatchCall, phase: CallPhase
) -> tuple[BatchFailure, float, int]:
    """Let every call time out; return the failure, the time of its end and the number of calls."""
    now, call_count = 0.0, 0
    effects: list[Effect] = relay.begin(RequestId("r"), call, now)
    while not (finished := relay.take_finished()):
        [step] = [effect for effect in effects if isinstance(effect, StartCall | SetTimer)]
        if isinstance(step, SetTimer):
            now += step.delay_seconds
            effects = relay.on_timer(step.name, now)
            continue
        call_count += 1
        uses_connect_timeout = phase is CallPhase.CONNECT and step.connect_seconds > 0.0
        timeout = step.connect_seconds if uses_connect_timeout else step.timeout_seconds
        now += min(timeout, step.timeout_seconds)
        effects = relay.on_call(CallFailed(step.call_id, phase, "timeout"), now)
    failure = finished[0].reply
    assert isinstance(failure, BatchFailure)
    return failure, now, call_count


@pytest.mark.parametrize(
    ("call", "phase", "may_have_run"),
    [
        pytest.param(EndJob("j"), CallPhase.CONNECT, False, id="never connected: not run"),
        pytest.param(EndJob("j"), CallPhase.SENT, True, id="no response after sending: unknown"),
        pytest.param(ReadResults("j", 0), CallPhase.SENT, False, id="a read can be repeated"),
    ],
)
def test_a_failure_is_correct_and_before_the_deadline(
    call: BatchCall, phase: CallPhase, may_have_run: bool
) -> None:
    failure, ended_at, _call_count = run_until_failure(make_relay(*KEEPERS), call, phase)
    assert failure.may_have_run is may_have_run
    assert ended_at <= SETTINGS.batch_call_seconds


def test_unreachable_keepers_are_called_often() -> None:
    """A partitioned gateway must notice the end of the partition soon: connects time out early."""
    _failure, _ended_at, call_count = run_until_failure(
        make_relay(*KEEPERS), EndJob("j"), CallPhase.CONNECT
    )
    assert call_count >= 6


@pytest.mark.parametrize(
    ("status", "may_have_run"),
    [
        pytest.param(503, False, id="rejected: not run"),
        pytest.param(504, True, id="stopped before the reply: unknown"),
    ],
)
def test_a_stopping_keeper_is_not_called_again(status: int, may_have_run: bool) -> None:
    """It was called every 0.1 s as long as it was the last known leader, and a rejected call was
    reported as one that may have run."""
    relay = make_relay(*KEEPERS)
    [call] = relay.begin(RequestId("first"), EndJob("j"), 0.0)
    assert isinstance(call, StartCall)
    relay.on_call(CallResponded(call.call_id, 200, {}, encode(JobEnded())), 0.1)
    stopping_address = call.address
    [call] = relay.begin(RequestId("r"), EndJob("j"), 0.2)
    assert isinstance(call, StartCall)
    assert call.address == stopping_address
    [timer] = relay.on_call(CallResponded(call.call_id, status, {}, b"{}"), 0.3)
    assert isinstance(timer, SetTimer)
    [call] = relay.on_timer(timer.name, 0.4)
    assert isinstance(call, StartCall)
    assert call.address != stopping_address
    relay.take_finished()
    late = 0.2 + SETTINGS.batch_call_seconds
    relay.on_call(CallFailed(call.call_id, CallPhase.CONNECT, "refused"), late)
    [finished] = relay.take_finished()
    assert isinstance(finished.reply, BatchFailure)
    assert finished.reply.may_have_run is may_have_run


def test_a_call_that_finds_no_room_at_a_keeper_is_rejected_at_once() -> None:
    """It was repeated until its deadline."""
    relay = make_relay(*KEEPERS)
    [call] = relay.begin(RequestId("r"), EndJob("j"), 0.0)
    assert isinstance(call, StartCall)
    relay.on_call(CallResponded(call.call_id, 503, {"retry-after": "1.5"}, b"{}"), 0.1)
    [finished] = relay.take_finished()
    assert finished.reply == BatchFailure(False, 1.5)
