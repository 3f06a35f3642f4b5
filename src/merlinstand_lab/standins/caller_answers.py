"""How a caller judges what came back."""

import msgspec

from merlinstand.kernel.events import CallFailed, CallPhase
from merlinstand_lab.records.kinds import CallerOutcome
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.caller_work import Attempt
from merlinstand_lab.standins.engine_model.text import parse_text
from merlinstand_lab.standins.service import ServiceAnswer, answer_digest

_SSE_PREFIX = b"data: "
_SSE_DONE = b"[DONE]"


class Judgement(msgspec.Struct, frozen=True, kw_only=True):
    """The caller's view of one attempt."""

    outcome: CallerOutcome
    digest_ok: bool = False
    """Whether an answer is whole and the caller's own; true where there is none to check."""
    reason: str = ""
    retry_after_seconds: float = 0.0


class _StreamEvent(msgspec.Struct, kw_only=True):
    """A server-sent event of a completion."""

    request_id: str = ""
    index: int = 0
    token_count: int = 0
    text: str = ""
    finish_reason: str | None = None


def judge_failure(event: CallFailed) -> Judgement:
    """Judge a call without a whole response."""
    reason = f"{event.phase.value}: {event.reason}"
    if event.phase is CallPhase.CONNECT:
        # The gateway was not reached: no answer of the system, so no claim of it either.
        return Judgement(outcome=CallerOutcome.ERROR, digest_ok=True, reason=reason)
    return Judgement(outcome=CallerOutcome.UNKNOWN, digest_ok=True, reason=reason)


def judge_response(attempt: Attempt, body: bytes) -> Judgement:
    """Judge a whole response of a service."""
    claimed = _claimed_outcome(attempt)
    if claimed.outcome is not CallerOutcome.ANSWER:
        return claimed
    return Judgement(
        outcome=CallerOutcome.ANSWER,
        digest_ok=_is_own_answer(attempt, body),
        reason=f"status {attempt.status}",
    )


def judge_completion(attempt: Attempt) -> Judgement:
    """Judge a stream that came to its end."""
    claimed = _claimed_outcome(attempt)
    if claimed.outcome is not CallerOutcome.ANSWER:
        return claimed
    whole = _is_whole_completion(attempt, b"".join(attempt.chunks))
    return Judgement(
        outcome=CallerOutcome.ANSWER, digest_ok=whole, reason=f"status {attempt.status}"
    )


def _claimed_outcome(attempt: Attempt) -> Judgement:
    """Read what the system says of the attempt."""
    headers = attempt.headers
    echoed = headers.get(endpoint.REQUEST_ID_HEADER, "")
    if echoed and echoed != attempt.request_id:
        return Judgement(outcome=CallerOutcome.ANSWER, reason=f"answer of request {echoed}")
    try:
        outcome = CallerOutcome(headers.get("x-outcome", "error"))
    except ValueError:
        outcome = CallerOutcome.ERROR
    return Judgement(
        outcome=outcome,
        digest_ok=True,
        reason=f"status {attempt.status}",
        retry_after_seconds=_retry_after_seconds(headers),
    )


def _retry_after_seconds(headers: dict[str, str]) -> float:
    """Read when to come back."""
    try:
        return float(headers.get("retry-after", 0.0))
    except ValueError:
        return 0.0


def _is_own_answer(attempt: Attempt, body: bytes) -> bool:
    """Whether a service's answer belongs to this operation and is whole."""
    operation = attempt.operation
    if attempt.headers.get(endpoint.REQUEST_ID_HEADER) != attempt.request_id:
        return False
    try:
        answer = msgspec.json.decode(body, type=ServiceAnswer)
    except msgspec.DecodeError:
        return False
    # A recorded outcome of a booking carries the id of the attempt that ran.
    own = answer.request_id == attempt.request_id
    if operation.idempotency_key:
        own = answer.request_id in operation.request_ids
    path = operation.backend_path
    return own and answer.digest == answer_digest(answer.request_id, path, operation.body)


def _is_whole_completion(attempt: Attempt, data: bytes) -> bool:
    """Whether a stream holds every token from 0 to its end, for this request."""
    events = data.replace(b"\r\n", b"\n").split(b"\n\n")
    payloads = [event.removeprefix(_SSE_PREFIX) for event in events if event.strip()]
    if not payloads or payloads[-1] != _SSE_DONE:
        return False
    try:
        chunks = [msgspec.json.decode(payload, type=_StreamEvent) for payload in payloads[:-1]]
    except msgspec.DecodeError:
        return False
    if not chunks or any(chunk.request_id != attempt.request_id for chunk in chunks):
        return False
    parsed = parse_text("".join(chunk.text for chunk in chunks))
    ended = chunks[-1].finish_reason in ("stop", "length")
    count = sum(chunk.token_count for chunk in chunks)
    return ended and parsed.contiguous and parsed.token_count == count > 0
