"""The state that a session keeps on disk: the highest revision and the run number."""

from collections.abc import Iterable

import msgspec

from merlinstand.kernel.effects import AppendRecords, Effect, SaveSnapshot
from merlinstand.kernel.events import Event, RecordsSynced, SnapshotSaved, Started

SESSION_TOKEN_BASE = 1 << 48
"""Journal tokens at or above this belong to the session, lower ones to the embedding daemon."""

RECORD_PREFIX = b"session\x01"
"""First bytes of the session's records in a shared journal, with their format version."""

SNAPSHOT_INTERVAL_RECORDS = 1_000
"""Number of records after which a snapshot replaces them, if the session owns the journal. Bounds
the journal's size and the time to read it at a start."""


class SessionRecord(msgspec.Struct, frozen=True, array_like=True):
    """One durable record; of several records the highest numbers apply."""

    revision: int
    """Highest configuration revision that was ever in effect here."""
    run: int
    """Number of starts of this daemon with this disk, including the present one."""


class DurableState:
    """The session's records in the journal of the process."""

    def __init__(self, owns_journal: bool) -> None:
        """The state is that of an empty disk until records are read.

        Args:
            owns_journal: Whether only the session writes the journal and may truncate it.
        """
        self._owns_journal = owns_journal
        self._token = SESSION_TOKEN_BASE
        self._records_written = 0
        self.revision = 0
        """Highest revision written; durable once its token is synced."""
        self.run = 0

    def recover(self, event: Started) -> None:
        """Read the records of earlier runs and increment the run number."""
        for record in _own_records(event):
            self.revision = max(self.revision, record.revision)
            self.run = max(self.run, record.run)
        self.run += 1

    def record(self) -> bytes:
        """Encode the present state."""
        return RECORD_PREFIX + msgspec.msgpack.encode(SessionRecord(self.revision, self.run))

    def write(self, revision: int) -> tuple[int, Effect]:
        """Write a revision; a lower one than before leaves the highest unchanged.

        Returns:
            The token of the sync event that makes it durable, and the effect.
        """
        self.revision = max(self.revision, revision)
        self._token += 1
        self._records_written += 1
        if self._owns_journal and self._records_written > SNAPSHOT_INTERVAL_RECORDS:
            self._records_written = 0
            return self._token, SaveSnapshot(self.record(), (), self._token)
        return self._token, AppendRecords((self.record(),), self._token)

    @staticmethod
    def synced_token(event: Event) -> int | None:
        """Return the token of a completed disk write of the session; None for other events."""
        if isinstance(event, RecordsSynced | SnapshotSaved) and event.token >= SESSION_TOKEN_BASE:
            return event.token
        return None


def _own_records(event: Started) -> Iterable[SessionRecord]:
    candidates = event.records if event.snapshot is None else (event.snapshot, *event.records)
    for data in candidates:
        if data.startswith(RECORD_PREFIX):
            yield msgspec.msgpack.decode(data[len(RECORD_PREFIX) :], type=SessionRecord)
