"""Notices from a session to the daemon that embeds it."""

from typing import Any

import msgspec

from merlinstand.common.errors import MerlinstandError, UnavailableError
from merlinstand.common.ids import CommandId
from merlinstand.control.commands import Command


class Notice(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all notices."""


class CommandUnresolvedError(UnavailableError, frozen=True, kw_only=True):
    """No reply arrived before the timeout; the command may or may not have been applied."""

    code = "command_unresolved"


class SessionBusyError(UnavailableError, frozen=True, kw_only=True):
    """Too many requests are pending; this one was not sent."""

    code = "session_busy"


class CommandFinished(Notice, frozen=True, kw_only=True):
    """A submitted command finished, timed out or was not sent."""

    command_id: CommandId
    command: Command
    outcome: Any = None
    """One of `control.commands.AnyOutcome`, or None when `error` is set."""
    revision: int = 0
    """Log position at which the outcome was determined; 0 if there is none."""
    error: MerlinstandError | None = None
    """`CommandUnresolvedError` (may have been applied) or `SessionBusyError` (was not sent)."""


class QueryFinished(Notice, frozen=True, kw_only=True):
    """A query finished, timed out or was not sent."""

    query_id: CommandId
    answer: Any = None
    """One of `control.queries.AnyAnswer`, or None when `error` is set."""
    error: MerlinstandError | None = None


class ConfigurationChanged(Notice, frozen=True, kw_only=True):
    """A newer configuration is in effect; its revision is durable."""

    revision: int
    changed_keys: tuple[str, ...]
    """Keys that were put or deleted, for example `pool/blurb-llm`."""


class ConfigurationLeaseChanged(Notice, frozen=True, kw_only=True):
    """`may_take_new_work` changed.

    A loss is reported only at the next event, so check `may_take_new_work` before taking work.
    """

    held: bool


class LeaseGained(Notice, frozen=True, kw_only=True):
    """This daemon now holds the lease of a resource."""

    resource: str
    epoch: int


class LeaseLost(Notice, frozen=True, kw_only=True):
    """This daemon no longer holds the lease of a resource and must stop acting for it at once."""

    resource: str
    epoch: int
    reason: str
    """`expired`, `taken` or `released`."""


class LeaseUnavailable(Notice, frozen=True, kw_only=True):
    """Another daemon holds the lease of a requested resource; the session keeps retrying."""

    resource: str
    holder: str
    remaining_seconds: float
