"""Makes fenced calls to the platform on behalf of a leadership.

Holds the requested calls of one leadership; only the newest request for a subject counts. Each
attempt is preceded by an intent in the log (`CallIntents`) and made only if the intent was
committed in time, so that a later leader knows when this leader last made a call. Used by the
reducers of the leaders of the control group and of the keepers' group.
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
"""Prefix of the ids of fenced calls, whose results go to `FencedCaller.on_call`."""
CALL_TIMEOUT_SECONDS = 1.5
"""Timeout of a call. A response takes some ms, and up to fifty times as long under load. The next
call for the same subject is not made before the call has ended."""
INITIAL_BACKOFF_SECONDS = 0.3
"""Backoff after the first attempt of a request."""
MAXIMUM_BACKOFF_SECONDS = 2.0
"""The backoff doubles with each attempt up to this limit, a fifth of the interval of usage reports.
"""
BACKOFF_JITTER = 0.3
"""Relative jitter of the backoff, so that the retries of several subjects don't coincide."""
CALL_BURST = 5
"""Calls that may be made at once after an idle period."""
_SUCCESS = range(200, 300)
"""HTTP statuses of a call that the platform accepted."""
_CONFLICT = 409
"""HTTP status of a final refusal that is not logged."""
_TOO_MANY_REQUESTS = 429
"""HTTP status of a call that was rejected by a rate limit and is repeated later."""
_FIRST_SERVER_ERROR = 500
"""From this HTTP status on, the platform failed and the call is repeated."""


def is_final(status: int) -> bool:
    """Whether a response ends a request, because the platform accepted or refused the call.

    Args:
        status: HTTP status; 0 if there was no response.
    """
    return 0 < status < _FIRST_SERVER_ERROR and status != _TOO_MANY_REQUESTS


def jittered_backoff(backoff_seconds: float, random_fraction: float) -> float:
    """Return the seconds until the next attempt.

    Args:
        backoff_seconds: The backoff without jitter.
        random_fraction: A random number from 0 to 1.
    """
    return backoff_seconds * (1.0 + BACKOFF_JITTER * (2.0 * random_fraction - 1.0))


class FencedOutcome(msgspec.Struct, frozen=True):
    """The platform's final response to a request."""

    subject: str
    content: object
    is_accepted: bool
    """Whether the platform accepted the request. Otherwise the platform refused it for good, or
    does not know the subject at present."""
    status: int


class _PendingRequest(msgspec.Struct):
    content: object
    """Identifies the requested call; a request with equal content is the same request."""
    build_call: Callable[[FencedHolder], PlatformCall]
    next_attempt_at: float = 0.0
    """Local time of the next attempt."""
    backoff_seconds: float = INITIAL_BACKOFF_SECONDS
    intent_proposed_at: float | None = None
    """Local time at which the request's intent was proposed; None if no intent awaits commit."""
    call_id: CallId | None = None
    """The call in flight for the subject, if any."""


class _Call(msgspec.Struct, frozen=True):
    subject: str
    content: object


