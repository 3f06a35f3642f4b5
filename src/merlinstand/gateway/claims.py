"""Claims on idempotency keys: ensure that a non-repeatable request is dispatched at most once.

A *duplicate* is another delivery of a request under the same idempotency key, at any gateway. Over
all gateways and failures:

1. A key is claimed in the control group before any byte is sent to a backend. Only the gateway
   whose claim was granted dispatches, and only if the grant arrives before the caller's deadline.
2. A claim is released (`not_run`) only by the gateway that owns it, if no byte was sent or if the
   backend proved that it did not start the request. Each claim has a unique number
   (`owner_incarnation`), so that a late record of one claim cannot release a later claim of the
   same key.
3. If a gateway dies, its claims stay pending for ever: no other process can know which of the
   requests ran.
4. A duplicate of a request whose key is claimed gets the recorded response, 409 `claim_pending`,
   or 504 with `X-Outcome: unknown`; never `not_run`, because the claimed request may have run.
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
"""Number of random bits, the upper part of a claim number, that identify this run of the
gateway."""

_CLAIM_NUMBER_BITS = 31
"""Number of bits, the lower part of a claim number, that count the claims of a run. Both parts
together fit a signed 64-bit integer."""


class ClaimVerdict(enum.Enum):
    """Result of a claim request."""

    GRANTED = "granted"
    TAKEN = "taken"
    FAILED = "failed"
    """The control group did not respond in time; nothing was dispatched."""


class ClaimResult(msgspec.Struct, frozen=True):
    """A finished claim request."""

    ticket: ClaimTicket
    verdict: ClaimVerdict
    taken: ClaimTaken | None = None


class RecordedResponse(msgspec.Struct, frozen=True):
    """A response as it is recorded for duplicates."""

    status: int
    body: bytes
    content_type: str


class Claims:
    """Claim requests and outcome records that the control group has not confirmed yet."""

    def __init__(self, node_id: str, settings: ClaimSettings, session: ControlSession) -> None:
        """Create an instance; `start` must be called before the first claim."""
        self._node_id = node_id
        self._settings = settings
        self._session = session
        self._run_number = 0
        self._claim_number = 0
        self._claiming: dict[CommandId, ClaimTicket] = {}
        self._recording: dict[CommandId, ClaimTicket] = {}
        self._pending: dict[str, ClaimTicket] = {}
        """Claims of this gateway by key, until they are rejected or their outcome record is
        done."""
        self._pending_caller_keys: Counter[str] = Counter()
        """Counts of the same keys without their pool name."""

    def start(self, random: Random) -> None:
        """Draw the random number that identifies this run of the gateway."""
        self._run_number = random.getrandbits(_RUN_NUMBER_BITS)

    @property
    def pending_count(self) -> int:
        """Number of claim requests and outcome records without a response of the control group."""
        return len(self._claiming) + len(self._recording)

    def has_capacity(self) -> bool:
        """Return whether there are fewer than `ClaimSettings.maximum_claims` claims."""
        return len(self._pending) < self._settings.maximum_claims

    def pending_ticket(self, key: str) -> ClaimTicket | None:
        """Return this gateway's claim on a key; None if there is none whose end is unconfirmed."""
        return self._pending.get(key)

    def may_be_pending(self, caller_key: str) -> bool:
        """Return whether a key, as sent by a caller, has a pending claim in any pool."""
        return caller_key in self._pending_caller_keys

    def claim(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """Request a claim on an exchange's key; `on_command_finished` returns the result."""
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
        """Record the outcome of a granted claim; `response` only for `Outcome.ANSWER`."""
        if outcome is Outcome.ANSWER and (
            response is None or len(response.body) > self._settings.maximum_recorded_bytes
        ):
            # A duplicate must not get a truncated response.
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
        """Handle the result of a command.

        Returns:
            The result of a claim request; None for an outcome record or another command.
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
    """Return the key as sent by the caller, after `pool/`; pool names contain no slash."""
    return scoped_key.split("/", 1)[1]
