"""A consumer's position in its sequence of batches."""

import msgspec
from result import Err, Ok, Result

from merlinstand.control.queries import ConsumerPosition
from merlinstand.coordinator.errors import AheadError, RewoundError
from merlinstand.coordinator.samples import BatchRequest

MAXIMUM_ATTEMPTS = 8
"""Number of attempts at an unacknowledged batch that the ledger keeps."""


class SettledSlots(msgspec.Struct, frozen=True):
    """Slots that became used or free when a batch was acknowledged."""

    used: tuple[int, ...]
    released: tuple[int, ...]


class ConsumerProgress:
    """The open batch: the next one to compose, or composed and not yet acknowledged."""

    def __init__(self, consumer: str) -> None:
        """The position is before the first batch until it is set from the ledger."""
        self.consumer = consumer
        self.next_batch = 1
        self.attempts: dict[str, tuple[int, ...]] = {}
        """Slots of each attempt at `next_batch`, by nonce, oldest first."""
        self.acknowledged = 0
        """Number of the last batch known to be acknowledged."""

    def load(self, position: ConsumerPosition, slots: tuple[int, ...]) -> None:
        """Set the position from the ledger.

        Args:
            position: The consumer's position.
            slots: Slots of the unacknowledged attempt's samples.
        """
        self.next_batch = position.next_batch
        self.attempts = {position.nonce: slots} if position.nonce else {}

    def attempt_slots(self) -> set[int]:
        """Return all slots reserved by attempts at the open batch."""
        return {slot for slots in self.attempts.values() for slot in slots}

    def requested_batch(self, request: BatchRequest) -> Result[int, RewoundError | AheadError]:
        """Compare a trainer's position with the ledger's.

        Returns:
            Number of the requested batch: the open one, or the one after it.
        """
        batch = request.last_received_batch + 1
        # If no attempt was committed, the trainer cannot have received the open batch.
        newest = self.next_batch + (1 if self.attempts else 0)
        if batch < self.next_batch:
            detail = f"asked for batch {batch}, batch {self.next_batch - 1} was acknowledged"
            return Err(RewoundError(detail=detail))
        if batch > newest:
            return Err(AheadError(detail=f"asked for batch {batch}, {newest} is next"))
        return Ok(batch)

    def delivered_slots(self, nonce: str) -> tuple[int, ...]:
        """Return the slots of the attempt with a nonce; an empty nonce means the newest one."""
        if not self.attempts:
            return ()
        newest = next(reversed(self.attempts))
        return self.attempts.get(nonce or newest, ())

    def is_acknowledgement_known(self, batch: int, nonce: str) -> bool:
        """Return whether the attempt that a commit of `batch` acknowledges is known here."""
        return batch == self.next_batch or not nonce or nonce in self.attempts

    def record_commit(
        self, batch: int, nonce: str, slots: tuple[int, ...], acknowledged_nonce: str
    ) -> SettledSlots:
        """Record a committed attempt.

        Returns:
            Slots used and released by the acknowledgement of the previous batch; for another
            attempt at the same batch, the released slots of the oldest attempts, beyond
            `MAXIMUM_ATTEMPTS`.
        """
        if batch == self.next_batch:
            self.attempts.pop(nonce, None)
            self.attempts[nonce] = slots
            return SettledSlots((), self._drop_oldest_attempts())
        settled = self._acknowledge(acknowledged_nonce)
        self.next_batch = batch
        self.attempts = {nonce: slots}
        # A slot reused in the new batch is neither released nor used yet.
        return SettledSlots(
            settled.used, tuple(slot for slot in settled.released if slot not in slots)
        )

    def _acknowledge(self, nonce: str) -> SettledSlots:
        used = self.delivered_slots(nonce)
        released = tuple(slot for slot in self.attempt_slots() if slot not in used)
        self.acknowledged = self.next_batch
        return SettledSlots(used, released)

    def _drop_oldest_attempts(self) -> tuple[int, ...]:
        dropped: set[int] = set()
        while len(self.attempts) > MAXIMUM_ATTEMPTS:
            dropped.update(self.attempts.pop(next(iter(self.attempts))))
        return tuple(sorted(dropped - self.attempt_slots()))