class FencedCaller:
    """The requested calls of one leadership; the owner calls `tick` while it may act as leader."""

    def __init__(
        self,
        intents: CallIntents,
        holder_name: str,
        address: str,
        lease_seconds: float,
        calls_per_second: float,
        propose_intent: Callable[[str, float], list[Effect] | None],
    ) -> None:
        """Start without requests.

        Args:
            intents: The replicated last call intents.
            holder_name: This machine's name.
            address: The platform's address, `ip:port`.
            lease_seconds: Within this time after a holder's intent no other holder makes a call.
            calls_per_second: Maximum rate of calls that the platform accepts.
            propose_intent: Proposes a call intent for a subject at a local time; returns None if
                that isn't possible now. The owner calls `on_intent_recorded` after the commit.
        """
        self._intents = intents
        self._holder_name = holder_name
        self._address = address
        self._lease_seconds = lease_seconds + LEASE_MARGIN_SECONDS
        self._calls_per_second = calls_per_second
        self._propose_intent = propose_intent
        self._random = random.Random(0)
        self._fence = 0
        self._requests: dict[str, _PendingRequest] = {}
        self._calls_in_flight: dict[CallId, _Call] = {}
        self._outcomes: list[FencedOutcome] = []
        self._call_count = 0
        self._tokens = float(CALL_BURST)
        self._tokens_updated_at = 0.0

    def seed(self, seed: int) -> None:
        """Seed the jitter of the backoff, so that it differs between processes."""
        self._random = random.Random(seed)

    def begin(self, fence: int) -> None:
        """Start a leadership, with a fencing token above that of every earlier leadership."""
        self._fence = fence

    def end(self) -> list[Effect]:
        """End the leadership: drop all requests and cancel the calls in flight."""
        effects: list[Effect] = [CancelCall(call_id) for call_id in self._calls_in_flight]
        self._requests.clear()
        self._calls_in_flight.clear()
        self._outcomes.clear()
        return effects

    def request(
        self, subject: str, content: object, build_call: Callable[[FencedHolder], PlatformCall]
    ) -> None:
        """Request a call to the platform, replacing an older request for the subject.

        Args:
            subject: What the call is about; at most one call for a subject is in flight.
            content: Identifies the request; if the older request has equal content, it is kept.
            build_call: Returns the HTTP request of the call, for the present holder.
        """
        held = self._requests.get(subject)
        if held is not None and held.content == content:
            return
        new_request = _PendingRequest(content, build_call)
        if held is not None:
            # A call in flight may still arrive, so the new request waits until that call has ended.
            new_request.call_id = held.call_id
        self._requests[subject] = new_request

    def take_outcomes(self) -> list[FencedOutcome]:
        """Remove and return the final responses received since the last call of this method."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def tick(self, group_time: float, now: float) -> list[Effect]:
        """Propose the intents of due calls; call only while this process may act as leader."""
        effects: list[Effect] = []
        for subject, request in list(self._requests.items()):
            awaits_commit = (
                request.intent_proposed_at is not None
                and now - request.intent_proposed_at < INTENT_TIMEOUT_SECONDS
            )
            if request.call_id is not None or awaits_commit or request.next_attempt_at > now:
                continue
            if (
                self._intents.seconds_until_free(
                    subject, self._holder_name, group_time, self._lease_seconds
                )
                > 0.0
            ):
                continue
            if not self._take_token(now):
                break
            request.intent_proposed_at = now
            proposed = self._propose_intent(subject, now)
            if proposed is None:
                request.intent_proposed_at = None
                break
            effects.extend(proposed)
        return effects

    def _take_token(self, now: float) -> bool:
        """Take a token of the rate limit; return whether there was one."""
        gained = (now - self._tokens_updated_at) * self._calls_per_second
        self._tokens = min(float(CALL_BURST), self._tokens + gained)
        self._tokens_updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def on_intent_recorded(self, subject: str, may_act: bool, now: float) -> list[Effect]:
        """Make the call whose intent is committed, unless the commit took too long.

        Args:
            subject: Subject of the intent.
            may_act: Whether this process may act as leader.
            now: Local time.
        """
        request = self._requests.get(subject)
        if request is None or request.intent_proposed_at is None:
            return []
        is_late = now - request.intent_proposed_at > INTENT_TIMEOUT_SECONDS
        request.intent_proposed_at = None
        if is_late or not may_act:
            return []
        self._call_count += 1
        request.call_id = CallId(f"{CALL_PREFIX}{self._call_count}")
        self._calls_in_flight[request.call_id] = _Call(subject, request.content)
        call = request.build_call(FencedHolder(self._holder_name, self._fence))
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
        """Handle the result of a call whose id begins with `CALL_PREFIX`."""
        call = self._calls_in_flight.pop(event.call_id, None)
        request = self._requests.get(call.subject) if call is not None else None
        if call is None or request is None:
            return []
        subject = call.subject
        request.call_id = None
        is_newest = call.content == request.content
        status = event.status if isinstance(event, CallResponded) else 0
        is_final_response = is_final(status)
        if is_final_response and is_newest:
            del self._requests[subject]
            is_accepted = status in _SUCCESS
            self._outcomes.append(FencedOutcome(subject, request.content, is_accepted, status))
            if is_accepted or status == _CONFLICT:
                return []
        else:
            delay_seconds = jittered_backoff(request.backoff_seconds, self._random.random())
            request.next_attempt_at = now + delay_seconds
            request.backoff_seconds = min(MAXIMUM_BACKOFF_SECONDS, 2.0 * request.backoff_seconds)
        reason = event.reason if isinstance(event, CallFailed) else f"status_{status}"
        fields = {"subject": subject, "reason": reason, "final": is_final_response}
        return [LogEvent("platform.call_refused", fields, "warning")]
