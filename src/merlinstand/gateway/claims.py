"""Claims on idempotency keys: a request that is not repeatable is dispatched at most once.

A *twin* is another delivery of a request under the same idempotency key, at any gateway.

The rule, over every gateway and every failure:

1. A key is claimed in the control group before any byte leaves for a back end. Only the gateway
   whose claim was granted dispatches, and only if the grant arrives before the caller's deadline.
2. A claim is freed (`not_run`) only by its own owner, who knows that no byte left or that the
   back end proved it did not start. Each claim has a number of its own (`owner_incarnation`), so
   a late record of one claim cannot free a later claim of the same key.
3. A gateway that dies leaves its claim pending for ever: nobody else can know what ran.
4. A twin of a claimed key is given the recorded answer, or 409 `claim_pending` / 504 with
   `X-Outcome: unknown`; never `not_run`, because the key's request may have run.
"""

import enum
from collections import Counter
from random import Random

import msgspec

from merlinstand.common.ids import CommandId
from merlinstand.control.commands import (
    ClaimGranted,
    ClaimRequest,
    ClaimTaken,
    RecordOutcome,
)
from merlinstand.gateway.exchange import ClaimTicket, Exchange
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.settings import ClaimSettings
from merlinstand.kernel.effects import Effect
from merlinstand.session.control_session import ControlSession
from merlinstand.session.notices import CommandFinished

_RUN_NUMBER_BITS = 31
"""Random bits that name this run of the gateway, the upper part of a claim's number."""

_CLAIM_NUMBER_BITS = 31
"""Bits that count the claims of a run, the lower part; both together fit a signed 64-bit
integer."""


class ClaimVerdict(enum.Enum):
    """What control said about a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    FAILED = "failed"
    """No answer of control; nothing was dispatched."""


class ClaimResult(msgspec.Struct, frozen=True):
    """The end of a claim request."""

    ticket: ClaimTicket
    verdict: ClaimVerdict
    taken: ClaimTaken | None = None


class RecordedResponse(msgspec.Struct, frozen=True):
    """An answer as it is recorded for twins."""

    status: int
    body: bytes
    content_type: str


class Claims:
    """Claims and records under way."""

    def __init__(self, node_id: str, settings: ClaimSettings, session: ControlSession) -> None:
        """Start without claims."""
        self._node_id = node_id
        self._settings = settings
        self._session = session
        self._run_number = 0
        self._claim_number = 0
        self._claiming: dict[CommandId, ClaimTicket] = {}
        self._recording: dict[CommandId, ClaimTicket] = {}
        self._pending: dict[str, ClaimTicket] = {}
        """Keys claimed here whose end control has not confirmed."""
        self._pending_caller_keys: Counter[str] = Counter()
        """The same keys without their pool."""

    def start(self, random: Random) -> None:
        """Draw the number of this run of the process."""
        self._run_number = random.getrandbits(_RUN_NUMBER_BITS)

    @property
    def pending_count(self) -> int:
        """Claims and records that control has not answered."""
        return len(self._claiming) + len(self._recording)

    def has_capacity(self) -> bool:
        """Tell whether another claim may begin."""
        return len(self._pending) < self._settings.maximum_claims

    def pending_ticket(self, key: str) -> ClaimTicket | None:
        """Return this gateway's own claim on a key, if its end is not confirmed yet."""
        return self._pending.get(key)

    def may_be_pending(self, caller_key: str) -> bool:
        """Tell whether a key, as the caller sent it, may be one that is under way here."""
        return caller_key in self._pending_caller_keys

    def claim(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """Ask control for an exchange's key; `command_finished` gives the result."""
        request = exchange.request
        self._claim_number += 1
        number = (self._run_number << _CLAIM_NUMBER_BITS) | self._claim_number
        ticket = ClaimTicket(request.idempotency_key, request.digest, number, exchange.number)
        exchange.claim = ticket
        self._pending[ticket.key] = ticket
        self._pending_caller_keys[unscoped_key(ticket.key)] += 1
        command = ClaimRequest(
            idempotency_key=ticket.key,
            request_digest=ticket.digest,
            owner=self._node_id,
            owner_incarnation=number,
        )
        command_id, effects = self._session.submit(
            command, now, timeout_seconds=self._settings.record_timeout_seconds
        )
        self._claiming[command_id] = ticket
        out.extend(effects)

    def record(
        self,
        ticket: ClaimTicket,
        outcome: Outcome,
        response: RecordedResponse | None,
        now: float,
        out: list[Effect],
    ) -> None:
        """Record how a granted claim ended."""
        if outcome is Outcome.ANSWER and (
            response is None or len(response.body) > self._settings.maximum_recorded_bytes
        ):
            # A twin could not be given the whole answer; it must not get part of it.
            outcome, response = Outcome.UNKNOWN, None
        command = RecordOutcome(
            idempotency_key=ticket.key,
            owner=self._node_id,
            owner_incarnation=ticket.owner_incarnation,
            outcome=outcome.value,
            status=0 if response is None else response.status,
            body=b"" if response is None else response.body,
            content_type="" if response is None else response.content_type,
        )
        command_id, effects = self._session.submit(
            command, now, timeout_seconds=self._settings.record_timeout_seconds
        )
        self._recording[command_id] = ticket
        out.extend(effects)

    def on_command_finished(self, notice: CommandFinished) -> ClaimResult | None:
        """Take in control's answer.

        Returns:
            The result of a claim request; None for a record, or a command of somebody else.
        """
        recorded = self._recording.pop(notice.command_id, None)
        if recorded is not None:
            self._remove(recorded)
            return None
        ticket = self._claiming.pop(notice.command_id, None)
        if ticket is None:
            return None
        if isinstance(notice.outcome, ClaimGranted):
            ticket.granted = True
            return ClaimResult(ticket, ClaimVerdict.GRANTED)
        self._remove(ticket)
        if isinstance(notice.outcome, ClaimTaken):
            return ClaimResult(ticket, ClaimVerdict.TAKEN, notice.outcome)
        return ClaimResult(ticket, ClaimVerdict.FAILED)

    def _remove(self, ticket: ClaimTicket) -> None:
        if self._pending.get(ticket.key) is ticket:
            del self._pending[ticket.key]
            key = unscoped_key(ticket.key)
            self._pending_caller_keys[key] -= 1
            if not self._pending_caller_keys[key]:
                del self._pending_caller_keys[key]


def unscoped_key(scoped_key: str) -> str:
    """Return the key as the caller sent it: pool names have no slash."""
    return scoped_key.split("/", 1)[1]
