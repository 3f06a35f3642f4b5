"""Heartbeats of back ends at a control daemon: who answers them, and how their news spread.

Part of the daemon's reducer; `beat_intake` holds what was heard and has not gone on yet.
"""

from collections.abc import Callable

import msgspec

from merlinstand.common.decoding import MALFORMED_INPUT
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
    FOLLOWER_PROOF_SECONDS,
    HeartbeatBatch,
    HeartbeatIntake,
    decode_heartbeats,
    encode_heartbeats,
    replica_for,
)
from merlinstand.directory.requests import Heartbeat, HeartbeatAccepted
from merlinstand.directory.settings import DirectorySettings
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.kernel.effects import Effect, LogEvent, SendMessage, SetTimer
from merlinstand.kernel.throttle import Throttle
from merlinstand.protocol.generated.directory.ttypes import BackendBeats

CHANGES_TIMER = "directory.changes"
CHANGES_SECONDS = 0.05
"""What heartbeats change goes on at most this often: at once after a quiet time, else together. A
tenth of the time in which a heartbeat's answer is due, and a sixth of a load of weights."""
MISSED_BEATS_SECONDS = 3.0
"""A back end that was not heard for so long may be cold when it is back: two heartbeats that come
each 1.2 s were missed, and more than half of a third."""


class HeartbeatTaken(msgspec.Struct, frozen=True):
    """Answered here and now."""

    reply: HeartbeatAccepted
    effects: tuple[Effect, ...] = ()


class HeartbeatToDecide(msgspec.Struct, frozen=True):
    """A back end leaves: answered once that is agreed."""

    command: PutBackend | RemoveBackend
    reply: HeartbeatAccepted
    log: LogEvent


class HeartbeatElsewhere(msgspec.Struct, frozen=True):
    """Only the leader can answer it."""


HeartbeatOutcome = HeartbeatTaken | HeartbeatToDecide | HeartbeatElsewhere


