"""Live callers: lookups, bookings (some sent twice at once), completions, through gateways."""

import random
from collections.abc import Sequence

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import Effect, SetTimer, StartCall, StopProcess, WriteRecord
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
    CallResponded,
    Event,
    RequestReceived,
    Started,
    StopRequested,
    TimerFired,
)
from merlinstand_lab.records.kinds import CallerOutcome, CallerRecord
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.caller_answers import (
    Judgement,
    judge_completion,
    judge_failure,
    judge_response,
)
from merlinstand_lab.standins.caller_work import Attempt, Operation, RequestKind
from merlinstand_lab.standins.settings import CallersSettings

_ARRIVAL_TIMER = "callers.arrival."
_RETRY_TIMER = "callers.retry."
_BURST_TIMER = "callers.burst"
_DRAIN_TIMER = "callers.drain"
_DRAIN_SECONDS = 5.0
"""Seconds, more than the longest deadline; chosen, not measured."""
_SHORTEST_TRY_SECONDS = 0.05
"""Seconds; chosen, not measured."""


class CallersProgress(msgspec.Struct, frozen=True, kw_only=True):
    """`GET /lab/progress`: for the launcher's display."""

    sent: int
    outcomes: dict[str, int]


class Callers:
    """Reducer of all callers of one fleet."""

    def __init__(self, settings: CallersSettings) -> None:
        """Keep the settings; `start` begins."""
        self._settings = settings
        self._rates = {
            RequestKind.LOOKUP: settings.lookups_per_second,
            RequestKind.BOOKING: settings.bookings_per_second,
            RequestKind.COMPLETION: settings.completions_per_second,
        }
        self._attempts: dict[CallId, Attempt] = {}
        self._retries: dict[str, Operation] = {}
        self._operations = 0
        self._calls = 0
        self._stopping = False
        self._outcomes = {outcome.value: 0 for outcome in CallerOutcome}

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Plan the first arrival of each kind."""
        self._random = random.Random(event.seed)
        self._run_name = f"{event.seed & 0xFFFFFFFF:08x}"
        effects = [self._plan(kind) for kind, rate in self._rates.items() if rate > 0]
        if self._settings.burst.requests > 0:
            effects.append(SetTimer(_BURST_TIMER, self._settings.burst.interval_seconds))
        return effects

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Take one event."""
        effects: list[Effect] = []
        match event:
            case TimerFired(name=name) if name.startswith(_ARRIVAL_TIMER):
                effects += self._arrival(RequestKind(name.removeprefix(_ARRIVAL_TIMER)), now)
            case TimerFired(name=name) if name == _BURST_TIMER:
                effects += self._burst(now)
            case TimerFired(name=name) if name in self._retries:
                effects.append(self._send(self._retries.pop(name), now))
            case TimerFired(name=name) if name == _DRAIN_TIMER:
                effects.append(StopProcess())
            case CallHeaders() | CallChunk():
                self._streaming(event)
            case CallResponded() | CallEnded() | CallFailed():
                effects += self._ended(event, now)
            case RequestReceived():
                effects.append(self._request(event))
            case StopRequested():
                self._stopping = True
                effects.append(SetTimer(_DRAIN_TIMER, _DRAIN_SECONDS))
            case _:
                pass
        if self._stopping and not self._attempts:
            effects.append(StopProcess())
        return effects

    def _request(self, event: RequestReceived) -> Effect:
        """Show progress."""
        common = endpoint.respond_common(event, ready=True)
        if common is not None:
            return common
        if endpoint.route(event) != ("GET", "/lab/progress"):
            return endpoint.respond_not_found(event)
        progress = CallersProgress(sent=self._calls, outcomes=self._outcomes)
        return endpoint.respond_json(event.request_id, progress)

    # --- sending --------------------------------------------------------------------

    def _plan(self, kind: RequestKind) -> Effect:
        """Plan the next arrival of a kind."""
        delay = self._random.expovariate(self._rates[kind])
        return SetTimer(f"{_ARRIVAL_TIMER}{kind.value}", delay)

    def _arrival(self, kind: RequestKind, now: float) -> list[Effect]:
        """Someone wants something; sometimes twice at once under one key."""
        if self._stopping:
            return []
        self._operations += 1
        name = f"{self._run_name}-{self._operations}"
        request_ids: set[str] = set()
        operation = self._operation(kind, name, request_ids, now)
        effects = [self._plan(kind), self._send(operation, now)]
        twin = kind is RequestKind.BOOKING and self._random.random() < self._settings.twin_share
        if twin:
            second = self._operation(kind, name, request_ids, now)
            second.gateway_index = operation.gateway_index + 1
            effects.append(self._send(second, now))
        return effects

    def _burst(self, now: float) -> list[Effect]:
        """One caller sends many lookups at once; each is tried once only."""
        if self._stopping:
            return []
        burst = self._settings.burst
        effects: list[Effect] = [SetTimer(_BURST_TIMER, burst.interval_seconds)]
        self._operations += 1
        gateway_index = self._operations
        for number in range(burst.requests):
            name = f"{self._run_name}-{self._operations}-{number}"
            operation = self._operation(RequestKind.LOOKUP, name, set(), now)
            operation.caller = burst.caller
            operation.gateway_index = gateway_index
            operation.attempts = self._settings.maximum_attempts
            effects.append(self._send(operation, now))
        return effects

    def _operation(
        self, kind: RequestKind, name: str, request_ids: set[str], now: float
    ) -> Operation:
        """Describe what is wanted; twins share the name and the set of request ids."""
        settings = self._settings
        return Operation(
            kind=kind,
            name=name,
            caller=settings.caller_names[self._operations % len(settings.caller_names)],
            service=settings.model if kind is RequestKind.COMPLETION else settings.service,
            repeatable=kind is not RequestKind.BOOKING or settings.booking_repeatable,
            deadline_at=now + settings.deadline_seconds,
            gateway_index=self._operations % len(settings.gateways),
            completion_tokens=settings.completion_tokens,
            request_ids=request_ids,
        )

    def _send(self, operation: Operation, now: float) -> Effect:
        """Send one attempt."""
        self._calls += 1
        operation.attempts += 1
        gateways = self._settings.gateways
        gateway = gateways[operation.gateway_index % len(gateways)]
        request_id = f"c-{operation.name}-{self._calls}"
        operation.request_ids.add(request_id)
        attempt = Attempt(operation=operation, request_id=request_id, gateway=gateway, sent_at=now)
        call_id = CallId(f"call.{self._calls}")
        self._attempts[call_id] = attempt
        remaining = max(_SHORTEST_TRY_SECONDS, operation.deadline_at - now)
        return StartCall(
            call_id=call_id,
            address=gateway,
            method=operation.method,
            path=operation.gateway_path,
            headers=operation.headers(request_id, remaining),
            body=operation.body,
            timeout_seconds=remaining + 1.0,
            stream=operation.kind is RequestKind.COMPLETION,
            fresh_connection=not operation.repeatable,
        )

    # --- answers --------------------------------------------------------------------

    def _streaming(self, event: CallHeaders | CallChunk) -> None:
        """Collect a stream."""
        attempt = self._attempts.get(event.call_id)
        if attempt is None:
            return
        if isinstance(event, CallHeaders):
            attempt.status = event.status
            attempt.headers = event.headers
        else:
            attempt.chunks.append(event.data)

    def _ended(self, event: CallResponded | CallEnded | CallFailed, now: float) -> Sequence[Effect]:
        """Judge and record an attempt; try again where the rules allow it."""
        attempt = self._attempts.pop(event.call_id, None)
        if attempt is None:
            return ()
        if isinstance(event, CallFailed):
            judgement = judge_failure(event)
        elif isinstance(event, CallResponded):
            attempt.status = event.status
            attempt.headers = event.headers
            judgement = judge_response(attempt, event.body)
        else:
            judgement = judge_completion(attempt)
        self._outcomes[judgement.outcome.value] += 1
        return [self._record(attempt, judgement, now), *self._retry(attempt, judgement, now)]

    def _record(self, attempt: Attempt, judgement: Judgement, now: float) -> WriteRecord:
        """Record of one attempt."""
        operation = attempt.operation
        record = CallerRecord(
            request_id=attempt.request_id,
            sent_at=attempt.sent_at,
            ended_at=now,
            outcome=judgement.outcome,
            answered_by=attempt.headers.get("x-answered-by", ""),
            digest_ok=judgement.digest_ok,
            service=operation.service,
            idempotency_key=operation.idempotency_key,
            repeatable=operation.repeatable,
            gateway=attempt.gateway,
            status=attempt.status,
            kind=operation.kind.value,
            caller=operation.caller,
            reason=judgement.reason,
        )
        return WriteRecord("callers", record)

    def _retry(self, attempt: Attempt, judgement: Judgement, now: float) -> Sequence[Effect]:
        """Try at the next gateway under the same key, inside the deadline."""
        operation = attempt.operation
        if judgement.outcome is CallerOutcome.ANSWER or self._stopping:
            return ()
        delay = max(self._settings.retry_seconds, judgement.retry_after_seconds)
        if operation.attempts >= self._settings.maximum_attempts:
            return ()
        if now + delay >= operation.deadline_at:
            return ()
        operation.gateway_index += 1
        self._calls += 1
        name = f"{_RETRY_TIMER}{self._calls}"
        self._retries[name] = operation
        return (SetTimer(name, delay),)
