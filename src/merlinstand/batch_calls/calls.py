"""What gateways ask of a batch keeper, and its replies (msgpack over HTTP).

A call is the body of a `POST` to `CALL_PATH` at a keeper's HTTP address; the reply is the body of
an answer that is always 200. Gateways send them (`forwarding.batch_relay`), every keeper answers
them (`batch_jobs.gateway_calls`). Described for users' engineers in docs/INTERFACES.md.
"""

import msgspec

from merlinstand.batch_calls.jobs import BatchJob, ItemResult
from merlinstand.common.packed_message import compress_message, decompress_message
from merlinstand.decisions.rejection import WRONG_KEEPERS_RETRY_AFTER_SECONDS

CALL_PATH = "/v1/batch-call"


class SubmitJob(msgspec.Struct, frozen=True, tag="submit"):
    """Keep a job and run it; taken once, however often it comes."""

    job: BatchJob
    allowed_regions: tuple[str, ...] = ()
    """Where it may be kept; without any, everywhere."""


class ReadResults(msgspec.Struct, frozen=True, tag="results"):
    """Read results from a position on."""

    job_id: str
    position: int
    """Of the first result wanted; positions of a job count from 0."""
    wait_seconds: float = 0.0
    """Longest wait for a first result; 0 to be answered at once."""
    tenant: str = ""
    """Whose key the call carries; likewise for the other calls. Empty where there are none."""


class ReadItemBody(msgspec.Struct, frozen=True, tag="body"):
    """Read the body of an item that is not listed yet."""

    job_id: str
    item_id: str
    tenant: str = ""


class EndJob(msgspec.Struct, frozen=True, tag="end"):
    """Run nothing more of a job; repeating it is harmless."""

    job_id: str
    tenant: str = ""


BatchCall = SubmitJob | ReadResults | ReadItemBody | EndJob


class JobAccepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The job is kept."""


class ResultsPage(msgspec.Struct, frozen=True, tag="page"):
    """Results from the asked position on."""

    total: int
    """Items of the job."""
    position: int
    """Of the first result given."""
    results: tuple[ItemResult, ...]


class ItemBody(msgspec.Struct, frozen=True, tag="item"):
    """An item's body."""

    body: bytes


class JobEnded(msgspec.Struct, frozen=True, tag="ended"):
    """The job runs no more."""


class NotFound(msgspec.Struct, frozen=True, tag="not_found"):
    """There is no such job of this tenant, or no such unlisted item."""


class NotLeader(msgspec.Struct, frozen=True, tag="not_leader"):
    """Nothing was done; another keeper leads."""

    http_address: str = ""
    """`ip:port` of the leader, if known."""


class CommitTimeout(msgspec.Struct, frozen=True, tag="undecided"):
    """No decision of the log came in time: it may or may not be done."""


class OutsideAllowedRegions(msgspec.Struct, frozen=True, tag="kept_elsewhere"):
    """Nothing was done: a machine of the group stands where the job may not be kept."""

    detail: str
    retry_after_seconds: float = WRONG_KEEPERS_RETRY_AFTER_SECONDS
    """Until machines are taken in or out, the answer stays the same; that takes seconds."""


class Invalid(msgspec.Struct, frozen=True, tag="invalid"):
    """The call itself is wrong."""

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
    | Invalid
)

_CALL_DECODER = msgspec.msgpack.Decoder(BatchCall)
_REPLY_DECODER = msgspec.msgpack.Decoder(BatchReply)


def encode(message: BatchCall | BatchReply) -> bytes:
    """Encode a call or a reply; the texts in a page of results are packed already."""
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
