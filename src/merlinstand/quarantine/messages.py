"""Messages about suspected requests: daemons' reports, and the view sent to all daemons.

Plain data and its MessagePack encoding; carried by pulls of the directory and by its changes.
"""

import msgspec

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.blame import SuspectStatus

MAXIMUM_REPORT_ENTRIES = 64
"""Maximum crashes, and likewise cleared requests and unanswered attempts, in one message: 64
crashes of 24 requests each take 50 KB."""


class BackendCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crashed backend and the requests that one daemon had in flight there."""

    backend_id: BackendId
    contents: tuple[ContentDigest, ...]


class UnansweredAttempts(msgspec.Struct, frozen=True, array_like=True):
    """Attempts of one daemon at one backend without a response, which may still crash it."""

    backend_id: BackendId
    contents: tuple[ContentDigest, ...]


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's report, sent with a pull and repeated until it is committed."""

    run_id: str
    """Identifies this run of the daemon; permits for trials are issued to it."""
    sequence: int
    """Increases with each reported change; acknowledged once the changes up to it are committed."""
    crashes: tuple[BackendCrash, ...] = ()
    served: tuple[ContentDigest, ...] = ()
    """Suspects that a backend has served completely."""
    trial_requests: tuple[ContentDigest, ...] = ()
    """Unproven requests that wait at this daemon for a trial."""
    unanswered: tuple[UnansweredAttempts, ...] = ()
    """Attempts that ended without a response. They are reported before their backends are known to
    have crashed, because this daemon may die before it finds out. Earlier builds neither send nor
    read this field and the following one."""
    in_flight: tuple[UnansweredAttempts, ...] = ()
    """Attempts in flight; reported only while daemons announce what they send."""


class Trial(msgspec.Struct, frozen=True, array_like=True):
    """Permit to send one unproven request once."""

    number: int
    content: ContentDigest
    run_id: str


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Status of one suspected request and the crashes that count against it."""

    status: SuspectStatus
    crashed_backends: tuple[BackendId, ...] = ()
    """Backends that crashed under it, unless another request is to blame."""


class SuspectsView(msgspec.Struct, frozen=True, omit_defaults=True):
    """The suspected requests, the current trial and the announcements, as sent to all daemons."""

    suspicions: dict[ContentDigest, Suspicion] = {}
    trial: Trial | None = None
    """The trial in progress; there is at most one."""
    announced_services: dict[str, int] = {}
    """Services whose attempts all daemons are to announce on send. The number increases each time
    the announcements are requested again."""


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
