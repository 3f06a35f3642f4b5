"""Who acted last on a subject: a new holder leaves the one before it time.

Each act is noted in the log before it is done. A holder that finds another's note waits until a
whole lease after it, so that within one lease holders never act in the order A, B, A; a fence alone
is no help where the other side doesn't look at it. Runs on every replica of the control group and
of the keepers' group, so deterministic; `caller` asks `free_in` before it notes an act.
"""

import msgspec

INTENT_TIMEOUT_SECONDS = 0.4
"""An act is done within this time after its note was proposed, or not at all; chosen, not
measured."""
LEASE_MARGIN_SECONDS = 0.7
"""An act arrives this long after its note was proposed, at the latest: `NOTE_SECONDS` to be noted,
the rest on its way (a connection comes up within 0.3 s or not at all)."""
MAX_SUBJECTS = 4_096
"""Subjects whose last act is remembered; the oldest are forgotten first. A forgotten one was last
acted on long before: each of some 3,000 servers and 100 other subjects is acted on more often."""


class CallIntent(msgspec.Struct, frozen=True, array_like=True):
    """The newest act on a subject."""

    holder: str
    recorded_at: float
    """Group time in seconds."""


class CallIntents:
    """The last act on each subject."""

    def __init__(self) -> None:
        """Begin with none."""
        self.latest: dict[str, CallIntent] = {}
        """By subject, oldest first."""

    def record(self, subject: str, holder: str, group_time: float) -> None:
        """A holder is about to act."""
        self.latest.pop(subject, None)
        self.latest[subject] = CallIntent(holder, group_time)
        while len(self.latest) > MAX_SUBJECTS:
            del self.latest[next(iter(self.latest))]

    def seconds_until_free(
        self, subject: str, holder: str, group_time: float, lease_seconds: float
    ) -> float:
        """Seconds until no act of another holder can be younger than the lease.

        Args:
            subject: What is to be acted on.
            holder: Who wants to act; its own acts keep it from nothing.
            group_time: Present group time in seconds.
            lease_seconds: Length of the lease, with the margin for acts that arrive late.
        """
        latest = self.latest.get(subject)
        if latest is None or latest.holder == holder:
            return 0.0
        return max(0.0, latest.recorded_at + lease_seconds - group_time)
