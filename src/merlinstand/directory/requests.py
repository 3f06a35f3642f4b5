"""Requests to a control daemon and its replies, independent of the wire format.

An HTTP interface (`http_interface.py`, or a platform's adapter) translates HTTP requests into these
types, and replies into HTTP responses; the interface keeps no state.
"""

from typing import Protocol

import msgspec
from result import Result

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.routes import RoutesDocument
from merlinstand.common.errors import MerlinstandError
from merlinstand.common.ids import BackendId
from merlinstand.evacuation.commands import EvacuationDelete, EvacuationPost
from merlinstand.kernel.events import RequestReceived


class DocumentPut(msgspec.Struct, frozen=True):
    """An operator uploads a complete routes document."""

    document: RoutesDocument
    raw: bytes


class DocumentGet(msgspec.Struct, frozen=True):
    """An operator reads the newest routes document."""


class Heartbeat(msgspec.Struct, frozen=True):
    """A backend reports its state."""

    backend: Backend
    sequence: int
    """Increases with every heartbeat of one backend."""
    started_ms: int = 0
    """Start time of the backend in Unix milliseconds; 0 if the backend doesn't report its start."""


class BackendDeregistered(msgspec.Struct, frozen=True):
    """A backend reports that it has ended."""

    backend_id: BackendId


class WeightsPublished(msgspec.Struct, frozen=True):
    """A trainer publishes a new weight version."""

    model: str
    version: int


class RetirementPost(msgspec.Struct, frozen=True):
    """An operator asks to retire a batch keeper."""

    name: str
    """Name of the keeper's machine."""


class RetirementGet(msgspec.Struct, frozen=True):
    """An operator asks whether a batch keeper is retired."""

    name: str
    """Name of the keeper's machine."""


ControlRequest = (
    DocumentPut
    | DocumentGet
    | Heartbeat
    | BackendDeregistered
    | WeightsPublished
    | RetirementPost
    | RetirementGet
    | EvacuationPost
    | EvacuationDelete
)


class Accepted(msgspec.Struct, frozen=True):
    """The request was carried out, and its effect is durable."""


class HeartbeatAccepted(msgspec.Struct, frozen=True):
    """A heartbeat was accepted."""

    next_address: str
    """HTTP address to which the next heartbeat should be sent, `ip:port`."""


class DocumentFound(msgspec.Struct, frozen=True):
    """The newest routes document, as the operator's original bytes."""

    raw: bytes


class RetirementState(msgspec.Struct, frozen=True):
    """Whether the retirement of a batch keeper is complete."""

    is_done: bool


class Redirect(msgspec.Struct, frozen=True):
    """Another control daemon can answer this request."""

    address: str
    """HTTP address of that daemon, `ip:port`."""
    path: str
    """Path of the request, including its query."""


class Failed(msgspec.Struct, frozen=True):
    """The request was not carried out, or its outcome is unknown; the error's type tells which."""

    error: MerlinstandError


ControlReply = Accepted | HeartbeatAccepted | DocumentFound | RetirementState | Redirect | Failed


class HttpReply(msgspec.Struct, frozen=True):
    """An HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes


class ControlInterface(Protocol):
    """Translates between HTTP and the types of this module; pure functions."""

    def read(self, event: RequestReceived) -> Result[ControlRequest, MerlinstandError]:
        """Parse an HTTP request; an error says what is wrong with the request."""
        ...

    def write(self, reply: ControlReply) -> HttpReply:
        """Return the HTTP response for a reply."""
        ...
