"""Requests to forward, and the outcomes of forwarding."""

import msgspec

from merlinstand.cluster.routes import Route


class ForwardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request of a caller, or one that merlinstand itself sends."""

    key: str
    """Identifies the request within this process."""
    route: Route
    service: str
    method: str
    path: str
    headers: dict[str, str]
    """Names in lower case, `host` among them."""
    body: bytes
    request_id: str
    deadline_at: float
    """Local time by which the response must be sent."""
    allowed_regions: frozenset[str] = frozenset()
    """Regions of the backends that may receive the request; all regions if empty."""
    caller: str = ""
    """IP address of the sender, for the log; empty for merlinstand's own requests."""


class Answered(msgspec.Struct, frozen=True):
    """A backend returned a complete response."""

    status: int
    headers: dict[str, str]
    body: bytes


class NotRun(msgspec.Struct, frozen=True):
    """No backend executed the request, and none will."""

    reason: str
    retry_after_seconds: float


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """A backend may have executed the request; no complete response arrived."""

    reason: str
    is_timeout: bool
    """Whether the deadline passed."""


ForwardOutcome = Answered | NotRun | OutcomeUnknown


class FinishedRequest(msgspec.Struct, frozen=True):
    """A request whose forwarding has ended."""

    request: ForwardRequest
    outcome: ForwardOutcome
    attempts: int
    """Number of backends to which the request was sent."""
    backend_id: str = ""
    server_errors: int = 0
    """Number of complete responses with status 500: the backend executed the request and failed."""
