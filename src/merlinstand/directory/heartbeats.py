"""Heartbeats of back ends at a control daemon: who answers them, and where their changes go.

Relies on `heartbeat_rules` for every decision about time, and on `heartbeat_intake` for what was
heard and has not gone on yet. Run by every control daemon, as part of its reducer: the leader has
changes agreed and expires silent back ends, any other replica passes on what it hears.
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
"""The owner calls `pass_on` when it fires."""
CHANGES_INTERVAL_SECONDS = 0.05
"""Shortest time between two batches of changes: see `Throttle`. A tenth of the time in which a
heartbeat's answer is due, and a sixth of a load of weights."""


class HeartbeatAnswered(msgspec.Struct, frozen=True):
    """Answered here and now."""

    reply: HeartbeatAccepted
    effects: tuple[Effect, ...] = ()


class HeartbeatToCommit(msgspec.Struct, frozen=True):
    """A back end leaves: answered once that is agreed."""

    command: PutBackend | RemoveBackend
    reply: HeartbeatAccepted
    log: LogEvent


class HeartbeatForLeader(msgspec.Struct, frozen=True):
    """Only the leader can answer it."""


def _no_end(_backend_id: BackendId, _now: float) -> list[Effect]:
    return []


class BackendLifecycle(msgspec.Struct, frozen=True):
    """Who takes what heartbeats tell the leader of servers that have ended."""

    on_replaced: Callable[[BackendId, float], list[Effect]] = _no_end
    """Another server registers at the address of one that nobody said would leave."""
    on_started: Callable[[BackendId, int, float], list[Effect]] = lambda *_args: []
    """A server says when it started, in Unix milliseconds."""
    learn_start: Callable[[BackendId, int], None] = lambda *_args: None
    """The same at a replica that doesn't lead: it may lead later."""


HeartbeatOutcome = HeartbeatAnswered | HeartbeatToCommit | HeartbeatForLeader


