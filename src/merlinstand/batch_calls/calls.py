"""Calls of gateways to batch keepers and their replies (msgpack over HTTP).

A call is the body of a `POST` to `CALL_PATH` at a keeper's HTTP address; the reply is the body of
the response, whose status is 200 except for `NoRoom`. Gateways send calls in
`forwarding.batch_relay`; every keeper handles them in `batch_jobs.gateway_calls`. The protocol is
described in docs/INTERFACES.md.
"""

import msgspec

from merlinstand.batch_calls.jobs import BatchJob, ItemResult
from merlinstand.common.packed_message import compress_message, decompress_message
from merlinstand.decisions.rejection import WRONG_KEEPERS_RETRY_AFTER_SECONDS

CALL_PATH = "/v1/batch-call"


class SubmitJob(msgspec.Struct, frozen=True, tag="submit"):
    """Store and run a job; idempotent, since an id is accepted only once."""

    job: BatchJob
    allowed_regions: tuple[str, ...] = ()
    """Regions in which the job may be stored; empty if unrestricted."""


class ReadResults(msgspec.Struct, frozen=True, tag="results"):
    """Read results, starting at a position."""

    job_id: str
    position: int
    """Position of the first requested result; positions of a job count from 0."""
    wait_seconds: float = 0.0
    """Maximum time to wait for a result at that position; 0 for an immediate reply."""
    tenant: str = ""
    """Tenant whose API key authenticated the call; empty if no tenants are configured. The other
    calls have the same field."""


class ReadItemBody(msgspec.Struct, frozen=True, tag="body"):
    """Read the request body of an item that has no committed result yet."""

    job_id: str
    item_id: str
    tenant: str = ""


class EndJob(msgspec.Struct, frozen=True, tag="end"):
    """Stop running a job; idempotent."""

    job_id: str
    tenant: str = ""


BatchCall = SubmitJob | ReadResults | ReadItemBody | EndJob


class JobAccepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The job is committed to the log."""


class ResultsPage(msgspec.Struct, frozen=True, tag="page"):
    """Results from the requested position on."""

    total: int
    """Number of items of the job."""
    position: int
    """Position of the first result of the page."""
    results: tuple[ItemResult, ...]


class ItemBody(msgspec.Struct, frozen=True, tag="item"):
    """The request body of an item."""

    body: bytes


class JobEnded(msgspec.Struct, frozen=True, tag="ended"):
    """The job was ended; none of its items runs any more."""


class NotFound(msgspec.Struct, frozen=True, tag="not_found"):
    """The tenant has no such job, or the job has no such item without a committed result."""


class NotLeader(msgspec.Struct, frozen=True, tag="not_leader"):
    """The call had no effect: this keeper is not the leader."""

    http_address: str = ""
    """`ip:port` of the leader; empty if unknown."""


class CommitTimeout(msgspec.Struct, frozen=True, tag="undecided"):
    """The command was not committed in time; it may still be committed later."""


class OutsideAllowedRegions(msgspec.Struct, frozen=True, tag="kept_elsewhere"):
    """The call had no effect: a keeper is outside the regions that are allowed for the job."""

    detail: str
    retry_after_seconds: float = WRONG_KEEPERS_RETRY_AFTER_SECONDS
    """Seconds after which a retry may succeed: the reply stays the same until keepers are added or
    removed, which takes seconds."""


class NoRoom(msgspec.Struct, frozen=True, tag="no_room"):
    """The call had no effect: the open jobs take the room that the keepers have for them.

    Its HTTP status is 503, so that gateways that don't know this reply take it for a rejection.
    """

    detail: str
    retry_after_seconds: float


class Invalid(msgspec.Struct, frozen=True, tag="invalid"):
    """The call is malformed or conflicts with an existing job."""

    detail: str


BatchReply = (
    JobAccepted
    | ResultsPage
    | ItemBody
    | JobEnded
    | NotFound
    | NotLeader
    | CommitTimeout
    | OutsideAllowedRegions
    | NoRoom
    | Invalid
)

_CALL_DECODER = msgspec.msgpack.Decoder(BatchCall)
_REPLY_DECODER = msgspec.msgpack.Decoder(BatchReply)


def encode(message: BatchCall | BatchReply) -> bytes:
    """Encode a call or a reply.

    Only submitted jobs are compressed here: texts in a page of results are already compressed.
    """
    data = msgspec.msgpack.encode(message)
    return compress_message(data) if isinstance(message, SubmitJob) else data


def decode_call(data: bytes) -> BatchCall:
    """Decode a call.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _CALL_DECODER.decode(decompress_message(data))


def decode_reply(data: bytes) -> BatchReply:
    """Decode a reply.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _REPLY_DECODER.decode(data)
