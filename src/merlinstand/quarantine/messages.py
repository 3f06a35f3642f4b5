"""Messages about suspects: what a daemon reports of them, and what all daemons are sent.

Plain data and its encoding; sent with pulls of the directory and with its changes.
"""

import msgspec

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.blame import SuspectStatus

MAXIMUM_REPORT_ENTRIES = 64
"""Crashes, and likewise cleared requests and unanswered tries, in one message: 64 crashes of 24
requests each take 50 KB."""


class BackendCrash(msgspec.Struct, frozen=True, array_like=True):
    """A server crashed; the requests of one daemon that were in flight there."""

    backend_id: BackendId
    contents: tuple[ContentDigest, ...]


class UnansweredAttempts(msgspec.Struct, frozen=True, array_like=True):
    """Tries of one daemon at one server without an answer: the server may crash under them."""

    backend_id: BackendId
    contents: tuple[ContentDigest, ...]


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon reports with a pull; sent again until it is agreed."""

    run_id: str
    """Names this run of the daemon: a permit to try a request is given to it."""
    sequence: int
    """Rises with what is reported; acknowledged once that is agreed."""
    crashes: tuple[BackendCrash, ...] = ()
    served: tuple[ContentDigest, ...] = ()
    """Suspects that a server answered whole."""
    trial_requests: tuple[ContentDigest, ...] = ()
    """Unproven requests that wait here to be tried."""
    unanswered: tuple[UnansweredAttempts, ...] = ()
    """Tries that ended without an answer. They are told before their servers are known to have
    crashed, as this daemon may die before it knows. Earlier builds neither send nor read them, nor
    what follows."""
    in_flight: tuple[UnansweredAttempts, ...] = ()
    """Tries under way; told only while daemons announce what they send."""


class Trial(msgspec.Struct, frozen=True, array_like=True):
    """Permit to send one unproven request once."""

    number: int
    content: ContentDigest
    run_id: str


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """What is held against one request."""

    status: SuspectStatus
    crashed_backends: tuple[BackendId, ...] = ()
    """Servers that crashed under it, as far as nothing else is to blame."""


class SuspectsView(msgspec.Struct, frozen=True, omit_defaults=True):
    """What all daemons are sent."""

    suspicions: dict[ContentDigest, Suspicion] = {}
    trial: Trial | None = None
    """The one that is under way; there is never a second one beside it."""
    announced_services: dict[str, int] = {}
    """Services whose tries all daemons are to tell of as they send them; the number rises each time
    from which on they are."""


_DECODER = msgspec.msgpack.Decoder(SuspectReport)


def encode_suspect_report(report: SuspectReport) -> bytes:
    """Encode for `DirectoryPull.suspect_news`."""
    return msgspec.msgpack.encode(report)


def decode_suspect_report(data: bytes) -> SuspectReport:
    """Decode `DirectoryPull.suspect_news`.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _DECODER.decode(data)
