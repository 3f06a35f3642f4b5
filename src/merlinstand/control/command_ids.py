"""Answers of recent commands, so that a resent command gets the same one.

Two windows: operators' commands are few and may come again hours later; daemons' commands
are many and are resent within seconds. Lease commands are not remembered at all: acquiring
again under the same holder renews, releasing again changes nothing.
"""

import msgspec
import xxhash

from merlinstand.control.commands import (
    AnyOutcome,
    Refused,
)

OPERATOR_WINDOW_SECONDS = 24 * 3600.0
OPERATOR_WINDOW_COMMANDS = 10_000
"""Five days of letter 1's 1,700 configuration changes a day; time binds first."""

DAEMON_WINDOW_SECONDS = 300.0
DAEMON_WINDOW_COMMANDS = 20_000


class RememberedCommand(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A command that was applied, and its answer."""

    digest: int
    """xxh3_64 of the command, to tell a resend from an id used twice."""
    revision: int
    applied_at: float
    """Group time in seconds."""
    outcome: AnyOutcome


class CommandWindow:
    """Remembered commands, oldest first, bounded by count and by group time."""

    def __init__(self, maximum_commands: int, maximum_age_seconds: float) -> None:
        """Make an empty window.

        Args:
            maximum_commands: Most commands remembered.
            maximum_age_seconds: Group time after which a command is forgotten.
        """
        self._maximum_commands = maximum_commands
        self._maximum_age_seconds = maximum_age_seconds
        self.commands: dict[str, RememberedCommand] = {}

    def find(self, command_id: str) -> RememberedCommand | None:
        """Return the remembered command of that id, if any."""
        return self.commands.get(command_id)

    def remember(self, command_id: str, command: RememberedCommand) -> None:
        """Add a command and forget those that fell out of the window."""
        self.commands[command_id] = command
        self._forget(command.applied_at - self._maximum_age_seconds)

    def _forget(self, oldest_kept: float) -> None:
        # dict keeps insertion order, which is the order of the log: the first is the oldest.
        while self.commands:
            first_id = next(iter(self.commands))
            fresh = self.commands[first_id].applied_at >= oldest_kept
            if fresh and len(self.commands) <= self._maximum_commands:
                return
            del self.commands[first_id]


def command_digest(command: bytes) -> int:
    """Return the digest by which a resent command is recognised."""
    return int(xxhash.xxh3_64_intdigest(command))


def answer_again(remembered: RememberedCommand, digest: int) -> tuple[int, AnyOutcome]:
    """Return revision and outcome for a command id seen before."""
    if remembered.digest == digest:
        return remembered.revision, remembered.outcome
    refusal = Refused(code="invalid_input", detail="another command was sent under this command id")
    return remembered.revision, refusal
