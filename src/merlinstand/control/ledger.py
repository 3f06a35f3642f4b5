"""The ledger of batches: every sample is delivered to its consumer exactly once.

For each consumer the ledger keeps the next batch and the attempts at it that were committed and
may have been delivered. The consumer acknowledges one attempt: its slots become used permanently,
those of the other attempts become free again. A delayed request of the consumer may be committed
after a newer one, so the newest attempt is not always the delivered one.
"""

import msgspec

from merlinstand.configuration.objects import Job
from merlinstand.control.commands import (
    AcknowledgeBatch,
    AnyOutcome,
    BatchCommitted,
    BatchSample,
    CommitBatch,
    Done,
    Refused,
    RewindJob,
)
from merlinstand.control.queries import ConsumerPosition, LedgerAnswer
from merlinstand.control.slot_ranges import SlotRange, SlotRanges
from merlinstand.control.weights import StalenessBound

MAXIMUM_ATTEMPTS = 8
"""Attempts kept for an unacknowledged batch; beyond this the oldest is dropped."""

MAXIMUM_BATCH_SAMPLES = 16_384
"""Equal to `validation.MAXIMUM_BATCH_SIZE`; bounds a command in the log."""

MAXIMUM_DISCARDED_SLOTS = 65_536
"""Maximum number of discarded slots reported with one batch; bounds a command in the log."""

MAXIMUM_USED_RANGES = 65_536
"""Maximum number of ranges of used slots; beyond it the lowest gaps are marked as used. The samples
in these gaps are not delivered; other slots replace them. No sample is delivered twice."""

MAXIMUM_SLOT = 1 << 62
"""Exclusive upper limit on slot numbers, so that range ends fit in signed 64-bit integers."""

_SAMPLES_DECODER = msgspec.msgpack.Decoder(tuple[BatchSample, ...])


