"""Handles the heartbeats of backends at a control daemon.

The leader proposes the changes in heartbeats and expires backends that send none; any other replica
reports received heartbeats to the leader. `heartbeat_rules` has the time limits,
`heartbeat_intake` buffers heartbeats. Part of every control daemon's reducer.
"""

from collections.abc import Callable

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import BackendId, NodeId
from merlinstand.consensus.replica import Replica
from merlinstand.directory.commands import (
    AssumeCold,
    DirectoryCommand,
    ExpireBackend,
    PutBackend,
    PutBackends,
    RemoveBackend,
)
from merlinstand.directory.heartbeat_intake import (
    HeartbeatBatch,
    HeartbeatIntake,
    decode_heartbeats,
    encode_heartbeats,
)
from merlinstand.directory.heartbeat_rules import choose_replica, may_answer_heartbeat
from merlinstand.directory.requests import Heartbeat, HeartbeatAccepted
from merlinstand.directory.settings import DirectorySettings
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.kernel.effects import Effect, LogEvent, SendMessage, SetTimer
from merlinstand.kernel.throttle import Throttle
from merlinstand.protocol.generated.directory.ttypes import BackendBeats

CHANGES_TIMER = "directory.changes"
"""Timer on which the owner calls `flush`."""
CHANGES_INTERVAL_SECONDS = 0.05
"""Shortest time between two batches of changes; see `Throttle`. A tenth of the time within which a
heartbeat's response is due, and a sixth of the time that an engine takes to load weights, so the
delay adds little to either."""


class HeartbeatAnswered(msgspec.Struct, frozen=True):
    """The heartbeat is answered at once, by this replica."""

    reply: HeartbeatAccepted
    effects: tuple[Effect, ...] = ()


class HeartbeatToCommit(msgspec.Struct, frozen=True):
    """The backend starts draining: the heartbeat is answered once the command is committed."""

    command: PutBackend | RemoveBackend
    reply: HeartbeatAccepted
    log: LogEvent


class HeartbeatForLeader(msgspec.Struct, frozen=True):
    """Only the leader can answer the heartbeat."""


def _ignore_replaced(_backend_id: BackendId, _now: float) -> list[Effect]:
    return []


class BackendLifecycle(msgspec.Struct, frozen=True):
    """Callbacks for starts and ends of backends that heartbeats reveal."""

    on_replaced: Callable[[BackendId, float], list[Effect]] = _ignore_replaced
    """Leader only: a backend that was not draining loses its address to another backend."""
    on_started: Callable[[BackendId, int, float], list[Effect]] = lambda *_args: []
    """Leader only: a backend reported its start time, in Unix milliseconds."""
    learn_start: Callable[[BackendId, int], None] = lambda *_args: None
    """At a replica that isn't the leader but may become it: a backend reported its start time, in
    Unix milliseconds."""


HeartbeatOutcome = HeartbeatAnswered | HeartbeatToCommit | HeartbeatForLeader


