"""The last call intent for each subject; a new holder waits for the previous one's lease to end.

Each fenced call is preceded by an intent in the log. A holder that finds another holder's intent
waits a whole lease after it, so that within one lease holders never make calls in the order A, B,
A. A fence alone is not sufficient where the other side doesn't check it. Runs on every replica of
the control group and of the keepers' group and is therefore deterministic; `caller` checks
`seconds_until_free` before it proposes an intent.
"""

import msgspec

INTENT_TIMEOUT_SECONDS = 0.4
"""A call is made within this time after its intent was proposed, or not at all."""
LEASE_MARGIN_SECONDS = 0.7
"""A call arrives at most this long after its intent was proposed: `INTENT_TIMEOUT_SECONDS` for the
commit, the rest in transit (a connection is established within 0.3 s or not at all)."""
MAXIMUM_SUBJECTS = 4_096
"""Subjects whose last intent is stored; the oldest are dropped first. A dropped one is long past:
each of some 3,000 backends and 100 other subjects has calls more often."""


class CallIntent(msgspec.Struct, frozen=True, array_like=True):
    """The newest call intent for a subject."""

    holder: str
    recorded_at: float
    """Group time in seconds."""


class CallIntents:
    """The last call intent for each subject."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.latest: dict[str, CallIntent] = {}
        """By subject, oldest first."""

    def record(self, subject: str, holder: str, group_time: float) -> None:
        """Record that a holder is about to make a call."""
        self.latest.pop(subject, None)
        self.latest[subject] = CallIntent(holder, group_time)
        while len(self.latest) > MAXIMUM_SUBJECTS:
            del self.latest[next(iter(self.latest))]

    def seconds_until_free(
        self, subject: str, holder: str, group_time: float, lease_seconds: float
    ) -> float:
        """Return the seconds until no call of another holder can be more recent than the lease.

        Args:
            subject: Subject of the planned call.
            holder: Holder that plans the call; its own intents don't delay it.
            group_time: Present group time in seconds.
            lease_seconds: Length of the lease, including the margin for calls that arrive late.
        """
        latest = self.latest.get(subject)
        if latest is None or latest.holder == holder:
            return 0.0
        return max(0.0, latest.recorded_at + lease_seconds - group_time)
