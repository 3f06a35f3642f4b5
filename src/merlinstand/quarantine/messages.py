"""Messages about suspected requests: daemons' reports, and the view sent to all daemons.

Plain data and its MessagePack encoding; carried by pulls of the directory and by its changes.
"""

import msgspec

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.blame import SuspectStatus

MAXIMUM_REPORT_ENTRIES = 64
"""Maximum entries of each kind (crashes, cleared requests, unanswered attempts) in one message: 64
crashes of 24 requests each take 50 KB."""


class BackendCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crashed backend and the requests that one daemon had in flight at it."""

    backend_id: BackendId
    contents: tuple[ContentDigest, ...]


class UnansweredAttempts(msgspec.Struct, frozen=True, array_like=True):
    """One daemon's attempts at a backend that have no response and may still crash the backend."""

    backend_id: BackendId
    contents: tuple[ContentDigest, ...]


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's report, sent with a pull and repeated until it is committed."""

    run_id: str
    """Identifies this run of the daemon; permits for trials are issued to it."""
    sequence: int
    """Number of the newest change in the report; increases with each change. The leader
    acknowledges it once all changes up to it are committed."""
    crashes: tuple[BackendCrash, ...] = ()
    served: tuple[ContentDigest, ...] = ()
    """Suspects that a backend has served completely."""
    trial_requests: tuple[ContentDigest, ...] = ()
    """Unproven requests that wait at this daemon for the permit of a trial."""
    unanswered: tuple[UnansweredAttempts, ...] = ()
    """Attempts that ended without a response. They are reported before their backends are known to
    have crashed, because this daemon may die before it finds out. Earlier builds neither send nor
    read this field and `in_flight`."""
    in_flight: tuple[UnansweredAttempts, ...] = ()
    """Attempts in flight; reported only while daemons announce each attempt on send."""


class Trial(msgspec.Struct, frozen=True, array_like=True):
    """Permit to send one unproven request once."""

    number: int
    content: ContentDigest
    run_id: str


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Status of one suspected request and the crashes that count against it."""

    status: SuspectStatus
    crashed_backends: tuple[BackendId, ...] = ()
    """Backends that crashed while running the request, without crashes for which another request is
    to blame."""


class SuspectsView(msgspec.Struct, frozen=True, omit_defaults=True):
    """The suspected requests, the current trial and the announcements, as sent to all daemons."""

    suspicions: dict[ContentDigest, Suspicion] = {}
    trial: Trial | None = None
    """The trial in progress; there is at most one."""
    announced_services: dict[str, int] = {}
    """Services for which all daemons are to report each attempt when it is sent (announce it). The
    number increases each time announcements are requested again."""


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
