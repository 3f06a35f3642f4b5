"""Fenced calls to the platform, made by the holder of a leadership.

Owns what one leadership requests of the platform: only the newest request of a subject counts. Each
try is noted in the log before it is made (`Turns`), and made only if the note was agreed at once:
so a later leader knows when this one acted last. Run by the leaders of the control group and of the
keepers' group, as part of their reducers.
"""

import random
from collections.abc import Callable

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.fenced_calls.call_intents import (
    INTENT_TIMEOUT_SECONDS,
    LEASE_MARGIN_SECONDS,
    CallIntents,
)
from merlinstand.fenced_calls.interface import FencedHolder, PlatformCall
from merlinstand.kernel.effects import CancelCall, Effect, LogEvent, StartCall
from merlinstand.kernel.events import CallFailed, CallResponded

CALL_PREFIX = "platform:"
"""Begins the ids of these calls: their ends go to `on_call`."""
CALL_TIMEOUT_SECONDS = 1.5
"""An answer takes some ms, fifty times as long at a bad time. A second call to a subject never
leaves before this one is over."""
FIRST_PAUSE_SECONDS = 0.3
"""Pause after the first try of a request; chosen, not measured."""
LONGEST_PAUSE_SECONDS = 2.0
"""Pauses between tries double up to this; a fifth of the time in which a report of use is due."""
PAUSE_SPREAD = 0.3
"""Pauses differ by this share, so that subjects don't come back together; chosen, not measured."""
BURST = 5
"""Calls that may leave together after a quiet time; chosen, not measured."""
_SUCCESS = range(200, 300)
"""HTTP statuses of a call that the platform took in."""
_CONFLICT = 409
"""HTTP status of a refusal that is final and not logged."""
_TOO_MANY = 429
"""HTTP status of a call that the platform takes later."""
_FIRST_SERVER_ERROR = 500
"""HTTP statuses from here on say nothing about the call itself: it is tried again."""


def is_final(status: int) -> bool:
    """Whether an answer settles a request for good, taken in or refused.

    Args:
        status: HTTP status; 0 if no answer came.
    """
    return 0 < status < _FIRST_SERVER_ERROR and status != _TOO_MANY


def pause_before_retry(pause_seconds: float, drawn: float) -> float:
    """Give the seconds until the next try.

    Args:
        pause_seconds: The pause without its spread.
        drawn: A random number from 0 to 1.
    """
    return pause_seconds * (1.0 + PAUSE_SPREAD * (2.0 * drawn - 1.0))


class FencedOutcome(msgspec.Struct, frozen=True):
    """The platform's final answer to a request."""

    subject: str
    content: object
    is_done: bool
    """Whether the platform took it in; otherwise it refused for good, or just now has none."""
    status: int


class _Request(msgspec.Struct):
    content: object
    """What is requested: a request with equal content is the same."""
    make: Callable[[FencedHolder], PlatformCall]
    next_at: float = 0.0
    """Local time of the next try."""
    pause_seconds: float = FIRST_PAUSE_SECONDS
    noted_since: float | None = None
    """When its note was proposed; None if none waits to be agreed."""
    call_id: CallId | None = None


class _Call(msgspec.Struct, frozen=True):
    subject: str
    content: object


