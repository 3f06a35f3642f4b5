"""Names of the headers that merlinstand sets or reads itself."""

import msgspec


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Header names in lower case; a platform's adapter may give others."""

    request_id: str = "x-merlinstand-request-id"
    """Names a request; a back end's answer carries it back."""
    deadline_ms: str = "x-merlinstand-deadline-ms"
    """Milliseconds that the sender will still wait."""
    expected_backend: str = "x-merlinstand-backend"
    """Back end id; any other server answers 421 and does not run the request."""
    not_run: str = "x-merlinstand-not-run"
    """In an answer: the server has not run the request."""
    weight_versions: str = "x-merlinstand-weight-version"
    """In an answer: weight version of the engine."""
    priority: str = "x-merlinstand-priority"
    """0 is the most urgent."""
    tenant: str = "x-merlinstand-tenant"
    """Whose request it is: set by merlinstand from the caller's key."""
    signature: str = "x-merlinstand-signature"
    """In an answer: the server's signature of it."""
