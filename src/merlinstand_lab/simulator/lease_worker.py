"""A daemon that follows the configuration, competes for a lease, and shows when it acts."""

from collections.abc import Sequence

import msgspec

from merlinstand.kernel.effects import Effect, SetTimer, StopProcess, WriteRecord
from merlinstand.kernel.events import Event, Started, StopRequested, TimerFired
from merlinstand.session.control_session import ControlSession
from merlinstand.session.settings import SessionSettings

ACT_TIMER = "worker.act"
ACT_SECONDS = 0.2
"""Seconds between two acts under a lease; chosen, not measured."""
ACT_STREAM = "acts"


class LeaseWorkerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """One worker."""

    session: SessionSettings
    resource: str


class ActRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The worker acted: for its resource if it holds the lease, and under a configuration."""

    node_id: str
    resource: str
    epoch: int
    """0 if it does not hold the lease."""
    revision: int
    """Of the configuration it took new work under; -1 if it took none."""


class LeaseWorker:
    """Reducer that embeds a `ControlSession` as gateways and coordinators do."""

    def __init__(self, settings: LeaseWorkerSettings) -> None:
        """Make a worker that has not started."""
        self._settings = settings
        self._session = ControlSession(settings.session)

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Start the session and ask for the lease."""
        step = self._session.start(event, now)
        wanted = self._session.request_lease(self._settings.resource, now)
        return (*step.effects, *wanted, SetTimer(ACT_TIMER, ACT_SECONDS))

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Pass on what belongs to the session; act on the timer."""
        if isinstance(event, TimerFired) and event.name == ACT_TIMER:
            return (self._act(now), SetTimer(ACT_TIMER, ACT_SECONDS))
        if isinstance(event, StopRequested):
            return (*self._session.stop(now), StopProcess())
        if self._session.handles(event):
            return self._session.reduce(event, now).effects
        return ()

    def _act(self, now: float) -> Effect:
        lease = self._session.lease(self._settings.resource, now)
        works = self._session.may_take_new_work(now)
        record = ActRecord(
            node_id=self._settings.session.node_id,
            resource=self._settings.resource,
            epoch=lease.epoch if lease is not None else 0,
            revision=self._session.view.revision if works else -1,
        )
        return WriteRecord(ACT_STREAM, record)
