"""The control side of a daemon and nothing else: one session and its leases."""

from collections.abc import Sequence

import msgspec

from merlinstand.kernel.effects import Effect, StopProcess
from merlinstand.kernel.events import Event, Started, StopRequested
from merlinstand.session.control_session import ControlSession, SessionStep
from merlinstand.session.notices import LeaseGained
from merlinstand.session.settings import SessionSettings


class SessionDaemonSettings(msgspec.Struct, frozen=True, kw_only=True):
    """One hollow daemon."""

    session: SessionSettings
    leases: tuple[str, ...] = ()
    """Resources to acquire and keep."""


class SessionDaemon:
    """Reducer that embeds a `ControlSession` as gateways and coordinators do."""

    def __init__(self, settings: SessionDaemonSettings) -> None:
        """Make a daemon that has not started."""
        self.settings = settings
        self.session = ControlSession(settings.session)
        self.leases_gained = 0

    @property
    def holds_its_leases(self) -> bool:
        """Whether every wanted lease was gained."""
        return self.leases_gained >= len(self.settings.leases)

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Start the session and ask for the leases."""
        effects = list(self._perform(self.session.start(event, now)))
        for resource in self.settings.leases:
            effects.extend(self.session.request_lease(resource, now))
        return effects

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Pass on what belongs to the session."""
        if isinstance(event, StopRequested):
            return (*self.session.stop(now), StopProcess())
        if self.session.handles(event):
            return self._perform(self.session.reduce(event, now))
        return ()

    def _perform(self, step: SessionStep) -> Sequence[Effect]:
        self.leases_gained += sum(isinstance(notice, LeaseGained) for notice in step.notices)
        return step.effects