class Heartbeats:
    """All heartbeats that one control daemon gets."""

    def __init__(
        self,
        settings: DirectorySettings,
        replica: Replica,
        state: DirectoryState,
        propose: Callable[[DirectoryCommand, float], list[Effect] | None],
    ) -> None:
        """Begin without any.

        Args:
            settings: Of the daemon.
            replica: Tells who leads.
            state: What the group agreed on.
            propose: Proposes a command; None if that can't be done now.
        """
        self._settings = settings
        self._replica = replica
        self._state = state
        self._propose = propose
        self._intake = HeartbeatIntake(state)
        self._throttle = Throttle(CHANGES_TIMER, CHANGES_SECONDS)

    def begin_leading(self, now: float) -> None:
        """A leadership begins."""
        self._intake.begin_leading(now)

    def heard_seconds(self, backend_id: BackendId, now: float) -> float | None:
        """How long ago this leader heard a back end; None if it did not yet."""
        heard_at = self._intake.heard_at(backend_id)
        return None if heard_at is None else now - heard_at

    def take(self, beat: Heartbeat, now: float) -> HeartbeatOutcome:
        """Answer a beat here if this replica may; one that leaves is the leader's matter."""
        leads = self._replica.may_act(now)
        reply = self._reply(beat.backend.backend_id)
        if self._intake.tells_leaving(beat):
            if not leads:
                return HeartbeatElsewhere()
            fields = {"backend": beat.backend.backend_id, "service": beat.backend.service}
            log = LogEvent("backend.leaving", fields)
            command: PutBackend | RemoveBackend = PutBackend(beat.backend, beat.sequence)
            if self._intake.is_at_taken_address(beat.backend):
                # It gets no requests and must not drive out the one that does.
                command = RemoveBackend(beat.backend.backend_id)
            return HeartbeatToDecide(command, reply, log)
        age = self._replica.proof_age_seconds(now)
        if not leads and (age is None or age >= FOLLOWER_PROOF_SECONDS):
            return HeartbeatElsewhere()
        had_changes = self._intake.has_changes
        self._intake.take(beat, leads, now)
        return HeartbeatTaken(reply, tuple(self._after_change(had_changes, now)))

    def _after_change(self, had_changes: bool, now: float) -> list[Effect]:
        """Pass a first change on at once after a quiet time, else with what else comes soon."""
        if had_changes or not self._intake.has_changes:
            return []
        return self._throttle.act_or_wait(self.pass_on, now)

    def _reply(self, backend_id: BackendId) -> HeartbeatAccepted:
        """Say where the next beats are best sent: to the same replica for good."""
        own = NodeId(self._settings.node_id)
        taker = own
        if self._replica.is_leader:
            members = [member.identity.node_id for member in self._replica.membership.members()]
            taker = replica_for(backend_id, members, own)
        return HeartbeatAccepted(f"{taker}:{self._settings.http_port}")

    def take_batch(self, sender: NodeId, message: BackendBeats, now: float) -> list[Effect]:
        """Leader: another replica tells what it heard."""
        try:
            batch = decode_heartbeats(message.batch)
        except MALFORMED_INPUT as error:
            fields = {"replica": sender, "detail": str(error)}
            return [LogEvent("backends.malformed", fields, "warning")]
        had_changes = self._intake.has_changes
        self._intake.take_batch(batch, now)
        return self._after_change(had_changes, now)

    def pass_on(self, now: float) -> list[Effect]:
        """Agree on what beats changed; a replica that doesn't lead tells the leader."""
        if self._intake.has_changes:
            self._throttle.note_act(now)
        if not self._replica.may_act(now):
            return self._tell_leader()
        changes = self._intake.take_settled_changes(now)
        effects = self._timer_for_the_rest()
        if not changes:
            return effects
        services = sorted({change.backend.service for change in changes})
        fields = {"count": len(changes), "services": ",".join(services)}
        effects.append(LogEvent("backends.changed", fields))
        effects.extend(self._replaced(changes))
        return effects + (self._propose(PutBackends(changes), now) or [])

    def _replaced(self, changes: tuple[PutBackend, ...]) -> list[Effect]:
        """Tell of servers that ended without a word: another incarnation holds their address."""
        table = self._state.table
        effects: list[Effect] = []
        for change in changes:
            holder = table.backends.get(table.holder_of(change.backend.address) or BackendId(""))
            successor = change.backend.backend_id
            if holder is None or holder.backend_id == successor or holder.is_leaving:
                continue
            fields = {
                "backend": holder.backend_id,
                "by": successor,
                "service": holder.service,
                "address": holder.address,
            }
            effects.append(LogEvent("backend.replaced", fields))
        return effects

    def _tell_leader(self) -> list[Effect]:
        leader = self._replica.leader
        if leader is None or leader == self._settings.node_id:
            return []
        heard = self._intake.take_heard()
        changed = self._intake.take_changes()
        if not heard and not changed:
            return []
        message = BackendBeats(batch=encode_heartbeats(HeartbeatBatch(heard, changed)))
        return [SendMessage(leader, message), *self._timer_for_the_rest()]

    def _timer_for_the_rest(self) -> list[Effect]:
        return [SetTimer(CHANGES_TIMER, CHANGES_SECONDS)] if self._intake.has_changes else []

    def expire(self, now: float) -> list[Effect]:
        """Leader: forget back ends that have been silent for long, doubt those silent for less."""
        effects = self._take_for_cold(now)
        for backend in self._intake.silent(self._settings.backend_silence_seconds, now):
            fields = {"backend": backend.backend_id, "service": backend.service}
            effects.append(LogEvent("backend.expired", fields))
            effects.extend(self._propose(ExpireBackend(backend.backend_id), now) or [])
        return effects

    def _take_for_cold(self, now: float) -> list[Effect]:
        """Where cold back ends are limited, those that went missing count as cold."""
        document = self._state.document
        services = document.services if document is not None else ()
        limited = {s.name for s in services if s.cold_requests_per_second > 0.0}
        if not limited:
            return []
        missing = self._intake.missing(MISSED_BEATS_SECONDS, now)
        ids = tuple(backend.backend_id for backend in missing if backend.service in limited)
        if not ids:
            return []
        log = LogEvent("backends.taken_for_cold", {"count": len(ids), "backends": ",".join(ids)})
        return [log, *(self._propose(AssumeCold(ids), now) or [])]
