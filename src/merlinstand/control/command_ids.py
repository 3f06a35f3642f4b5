"""Outcomes of recent commands, so that a resent command gets the same outcome.

There are two deduplication windows: operators' commands are few and may be resent hours later,
daemons' commands are many and are resent within seconds. Lease commands are not recorded, because
they are idempotent: acquiring again as the same holder renews, releasing again changes nothing.
"""

from collections import deque

import msgspec
import xxhash

from merlinstand.control.commands import (
    AnyOutcome,
    Refused,
)

OPERATOR_WINDOW_SECONDS = 24 * 3600.0
"""Group time for which an operator's command is retained; a script may resend it hours later."""

OPERATOR_WINDOW_COMMANDS = 10_000
"""Enough for five days at 1,700 configuration changes a day, so that the time limit applies
first."""

DAEMON_WINDOW_SECONDS = 120.0
"""Group time for which a daemon's command is retained; sessions resend within seconds."""

DAEMON_WINDOW_COMMANDS = 8_192
"""Takes about 3 MB. A command resent after its outcome was evicted is harmless: claims, batches and
leases are checked by their own keys, nonces and epochs."""


class CompletedCommand(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A command that was applied, and its outcome."""

    digest: int
    """xxh3_64 of the command; distinguishes a resend from another command under the same id."""
    revision: int
    applied_at: float
    """Group time in seconds."""
    outcome: AnyOutcome


class DeduplicationWindow:
    """Completed commands, oldest first, bounded by count and by group time."""

    def __init__(self, maximum_commands: int, maximum_age_seconds: float) -> None:
        """Make an empty window.

        Args:
            maximum_commands: Number of commands beyond which the oldest are evicted.
            maximum_age_seconds: Group time after which a command is evicted.
        """
        self._maximum_commands = maximum_commands
        self._maximum_age_seconds = maximum_age_seconds
        self.commands: dict[str, CompletedCommand] = {}
        # Kept in addition to the dict, because finding a dict's first key gets slow once many
        # keys before it were deleted.
        self._order: deque[str] = deque()

    def restore(self, commands: dict[str, CompletedCommand]) -> None:
        """Replace the content by that of a snapshot, oldest first."""
        self.commands = dict(commands)
        self._order = deque(commands)

    def find(self, command_id: str) -> CompletedCommand | None:
        """Return the completed command of an id, or None if it is not retained."""
        return self.commands.get(command_id)

    def record(self, command_id: str, command: CompletedCommand) -> None:
        """Add a command and evict those outside the window."""
        self.commands[command_id] = command
        self._order.append(command_id)
        self._evict(command.applied_at - self._maximum_age_seconds)

    def _evict(self, oldest_retained: float) -> None:
        while len(self._order) > self._maximum_commands or (
            self._order and self.commands[self._order[0]].applied_at < oldest_retained
        ):
            del self.commands[self._order.popleft()]


def command_digest(command: bytes) -> int:
    """Return the digest (xxh3_64) that identifies a resent command."""
    return int(xxhash.xxh3_64_intdigest(command))


def answer_duplicate(completed: CompletedCommand, digest: int) -> tuple[int, AnyOutcome]:
    """Return revision and outcome for a command whose id is already recorded.

    The outcome is a refusal if the digest differs, because the id belongs to another command.
    """
    if completed.digest == digest:
        return completed.revision, completed.outcome
    refusal = Refused(code="invalid_input", detail="another command was sent under this command id")
    return completed.revision, refusal
