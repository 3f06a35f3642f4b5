"""The last call intent for each subject; a new holder waits until the previous lease has ended.

Each fenced call is preceded by an intent in the log. A holder that finds another holder's intent
waits for the length of a lease after that intent, so that within one lease holders never make calls
in the order A, B, A. A fencing token alone is not sufficient if the other side doesn't check it.
Runs on every replica of the control group and of the keepers' group and is therefore deterministic;
`caller` checks `seconds_until_free` before it proposes an intent.
"""

import msgspec

INTENT_TIMEOUT_SECONDS = 0.4
"""A call is made within this time after the proposal of its intent, or not at all."""
LEASE_MARGIN_SECONDS = 0.7
"""A call arrives at most this long after the proposal of its intent: `INTENT_TIMEOUT_SECONDS` for
the commit, the rest for the transfer (a connection is established within 0.3 s or not at all)."""
MAXIMUM_SUBJECTS = 4_096
"""Maximum subjects whose last intent is stored; the oldest intents are dropped first. The lease of
a dropped intent ended long ago, since the limit exceeds the number of subjects with regular calls
(some 3,000 backends and 100 others)."""


class CallIntent(msgspec.Struct, frozen=True, array_like=True):
    """The newest call intent for a subject."""

    holder: str
    recorded_at: float
    """Group time in seconds."""


class CallIntents:
    """The last call intent for each subject."""

    def __init__(self) -> None:
        self.latest: dict[str, CallIntent] = {}
        """The last intent by subject, oldest first."""

    def record(self, subject: str, holder: str, group_time: float) -> None:
        """Record that a holder is about to make a call."""
        self.latest.pop(subject, None)
        self.latest[subject] = CallIntent(holder, group_time)
        while len(self.latest) > MAXIMUM_SUBJECTS:
            del self.latest[next(iter(self.latest))]

    def seconds_until_free(
        self, subject: str, holder: str, group_time: float, lease_seconds: float
    ) -> float:
        """Return the seconds until a whole lease has passed since any other holder's last intent.

        Args:
            subject: Subject of the planned call.
            holder: Holder that plans the call; the holder's own intents cause no delay.
            group_time: Present group time in seconds.
            lease_seconds: Length of the lease, including the margin for calls that arrive late.
        """
        latest = self.latest.get(subject)
        if latest is None or latest.holder == holder:
            return 0.0
        return max(0.0, latest.recorded_at + lease_seconds - group_time)
