"""What a session keeps on disk: the highest revision seen and the number of its run."""

from collections.abc import Iterable

import msgspec

from merlinstand.kernel.effects import AppendRecords, Effect, SaveSnapshot
from merlinstand.kernel.events import Event, RecordsSynced, SnapshotSaved, Started

SESSION_TOKEN_BASE = 1 << 48
"""Journal tokens at or above this are the session's."""

RECORD_PREFIX = b"session\x01"
"""First bytes of the session's records in a shared journal, with their format version."""

SNAPSHOT_INTERVAL_RECORDS = 1_000
"""Journal records after which a snapshot replaces them, where the session owns the journal: bounds
its size and the time to read it at a start. Chosen, not measured."""


class SessionRecord(msgspec.Struct, frozen=True, array_like=True):
    """One durable record; of several the largest numbers count."""

    revision: int
    """Highest configuration revision that was ever in force here."""
    run: int
    """Number of starts of this daemon with this disk."""


class DurableState:
    """The session's part of the process's journal."""

    def __init__(self, owns_journal: bool) -> None:
        """Make the state of a blank disk.

        Args:
            owns_journal: Nobody else writes the journal, so that it may be cut here.
        """
        self._owns_journal = owns_journal
        self._token = SESSION_TOKEN_BASE
        self._records_written = 0
        self.revision = 0
        """Highest revision written; durable once its token was synced."""
        self.run = 0

    def recover(self, event: Started) -> None:
        """Read what an earlier run left."""
        for record in _own_records(event):
            self.revision = max(self.revision, record.revision)
            self.run = max(self.run, record.run)
        self.run += 1

    def record(self) -> bytes:
        """Encode the present state."""
        return RECORD_PREFIX + msgspec.msgpack.encode(SessionRecord(self.revision, self.run))

    def write(self, revision: int) -> tuple[int, Effect]:
        """Write a revision, which must not go back.

        Returns:
            The token that tells when it is durable, and the effect.
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
        """Return the session's token that an event made durable, if it is one."""
        if isinstance(event, RecordsSynced | SnapshotSaved) and event.token >= SESSION_TOKEN_BASE:
            return event.token
        return None


def _own_records(event: Started) -> Iterable[SessionRecord]:
    candidates = event.records if event.snapshot is None else (event.snapshot, *event.records)
    for data in candidates:
        if data.startswith(RECORD_PREFIX):
            yield msgspec.msgpack.decode(data[len(RECORD_PREFIX) :], type=SessionRecord)
