"""Commands and queries on their way to the leader, resent until they are answered.

No connection error tells that a leader is cut off in silence, so silence alone makes the
sender ask the next replica. A command keeps its id, so sending it twice does no harm.
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
"""Seconds between two looks at what is to be sent again, and the shortest pause before it is.
Chosen, not measured."""

MAXIMUM_REDIRECTS = 3
"""Redirects followed at once between two pauses: followers may name each other."""

HINT_SUPPRESSION_SECONDS = 1.0
"""A replica that was silent is not tried again at once because another names it."""

MAXIMUM_PROBE_REQUESTS = 16
"""Requests sent while no leader answers; the others wait for the first answer."""


class PendingRequest(msgspec.Struct):
    """A request that was not answered yet."""

    request_id: CommandId
    content: Command | Query
    message: Any
    deadline: float | None
    """Local time in seconds."""
    next_send_at: float
    sent_at: float = 0.0
    sent_to: NodeId | None = None
    redirects: int = 0
    """Redirects followed since the last pause."""


class FinishedRequest(msgspec.Struct, frozen=True):
    """A request that came to its end."""

    request_id: CommandId
    content: Command | Query
    outcome: AnyOutcome | None = None
    answer: AnyAnswer | None = None
    revision: int = 0
    timed_out: bool = False


class SenderResult(msgspec.Struct, frozen=True):
    """What came of a reply or a timer."""

    effects: tuple[Effect, ...] = ()
    answered: tuple[FinishedRequest, ...] = ()


class RequestSender:
    """Finds the leader and sends requests to it."""

    def __init__(
        self, settings: SessionSettings, ranked: tuple[NodeId, ...], generator: random.Random
    ) -> None:
        """Make a sender without requests.

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
        """Whether the target answered as a leader and was not silent since."""
        self._last_reply_at = 0.0
        """When the target last answered."""
        self._timed_out_at: dict[NodeId, float] = {}
        self._pending: dict[CommandId, PendingRequest] = {}
        self._open = False

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._pending)

    @property
    def is_full(self) -> bool:
        """Whether further requests should be refused."""
        return len(self._pending) >= self._maximum_pending

    def open(self, now: float) -> list[Effect]:
        """Begin to send: the run number in the command ids is durable."""
        self._open = True
        return self._send_due(now)

    def add_command(
        self, command_id: CommandId, command: Command, now: float, timeout_seconds: float | None
    ) -> list[Effect]:
        """Send a command."""
        message = CommandRequest(command_id, encode_command(command))
        return self._add(command_id, command, message, now, timeout_seconds)

    def add_query(
        self, query_id: CommandId, query: Query, now: float, timeout_seconds: float
    ) -> list[Effect]:
        """Send a query."""
        message = QueryRequest(query_id, msgspec.msgpack.encode(query))
        return self._add(query_id, query, message, now, timeout_seconds)

    def handle_command_reply(self, sender: NodeId, reply: CommandReply, now: float) -> SenderResult:
        """Take the answer to a command."""
        waiting = self._pending.get(CommandId(reply.command_id))
        if waiting is None:
            return SenderResult()
        if reply.status not in (CommandStatus.APPLIED, CommandStatus.REJECTED):
            retry_seconds = max(reply.retry_after_seconds, SENDER_TICK_INTERVAL_SECONDS)
            return self._redirect_or_retry(
                waiting, sender, reply.status, reply.leader, retry_seconds, now
            )
        try:
            outcome = decode_outcome(reply.outcome)
        except DECODE_ERRORS:
            # As good as no answer: the command is sent again until its deadline.
            return SenderResult()
        answered = FinishedRequest(
            waiting.request_id, waiting.content, outcome=outcome, revision=reply.revision
        )
        return self._finish(answered, sender, now)

    def handle_query_reply(self, sender: NodeId, reply: QueryReply, now: float) -> SenderResult:
        """Take the answer to a query."""
        waiting = self._pending.get(CommandId(reply.query_id))
        if waiting is None:
            return SenderResult()
        if reply.status not in (CommandStatus.APPLIED, CommandStatus.REJECTED):
            retry_seconds = SENDER_TICK_INTERVAL_SECONDS
            return self._redirect_or_retry(
                waiting, sender, reply.status, reply.leader, retry_seconds, now
            )
        answer: AnyAnswer | None = None
        if reply.status == CommandStatus.APPLIED:
            try:
                answer = decode_answer(reply.answer)
            except DECODE_ERRORS:
                # As good as no answer: the query is sent again until its deadline.
                return SenderResult()
        answered = FinishedRequest(waiting.request_id, waiting.content, answer=answer)
        return self._finish(answered, sender, now)

    def tick(self, now: float) -> SenderResult:
        """Resend what was not answered and give up what is past its deadline."""
        expired = [
            waiting
            for waiting in self._pending.values()
            if waiting.deadline is not None and now >= waiting.deadline
        ]
        for waiting in expired:
            del self._pending[waiting.request_id]
        effects = self._send_due(now) if self._open else []
        if self._pending:
            effects.append(SetTimer(SENDER_TIMER, SENDER_TICK_INTERVAL_SECONDS))
        answered = tuple(
            FinishedRequest(waiting.request_id, waiting.content, timed_out=True)
            for waiting in expired
        )
        return SenderResult(tuple(effects), answered)

    def _add(
        self,
        request_id: CommandId,
        content: Command | Query,
        message: Any,
        now: float,
        timeout_seconds: float | None,
    ) -> list[Effect]:
        deadline = None if timeout_seconds is None else now + timeout_seconds
        waiting = PendingRequest(request_id, content, message, deadline, now)
        effects: list[Effect] = []
        if not self._pending:
            effects.append(SetTimer(SENDER_TIMER, SENDER_TICK_INTERVAL_SECONDS))
        self._pending[request_id] = waiting
        if self._open and (self._leader_confirmed or len(self._pending) <= MAXIMUM_PROBE_REQUESTS):
            effects.append(self._send(waiting, now))
        return effects

    def _send(self, waiting: PendingRequest, now: float) -> Effect:
        waiting.sent_at = now
        waiting.sent_to = self._target
        waiting.next_send_at = now + self._timings.resend_seconds
        return SendMessage(self._target, waiting.message)

    def _send_due(self, now: float) -> list[Effect]:
        due = [waiting for waiting in self._pending.values() if waiting.next_send_at <= now]
        if any(self._timed_out_at_target(waiting) for waiting in due):
            self._timed_out_at[self._target] = now
            self._try_next_target()
        if not self._leader_confirmed:
            due = due[:MAXIMUM_PROBE_REQUESTS]
        for waiting in due:
            waiting.redirects = 0
        return [self._send(waiting, now) for waiting in due]

    def _timed_out_at_target(self, waiting: PendingRequest) -> bool:
        # A slow leader answers other requests meanwhile; a cut-off one answers nothing.
        return waiting.sent_to == self._target and self._last_reply_at < waiting.sent_at

    def _try_next_target(self) -> None:
        next_position = self._ranked.index(self._target) + 1
        self._target = self._ranked[next_position % len(self._ranked)]
        self._leader_confirmed = False

    def _finish(self, answered: FinishedRequest, sender: NodeId, now: float) -> SenderResult:
        del self._pending[answered.request_id]
        effects: list[Effect] = []
        if sender in self._ranked:
            effects = self._record_leader(sender, now)
        return SenderResult(tuple(effects), (answered,))

    def _record_leader(self, leader: NodeId, now: float) -> list[Effect]:
        self._last_reply_at = now
        self._timed_out_at.pop(leader, None)
        if self._leader_confirmed and self._target == leader:
            return []
        self._target = leader
        self._leader_confirmed = True
        # Everything that waited for a leader, or was sent elsewhere, goes to this one.
        return [
            self._send(waiting, now)
            for waiting in self._pending.values()
            if waiting.sent_to != leader
        ]

    def _redirect_or_retry(
        self,
        waiting: PendingRequest,
        sender: NodeId,
        status: CommandStatus,
        leader: str,
        retry_seconds: float,
        now: float,
    ) -> SenderResult:
        if waiting.sent_to != sender:
            return SenderResult()
        if sender == self._target:
            self._last_reply_at = now
        if status == CommandStatus.NOT_LEADER:
            hint = self._usable_hint(NodeId(leader), sender, now)
            if hint is not None and waiting.redirects < MAXIMUM_REDIRECTS:
                waiting.redirects += 1
                self._target = hint
                self._leader_confirmed = False
                return SenderResult((self._send(waiting, now),))
            if sender == self._target:
                self._try_next_target()
        waiting.sent_to = None
        waiting.next_send_at = now + retry_seconds * self._generator.uniform(1.0, 1.5)
        return SenderResult()

    def _usable_hint(self, leader: NodeId, sender: NodeId, now: float) -> NodeId | None:
        if leader == sender or leader not in self._ranked:
            return None
        timed_out_at = self._timed_out_at.get(leader)
        if timed_out_at is not None and now - timed_out_at < HINT_SUPPRESSION_SECONDS:
            return None
        return leader
