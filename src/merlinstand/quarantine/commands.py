"""Commands of the directory's log about requests under which servers crashed."""

import msgspec

from merlinstand.common.ids import ContentDigest
from merlinstand.quarantine.messages import ServerCrash


class NoteCrashes(msgspec.Struct, frozen=True, tag="note_ends"):
    """A daemon saw servers crash, or requests served whole that were in flight at such a crash."""

    crashes: tuple[ServerCrash, ...] = msgspec.field(name="ends")
    served: tuple[ContentDigest, ...]


class BeginTrial(msgspec.Struct, frozen=True, tag="begin_trial"):
    """An unproven request may be sent once, by one daemon."""

    content: ContentDigest
    asker: str


class EndTrial(msgspec.Struct, frozen=True, tag="end_trial"):
    """A trial's outcome was not reported in time."""

    number: int


class AllowTrials(msgspec.Struct, frozen=True, tag="allow_trials"):
    """The quarantine of some requests is over."""

    contents: tuple[ContentDigest, ...]


QuarantineCommand = NoteCrashes | BeginTrial | EndTrial | AllowTrials
