"""Sends commands and queries to the leader, and resends them until they get a reply.

A leader behind a network partition causes no connection error, so the sender moves on to the next
replica after a timeout alone. A command keeps its id, so sending it twice is harmless.
"""

import random
from typing import Any

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import CommandId, NodeId
from merlinstand.control.commands import AnyOutcome, Command, decode_outcome, encode_command
from merlinstand.control.queries import AnyAnswer, Query, decode_answer
from merlinstand.kernel.effects import Effect, SendMessage, SetTimer
from merlinstand.protocol.generated.control.ttypes import (
    CommandReply,
    CommandRequest,
    CommandStatus,
    QueryReply,
    QueryRequest,
)
from merlinstand.session.settings import SessionSettings

SENDER_TIMER = "session.sender"
SENDER_TICK_INTERVAL_SECONDS = 0.05
"""Interval of the checks for requests to resend, and the shortest delay before a resend."""

MAXIMUM_REDIRECTS = 3
"""Maximum number of redirects that a request follows without delay; bounds loops of followers that
name each other as leader."""

HINT_SUPPRESSION_SECONDS = 1.0
"""Redirects to a replica are ignored for this long after a request to it timed out."""

MAXIMUM_PROBE_REQUESTS = 16
"""Maximum number of requests sent before the leader's first reply; further requests wait for that
reply."""


class PendingRequest(msgspec.Struct):
    """A request that has not received a reply."""

    request_id: CommandId
    content: Command | Query
    message: Any
    deadline: float | None
    """Local time in seconds."""
    next_send_at: float
    sent_at: float = 0.0
    sent_to: NodeId | None = None
    redirects: int = 0
    """Redirects followed since the last delayed resend."""


class FinishedRequest(msgspec.Struct, frozen=True):
    """A request that got its reply or timed out."""

    request_id: CommandId
    content: Command | Query
    outcome: AnyOutcome | None = None
    answer: AnyAnswer | None = None
    revision: int = 0
    timed_out: bool = False


class SenderResult(msgspec.Struct, frozen=True):
    """Result of a reply or a tick."""

    effects: tuple[Effect, ...] = ()
    finished: tuple[FinishedRequest, ...] = ()


