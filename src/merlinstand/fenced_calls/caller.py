"""Calls the platform for the duties of one leadership.

Only the newest wish of a subject counts. Each try is noted in the log before it is made (`Turns`),
and made only if the note was agreed at once: so a later leader knows when this one acted last.
"""

import random
from collections.abc import Callable

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.fenced_calls.interface import FencedHolder, PlatformCall
from merlinstand.fenced_calls.turns import LEASE_MARGIN_SECONDS, NOTE_SECONDS, Turns
from merlinstand.kernel.effects import CancelCall, Effect, LogEvent, StartCall
from merlinstand.kernel.events import CallFailed, CallResponded

CALL_PREFIX = "platform:"
CALL_TIMEOUT_SECONDS = 1.5
"""An answer takes some ms, fifty times as long at a bad time. A second call to a subject never
leaves before this one is over."""
FIRST_PAUSE_SECONDS = 0.3
LONGEST_PAUSE_SECONDS = 2.0
"""Pauses between tries double up to this; a fifth of the time in which a report of use is due."""
PAUSE_SPREAD = 0.3
"""Pauses differ by this share, so that subjects don't come back together."""
BURST = 5
"""Calls that may leave together after a quiet time."""
_SUCCESS = range(200, 300)
_CONFLICT = 409
_TOO_MANY = 429
_FIRST_SERVER_ERROR = 500


class FencedOutcome(msgspec.Struct, frozen=True):
    """The platform's final answer to a wish."""

    subject: str
    wish: object
    is_done: bool
    """Whether the platform took it in; otherwise it refused for good, or just now has none."""
    status: int


class _Wish(msgspec.Struct):
    content: object
    """What is wished: a wish with equal content is the same."""
    make: Callable[[FencedHolder], PlatformCall]
    next_at: float = 0.0
    pause_seconds: float = FIRST_PAUSE_SECONDS
    noted_since: float | None = None
    call_id: CallId | None = None


class _Call(msgspec.Struct, frozen=True):
    subject: str
    content: object


class FencedCaller:
    """All wishes of one leadership; the owner ticks it while it may act."""

    def __init__(
        self,
        turns: Turns,
        name: str,
        address: str,
        lease_seconds: float,
        calls_per_second: float,
        note_turn: Callable[[str, float], list[Effect] | None],
    ) -> None:
        """Begin without wishes.

        Args:
            turns: Who acted last, replicated.
            name: This machine's name.
            address: The platform's, `ip:port`.
            lease_seconds: Holders don't take turns within this time.
            calls_per_second: Most calls that the platform takes.
            note_turn: Proposes to note an act on a subject; `turn_noted` follows. None if that
                can't be done now.
        """
        self._turns = turns
        self._name = name
        self._address = address
        self._lease_seconds = lease_seconds + LEASE_MARGIN_SECONDS
        self._calls_per_second = calls_per_second
        self._note_turn = note_turn
        self._random = random.Random(0)
        self._fence = 0
        self._wishes: dict[str, _Wish] = {}
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
        self._wishes.clear()
        self._by_call.clear()
        self._outcomes.clear()
        return effects

    def request(
        self, subject: str, content: object, make: Callable[[FencedHolder], PlatformCall]
    ) -> None:
        """Have something told to the platform; it takes the place of an older wish.

        Args:
            subject: What it is about; one call a subject at a time.
            content: Compared with the older wish: an equal one goes on as it is.
            make: Gives the call.
        """
        held = self._wishes.get(subject)
        if held is not None and held.content == content:
            return
        fresh = _Wish(content, make)
        if held is not None:
            # A call that is under way may still arrive: the next one waits for its end.
            fresh.call_id = held.call_id
        self._wishes[subject] = fresh

    def take_outcomes(self) -> list[FencedOutcome]:
        """Give the final answers since the last time."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def tick(self, group_time: float, now: float) -> list[Effect]:
        """Begin the calls that are due; call it only while this process may act as leader."""
        effects: list[Effect] = []
        for subject, wish in list(self._wishes.items()):
            is_noting = wish.noted_since is not None and now - wish.noted_since < NOTE_SECONDS
            if wish.call_id is not None or is_noting or wish.next_at > now:
                continue
            if self._turns.free_in(subject, self._name, group_time, self._lease_seconds) > 0.0:
                continue
            if not self._may_call(now):
                break
            wish.noted_since = now
            noted = self._note_turn(subject, now)
            if noted is None:
                wish.noted_since = None
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

    def turn_noted(self, subject: str, may_act: bool, now: float) -> list[Effect]:
        """The note of an act is agreed: act, unless too much time has passed."""
        wish = self._wishes.get(subject)
        if wish is None or wish.noted_since is None:
            return []
        is_late = now - wish.noted_since > NOTE_SECONDS
        wish.noted_since = None
        if is_late or not may_act:
            return []
        self._calls += 1
        wish.call_id = CallId(f"{CALL_PREFIX}{self._calls}")
        self._by_call[wish.call_id] = _Call(subject, wish.content)
        call = wish.make(FencedHolder(self._name, self._fence))
        return [
            StartCall(
                call_id=wish.call_id,
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
        wish = self._wishes.get(made.subject) if made is not None else None
        if made is None or wish is None:
            return []
        subject = made.subject
        wish.call_id = None
        is_newest = made.content == wish.content
        status = event.status if isinstance(event, CallResponded) else 0
        is_final = 0 < status < _FIRST_SERVER_ERROR and status != _TOO_MANY
        if is_final and is_newest:
            del self._wishes[subject]
            is_done = status in _SUCCESS
            self._outcomes.append(FencedOutcome(subject, wish.content, is_done, status))
            if is_done or status == _CONFLICT:
                return []
        else:
            spread = 1.0 + PAUSE_SPREAD * (2.0 * self._random.random() - 1.0)
            wish.next_at = now + wish.pause_seconds * spread
            wish.pause_seconds = min(LONGEST_PAUSE_SECONDS, 2.0 * wish.pause_seconds)
        reason = event.reason if isinstance(event, CallFailed) else f"status_{status}"
        fields = {"subject": subject, "reason": reason, "final": is_final}
        return [LogEvent("duty.refused", fields, "warning")]
