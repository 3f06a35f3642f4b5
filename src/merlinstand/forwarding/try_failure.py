"""Records failed attempts, of non-streaming requests and streams, and builds their log fields."""

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.kernel.events import CallFailed, CallPhase
from merlinstand.quarantine.request_digest import RequestWithDigest

TIMEOUT_REASON = "timeout"
"""Reason that `runtime` sets for a call that failed because the backend sent nothing in time."""


def record_failed_attempt(
    chooser: BackendChooser, backend: Backend, event: CallFailed, now: float
) -> None:
    """Record a failed call in the evidence by which backends are chosen."""
    chooser.evidence(backend.backend_id).record_failure(now)
    chooser.cold.record_failure(backend, event, now)
    if event.reason == TIMEOUT_REASON:
        chooser.record_timeout(backend, now)


def failure_fields(
    pending: RequestWithDigest, backend: Backend | None, event: CallFailed, names: HeaderNames
) -> dict[str, object]:
    """Return the log fields of a failed attempt.

    The content digest and the caller allow failures to be correlated across attempts, callers and
    gateways.
    """
    fields: dict[str, object] = {
        "request": pending.request.request_id,
        "backend": backend.backend_id if backend is not None else "",
        "phase": event.phase.value,
        "reason": event.reason,
    }
    if event.phase is not CallPhase.CONNECT:
        fields["content"] = pending.content_digest(names)
        fields["caller"] = pending.request.caller
    return fields