class Attempt(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One composition of a consumer's next batch, which may have been delivered."""

    nonce: str
    samples: bytes
    """msgpack of `tuple[BatchSample, ...]`; takes a sixth of the memory of the Structs."""

    def decoded(self) -> tuple[BatchSample, ...]:
        """Return the samples."""
        return _SAMPLES_DECODER.decode(self.samples)

    def slots(self) -> set[int]:
        """Return the slots of the samples."""
        return {sample.slot for sample in self.decoded()}


class ConsumerLedger:
    """Next batch of one consumer and the attempts at it."""

    def __init__(self, next_batch: int = 1) -> None:
        self.next_batch = next_batch
        self.acknowledged_nonce = ""
        """Nonce of the attempt at `next_batch - 1` that was acknowledged, if known."""
        self.attempts: list[Attempt] = []
        """Attempts at `next_batch`, oldest first."""
        self.reserved_slots: set[int] = set()
        """Slots of all attempts; no other consumer may use them."""

    def find_attempt(self, nonce: str) -> Attempt | None:
        """Return the attempt with a nonce; the empty nonce means the newest attempt."""
        if not nonce:
            return self.attempts[-1] if self.attempts else None
        return next((attempt for attempt in self.attempts if attempt.nonce == nonce), None)

    def add_attempt(self, attempt: Attempt) -> None:
        """Add the newest attempt and drop the oldest beyond `MAXIMUM_ATTEMPTS`."""
        self.attempts = [*self.attempts, attempt][-MAXIMUM_ATTEMPTS:]
        self.reserved_slots = set().union(*(kept.slots() for kept in self.attempts))

    def reset_to(self, batch: int, acknowledged_nonce: str) -> None:
        """Set the next batch and drop all attempts."""
        self.next_batch = batch
        self.acknowledged_nonce = acknowledged_nonce
        self.attempts = []
        self.reserved_slots = set()


class JobLedger:
    """Ledger of one job: its consumers and the used slots."""

    def __init__(self) -> None:
        self.consumers: dict[str, ConsumerLedger] = {}
        self.used = SlotRanges()

    def commit(self, command: CommitBatch, bound: StalenessBound) -> AnyOutcome:
        """Check and commit an attempt; a refusal changes nothing."""
        consumer = self.consumers.get(command.consumer) or ConsumerLedger()
        refusal = _check_fields(command) or _check_position(command, consumer)
        if refusal is not None:
            return refusal
        # Committing batch N + 1 acknowledges an attempt at batch N. The checks assume that this
        # acknowledgement was applied.
        delivered = _delivered_attempt(command, consumer)
        attempt = Attempt(command.nonce, msgspec.msgpack.encode(command.samples))
        earlier = None if delivered else consumer.find_attempt(command.nonce)
        refusal = (
            self._check_slots(command, delivered)
            or _check_staleness(command, bound)
            or _check_nonce(attempt, earlier)
        )
        if refusal is not None:
            return refusal
        self.consumers[command.consumer] = consumer
        if delivered is not None:
            self._acknowledge(consumer, delivered)
        if earlier is None:
            consumer.add_attempt(attempt)
        self._mark_used(command.discarded_slots)
        return BatchCommitted(
            batch=command.batch, nonce=command.nonce, newest_version=bound.newest_version
        )

    def acknowledge(self, command: AcknowledgeBatch, revision: int) -> AnyOutcome:
        """Acknowledge an attempt: mark its slots as used and move on to the next batch."""
        consumer = self.consumers.get(command.consumer)
        if consumer is None:
            return Refused(code="not_found", detail="the consumer has no batch")
        if command.batch == consumer.next_batch - 1:
            if command.nonce == consumer.acknowledged_nonce:
                return Done(revision=revision)
            return Refused(code="already", detail="acknowledged under another nonce")
        attempt = consumer.find_attempt(command.nonce)
        if command.batch != consumer.next_batch or attempt is None or not command.nonce:
            return Refused(code="conflict", detail=f"next batch is {consumer.next_batch}")
        self._acknowledge(consumer, attempt)
        return Done(revision=revision)

    def rewind(self, command: RewindJob, revision: int) -> AnyOutcome:
        """Move a consumer back to an earlier batch.

        Unacknowledged attempts may have been delivered, so their slots are marked as used too:
        samples may be lost, but none is delivered twice.
        """
        consumer = self.consumers.get(command.consumer) or ConsumerLedger()
        if command.expected_batch != consumer.next_batch:
            return Refused(code="conflict", detail=f"next batch is {consumer.next_batch}")
        if not 1 <= command.batch <= consumer.next_batch:
            return Refused(code="invalid_input", detail="a rewind only goes back")
        self._mark_used(consumer.reserved_slots)
        consumer.reset_to(command.batch, "")
        self.consumers[command.consumer] = consumer
        return Done(revision=revision)

    def answer(self, job: Job) -> LedgerAnswer:
        """Return the positions of the job's consumers and the used slots."""
        positions = tuple(self._position(consumer) for consumer in job.consumers)
        return LedgerAnswer(
            positions, self.used.contiguous_end(), self.used.slots_above_contiguous()
        )

    def _position(self, name: str) -> ConsumerPosition:
        consumer = self.consumers.get(name) or ConsumerLedger()
        attempt = consumer.find_attempt("")
        if attempt is None:
            return ConsumerPosition(name, consumer.next_batch, "", ())
        samples = tuple(sample.sample_id for sample in attempt.decoded())
        return ConsumerPosition(name, consumer.next_batch, attempt.nonce, samples)

    def _check_slots(self, command: CommitBatch, delivered: Attempt | None) -> Refused | None:
        slots = {sample.slot for sample in command.samples}
        if len(slots) != len(command.samples) or not slots.isdisjoint(command.discarded_slots):
            return Refused(code="invalid_input", detail="a slot is named twice")
        used = next((slot for slot in slots if slot in self.used), None)
        if used is None and delivered is not None:
            used = next(iter(slots & delivered.slots()), None)
        if used is not None:
            return Refused(code="already", detail=f"slot {used} was used before")
        for name, other in self.consumers.items():
            if name != command.consumer and not slots.isdisjoint(other.reserved_slots):
                return Refused(code="already", detail=f"a slot is in an open batch of {name}")
        return None

    def _acknowledge(self, consumer: ConsumerLedger, attempt: Attempt) -> None:
        self._mark_used(attempt.slots())
        consumer.reset_to(consumer.next_batch + 1, attempt.nonce)

    def _mark_used(self, slots: set[int] | tuple[int, ...]) -> None:
        self.used.add(slots)
        self.used.close_lowest_gaps(MAXIMUM_USED_RANGES)


def _check_fields(command: CommitBatch) -> Refused | None:
    if not command.nonce or not command.consumer:
        return Refused(code="invalid_input", detail="consumer and nonce are needed")
    if not 0 < len(command.samples) <= MAXIMUM_BATCH_SAMPLES:
        return Refused(code="invalid_input", detail="a batch needs samples, not too many")
    if len(command.discarded_slots) > MAXIMUM_DISCARDED_SLOTS:
        return Refused(code="invalid_input", detail="too many discarded slots")
    slots = [sample.slot for sample in command.samples]
    slots.extend(command.discarded_slots)
    if min(slots) < 0 or max(slots) >= MAXIMUM_SLOT:
        return Refused(code="invalid_input", detail="slot out of range")
    return None


def _check_position(command: CommitBatch, consumer: ConsumerLedger) -> Refused | None:
    next_batch = consumer.next_batch
    if command.batch < next_batch:
        return Refused(code="behind", detail=f"next batch is {next_batch}")
    if command.batch > next_batch + 1 or (
        command.batch == next_batch + 1 and not consumer.attempts
    ):
        return Refused(code="ahead", detail=f"next batch is {next_batch}")
    named = command.acknowledged_nonce
    if command.batch == next_batch:
        known = consumer.acknowledged_nonce
        if named and known and named != known:
            return Refused(code="conflict", detail="batch before was acknowledged otherwise")
    elif consumer.find_attempt(named) is None:
        return Refused(code="conflict", detail="batch before was received under a void nonce")
    return None


def _delivered_attempt(command: CommitBatch, consumer: ConsumerLedger) -> Attempt | None:
    if command.batch == consumer.next_batch:
        return None
    return consumer.find_attempt(command.acknowledged_nonce)


def _check_staleness(command: CommitBatch, bound: StalenessBound) -> Refused | None:
    violation = bound.find_violation(command.samples)
    return Refused(code="stale", detail=violation) if violation else None


def _check_nonce(attempt: Attempt, earlier: Attempt | None) -> Refused | None:
    # The consumer cannot distinguish two attempts with the same nonce, so each nonce is used
    # for one attempt only.
    if earlier is None or earlier.samples == attempt.samples:
        return None
    return Refused(code="conflict", detail="this nonce was used for other samples")


class ConsumerState(msgspec.Struct, frozen=True, array_like=True):
    """A consumer in a snapshot."""

    next_batch: int
    acknowledged_nonce: str
    attempts: tuple[Attempt, ...]


class JobLedgerState(msgspec.Struct, frozen=True, array_like=True):
    """A job's ledger in a snapshot."""

    consumers: dict[str, ConsumerState]
    used: tuple[SlotRange, ...]


def ledger_state(ledger: JobLedger) -> JobLedgerState:
    """Return a ledger's content for a snapshot."""
    consumers = {
        name: ConsumerState(
            consumer.next_batch, consumer.acknowledged_nonce, tuple(consumer.attempts)
        )
        for name, consumer in ledger.consumers.items()
    }
    return JobLedgerState(consumers, ledger.used.ranges())


def ledger_from_state(state: JobLedgerState) -> JobLedger:
    """Make a ledger from a snapshot's content."""
    ledger = JobLedger()
    ledger.used = SlotRanges(state.used)
    for name, saved in state.consumers.items():
        consumer = ConsumerLedger(saved.next_batch)
        consumer.acknowledged_nonce = saved.acknowledged_nonce
        consumer.attempts = list(saved.attempts)
        consumer.reserved_slots = set().union(*(kept.slots() for kept in saved.attempts))
        ledger.consumers[name] = consumer
    return ledger
