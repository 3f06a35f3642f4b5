"""Names of the HTTP headers that merlinstand sets or reads."""

import msgspec


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Header names in lower case; a platform adapter may override the defaults."""

    request_id: str = "x-merlinstand-request-id"
    """Request id, which the backend returns in its response."""
    deadline_ms: str = "x-merlinstand-deadline-ms"
    """Remaining time in milliseconds that the sender will wait."""
    expected_backend: str = "x-merlinstand-backend"
    """Id of the intended backend; any other backend responds 421 without executing the request."""
    not_run: str = "x-merlinstand-not-run"
    """In a response: the backend did not execute the request (refusal)."""
    weight_versions: str = "x-merlinstand-weight-version"
    """In a response: weight version of the engine."""
    priority: str = "x-merlinstand-priority"
    """Priority of the request; 0 is the highest."""
    tenant: str = "x-merlinstand-tenant"
    """Tenant of the request, which merlinstand derives from the caller's key."""
    signature: str = "x-merlinstand-signature"
    """In a response: the backend's signature of the response."""
