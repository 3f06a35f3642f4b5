"""What a try without an answer says of its server, and what its line in the log says.

For whole requests and streams alike.
"""

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.kernel.events import CallFailed, CallPhase
from merlinstand.quarantine.request_digest import RequestWithDigest

CALL_TIMEOUT_REASON = "timeout"
"""How a call fails whose server is silent (`runtime`)."""


def note_failed_try(
    chooser: BackendChooser, backend: Backend, event: CallFailed, now: float
) -> None:
    """Take a failed call into the evidence about its server."""
    chooser.evidence(backend.backend_id).record_failure(now)
    chooser.cold.record_failure(backend, event, now)
    if event.reason == CALL_TIMEOUT_REASON:
        chooser.record_timeout(backend, now)


def failure_fields(
    known: RequestWithDigest, backend: Backend | None, event: CallFailed, names: HeaderNames
) -> dict[str, object]:
    """Give the fields of the log line of a failed try.

    What failed at a server is looked for over tries, callers and gateways: then its content and its
    caller are among them.
    """
    fields: dict[str, object] = {
        "request": known.request.request_id,
        "backend": backend.backend_id if backend is not None else "",
        "phase": event.phase.value,
        "reason": event.reason,
    }
    if event.phase is not CallPhase.CONNECT:
        fields["content"] = known.content_digest(names)
        fields["caller"] = known.request.caller
    return fields
