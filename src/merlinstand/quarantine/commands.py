"""Commands of the directory's log about requests under which backends crashed."""

import msgspec

from merlinstand.common.ids import ContentDigest
from merlinstand.quarantine.messages import BackendCrash, UnansweredAttempts


class RecordCrashes(msgspec.Struct, frozen=True, tag="note_ends", omit_defaults=True):
    """Records crashed backends, and requests served after they were in flight at a crash.

    Replicas of earlier builds ignore the fields with a default and apply the other fields
    identically.
    """

    crashes: tuple[BackendCrash, ...] = msgspec.field(name="ends")
    served: tuple[ContentDigest, ...]
    unanswered: tuple[UnansweredAttempts, ...] = ()
    """Attempts that ended without a response, under which the backends may still crash."""
    announced_services: tuple[str, ...] = ()
    """Services for which daemons are to report each attempt when it is sent (announce it), for
    `ANNOUNCEMENT_SECONDS`."""


class BeginTrial(msgspec.Struct, frozen=True, tag="begin_trial"):
    """Permits one daemon to send an unproven request once."""

    content: ContentDigest
    run_id: str = msgspec.field(name="asker")


class EndTrial(msgspec.Struct, frozen=True, tag="end_trial"):
    """Ends a trial whose outcome was not reported in time."""

    number: int


class AllowTrials(msgspec.Struct, frozen=True, tag="allow_trials"):
    """Ends the quarantine of some requests; they may be retried in a trial."""

    contents: tuple[ContentDigest, ...]


QuarantineCommand = RecordCrashes | BeginTrial | EndTrial | AllowTrials