class FencedCaller:
    """All requests of one leadership; the owner ticks it while it may act."""

    def __init__(
        self,
        intents: CallIntents,
        name: str,
        address: str,
        lease_seconds: float,
        calls_per_second: float,
        propose_intent: Callable[[str, float], list[Effect] | None],
    ) -> None:
        """Begin without requests.

        Args:
            turns: Who acted last, replicated.
            name: This machine's name.
            address: The platform's, `ip:port`.
            lease_seconds: Holders don't take turns within this time.
            calls_per_second: Most calls that the platform takes.
            note_turn: Proposes to note an act on a subject; `turn_noted` follows. None if that
                can't be done now.
        """
        self._turns = intents
        self._name = name
        self._address = address
        self._lease_seconds = lease_seconds + LEASE_MARGIN_SECONDS
        self._calls_per_second = calls_per_second
        self._note_turn = propose_intent
        self._random = random.Random(0)
        self._fence = 0
        self._requests: dict[str, _Request] = {}
        self._by_call: dict[CallId, _Call] = {}
        self._outcomes: list[FencedOutcome] = []
        self._calls = 0
        self._allowance = float(BURST)
        self._allowance_at = 0.0

    def seed(self, seed: int) -> None:
        """Make pauses follow this seed, so that processes differ."""
        self._random = random.Random(seed)

    def begin(self, fence: int) -> None:
        """A leadership begins, with a fence above that of every earlier one."""
        self._fence = fence

    def end(self) -> list[Effect]:
        """The leadership is over: no call may arrive any more."""
        effects: list[Effect] = [CancelCall(call_id) for call_id in self._by_call]
        self._requests.clear()
        self._by_call.clear()
        self._outcomes.clear()
        return effects

    def request(
        self, subject: str, content: object, make: Callable[[FencedHolder], PlatformCall]
    ) -> None:
        """Have something reported to the platform; it takes the place of an older request.

        Args:
            subject: What it is about; one call a subject at a time.
            content: Compared with the older request: an equal one goes on as it is.
            make: Gives the call.
        """
        held = self._requests.get(subject)
        if held is not None and held.content == content:
            return
        fresh = _Request(content, make)
        if held is not None:
            # A call that is under way may still arrive: the next one waits for its end.
            fresh.call_id = held.call_id
        self._requests[subject] = fresh

    def take_outcomes(self) -> list[FencedOutcome]:
        """Give the final answers since the last time."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def tick(self, group_time: float, now: float) -> list[Effect]:
        """Begin the calls that are due; call it only while this process may act as leader."""
        effects: list[Effect] = []
        for subject, request in list(self._requests.items()):
            is_noting = (
                request.noted_since is not None
                and now - request.noted_since < INTENT_TIMEOUT_SECONDS
            )
            if request.call_id is not None or is_noting or request.next_at > now:
                continue
            if (
                self._turns.seconds_until_free(subject, self._name, group_time, self._lease_seconds)
                > 0.0
            ):
                continue
            if not self._may_call(now):
                break
            request.noted_since = now
            noted = self._note_turn(subject, now)
            if noted is None:
                request.noted_since = None
                break
            effects.extend(noted)
        return effects

    def _may_call(self, now: float) -> bool:
        """Take one call of the allowance, if there is one."""
        gained = (now - self._allowance_at) * self._calls_per_second
        self._allowance = min(float(BURST), self._allowance + gained)
        self._allowance_at = now
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    def on_intent_recorded(self, subject: str, may_act: bool, now: float) -> list[Effect]:
        """The note of an act is agreed: act, unless too much time has passed."""
        request = self._requests.get(subject)
        if request is None or request.noted_since is None:
            return []
        is_late = now - request.noted_since > INTENT_TIMEOUT_SECONDS
        request.noted_since = None
        if is_late or not may_act:
            return []
        self._calls += 1
        request.call_id = CallId(f"{CALL_PREFIX}{self._calls}")
        self._by_call[request.call_id] = _Call(subject, request.content)
        call = request.make(FencedHolder(self._name, self._fence))
        return [
            StartCall(
                call_id=request.call_id,
                address=self._address,
                method=call.method,
                path=call.path,
                headers=call.headers,
                body=call.body,
                timeout_seconds=CALL_TIMEOUT_SECONDS,
                fresh_connection=True,
            )
        ]

    def on_call(self, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        """A call with `CALL_PREFIX` ended."""
        made = self._by_call.pop(event.call_id, None)
        request = self._requests.get(made.subject) if made is not None else None
        if made is None or request is None:
            return []
        subject = made.subject
        request.call_id = None
        is_newest = made.content == request.content
        status = event.status if isinstance(event, CallResponded) else 0
        is_settled = is_final(status)
        if is_settled and is_newest:
            del self._requests[subject]
            is_done = status in _SUCCESS
            self._outcomes.append(FencedOutcome(subject, request.content, is_done, status))
            if is_done or status == _CONFLICT:
                return []
        else:
            pause_seconds = pause_before_retry(request.pause_seconds, self._random.random())
            request.next_at = now + pause_seconds
            request.pause_seconds = min(LONGEST_PAUSE_SECONDS, 2.0 * request.pause_seconds)
        reason = event.reason if isinstance(event, CallFailed) else f"status_{status}"
        fields = {"subject": subject, "reason": reason, "final": is_settled}
        return [LogEvent("duty.refused", fields, "warning")]