class RequestSender:
    """Finds the leader and sends pending requests to it."""

    def __init__(
        self, settings: SessionSettings, ranked: tuple[NodeId, ...], generator: random.Random
    ) -> None:
        """No request is pending at first.

        Args:
            settings: Timings and limits.
            ranked: Control replicas in the order in which this daemon tries them.
            generator: Source of random choices.
        """
        self._timings = settings.timings
        self._maximum_pending = settings.maximum_pending_commands
        self._ranked = ranked
        self._generator = generator
        self._target = ranked[0]
        self._leader_confirmed = False
        """Whether the target replied as leader and has not timed out since."""
        self._last_reply_at = 0.0
        """Local time of the target's last reply."""
        self._timed_out_at: dict[NodeId, float] = {}
        self._pending: dict[CommandId, PendingRequest] = {}
        self._is_open = False

    def __len__(self) -> int:
        """Return the number of pending requests."""
        return len(self._pending)

    @property
    def is_full(self) -> bool:
        """Whether callers should refuse further requests."""
        return len(self._pending) >= self._maximum_pending

    def open(self, now: float) -> list[Effect]:
        """Start sending, once the run number in the command ids is durable."""
        self._is_open = True
        return self._send_due(now)

    def add_command(
        self, command_id: CommandId, command: Command, now: float, timeout_seconds: float | None
    ) -> list[Effect]:
        """Add a command and send it; `timeout_seconds` None for no timeout."""
        message = CommandRequest(command_id, encode_command(command))
        return self._add(command_id, command, message, now, timeout_seconds)

    def add_query(
        self, query_id: CommandId, query: Query, now: float, timeout_seconds: float
    ) -> list[Effect]:
        """Add a query and send it."""
        message = QueryRequest(query_id, msgspec.msgpack.encode(query))
        return self._add(query_id, query, message, now, timeout_seconds)

    def handle_command_reply(self, sender: NodeId, reply: CommandReply, now: float) -> SenderResult:
        """Handle the reply to a command."""
        pending = self._pending.get(CommandId(reply.command_id))
        if pending is None:
            return SenderResult()
        if reply.status not in (CommandStatus.APPLIED, CommandStatus.REJECTED):
            retry_seconds = max(reply.retry_after_seconds, SENDER_TICK_INTERVAL_SECONDS)
            return self._redirect_or_retry(
                pending, sender, reply.status, reply.leader, retry_seconds, now
            )
        try:
            outcome = decode_outcome(reply.outcome)
        except DECODE_ERRORS:
            # Handled like a missing reply: the command is resent until its deadline.
            return SenderResult()
        finished = FinishedRequest(
            pending.request_id, pending.content, outcome=outcome, revision=reply.revision
        )
        return self._finish(finished, sender, now)

    def handle_query_reply(self, sender: NodeId, reply: QueryReply, now: float) -> SenderResult:
        """Handle the reply to a query."""
        pending = self._pending.get(CommandId(reply.query_id))
        if pending is None:
            return SenderResult()
        if reply.status not in (CommandStatus.APPLIED, CommandStatus.REJECTED):
            retry_seconds = SENDER_TICK_INTERVAL_SECONDS
            return self._redirect_or_retry(
                pending, sender, reply.status, reply.leader, retry_seconds, now
            )
        answer: AnyAnswer | None = None
        if reply.status == CommandStatus.APPLIED:
            try:
                answer = decode_answer(reply.answer)
            except DECODE_ERRORS:
                # Handled like a missing reply: the query is resent until its deadline.
                return SenderResult()
        finished = FinishedRequest(pending.request_id, pending.content, answer=answer)
        return self._finish(finished, sender, now)

    def tick(self, now: float) -> SenderResult:
        """Resend the requests that are due and finish those past their deadline as timed out."""
        expired = [
            pending
            for pending in self._pending.values()
            if pending.deadline is not None and now >= pending.deadline
        ]
        for pending in expired:
            del self._pending[pending.request_id]
        effects = self._send_due(now) if self._is_open else []
        if self._pending:
            effects.append(SetTimer(SENDER_TIMER, SENDER_TICK_INTERVAL_SECONDS))
        finished = tuple(
            FinishedRequest(pending.request_id, pending.content, timed_out=True)
            for pending in expired
        )
        return SenderResult(tuple(effects), finished)

    def _add(
        self,
        request_id: CommandId,
        content: Command | Query,
        message: Any,
        now: float,
        timeout_seconds: float | None,
    ) -> list[Effect]:
        deadline = None if timeout_seconds is None else now + timeout_seconds
        pending = PendingRequest(request_id, content, message, deadline, now)
        effects: list[Effect] = []
        if not self._pending:
            effects.append(SetTimer(SENDER_TIMER, SENDER_TICK_INTERVAL_SECONDS))
        self._pending[request_id] = pending
        if self._is_open and (
            self._leader_confirmed or len(self._pending) <= MAXIMUM_PROBE_REQUESTS
        ):
            effects.append(self._send(pending, now))
        return effects

    def _send(self, pending: PendingRequest, now: float) -> Effect:
        pending.sent_at = now
        pending.sent_to = self._target
        pending.next_send_at = now + self._timings.resend_seconds
        return SendMessage(self._target, pending.message)

    def _send_due(self, now: float) -> list[Effect]:
        due = [pending for pending in self._pending.values() if pending.next_send_at <= now]
        if any(self._timed_out_at_target(pending) for pending in due):
            self._timed_out_at[self._target] = now
            self._try_next_target()
        if not self._leader_confirmed:
            due = due[:MAXIMUM_PROBE_REQUESTS]
        for pending in due:
            pending.redirects = 0
        return [self._send(pending, now) for pending in due]

    def _timed_out_at_target(self, pending: PendingRequest) -> bool:
        # A slow leader replies to other requests in the meantime; an unreachable leader does not.
        return pending.sent_to == self._target and self._last_reply_at < pending.sent_at

    def _try_next_target(self) -> None:
        next_position = self._ranked.index(self._target) + 1
        self._target = self._ranked[next_position % len(self._ranked)]
        self._leader_confirmed = False

    def _finish(self, finished: FinishedRequest, sender: NodeId, now: float) -> SenderResult:
        del self._pending[finished.request_id]
        effects: list[Effect] = []
        if sender in self._ranked:
            effects = self._record_leader(sender, now)
        return SenderResult(tuple(effects), (finished,))

    def _record_leader(self, leader: NodeId, now: float) -> list[Effect]:
        self._last_reply_at = now
        self._timed_out_at.pop(leader, None)
        if self._leader_confirmed and self._target == leader:
            return []
        self._target = leader
        self._leader_confirmed = True
        # Requests not sent yet, or sent to another replica, go to this leader.
        return [
            self._send(pending, now)
            for pending in self._pending.values()
            if pending.sent_to != leader
        ]

    def _redirect_or_retry(
        self,
        pending: PendingRequest,
        sender: NodeId,
        status: CommandStatus,
        leader: str,
        retry_seconds: float,
        now: float,
    ) -> SenderResult:
        if pending.sent_to != sender:
            return SenderResult()
        if sender == self._target:
            self._last_reply_at = now
        if status == CommandStatus.NOT_LEADER:
            hint = self._usable_hint(NodeId(leader), sender, now)
            if hint is not None and pending.redirects < MAXIMUM_REDIRECTS:
                pending.redirects += 1
                self._target = hint
                self._leader_confirmed = False
                return SenderResult((self._send(pending, now),))
            if sender == self._target:
                self._try_next_target()
        pending.sent_to = None
        pending.next_send_at = now + retry_seconds * self._generator.uniform(1.0, 1.5)
        return SenderResult()

    def _usable_hint(self, leader: NodeId, sender: NodeId, now: float) -> NodeId | None:
        if leader == sender or leader not in self._ranked:
            return None
        timed_out_at = self._timed_out_at.get(leader)
        if timed_out_at is not None and now - timed_out_at < HINT_SUPPRESSION_SECONDS:
            return None
        return leader
