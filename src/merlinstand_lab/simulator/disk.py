"""A disk that keeps what was synced, and of the rest an honest part."""

import random
from collections import deque
from collections.abc import Callable

import msgspec

from merlinstand.kernel.effects import AppendRecords, SaveSnapshot
from merlinstand.kernel.events import Event, RecordsSynced, SnapshotSaved
from merlinstand_lab.simulator.clock import VirtualClock
from merlinstand_lab.simulator.torn import survive_crash


class DiskSettings(msgspec.Struct, frozen=True):
    """Speed of a simulated disk."""

    sync_seconds: float = 0.002
    """Median time of one sync."""
    sync_jitter: float = 0.5
    """Largest relative deviation of one sync."""


class SimulatedDisk:
    """Journal and snapshot of one machine.

    Writes wait in a queue; one sync covers all appends that wait when it begins (group
    commit), and a snapshot is replaced atomically. A crash keeps all that was synced, and
    of the sync under way what storage's own recovery finds after the frame was damaged.
    """

    def __init__(self, clock: VirtualClock, settings: DiskSettings, random_source: random.Random):
        self._clock = clock
        self._settings = settings
        self._random = random_source
        self.snapshot: bytes | None = None
        self.records: list[bytes] = []
        self.incarnation = self._new_incarnation()
        self._slow_factors: list[float] = []
        self._queue: deque[AppendRecords | SaveSnapshot] = deque()
        self._syncing = 0
        self._generation = 0
        self._deliver: Callable[[Event], None] | None = None

    def _new_incarnation(self) -> int:
        return self._random.getrandbits(62) | 1

    def attach(self, deliver: Callable[[Event], None]) -> None:
        """Begin serving a fresh process; completions go to `deliver`."""
        self._deliver = deliver

    def write(self, effect: AppendRecords | SaveSnapshot) -> None:
        """Queue a write."""
        self._queue.append(effect)
        if self._syncing == 0:
            self._begin_sync()

    def slow_down(self, factor: float) -> None:
        """Let syncs take longer until the same factor is given back."""
        self._slow_factors.append(factor)

    def speed_up(self, factor: float) -> None:
        """Undo one `slow_down`."""
        self._slow_factors.remove(factor)

    def _begin_sync(self) -> None:
        """Sync the longest run of appends at the queue's head, or one snapshot."""
        if isinstance(self._queue[0], SaveSnapshot):
            self._syncing = 1
        else:
            self._syncing = len(self._queue)
            for position, effect in enumerate(self._queue):
                if isinstance(effect, SaveSnapshot):
                    self._syncing = position
                    break
        jitter = 1.0 + self._settings.sync_jitter * (2.0 * self._random.random() - 1.0)
        # The slowest fault counts: their product would outlast the time at which all have healed.
        slowest = max(self._slow_factors, default=1.0)
        delay = self._settings.sync_seconds * slowest * jitter
        self._clock.call_after(delay, self._finish_sync, self._generation)

    def _finish_sync(self, generation: int) -> None:
        if generation != self._generation:
            return
        done = [self._queue.popleft() for _ in range(self._syncing)]
        self._syncing = 0
        for effect in done:
            self._apply(effect)
        if self._queue:
            self._begin_sync()
        assert self._deliver is not None
        for effect in done:
            if isinstance(effect, SaveSnapshot):
                self._deliver(SnapshotSaved(effect.token))
            else:
                self._deliver(RecordsSynced(effect.token))

    def _apply(self, effect: AppendRecords | SaveSnapshot) -> None:
        if isinstance(effect, SaveSnapshot):
            self.snapshot = effect.data
            self.records = list(effect.records)
        else:
            self.records.extend(effect.records)

    def crash(self) -> None:
        """Lose what was not synced; of the sync under way an honest part may be left.

        Writes that still waited for their sync were in the process's memory only.
        """
        self._generation += 1
        queue, self._queue = self._queue, deque()
        under_way, self._syncing = self._syncing, 0
        if not under_way:
            return
        first = queue[0]
        if isinstance(first, SaveSnapshot):
            # The rename either reached the disk or it did not.
            if self._random.random() < 0.5:
                self._apply(first)
            return
        unsynced: list[bytes] = []
        for _ in range(under_way):
            effect = queue.popleft()
            assert isinstance(effect, AppendRecords)
            unsynced.extend(effect.records)
        self.records = survive_crash(self.records, unsynced, self._random)

    def lose(self) -> None:
        """Replace the disk by a blank one, which has a new incarnation."""
        self.crash()
        self.snapshot = None
        self.records = []
        self.incarnation = self._new_incarnation()
