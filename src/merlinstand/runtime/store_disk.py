"""Performs `AppendRecords` and `SaveSnapshot` in a `DurableStore`.

Syncing blocks, so it runs in a thread outside the event loop; appends that are requested meanwhile
are grouped into the next sync. See docs/DECISIONS/0003-fsync.md.
"""

from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import Event as LoopEvent
from gevent.threadpool import ThreadPool
from result import Err, Result

from merlinstand.kernel.effects import AppendRecords, SaveSnapshot
from merlinstand.kernel.events import Event, RecordsSynced, SnapshotSaved
from merlinstand.storage.errors import StorageError
from merlinstand.storage.store import DurableStore


class StoreDisk:
    """Stores durable state in a `DurableStore`."""

    def __init__(
        self,
        store: DurableStore,
        submit: Callable[[Event], None],
        on_failure: Callable[[StorageError], None],
    ) -> None:
        """Take ownership of an open store.

        Args:
            store: Must not be used by other code from now on.
            submit: Passes an event to the reducer.
            on_failure: Called after a disk failure; the process must stop.
        """
        self._store = store
        self._submit = submit
        self._on_failure = on_failure
        self._queue: deque[AppendRecords | SaveSnapshot] = deque()
        self._wake = LoopEvent()
        self._idle = LoopEvent()
        self._idle.set()
        # The store allows one call at a time: one thread, and one greenlet that submits to it.
        self._thread = ThreadPool(1)
        self._greenlet = gevent.spawn(self._run)

    def append(self, effect: AppendRecords) -> None:
        """Append and sync records, then submit `RecordsSynced`."""
        self._enqueue(effect)

    def save_snapshot(self, effect: SaveSnapshot) -> None:
        """Replace the snapshot, then submit `SnapshotSaved`."""
        self._enqueue(effect)

    def flush(self, timeout_seconds: float) -> None:
        """Wait, up to a timeout, until all requested writes are durable."""
        self._idle.wait(timeout_seconds)

    def close(self) -> None:
        """Close the files; writes that are not yet durable are lost."""
        self._greenlet.kill()
        # A sync in progress must end before its descriptor is closed.
        self._thread.join()
        self._thread.kill()
        self._store.close()

    def _enqueue(self, effect: AppendRecords | SaveSnapshot) -> None:
        self._queue.append(effect)
        self._idle.clear()
        self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._queue:
                failure = self._perform_next()
                if failure is not None:
                    self._on_failure(failure)
                    return
            self._idle.set()

    def _perform_next(self) -> StorageError | None:
        """Save one snapshot, or append and sync all records up to the next snapshot."""
        if isinstance(self._queue[0], SaveSnapshot):
            return self._save(self._queue[0])
        group: list[AppendRecords] = []
        while self._queue and isinstance(self._queue[0], AppendRecords):
            group.append(self._queue[0])
            self._queue.popleft()
        for effect in group:
            self._store.append(effect.records)
        result: Result[None, StorageError] = self._thread.apply(self._store.sync)
        if isinstance(result, Err):
            return result.err_value
        for effect in group:
            self._submit(RecordsSynced(effect.token))
        return None

    def _save(self, effect: SaveSnapshot) -> StorageError | None:
        self._queue.popleft()
        result: Result[None, StorageError] = self._thread.apply(
            self._store.save_snapshot, (effect.data, effect.records)
        )
        if isinstance(result, Err):
            return result.err_value
        self._submit(SnapshotSaved(effect.token))
        return None
