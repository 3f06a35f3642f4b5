"""A request to be forwarded, and how forwarding ended."""

import msgspec

from merlinstand.cluster.routes import Route


class ForwardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One try of a caller, or one call of merlinstand's own."""

    key: str
    """Names it within this process."""
    route: Route
    service: str
    method: str
    path: str
    headers: dict[str, str]
    """Names in lower case, `host` among them."""
    body: bytes
    request_id: str
    deadline_at: float
    """Local time by which the answer must have been given."""
    allowed_regions: frozenset[str] = frozenset()
    """Regions of the servers that may be asked; without any, all of them."""
    caller: str = ""
    """IP address of who sent it, for the log; empty for calls of merlinstand's own."""


class Answered(msgspec.Struct, frozen=True):
    """A back end's whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class NotRun(msgspec.Struct, frozen=True):
    """No back end ran it, and none will."""

    reason: str
    retry_after_seconds: float


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """A back end may have run it; no whole answer came."""

    reason: str
    is_timeout: bool
    """Whether time ran out."""


ForwardOutcome = Answered | NotRun | OutcomeUnknown


class FinishedRequest(msgspec.Struct, frozen=True):
    """A request that came to its end."""

    request: ForwardRequest
    outcome: ForwardOutcome
    attempts: int
    """Back ends that it was sent to."""
    backend_id: str = ""
    server_errors: int = 0
    """Whole answers of 500: the server ran it and failed."""
