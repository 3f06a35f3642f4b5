"""One consumer's place in its sequence of batches."""

import msgspec
from result import Err, Ok, Result

from merlinstand.control.queries import ConsumerPosition
from merlinstand.coordinator.errors import AheadError, RewoundError
from merlinstand.coordinator.samples import BatchRequest

MAXIMUM_ATTEMPTS = 8
"""Attempts at an unacknowledged batch that the ledger keeps."""


class SettledSlots(msgspec.Struct, frozen=True):
    """What an acknowledgement does to the slots of the acknowledged batch's attempts."""

    used: tuple[int, ...]
    released: tuple[int, ...]


class ConsumerProgress:
    """The batch that is composed next, or composed and not acknowledged."""

    def __init__(self, consumer: str) -> None:
        """Begin before the first batch."""
        self.consumer = consumer
        self.next_batch = 1
        self.attempts: dict[str, tuple[int, ...]] = {}
        """Slots of each attempt at `next_batch`, by nonce, oldest first."""
        self.acknowledged = 0
        """Last batch known to be acknowledged."""

    def load(self, position: ConsumerPosition, slots: tuple[int, ...]) -> None:
        """Take the ledger's word.

        Args:
            position: The consumer's position.
            slots: Slots of the unacknowledged attempt's samples.
        """
        self.next_batch = position.next_batch
        self.attempts = {position.nonce: slots} if position.nonce else {}

    def attempt_slots(self) -> set[int]:
        """Return all slots that attempts at the open batch hold."""
        return {slot for slots in self.attempts.values() for slot in slots}

    def requested_batch(self, request: BatchRequest) -> Result[int, RewoundError | AheadError]:
        """Compare a trainer's position with the ledger's.

        Returns:
            The batch asked for: the open one again, or the one after it.
        """
        batch = request.last_received_batch + 1
        # Without an attempt there is nothing that the trainer could have received.
        newest = self.next_batch + (1 if self.attempts else 0)
        if batch < self.next_batch:
            detail = f"asked for batch {batch}, batch {self.next_batch - 1} was acknowledged"
            return Err(RewoundError(detail=detail))
        if batch > newest:
            return Err(AheadError(detail=f"asked for batch {batch}, {newest} is next"))
        return Ok(batch)

    def delivered_slots(self, nonce: str) -> tuple[int, ...]:
        """Return the slots of the attempt received under a nonce; "" means the newest."""
        if not self.attempts:
            return ()
        newest = next(reversed(self.attempts))
        return self.attempts.get(nonce or newest, ())

    def is_acknowledgement_known(self, batch: int, nonce: str) -> bool:
        """Tell whether committing `batch` acknowledges an attempt that is known here."""
        return batch == self.next_batch or not nonce or nonce in self.attempts

    def record_commit(
        self, batch: int, nonce: str, slots: tuple[int, ...], acknowledged_nonce: str
    ) -> SettledSlots:
        """Take in a committed attempt.

        Returns:
            Slots that the acknowledgement of the batch before used, and those it released;
            for a further attempt at the same batch, those of attempts that fell out.
        """
        if batch == self.next_batch:
            self.attempts.pop(nonce, None)
            self.attempts[nonce] = slots
            return SettledSlots((), self._drop_oldest_attempts())
        settled = self._acknowledge(acknowledged_nonce)
        self.next_batch = batch
        self.attempts = {nonce: slots}
        # A slot taken into the new batch is neither free nor used yet.
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
