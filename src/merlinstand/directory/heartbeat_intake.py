"""Buffers the heartbeats that a control replica received, until they are reported or committed.

A replica with recent proof of a live leader responds to a heartbeat at once, and reports the live
backends to the leader every quarter second. Changes are sent to the leader in batches, and each
batch is committed as one log entry. The exception is a heartbeat that starts draining: only the
leader responds to it, and only after the commit, since the response guarantees that the backend
gets no more requests.
"""

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId, NodeId
from merlinstand.directory.address_contests import AddressConflicts
from merlinstand.directory.commands import PutBackend
from merlinstand.directory.heartbeat_rules import may_be_cold
from merlinstand.directory.requests import Heartbeat
from merlinstand.directory.state_machine import DirectoryState

MAXIMUM_BATCH_BACKENDS = 512
"""Maximum number of backends in one log entry, which keeps the entry below 100 KB, a tenth of the
largest message between replicas."""


class HeartbeatBatch(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report of a replica to the leader; in `BackendBeats.batch`."""

    alive: tuple[BackendId, ...] = msgspec.field(name="heard")
    """Backends that sent heartbeats."""
    changed: tuple[PutBackend, ...]
    """Changes in these heartbeats."""
    started_ms: dict[BackendId, int] = msgspec.field(default={}, name="born_ms")
    """Start times of backends that the leader may not know, in Unix milliseconds. Earlier builds
    neither send nor read this field."""


_DECODER = msgspec.msgpack.Decoder(HeartbeatBatch)


def encode_heartbeats(batch: HeartbeatBatch) -> bytes:
    """Encode a report as MessagePack for `BackendBeats.batch`."""
    return msgspec.msgpack.encode(batch)


def decode_heartbeats(data: bytes) -> HeartbeatBatch:
    """Decode `BackendBeats.batch`.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _DECODER.decode(data)


class HeartbeatIntake:
    """Heartbeats that one replica received and has not reported or proposed yet."""

    def __init__(self, state: DirectoryState) -> None:
        """Create the buffer of one replica.

        Args:
            state: The replicated directory, as applied by this replica.
        """
        self._state = state
        self._alive: dict[BackendId, None] = {}
        self._changed: dict[BackendId, PutBackend] = {}
        self._last_heartbeat_at: dict[BackendId, float] = {}
        """Leader only: local time of each backend's last heartbeat at any replica."""
        self._unreported_starts_ms: dict[BackendId, int] = {}
        """Start times, in Unix milliseconds, that were not reported to the leader yet."""
        self._reported_starts_ms: dict[BackendId, int] = {}
        """Start times that were reported to `_reported_to`."""
        self._reported_to: NodeId | None = None
        self._conflicts = AddressConflicts(lambda: state.table, self._last_heartbeat_of)
        self._leader_since = float("inf")

    @property
    def has_changes(self) -> bool:
        """Whether changes or start times are buffered."""
        return bool(self._changed or self._unreported_starts_ms)

    def begin_leading(self, now: float) -> None:
        """Begin a leadership term: every registered backend counts as alive now."""
        self._reported_starts_ms |= self._unreported_starts_ms
        self._unreported_starts_ms = {}
        self._reported_to = None
        self._last_heartbeat_at = dict.fromkeys(self._state.table.backends, now)
        self._conflicts.clear()
        self._leader_since = now

    def last_heartbeat_at(self, backend_id: BackendId) -> float | None:
        """Leader only: local time of a backend's last heartbeat in this term; None if none came."""
        at = self._last_heartbeat_at.get(backend_id)
        return at if at is not None and at > self._leader_since else None

    def starts_draining(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is the first to report that its backend is draining."""
        registered = self._state.table.backends.get(heartbeat.backend.backend_id)
        was_draining = registered is not None and registered.is_draining
        return heartbeat.backend.is_draining and not was_draining

    def record_start(self, heartbeat: Heartbeat) -> None:
        """Record a backend's start time, to report it to the leader once."""
        backend_id, started_ms = heartbeat.backend.backend_id, heartbeat.started_ms
        known_ms = max(
            starts.get(backend_id, 0)
            for starts in (self._reported_starts_ms, self._unreported_starts_ms)
        )
        if started_ms > known_ms:
            self._unreported_starts_ms[backend_id] = started_ms

    def take_unreported_starts(self, leader: NodeId) -> dict[BackendId, int]:
        """Return the start times that the given leader may not know, and mark them as reported."""
        if leader != self._reported_to:
            self._unreported_starts_ms = {
                **self._reported_starts_ms,
                **self._unreported_starts_ms,
            }
            self._reported_starts_ms = {}
            self._reported_to = leader
        started_ms, self._unreported_starts_ms = self._unreported_starts_ms, {}
        registered = self._state.table.backends
        self._reported_starts_ms = {
            b: at for b, at in (self._reported_starts_ms | started_ms).items() if b in registered
        }
        return started_ms

    def _last_heartbeat_of(self, backend_id: BackendId) -> float | None:
        return self._last_heartbeat_at.get(backend_id)

    def claims_held_address(self, backend: Backend) -> bool:
        """Return whether an unregistered backend reports another backend's registered address."""
        table = self._state.table
        is_held = table.holder_of(backend.address) is not None
        return is_held and backend.backend_id not in table.backends

    def add(self, heartbeat: Heartbeat, is_leader: bool, now: float) -> None:
        """Buffer a heartbeat.

        Args:
            heartbeat: The heartbeat.
            is_leader: Whether this replica is the leader, which tracks live backends itself.
            now: Local time.
        """
        backend_id = heartbeat.backend.backend_id
        if is_leader:
            self._last_heartbeat_at[backend_id] = now
        else:
            self._alive[backend_id] = None
        if self._state.table.would_change(heartbeat.backend, heartbeat.sequence):
            self._record_change(PutBackend(heartbeat.backend, heartbeat.sequence))

    def _record_change(self, change: PutBackend) -> None:
        buffered = self._changed.get(change.backend.backend_id)
        if buffered is None or buffered.sequence < change.sequence:
            self._changed[change.backend.backend_id] = change

    def add_batch(self, batch: HeartbeatBatch, now: float) -> None:
        """Leader only: add the heartbeats that another replica reported."""
        for backend_id in batch.alive:
            self._last_heartbeat_at[backend_id] = now
        for change in batch.changed:
            self._record_change(change)

    def take_changes(self) -> tuple[PutBackend, ...]:
        """Remove one batch of changes, and return those that would still change the directory."""
        batch: list[PutBackend] = []
        for backend_id in list(self._changed)[:MAXIMUM_BATCH_BACKENDS]:
            change = self._changed.pop(backend_id)
            if self._state.table.would_change(change.backend, change.sequence):
                batch.append(change)
        return tuple(batch)

    def take_resolved_changes(self, now: float) -> tuple[PutBackend, ...]:
        """Leader only: like `take_changes`, but defer claims to addresses that are held.

        See `AddressConflicts.resolve`.
        """
        return self._conflicts.resolve(self.take_changes(), now)

    def take_alive(self) -> tuple[BackendId, ...]:
        """Return the backends that sent heartbeats to this replica since the last call."""
        alive, self._alive = tuple(self._alive), {}
        return alive

    def possibly_cold(self, now: float) -> list[Backend]:
        """Leader only: return warm backends that may be cold, since their last heartbeat is old."""
        return [
            backend
            for backend_id, backend in self._state.table.backends.items()
            if not backend.is_cold
            and may_be_cold(now - self._last_heartbeat_at.get(backend_id, now))
        ]

    def take_expired(self, limit_seconds: float, now: float) -> list[Backend]:
        """Leader only: return backends without heartbeats for longer than a limit.

        A returned backend that stays registered is returned again only after the limit has
        passed once more.
        """
        registered = self._state.table.backends
        self._last_heartbeat_at = {
            b: at for b, at in self._last_heartbeat_at.items() if b in registered
        }
        expired: list[Backend] = []
        for backend_id, backend in registered.items():
            if now - self._last_heartbeat_at.setdefault(backend_id, now) > limit_seconds:
                # The next call must not return the backend again while the commit is pending.
                self._last_heartbeat_at[backend_id] = now
                expired.append(backend)
        return expired