class Heartbeats:
    """All heartbeats that one control daemon gets."""

    def __init__(
        self,
        settings: DirectorySettings,
        replica: Replica,
        state: DirectoryState,
        propose: Callable[[DirectoryCommand, float], list[Effect] | None],
        lifecycle: BackendLifecycle | None = None,
    ) -> None:
        """Begin without any.

        Args:
            settings: Of the daemon.
            replica: Knows who leads.
            state: What the group agreed on.
            propose: Proposes a command; None if that can't be done now.
            ends: Takes what heartbeats tell of servers that have ended.
        """
        self._settings = settings
        self._replica = replica
        self._state = state
        self._propose = propose
        self._ends = lifecycle or BackendLifecycle()
        self._intake = HeartbeatIntake(state)
        self._throttle = Throttle(CHANGES_TIMER, CHANGES_INTERVAL_SECONDS)

    def begin_leading(self, now: float) -> None:
        """A leadership begins."""
        self._intake.begin_leading(now)

    def heartbeat_age_seconds(self, backend_id: BackendId, now: float) -> float | None:
        """How long ago this leader heard a back end; None if it did not yet."""
        heard_at = self._intake.last_heartbeat_at(backend_id)
        return None if heard_at is None else now - heard_at

    def handle(self, heartbeat: Heartbeat, now: float) -> HeartbeatOutcome:
        """Answer a heartbeat here if this replica may; one that leaves is the leader's matter."""
        leads = self._replica.may_act(now)
        reply = self._reply(heartbeat.backend.backend_id)
        if self._intake.starts_draining(heartbeat):
            if not leads:
                return HeartbeatForLeader()
            fields = {"backend": heartbeat.backend.backend_id, "service": heartbeat.backend.service}
            log = LogEvent("backend.leaving", fields)
            command: PutBackend | RemoveBackend = PutBackend(heartbeat.backend, heartbeat.sequence)
            if self._intake.claims_held_address(heartbeat.backend):
                # It gets no requests and must not drive out the one that does.
                command = RemoveBackend(heartbeat.backend.backend_id)
            return HeartbeatToCommit(command, reply, log)
        if not may_answer_heartbeat(leads, self._replica.proof_age_seconds(now)):
            return HeartbeatForLeader()
        had_changes = self._intake.has_changes
        ended = self._note_born(heartbeat, leads, now)
        self._intake.add(heartbeat, leads, now)
        return HeartbeatAnswered(reply, (*ended, *self._after_change(had_changes, now)))

    def _note_born(self, heartbeat: Heartbeat, leads: bool, now: float) -> list[Effect]:
        if not heartbeat.started_ms:
            return []
        if not leads:
            self._intake.record_start(heartbeat)
            self._ends.learn_start(heartbeat.backend.backend_id, heartbeat.started_ms)
            return []
        return self._ends.on_started(heartbeat.backend.backend_id, heartbeat.started_ms, now)

    def _after_change(self, had_changes: bool, now: float) -> list[Effect]:
        """Pass a first change on at once after a quiet time, else with what else comes soon."""
        if had_changes or not self._intake.has_changes:
            return []
        return self._throttle.run_or_schedule(self.flush, now)

    def _reply(self, backend_id: BackendId) -> HeartbeatAccepted:
        """Say where the next heartbeats are best sent: to the same replica for good."""
        own = NodeId(self._settings.node_id)
        taker = own
        if self._replica.is_leader:
            members = [member.identity.node_id for member in self._replica.membership.members()]
            taker = choose_replica(backend_id, members, own)
        return HeartbeatAccepted(f"{taker}:{self._settings.http_port}")

    def handle_batch(self, sender: NodeId, message: BackendBeats, now: float) -> list[Effect]:
        """Leader: another replica reports what it heard."""
        try:
            batch = decode_heartbeats(message.batch)
        except DECODE_ERRORS as error:
            fields = {"replica": sender, "detail": str(error)}
            return [LogEvent("backends.malformed", fields, "warning")]
        effects: list[Effect] = []
        for backend_id, born_ms in batch.started_ms.items():
            effects.extend(self._ends.on_started(backend_id, born_ms, now))
        had_changes = self._intake.has_changes
        self._intake.add_batch(batch, now)
        return effects + self._after_change(had_changes, now)

    def flush(self, now: float) -> list[Effect]:
        """Have changes agreed; a replica that doesn't lead reports them to the leader."""
        if self._intake.has_changes:
            self._throttle.record_run(now)
        if not self._replica.may_act(now):
            return self._report_to_leader()
        changes = self._intake.take_resolved_changes(now)
        effects = self._timer_for_the_rest()
        if not changes:
            return effects
        services = sorted({change.backend.service for change in changes})
        fields = {"count": len(changes), "services": ",".join(services)}
        effects.append(LogEvent("backends.changed", fields))
        # First, so that what was in flight there counts before the successors get requests.
        effects.extend(self._note_replaced(changes, now))
        return effects + (self._propose(PutBackends(changes), now) or [])

    def _note_replaced(self, changes: tuple[PutBackend, ...], now: float) -> list[Effect]:
        """Servers are gone without a word: another incarnation takes their address."""
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
            effects.extend(self._ends.on_replaced(holder.backend_id, now))
        return effects

    def _report_to_leader(self) -> list[Effect]:
        leader = self._replica.leader
        if leader is None or leader == self._settings.node_id:
            return []
        heard = self._intake.take_alive()
        changed = self._intake.take_changes()
        if not heard and not changed:
            return []
        batch = HeartbeatBatch(heard, changed, self._intake.take_unreported_starts(leader))
        message = BackendBeats(batch=encode_heartbeats(batch))
        return [SendMessage(leader, message), *self._timer_for_the_rest()]

    def _timer_for_the_rest(self) -> list[Effect]:
        return (
            [SetTimer(CHANGES_TIMER, CHANGES_INTERVAL_SECONDS)] if self._intake.has_changes else []
        )

    def expire_silent(self, now: float) -> list[Effect]:
        """Leader: forget back ends silent for long; those silent for less may be cold."""
        effects = self._assume_cold(now)
        for backend in self._intake.take_expired(self._settings.backend_silence_seconds, now):
            fields = {"backend": backend.backend_id, "service": backend.service}
            effects.append(LogEvent("backend.expired", fields))
            effects.extend(self._propose(ExpireBackend(backend.backend_id), now) or [])
        return effects

    def _assume_cold(self, now: float) -> list[Effect]:
        """Where cold back ends are limited, those that went missing count as cold."""
        document = self._state.document
        services = document.services if document is not None else ()
        limited = {s.name for s in services if s.cold_requests_per_second > 0.0}
        if not limited:
            return []
        missing = self._intake.possibly_cold(now)
        ids = tuple(backend.backend_id for backend in missing if backend.service in limited)
        if not ids:
            return []
        log = LogEvent("backends.taken_for_cold", {"count": len(ids), "backends": ",".join(ids)})
        return [log, *(self._propose(AssumeCold(ids), now) or [])]
