"""Runs a single-replica control daemon without a host, in virtual time, and counts its effects."""

import heapq
import time
from collections import Counter
from collections.abc import Callable, Sequence

import msgspec

from merlinstand.cluster.daemons import DaemonReport
from merlinstand.common.ids import NodeId, RequestId
from merlinstand.directory.daemon import DirectoryDaemon
from merlinstand.directory.settings import DirectorySettings
from merlinstand.directory.view import DirectoryChanges, decode_changes, encode_report
from merlinstand.kernel.effects import (
    AppendRecords,
    CancelTimer,
    Effect,
    Respond,
    SaveSnapshot,
    SendMessage,
    SetTimer,
)
from merlinstand.kernel.events import (
    Event,
    MessageReceived,
    RecordsSynced,
    RequestReceived,
    SnapshotSaved,
    Started,
    TimerFired,
)
from merlinstand.protocol.generated.directory.ttypes import DirectoryPull, DirectoryUpdate
from merlinstand_platform.control import PlatformControlInterface
from merlinstand_platform.duties import PlatformFencedCallInterface

ADDRESS = "10.0.0.1:1"
SYNC_SECONDS = 0.001
PULL_SECONDS = 0.3


class LoneControl:
    """Runs one daemon's events in order of time; writes are durable after `SYNC_SECONDS`."""

    def __init__(self, zones: dict[str, str] | None = None) -> None:
        """Start the daemon and run it until 2 s.

        Args:
            zones: Region of each zone.
        """
        settings = DirectorySettings(
            node_id="10.0.0.1",
            name="control-1",
            zone="z",
            internal_address=ADDRESS,
            http_port=9,
            zones=zones or {},
            seeds=(ADDRESS,),
            may_found=True,
            tolerated_losses=0,
        )
        self.daemon = DirectoryDaemon(
            settings, PlatformControlInterface(), PlatformFencedCallInterface()
        )
        self.now = 0.0
        self.updates: Counter[str] = Counter()
        """Number of updates that contain changes, by receiver."""
        self.update_bytes = 0
        self.writes = 0
        self.hold_writes = False
        """Whether writes no longer become durable."""
        self.responses: dict[str, tuple[int, float]] = {}
        """Status and time of the response to each request."""
        self.cpu_seconds = 0.0
        """CPU time of the reducer; informational, not asserted."""
        self.changes: dict[str, DirectoryChanges] = {}
        """Revisions that each daemon holds."""
        self._without_evacuations: set[str] = set()
        self._decoded: dict[bytes, DirectoryChanges] = {}
        self._timers: dict[str, float] = {}
        self._queue: list[tuple[float, int, Event | Callable[[], Event]]] = []
        self._event_count = 0
        self._request_count = 0
        started = Started(NodeId("10.0.0.1"), 1, seed=3)
        self._perform(self.daemon.start(started, 0.0))
        self.run_until(2.0)

    def at(self, when: float, event: Event | Callable[[], Event]) -> None:
        """Schedule an event, or a function that creates it at that time."""
        self._event_count += 1
        heapq.heappush(self._queue, (when, self._event_count, event))

    def request(self, when: float, method: str, path: str, body: object = None) -> str:
        """Schedule a request; returns its id."""
        self._request_count += 1
        request_id = RequestId(f"q{self._request_count}")
        data = b"" if body is None else msgspec.json.encode(body)
        self.at(when, RequestReceived(request_id, method, path, {}, data))
        return request_id

    def add_daemon(
        self, node_id: str, role: str, first_at: float, supports_evacuations: bool = True
    ) -> None:
        """Add a daemon that pulls from a time on; earlier versions don't support evacuations."""
        self.changes[node_id] = DirectoryChanges()
        if not supports_evacuations:
            self._without_evacuations.add(node_id)
        self.at(first_at, lambda: self._pull(node_id, role))

    def _pull(self, node_id: str, role: str) -> Event:
        """Return a pull of a daemon, and schedule its next one."""
        self.at(self.now + PULL_SECONDS, lambda: self._pull(node_id, role))
        own = self.changes[node_id]
        report = DaemonReport(node_id=node_id, name=node_id, role=role)
        message = DirectoryPull(
            report=encode_report(report),
            document_revision=own.document_revision,
            backends_revision=own.backends_revision,
            weights_revision=own.weights_revision,
            keepers_mark=own.keepers_mark,
            zones_revision=None if node_id in self._without_evacuations else own.zones_revision,
        )
        return MessageReceived(NodeId(node_id), message)

    def _deliver(self, node_id: str, data: bytes) -> None:
        """Apply an update at a daemon."""
        self.updates[node_id] += 1
        self.update_bytes += len(data)
        sent = self._decoded.get(data)
        if sent is None:
            sent = self._decoded[data] = decode_changes(data)
        own = self.changes[node_id]
        self.changes[node_id] = msgspec.structs.replace(
            own,
            document_revision=max(own.document_revision, sent.document_revision),
            backends_revision=max(own.backends_revision, sent.backends_revision),
            weights_revision=max(own.weights_revision, sent.weights_revision),
            keepers_mark=sent.keepers_mark or own.keepers_mark,
            zones_revision=max(own.zones_revision, sent.zones_revision),
            evacuated=own.evacuated if sent.evacuated is None else sent.evacuated,
        )

    def run_until(self, end: float) -> None:
        """Run all events and timers up to a time."""
        while True:
            timer = min(self._timers.items(), key=lambda item: item[1], default=None)
            queued_at = self._queue[0][0] if self._queue else float("inf")
            timer_at = timer[1] if timer is not None else float("inf")
            if min(queued_at, timer_at) > end:
                break
            if timer is not None and timer_at <= queued_at:
                del self._timers[timer[0]]
                self._reduce(TimerFired(timer[0]), timer_at)
            else:
                when, _event_count, event = heapq.heappop(self._queue)
                self.now = max(self.now, when)
                self._reduce(event() if callable(event) else event, when)
        self.now = end

    def _reduce(self, event: Event, when: float) -> None:
        self.now = max(self.now, when)
        started_at = time.process_time()
        effects = self.daemon.reduce(event, self.now)
        self.cpu_seconds += time.process_time() - started_at
        self._perform(effects)

    def _perform(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case SetTimer():
                    self._timers[effect.name] = self.now + effect.delay_seconds
                case CancelTimer():
                    self._timers.pop(effect.name, None)
                case AppendRecords():
                    self.writes += 1
                    if self.hold_writes:
                        continue
                    self.at(self.now + SYNC_SECONDS, RecordsSynced(effect.token))
                case SaveSnapshot():
                    self.at(self.now + SYNC_SECONDS, SnapshotSaved(effect.token))
                case Respond():
                    self.responses[effect.request_id] = (effect.status, self.now)
                case SendMessage(message=DirectoryUpdate()) if effect.message.changes:
                    self._deliver(effect.receiver, effect.message.changes)
                case _:
                    pass