class Heartbeats:
    """All heartbeats that one control daemon receives."""

    def __init__(
        self,
        settings: DirectorySettings,
        replica: Replica,
        state: DirectoryState,
        propose: Callable[[DirectoryCommand, float], list[Effect] | None],
        lifecycle: BackendLifecycle | None = None,
    ) -> None:
        """Create an instance for one control daemon.

        Args:
            settings: The daemon's settings.
            replica: The consensus replica.
            state: The replicated directory.
            propose: Proposes a command; returns None if it can't be proposed now.
            lifecycle: Callbacks for starts and ends of backends.
        """
        self._settings = settings
        self._replica = replica
        self._state = state
        self._propose = propose
        self._lifecycle = lifecycle or BackendLifecycle()
        self._intake = HeartbeatIntake(state)
        self._throttle = Throttle(CHANGES_TIMER, CHANGES_INTERVAL_SECONDS)

    def begin_leading(self, now: float) -> None:
        """Begin a leadership term: every registered backend counts as alive now."""
        self._intake.begin_leading(now)

    def heartbeat_age_seconds(self, backend_id: BackendId, now: float) -> float | None:
        """Return the age of a backend's last heartbeat; None if none in this term."""
        heard_at = self._intake.last_heartbeat_at(backend_id)
        return None if heard_at is None else now - heard_at

    def handle(self, heartbeat: Heartbeat, now: float) -> HeartbeatOutcome:
        """Handle a heartbeat; one that starts draining is answered by the leader only."""
        is_leader = self._replica.may_act(now)
        reply = self._reply(heartbeat.backend.backend_id)
        if self._intake.starts_draining(heartbeat):
            if not is_leader:
                return HeartbeatForLeader()
            fields = {"backend": heartbeat.backend.backend_id, "service": heartbeat.backend.service}
            log = LogEvent("backend.draining", fields)
            command: PutBackend | RemoveBackend = PutBackend(heartbeat.backend, heartbeat.sequence)
            if self._intake.claims_held_address(heartbeat.backend):
                # A draining backend must not replace the present holder of its address.
                command = RemoveBackend(heartbeat.backend.backend_id)
            return HeartbeatToCommit(command, reply, log)
        if not may_answer_heartbeat(is_leader, self._replica.proof_age_seconds(now)):
            return HeartbeatForLeader()
        had_changes = self._intake.has_changes
        start_effects = self._record_start(heartbeat, is_leader, now)
        self._intake.add(heartbeat, is_leader, now)
        return HeartbeatAnswered(
            reply, (*start_effects, *self._flush_first_change(had_changes, now))
        )

    def _record_start(self, heartbeat: Heartbeat, is_leader: bool, now: float) -> list[Effect]:
        if not heartbeat.started_ms:
            return []
        if not is_leader:
            self._intake.record_start(heartbeat)
            self._lifecycle.learn_start(heartbeat.backend.backend_id, heartbeat.started_ms)
            return []
        return self._lifecycle.on_started(heartbeat.backend.backend_id, heartbeat.started_ms, now)

    def _flush_first_change(self, had_changes: bool, now: float) -> list[Effect]:
        """Flush the buffer if it has just become non-empty, now or when the throttle allows it."""
        if had_changes or not self._intake.has_changes:
            return []
        return self._throttle.run_or_schedule(self.flush, now)

    def _reply(self, backend_id: BackendId) -> HeartbeatAccepted:
        """Return a reply that names the replica to which the backend sends its next heartbeats."""
        own = NodeId(self._settings.node_id)
        replica = own
        if self._replica.is_leader:
            members = [member.identity.node_id for member in self._replica.membership.members()]
            replica = choose_replica(backend_id, members, own)
        return HeartbeatAccepted(f"{replica}:{self._settings.http_port}")

    def handle_batch(self, sender: NodeId, message: BackendBeats, now: float) -> list[Effect]:
        """Leader only: handle the heartbeats that another replica reports."""
        try:
            batch = decode_heartbeats(message.batch)
        except DECODE_ERRORS as error:
            fields = {"replica": sender, "detail": str(error)}
            return [LogEvent("heartbeats.malformed", fields, "warning")]
        effects: list[Effect] = []
        for backend_id, started_ms in batch.started_ms.items():
            effects.extend(self._lifecycle.on_started(backend_id, started_ms, now))
        had_changes = self._intake.has_changes
        self._intake.add_batch(batch, now)
        return effects + self._flush_first_change(had_changes, now)

    def flush(self, now: float) -> list[Effect]:
        """Propose buffered changes; a replica that isn't the leader reports them to the leader."""
        if self._intake.has_changes:
            self._throttle.record_run(now)
        if not self._replica.may_act(now):
            return self._report_to_leader()
        changes = self._intake.take_resolved_changes(now)
        effects = self._schedule_remaining()
        if not changes:
            return effects
        services = sorted({change.backend.service for change in changes})
        fields = {"count": len(changes), "services": ",".join(services)}
        effects.append(LogEvent("backends.changed", fields))
        # Before the proposal, so that the requests in flight at the replaced backends are recorded
        # before their successors get requests.
        effects.extend(self._report_replaced(changes, now))
        return effects + (self._propose(PutBackends(changes), now) or [])

    def _report_replaced(self, changes: tuple[PutBackend, ...], now: float) -> list[Effect]:
        """Report backends that ended without draining: others register at their addresses."""
        table = self._state.table
        effects: list[Effect] = []
        for change in changes:
            holder = table.backends.get(table.holder_of(change.backend.address) or BackendId(""))
            successor = change.backend.backend_id
            if holder is None or holder.backend_id == successor or holder.is_draining:
                continue
            fields = {
                "backend": holder.backend_id,
                "by": successor,
                "service": holder.service,
                "address": holder.address,
            }
            effects.append(LogEvent("backend.replaced", fields))
            effects.extend(self._lifecycle.on_replaced(holder.backend_id, now))
        return effects

    def _report_to_leader(self) -> list[Effect]:
        leader = self._replica.leader
        if leader is None or leader == self._settings.node_id:
            return []
        alive = self._intake.take_alive()
        changed = self._intake.take_changes()
        if not alive and not changed:
            return []
        batch = HeartbeatBatch(alive, changed, self._intake.take_unreported_starts(leader))
        message = BackendBeats(batch=encode_heartbeats(batch))
        return [SendMessage(leader, message), *self._schedule_remaining()]

    def _schedule_remaining(self) -> list[Effect]:
        return (
            [SetTimer(CHANGES_TIMER, CHANGES_INTERVAL_SECONDS)] if self._intake.has_changes else []
        )

    def expire_silent(self, now: float) -> list[Effect]:
        """Leader only: mark backends that missed heartbeats as cold, and later expire them."""
        effects = self._assume_cold(now)
        for backend in self._intake.take_expired(self._settings.backend_silence_seconds, now):
            fields = {"backend": backend.backend_id, "service": backend.service}
            effects.append(LogEvent("backend.expired", fields))
            effects.extend(self._propose(ExpireBackend(backend.backend_id), now) or [])
        return effects

    def _assume_cold(self, now: float) -> list[Effect]:
        """Mark backends that missed heartbeats as cold, if their service limits cold backends."""
        document = self._state.document
        services = document.services if document is not None else ()
        limited = {s.name for s in services if s.cold_requests_per_second > 0.0}
        if not limited:
            return []
        missing = self._intake.possibly_cold(now)
        ids = tuple(backend.backend_id for backend in missing if backend.service in limited)
        if not ids:
            return []
        log = LogEvent("backends.assumed_cold", {"count": len(ids), "backends": ",".join(ids)})
        return [log, *(self._propose(AssumeCold(ids), now) or [])]
