"""What callers ask of a control daemon, and its replies, apart from any wire format.

An HTTP interface (`http_interface.py`, or a platform's adapter) turns requests into these
types and replies back into responses; it keeps no state.
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
    """An operator sends a whole document."""

    document: RoutesDocument
    raw: bytes


class DocumentGet(msgspec.Struct, frozen=True):
    """An operator reads the newest document."""


class Heartbeat(msgspec.Struct, frozen=True):
    """A back end reports its state."""

    backend: Backend
    sequence: int
    """Rises with every heartbeat of one back end."""
    started_ms: int = 0
    """When the server started, in Unix milliseconds; 0 if it doesn't say."""


class BackendDeregistered(msgspec.Struct, frozen=True):
    """A back end says that it is gone."""

    backend_id: BackendId


class WeightsPublished(msgspec.Struct, frozen=True):
    """A trainer publishes a new weight version."""

    model: str
    version: int


class RetirementPost(msgspec.Struct, frozen=True):
    """An operator wants a machine emptied."""

    name: str


class RetirementGet(msgspec.Struct, frozen=True):
    """An operator asks how far that is."""

    name: str


class ReadinessGet(msgspec.Struct, frozen=True):
    """A health check."""


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
    | ReadinessGet
)


class Accepted(msgspec.Struct, frozen=True):
    """Done, durably."""


class HeartbeatAccepted(msgspec.Struct, frozen=True):
    """A heartbeat was taken."""

    next_address: str
    """Where the next heartbeat is best sent, `ip:port`."""


class DocumentFound(msgspec.Struct, frozen=True):
    """The newest document, in the operator's own bytes."""

    raw: bytes


class RetirementState(msgspec.Struct, frozen=True):
    """How far a retirement is."""

    is_done: bool


class Redirect(msgspec.Struct, frozen=True):
    """Another control daemon can answer this."""

    address: str
    """Its HTTP address, `ip:port`."""
    path: str
    """Path of the request, with query."""


class Failed(msgspec.Struct, frozen=True):
    """The request was not done, or its outcome is unknown; the error's type says which."""

    error: MerlinstandError


ControlReply = Accepted | HeartbeatAccepted | DocumentFound | RetirementState | Redirect | Failed


class HttpReply(msgspec.Struct, frozen=True):
    """An HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes


class ControlInterface(Protocol):
    """An HTTP interface of control daemons: pure translation."""

    def read(self, event: RequestReceived) -> Result[ControlRequest, MerlinstandError]:
        """Understand a request, or say what is wrong with it."""
        ...

    def write(self, reply: ControlReply) -> HttpReply:
        """Give the response for a reply."""
        ...
