"""Answers of recent commands, so that a resent command gets the same one.

Two windows: operators' commands are few and may come again hours later; daemons' commands
are many and are resent within seconds. Lease commands are not remembered at all: acquiring
again under the same holder renews, releasing again changes nothing.
"""

from collections import deque

import msgspec
import xxhash

from merlinstand.control.commands import (
    AnyOutcome,
    Refused,
)

OPERATOR_WINDOW_SECONDS = 24 * 3600.0
"""Group time for which an operator's command is remembered: a script may send it again hours later.
Chosen, not measured."""

OPERATOR_WINDOW_COMMANDS = 10_000
"""Five days of the target of 1,700 configuration changes a day; time binds first."""

DAEMON_WINDOW_SECONDS = 120.0
"""Group time for which a daemon's command is remembered; sessions resend within seconds. Chosen,
not measured."""

DAEMON_WINDOW_COMMANDS = 8_192
"""Sessions resend within seconds. Some 3 MB; beyond it a resend is still harmless, since
claims, batches and leases are judged by their own keys, nonces and epochs."""


class CompletedCommand(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A command that was applied, and its answer."""

    digest: int
    """xxh3_64 of the command, to tell a resend from an id used twice."""
    revision: int
    applied_at: float
    """Group time in seconds."""
    outcome: AnyOutcome


class DeduplicationWindow:
    """Remembered commands, oldest first, bounded by count and by group time."""

    def __init__(self, maximum_commands: int, maximum_age_seconds: float) -> None:
        """Make an empty window.

        Args:
            maximum_commands: Most commands remembered.
            maximum_age_seconds: Group time after which a command is forgotten.
        """
        self._maximum_commands = maximum_commands
        self._maximum_age_seconds = maximum_age_seconds
        self.commands: dict[str, CompletedCommand] = {}
        # Beside the dict, because finding a dict's first key gets slow once many before it
        # were deleted.
        self._order: deque[str] = deque()

    def restore(self, commands: dict[str, CompletedCommand]) -> None:
        """Replace the content by that of a snapshot, oldest first."""
        self.commands = dict(commands)
        self._order = deque(commands)

    def find(self, command_id: str) -> CompletedCommand | None:
        """Return the remembered command of that id, if any."""
        return self.commands.get(command_id)

    def record(self, command_id: str, command: CompletedCommand) -> None:
        """Add a command and forget those that fell out of the window."""
        self.commands[command_id] = command
        self._order.append(command_id)
        self._evict(command.applied_at - self._maximum_age_seconds)

    def _evict(self, oldest_retained: float) -> None:
        while len(self._order) > self._maximum_commands or (
            self._order and self.commands[self._order[0]].applied_at < oldest_retained
        ):
            del self.commands[self._order.popleft()]


def command_digest(command: bytes) -> int:
    """Return the digest by which a resent command is recognised."""
    return int(xxhash.xxh3_64_intdigest(command))


def answer_duplicate(completed: CompletedCommand, digest: int) -> tuple[int, AnyOutcome]:
    """Return revision and outcome for a command id seen before."""
    if completed.digest == digest:
        return completed.revision, completed.outcome
    refusal = Refused(code="invalid_input", detail="another command was sent under this command id")
    return completed.revision, refusal
