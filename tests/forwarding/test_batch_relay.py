"""Batch calls of a gateway that can't reach the leading keeper: answered in time and truly."""

import pytest

from merlinstand.batch_calls.calls import BatchCall, EndJob, ReadResults
from merlinstand.common.ids import RequestId
from merlinstand.forwarding.batch_relay import BatchRelay
from merlinstand.forwarding.interface import BatchFailure
from merlinstand.kernel.effects import Effect, SetTimer, StartCall
from merlinstand.kernel.events import CallFailed, CallPhase
from tests.forwarding.test_near_copies import SETTINGS, keeper, relay_among

KEEPERS = tuple(keeper(name, "b", is_leader=name == "leader") for name in ("leader", "k2", "k3"))


def play(relay: BatchRelay, call: BatchCall, phase: CallPhase) -> tuple[BatchFailure, float, int]:
    """Let every call run into its limit; gives the answer, when it came and the calls made."""
    now, made = 0.0, 0
    effects: list[Effect] = relay.begin(RequestId("r"), call, now)
    while not (finished := relay.take_finished()):
        [step] = [effect for effect in effects if isinstance(effect, StartCall | SetTimer)]
        if isinstance(step, SetTimer):
            now += step.delay_seconds
            effects = relay.on_timer(step.name, now)
            continue
        made += 1
        is_connecting = phase is CallPhase.CONNECT and step.connect_seconds > 0.0
        limit = step.connect_seconds if is_connecting else step.timeout_seconds
        now += min(limit, step.timeout_seconds)
        effects = relay.on_call(CallFailed(step.call_id, phase, "timeout"), now)
    failure = finished[0].reply
    assert isinstance(failure, BatchFailure)
    return failure, now, made


@pytest.mark.parametrize(
    ("call", "phase", "may_be_done"),
    [
        pytest.param(EndJob("j"), CallPhase.CONNECT, False, id="never connected: not done"),
        pytest.param(EndJob("j"), CallPhase.SENT, True, id="silent after sending: unknown"),
        pytest.param(ReadResults("j", 0), CallPhase.SENT, False, id="a reader may ask again"),
    ],
)
def test_the_answer_is_true_and_in_time(
    call: BatchCall, phase: CallPhase, may_be_done: bool
) -> None:
    failure, ended_at, _made = play(relay_among(*KEEPERS), call, phase)
    assert failure.may_have_run is may_be_done
    assert ended_at <= SETTINGS.batch_call_seconds


def test_keepers_that_cannot_be_reached_are_asked_often() -> None:
    """A gateway beyond a cut learns soon when it is over: a silent connection held it for 1.2 s."""
    _failure, _ended_at, made = play(relay_among(*KEEPERS), EndJob("j"), CallPhase.CONNECT)
    assert made >= 6
