"""The coordinator's durable journal of finished samples.

Losing the journal breaks no guarantee: a sample that no batch contains is generated again. The
control session's records share the journal and are told apart by their prefix.
"""

from collections.abc import Sequence

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.coordinator.samples import Sample
from merlinstand.kernel.effects import AppendRecords, Effect, SaveSnapshot

RECORD_PREFIX = b"cs1:"
"""Kind and format version of this module's records."""


class SamplesFinished(msgspec.Struct, frozen=True, tag="samples"):
    """Samples that became durable together."""

    samples: tuple[Sample, ...]


class SlotsClosed(msgspec.Struct, frozen=True, tag="closed"):
    """Slots of a job that were delivered, dropped or expired, so their samples can be deleted."""

    job: str
    slots: tuple[int, ...]


_DECODER = msgspec.msgpack.Decoder(SamplesFinished | SlotsClosed)


def _encode(record: SamplesFinished | SlotsClosed) -> bytes:
    return RECORD_PREFIX + msgspec.msgpack.encode(record)


class SampleJournal:
    """Appends samples, tracks which are live, and compacts the journal."""

    def __init__(self, maximum_records: int) -> None:
        """Create an empty journal.

        Args:
            maximum_records: Number of records after which a snapshot replaces the journal.
        """
        self._maximum_records = maximum_records
        self._record_count = 0
        self._next_token = 1
        self._unsynced: dict[int, tuple[Sample, ...]] = {}
        self._live: dict[tuple[str, int], Sample] = {}

    def recover(self, snapshot: bytes | None, records: Sequence[bytes]) -> list[Sample]:
        """Restore the state from disk.

        Args:
            snapshot: Last snapshot, if any.
            records: Journal records after it; those of other components are ignored.

        Returns:
            Samples that are still live.
        """
        own = [record for record in records if record.startswith(RECORD_PREFIX)]
        if snapshot is not None and snapshot.startswith(RECORD_PREFIX):
            own.insert(0, snapshot)
        for record in own:
            self._replay(record)
        self._record_count = len(own)
        return list(self._live.values())

    def _replay(self, record: bytes) -> None:
        # The sample of an undecodable record is generated again. The host has already rejected a
        # journal with wrong checksums.
        try:
            decoded = _DECODER.decode(record[len(RECORD_PREFIX) :])
        except DECODE_ERRORS:
            return
        if isinstance(decoded, SlotsClosed):
            self._forget(decoded.job, decoded.slots)
            return
        for sample in decoded.samples:
            self._live.setdefault((sample.job, sample.slot), sample)

    def append(self, samples: tuple[Sample, ...]) -> Effect:
        """Write finished samples; `synced` returns them once they are durable."""
        token = self._next_token
        self._next_token += 1
        self._unsynced[token] = samples
        return self._append(SamplesFinished(samples), token)

    def synced(self, token: int) -> tuple[Sample, ...]:
        """Return the samples that became durable with the write of this token."""
        samples = self._unsynced.pop(token, ())
        for sample in samples:
            self._live.setdefault((sample.job, sample.slot), sample)
        return samples

    def close(self, job: str, slots: tuple[int, ...]) -> Effect:
        """Record that the slots' samples can be deleted. Losing this record does no harm."""
        self._forget(job, slots)
        token = self._next_token
        self._next_token += 1
        return self._append(SlotsClosed(job, slots), token)

    def live_samples(self, job: str) -> list[Sample]:
        """Return a job's live durable samples."""
        return [sample for sample in self._live.values() if sample.job == job]

    def forget_job(self, job: str) -> None:
        """Exclude a job's samples from the next snapshot."""
        for key in [key for key in self._live if key[0] == job]:
            del self._live[key]

    def needs_compaction(self) -> bool:
        """Return whether the journal exceeds its maximum number of records."""
        return self._record_count > self._maximum_records

    def compact(self, other_records: tuple[bytes, ...]) -> Effect:
        """Replace the journal by a snapshot of the live samples.

        Args:
            other_records: The control session's records, kept unchanged.
        """
        waiting = [sample for samples in self._unsynced.values() for sample in samples]
        samples = tuple(self._live.values()) + tuple(waiting)
        self._record_count = 0
        token = self._next_token
        self._next_token += 1
        data = _encode(SamplesFinished(samples))
        return SaveSnapshot(data, other_records, token)

    def _append(self, record: SamplesFinished | SlotsClosed, token: int) -> Effect:
        self._record_count += 1
        return AppendRecords((_encode(record),), token)

    def _forget(self, job: str, slots: Sequence[int]) -> None:
        for slot in slots:
            self._live.pop((job, slot), None)
