"""Commands of the directory's log about requests under which servers crashed."""

import msgspec

from merlinstand.common.ids import ContentDigest
from merlinstand.quarantine.messages import BackendCrash, UnansweredAttempts


class RecordCrashes(msgspec.Struct, frozen=True, tag="note_ends", omit_defaults=True):
    """A daemon saw servers crash, or requests served whole that were in flight at such a crash.

    Replicas of earlier builds pass over the fields with a default: what they apply of the others is
    the same.
    """

    crashes: tuple[BackendCrash, ...] = msgspec.field(name="ends")
    served: tuple[ContentDigest, ...]
    unanswered: tuple[UnansweredAttempts, ...] = ()
    """Tries whose servers may crash yet."""
    announced_services: tuple[str, ...] = ()
    """Services whose tries daemons are to tell of as they send them, for some time."""


class BeginTrial(msgspec.Struct, frozen=True, tag="begin_trial"):
    """An unproven request may be sent once, by one daemon."""

    content: ContentDigest
    run_id: str = msgspec.field(name="asker")


class EndTrial(msgspec.Struct, frozen=True, tag="end_trial"):
    """A trial's outcome was not reported in time."""

    number: int


class AllowTrials(msgspec.Struct, frozen=True, tag="allow_trials"):
    """The quarantine of some requests is over."""

    contents: tuple[ContentDigest, ...]


QuarantineCommand = RecordCrashes | BeginTrial | EndTrial | AllowTrials
