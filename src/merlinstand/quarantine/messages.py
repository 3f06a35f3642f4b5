"""Messages about suspects: what a daemon saw of them, and what all daemons are told."""

import msgspec

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.blame import Standing

MAXIMUM_REPORT_ENTRIES = 64
"""Ends, and likewise cleared requests, in one message: 64 ends of 24 requests each take 50 KB."""


class ServerCrash(msgspec.Struct, frozen=True, array_like=True):
    """A server ended; the requests of one daemon that were in flight there."""

    backend_id: BackendId
    contents: tuple[ContentDigest, ...]


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon tells with a pull; told again until it is agreed."""

    asker: str
    """Names this run of the daemon: leave to try a request is given to it."""
    mark: int
    """Rises with what is told; given back once it is agreed."""
    ends: tuple[ServerCrash, ...] = ()
    served: tuple[ContentDigest, ...] = ()
    """Suspects that a server answered whole."""
    wishes: tuple[ContentDigest, ...] = ()
    """Doubtful requests that wait here to be tried."""


class Trial(msgspec.Struct, frozen=True, array_like=True):
    """Leave to send one doubtful request once."""

    number: int
    content: ContentDigest
    asker: str


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """What is held against one request."""

    standing: Standing
    ends: tuple[BackendId, ...] = ()
    """Servers that ended under it, as far as nothing else is to blame."""


class SuspectsView(msgspec.Struct, frozen=True):
    """What all daemons are told."""

    suspicions: dict[ContentDigest, Suspicion] = {}
    trial: Trial | None = None
    """The one that is under way; there is never a second one beside it."""


_DECODER = msgspec.msgpack.Decoder(SuspectReport)


def encode_suspect_report(news: SuspectReport) -> bytes:
    """Encode for `DirectoryPull.suspect_news`."""
    return msgspec.msgpack.encode(news)


def decode_suspect_report(data: bytes) -> SuspectReport:
    """Decode `DirectoryPull.suspect_news`.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _DECODER.decode(data)
