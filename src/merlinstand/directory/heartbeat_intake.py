"""Heartbeats of back ends at one control replica: any replica takes them, few go further.

Owns what was heard here and has not been passed on, and at the leader when each back end was heard.
A heartbeat that reports nothing new is answered by whoever gets it, from the replicated directory;
the leader only hears who lives, a quarter second's heartbeats at a time. What a heartbeat changes
goes to the leader in batches and into the log in one entry a batch. Only a back end that leaves is
answered by the leader alone, once that is agreed: its answer promises that nobody sends it work any
more.
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
"""Back ends in one log entry: 100 KB at most, a tenth of a message between replicas."""


class HeartbeatBatch(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a replica reports to the leader."""

    alive: tuple[BackendId, ...] = msgspec.field(name="heard")
    """Back ends whose heartbeats it took."""
    changed: tuple[PutBackend, ...]
    """What they changed."""
    started_ms: dict[BackendId, int] = msgspec.field(default={}, name="born_ms")
    """When servers started, in Unix milliseconds, where the leader may not know it. Earlier builds
    neither send nor read it."""


_DECODER = msgspec.msgpack.Decoder(HeartbeatBatch)


def encode_heartbeats(batch: HeartbeatBatch) -> bytes:
    """Encode for `BackendBeats.batch`."""
    return msgspec.msgpack.encode(batch)


def decode_heartbeats(data: bytes) -> HeartbeatBatch:
    """Decode `BackendBeats.batch`.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _DECODER.decode(data)


class HeartbeatIntake:
    """Heartbeats that one replica took and has not passed on or agreed on yet."""

    def __init__(self, state: DirectoryState) -> None:
        """Begin without any.

        Args:
            state: The replicated directory, as far as this replica knows it.
        """
        self._state = state
        self._heard: dict[BackendId, None] = {}
        self._changed: dict[BackendId, PutBackend] = {}
        self._heard_at: dict[BackendId, float] = {}
        """Leader: when each back end was heard last, by whichever replica."""
        self._born_ms: dict[BackendId, int] = {}
        """What a leader may not know yet of when servers started."""
        self._told_born_ms: dict[BackendId, int] = {}
        """What `_told_leader` was told of that."""
        self._told_leader: NodeId | None = None
        self._contests = AddressConflicts(lambda: state.table, self._heard_at_of)
        self._led_since = float("inf")

    @property
    def has_changes(self) -> bool:
        """Whether something is to be passed on or agreed on."""
        return bool(self._changed or self._born_ms)

    def begin_leading(self, now: float) -> None:
        """A leadership begins: every known back end counts as heard now."""
        self._told_born_ms |= self._born_ms
        self._born_ms = {}
        self._told_leader = None
        self._heard_at = dict.fromkeys(self._state.table.backends, now)
        self._contests.clear()
        self._led_since = now

    def last_heartbeat_at(self, backend_id: BackendId) -> float | None:
        """Leader: when it heard a back end last; None if it did not since it leads."""
        heard_at = self._heard_at.get(backend_id)
        return heard_at if heard_at is not None and heard_at > self._led_since else None

    def starts_draining(self, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat says for the first time that its back end leaves."""
        present = self._state.table.backends.get(heartbeat.backend.backend_id)
        is_known = present is not None and present.is_draining
        return heartbeat.backend.is_draining and not is_known

    def record_start(self, heartbeat: Heartbeat) -> None:
        """Keep when a server started, to report it to the leader once."""
        backend_id, born_ms = heartbeat.backend.backend_id, heartbeat.started_ms
        known_ms = max(starts.get(backend_id, 0) for starts in (self._told_born_ms, self._born_ms))
        if born_ms > known_ms:
            self._born_ms[backend_id] = born_ms

    def take_unreported_starts(self, leader: NodeId) -> dict[BackendId, int]:
        """Give what this leader may not know yet of when servers started."""
        if leader != self._told_leader:
            self._born_ms = {**self._told_born_ms, **self._born_ms}
            self._told_born_ms = {}
            self._told_leader = leader
        born_ms, self._born_ms = self._born_ms, {}
        present = self._state.table.backends
        self._told_born_ms = {
            b: at for b, at in (self._told_born_ms | born_ms).items() if b in present
        }
        return born_ms

    def _heard_at_of(self, backend_id: BackendId) -> float | None:
        return self._heard_at.get(backend_id)

    def claims_held_address(self, backend: Backend) -> bool:
        """Whether a back end that isn't registered reports an address that another one holds."""
        table = self._state.table
        is_held = table.holder_of(backend.address) is not None
        return is_held and backend.backend_id not in table.backends

    def add(self, heartbeat: Heartbeat, is_leader: bool, now: float) -> None:
        """Take a heartbeat in.

        Args:
            heartbeat: What a back end reported.
            leads: Whether this replica is the leader, which notes itself who lives.
            now: Local time.
        """
        backend_id = heartbeat.backend.backend_id
        if is_leader:
            self._heard_at[backend_id] = now
        else:
            self._heard[backend_id] = None
        if self._state.table.would_change(heartbeat.backend, heartbeat.sequence):
            self._note_change(PutBackend(heartbeat.backend, heartbeat.sequence))

    def _note_change(self, change: PutBackend) -> None:
        held = self._changed.get(change.backend.backend_id)
        if held is None or held.sequence < change.sequence:
            self._changed[change.backend.backend_id] = change

    def add_batch(self, batch: HeartbeatBatch, now: float) -> None:
        """Leader: take in what another replica heard."""
        for backend_id in batch.alive:
            self._heard_at[backend_id] = now
        for change in batch.changed:
            self._note_change(change)

    def take_changes(self) -> tuple[PutBackend, ...]:
        """Give the changes that the directory doesn't hold yet, a batch at most."""
        batch: list[PutBackend] = []
        for backend_id in list(self._changed)[:MAXIMUM_BATCH_BACKENDS]:
            change = self._changed.pop(backend_id)
            if self._state.table.would_change(change.backend, change.sequence):
                batch.append(change)
        return tuple(batch)

    def take_resolved_changes(self, now: float) -> tuple[PutBackend, ...]:
        """Leader: give the changes that claim no address which another back end keeps."""
        return self._contests.resolve(self.take_changes(), now)

    def take_alive(self) -> tuple[BackendId, ...]:
        """Give the back ends heard here since the last time."""
        heard, self._heard = tuple(self._heard), {}
        return heard

    def possibly_cold(self, now: float) -> list[Backend]:
        """Leader: back ends that were silent so long that they may be cold, and don't count so."""
        return [
            backend
            for backend_id, backend in self._state.table.backends.items()
            if not backend.is_cold and may_be_cold(now - self._heard_at.get(backend_id, now))
        ]

    def take_expired(self, limit_seconds: float, now: float) -> list[Backend]:
        """Leader: back ends that were not heard for long; each is given once."""
        present = self._state.table.backends
        self._heard_at = {b: at for b, at in self._heard_at.items() if b in present}
        late: list[Backend] = []
        for backend_id, backend in present.items():
            if now - self._heard_at.setdefault(backend_id, now) > limit_seconds:
                # Not again at the next turn, should the entry take its time.
                self._heard_at[backend_id] = now
                late.append(backend)
        return late
