"""The control side of a daemon and nothing else: one session, its leases, its commands."""

from collections.abc import Sequence

import msgspec

from merlinstand.common.ids import CommandId
from merlinstand.control.commands import Refused
from merlinstand.kernel.effects import Effect, SetTimer, StopProcess
from merlinstand.kernel.events import Event, Started, StopRequested, TimerFired
from merlinstand.session.control_session import ControlSession, SessionStep
from merlinstand.session.notices import CommandFinished, LeaseGained, Notice
from merlinstand.session.settings import SessionSettings
from merlinstand_lab.capacity.command_load import CommandLoadSettings, LoadKind, make_command

NEXT_COMMAND_TIMER = "load.next_command"


class SessionDaemonSettings(msgspec.Struct, frozen=True, kw_only=True):
    """One hollow daemon."""

    session: SessionSettings
    leases: tuple[str, ...] = ()
    """Resources to acquire and keep."""
    load: CommandLoadSettings | None = None


class LoadCounts(msgspec.Struct, frozen=True, kw_only=True):
    """What came of the submitted commands."""

    applied: int = 0
    refused: int = 0
    unresolved: int = 0
    leases_wanted: int = 0
    leases_gained: int = 0
    latencies_seconds: tuple[float, ...] = ()
    last_refusal: str = ""


class SessionDaemon:
    """Reducer that embeds a `ControlSession` as gateways and coordinators do."""

    def __init__(self, settings: SessionDaemonSettings) -> None:
        """Make a daemon that has not started."""
        self._settings = settings
        self._node_id = settings.session.node_id
        self.session = ControlSession(settings.session)
        self._next_number = 1
        self._lease_epoch = 0
        self._sent_at: dict[CommandId, float] = {}
        self._latencies: list[float] = []
        self._applied = self._refused = self._unresolved = self._leases_gained = 0
        self._last_refusal = ""

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Start the session, the leases and the load."""
        effects = list(self._perform(self.session.start(event, now), now))
        for resource in self._settings.leases:
            effects.extend(self.session.want_lease(resource, now))
        if self._settings.load is not None and not self._settings.leases:
            effects.extend(self._fill_window(now))
        return effects

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Pass on what belongs to the session."""
        if isinstance(event, StopRequested):
            return (*self.session.stop(now), StopProcess())
        if self.session.handles(event):
            return self._perform(self.session.reduce(event, now), now)
        if isinstance(event, TimerFired) and event.name == NEXT_COMMAND_TIMER:
            return self._fill_window(now)
        return ()

    def load_counts(self) -> LoadCounts:
        """Return the totals, and the latencies since the last call."""
        latencies, self._latencies = self._latencies, []
        return LoadCounts(
            applied=self._applied,
            refused=self._refused,
            unresolved=self._unresolved,
            leases_wanted=len(self._settings.leases),
            leases_gained=self._leases_gained,
            latencies_seconds=tuple(latencies),
            last_refusal=self._last_refusal,
        )

    def _perform(self, step: SessionStep, now: float) -> Sequence[Effect]:
        effects = list(step.effects)
        for notice in step.notices:
            effects.extend(self._handle_notice(notice, now))
        return effects

    def _handle_notice(self, notice: Notice, now: float) -> Sequence[Effect]:
        if isinstance(notice, LeaseGained):
            self._leases_gained += 1
            self._lease_epoch = notice.epoch
            return self._fill_window(now)
        if isinstance(notice, CommandFinished) and notice.command_id in self._sent_at:
            self._count(notice, now)
            return self._continue_load(now)
        return ()

    def _count(self, notice: CommandFinished, now: float) -> None:
        self._latencies.append(now - self._sent_at.pop(notice.command_id))
        if notice.error is not None:
            self._unresolved += 1
        elif isinstance(notice.outcome, Refused):
            self._refused += 1
            self._last_refusal = f"{notice.outcome.code}: {notice.outcome.detail}"
        else:
            self._applied += 1

    def _continue_load(self, now: float) -> Sequence[Effect]:
        load = self._settings.load
        if load is not None and load.interval_seconds > 0:
            return (SetTimer(NEXT_COMMAND_TIMER, load.interval_seconds),)
        return self._fill_window(now)

    def _fill_window(self, now: float) -> list[Effect]:
        load = self._settings.load
        effects: list[Effect] = []
        if load is None:
            return effects
        if load.kind is LoadKind.BATCH:
            load = msgspec.structs.replace(load, lease_epoch=self._lease_epoch)
        while len(self._sent_at) < load.window:
            command = make_command(load, self._node_id, self._next_number)
            self._next_number += 1
            command_id, sent = self.session.submit(command, now)
            self._sent_at[command_id] = now
            effects.extend(sent)
        return effects
