"""A daemon's session with the control group: configuration, commands, queries, leases.

A sub-reducer: the embedding daemon passes on every event that `handles` accepts,
performs the effects of the returned step, and acts on its notices.
"""

from collections.abc import Sequence

import msgspec

from merlinstand.common.ids import CommandId
from merlinstand.control.commands import Command
from merlinstand.control.queries import Query
from merlinstand.kernel.effects import Effect
from merlinstand.kernel.events import Event, Started
from merlinstand.session.lease_keeper import HeldLease
from merlinstand.session.notices import Notice
from merlinstand.session.settings import SessionSettings
from merlinstand.session.view import ConfigurationView


class SessionStep(msgspec.Struct, frozen=True):
    """What came of one event."""

    effects: tuple[Effect, ...] = ()
    notices: tuple[Notice, ...] = ()


class ControlSession:
    """Sub-reducer embedded in gateways and coordinators."""

    def __init__(self, settings: SessionSettings) -> None:
        """Make a session that has not started."""
        self._settings = settings
        self.view = ConfigurationView()
        """The configuration in force; replaced as a whole."""

    def start(self, event: Started, now: float) -> SessionStep:
        """Recover the highest revision seen and send the first pull.

        Records in `event.records` that are not the session's own are ignored.
        """
        raise NotImplementedError

    def handles(self, event: Event) -> bool:
        """Tell whether an event belongs to the session.

        True for control messages, timers named `session.…`, and the session's own
        `RecordsSynced` and `SnapshotSaved` tokens (all at or above `SESSION_TOKEN_BASE`).
        """
        raise NotImplementedError

    def reduce(self, event: Event, now: float) -> SessionStep:
        """Handle an event for which `handles` is true."""
        raise NotImplementedError

    def submit(
        self,
        command: Command,
        now: float,
        *,
        command_id: CommandId | None = None,
        timeout_seconds: float | None = None,
    ) -> tuple[CommandId, Sequence[Effect]]:
        """Send a command, again and again under the same id, until it is answered.

        Args:
            command: What to do.
            now: Local monotonic time in seconds.
            command_id: Name of the command; made here if None.
            timeout_seconds: After this long without an answer `CommandFinished` comes with
                `CommandUnresolvedError` (the command may still be applied). None: never.

        Returns:
            The command's id, and effects to perform. `CommandFinished` follows exactly once,
            from a later `reduce`.
        """
        raise NotImplementedError

    def query(
        self, query: Query, now: float, *, timeout_seconds: float = 5.0
    ) -> tuple[CommandId, Sequence[Effect]]:
        """Ask for a linearizable read; `QueryFinished` follows exactly once."""
        raise NotImplementedError

    def may_take_new_work(self, now: float) -> bool:
        """Tell whether the configuration lease is held.

        False before the first configuration, and whenever the newest proof that the
        configuration in force is the newest accepted one is too old. Work already begun
        goes on.
        """
        raise NotImplementedError

    def seconds_until_retry(self, now: float) -> float:
        """Return when a caller refused for want of the configuration lease should come back."""
        raise NotImplementedError

    def want_lease(self, resource: str, now: float) -> Sequence[Effect]:
        """Begin to acquire, and from then on keep, a resource. Harmless if wanted already."""
        raise NotImplementedError

    def give_up_lease(self, resource: str, now: float) -> Sequence[Effect]:
        """Release a resource and stop asking for it. `lease` is None from this call on."""
        raise NotImplementedError

    def lease(self, resource: str, now: float) -> HeldLease | None:
        """Return the lease if this daemon may act for the resource at `now`."""
        raise NotImplementedError

    def durable_records(self) -> tuple[bytes, ...]:
        """Return the records an embedding daemon must keep when it cuts the journal."""
        raise NotImplementedError

    def stop(self, now: float) -> Sequence[Effect]:
        """Release every lease (planned stop)."""
        raise NotImplementedError
