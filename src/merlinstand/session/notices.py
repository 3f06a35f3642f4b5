"""What a session reports to the daemon that embeds it."""

from typing import Any

import msgspec

from merlinstand.common.errors import MerlinstandError, UnavailableError
from merlinstand.common.ids import CommandId
from merlinstand.control.commands import Command


class Notice(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all notices."""


class CommandUnresolvedError(UnavailableError, frozen=True, kw_only=True):
    """No answer came in the given time: the command may or may not have been applied."""

    code = "command_unresolved"


class SessionBusyError(UnavailableError, frozen=True, kw_only=True):
    """Too many commands are waiting; this one was certainly not sent."""

    code = "session_busy"


class CommandFinished(Notice, frozen=True, kw_only=True):
    """A submitted command came to its end."""

    command_id: CommandId
    command: Command
    outcome: Any = None
    """One of `control.commands.AnyOutcome`, or None when `error` is set."""
    revision: int = 0
    """Log position at which the command was judged."""
    error: MerlinstandError | None = None
    """`CommandUnresolvedError` (may have been applied) or `SessionBusyError` (was not)."""


class QueryFinished(Notice, frozen=True, kw_only=True):
    """A query was answered, or given up."""

    query_id: CommandId
    answer: Any = None
    """One of `control.queries.AnyAnswer`, or None when `error` is set."""
    error: MerlinstandError | None = None


class ConfigurationChanged(Notice, frozen=True, kw_only=True):
    """A newer configuration is in force; it is already durable."""

    revision: int
    changed_keys: tuple[str, ...]
    """Keys put or deleted, for example `pool/blurb-llm`."""


class ConfigurationLeaseChanged(Notice, frozen=True, kw_only=True):
    """`may_take_new_work` changed. Loss is noticed late; ask `may_take_new_work` itself."""

    held: bool


class LeaseGained(Notice, frozen=True, kw_only=True):
    """This daemon now holds a resource."""

    resource: str
    epoch: int


class LeaseLost(Notice, frozen=True, kw_only=True):
    """This daemon no longer holds a resource: stop acting for it at once."""

    resource: str
    epoch: int
    reason: str
    """`expired`, `taken` or `released`."""


class LeaseUnavailable(Notice, frozen=True, kw_only=True):
    """Another daemon holds a resource this one wants; the session keeps asking."""

    resource: str
    holder: str
    remaining_seconds: float
