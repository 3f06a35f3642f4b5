"""Fenced calls: one at a time for each subject, preceded by an intent, retried until final."""

import pytest

from merlinstand.common.ids import CallId
from merlinstand.fenced_calls.call_intents import CallIntents
from merlinstand.fenced_calls.caller import (
    CALL_BURST,
    INTENT_TIMEOUT_SECONDS,
    LEASE_MARGIN_SECONDS,
    FencedCaller,
)
from merlinstand.fenced_calls.interface import FencedHolder, PlatformCall
from merlinstand.kernel.effects import CancelCall, Effect, StartCall
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded

LEASE = 3.0


def call(holder: FencedHolder) -> PlatformCall:
    return PlatformCall("POST", "/duty", {"holder": holder.name, "fence": str(holder.fence)}, b"")


class Case:
    """A caller whose intents are committed at once, or after `delay`."""

    def __init__(self, intents: CallIntents | None = None) -> None:
        self.intents = intents or CallIntents()
        self.proposed: list[str] = []
        self.caller = FencedCaller(self.intents, "n1", "10.0.0.1:1", LEASE, 50.0, self.propose)
        self.caller.begin(7)

    def propose(self, subject: str, now: float) -> list[Effect]:
        self.proposed.append(subject)
        return []

    def step(self, now: float, delay: float = 0.0) -> list[StartCall]:
        """Tick, and commit the proposed intents after a delay."""
        self.proposed.clear()
        self.caller.tick(now, now)
        calls: list[Effect] = []
        for subject in self.proposed:
            self.intents.record(subject, "n1", now)
            calls += self.caller.on_intent_recorded(subject, True, now + delay)
        return [effect for effect in calls if isinstance(effect, StartCall)]

    def answer(self, call_id: CallId, status: int, now: float) -> None:
        self.caller.on_call(CallResponded(call_id, status, {}, b""), now)


def test_call_has_holder_and_fence_and_yields_an_outcome() -> None:
    case = Case()
    case.caller.request("s", 1, call)
    [made] = case.step(1.0)
    assert made.headers == {"holder": "n1", "fence": "7"}
    assert case.step(1.1) == []
    case.answer(made.call_id, 200, 1.2)
    [outcome] = case.caller.take_outcomes()
    assert (outcome.subject, outcome.content, outcome.is_accepted) == ("s", 1, True)
    assert case.step(9.0) == []


@pytest.mark.parametrize(
    ("status", "is_repeated"),
    [(0, True), (500, True), (503, True), (429, True), (409, False), (400, False), (412, False)],
)
def test_which_responses_are_retried_after_the_backoff(status: int, is_repeated: bool) -> None:
    case = Case()
    case.caller.request("s", 1, call)
    [made] = case.step(1.0)
    if status:
        case.answer(made.call_id, status, 1.1)
    else:
        case.caller.on_call(CallFailed(made.call_id, CallPhase.SENT, "timeout"), 1.1)
    assert case.step(1.15) == []
    assert bool(case.step(1.6)) == is_repeated
    assert bool(case.caller.take_outcomes()) != is_repeated


def test_newest_request_waits_for_the_call_in_flight() -> None:
    case = Case()
    case.caller.request("s", 1, call)
    [made] = case.step(1.0)
    case.caller.request("s", 2, call)
    assert case.step(1.1) == []
    case.answer(made.call_id, 200, 1.2)
    assert case.caller.take_outcomes() == []
    [newer] = case.step(2.0)
    case.answer(newer.call_id, 200, 2.1)
    [outcome] = case.caller.take_outcomes()
    assert outcome.content == 2


def test_intent_committed_too_late_leads_to_no_call() -> None:
    case = Case()
    case.caller.request("s", 1, call)
    assert case.step(1.0, delay=INTENT_TIMEOUT_SECONDS + 0.1) == []
    assert len(case.step(2.0)) == 1


def test_lease_of_another_holder_is_respected() -> None:
    intents = CallIntents()
    intents.record("s", "n2", 10.0)
    case = Case(intents)
    case.caller.request("s", 1, call)
    case.caller.request("other", 1, call)
    assert len(case.step(10.1)) == 1
    assert case.step(10.0 + LEASE + LEASE_MARGIN_SECONDS - 0.1) == []
    assert len(case.step(10.0 + LEASE + LEASE_MARGIN_SECONDS + 0.1)) == 1


def test_calls_are_rate_limited_and_cancelled_with_the_leadership() -> None:
    case = Case()
    for number in range(40):
        case.caller.request(f"s{number}", 1, call)
    first = case.step(1.0)
    assert len(first) == CALL_BURST
    made = sum(len(case.step(1.0 + 0.05 * n)) for n in range(1, 11))
    assert 20 <= made <= 26
    ended = case.caller.end()
    assert len([e for e in ended if isinstance(e, CancelCall)]) == made + CALL_BURST
    assert case.step(9.0) == []
