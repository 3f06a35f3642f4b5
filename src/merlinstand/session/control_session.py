"""A daemon's session with the control group: configuration, commands, queries, leases.

A sub-reducer: the embedding daemon passes on every event that `handles` accepts, performs the
effects of the returned step, and acts on its notices.
"""

import random
from collections.abc import Sequence

import msgspec
import xxhash

from merlinstand.common.ids import CommandId, NodeId
from merlinstand.control.commands import Command
from merlinstand.control.queries import Query
from merlinstand.kernel.effects import Effect, LearnAddress, LogEvent, SetTimer
from merlinstand.kernel.events import (
    Event,
    MessageReceived,
    RecordsSynced,
    SnapshotSaved,
    Started,
    TimerFired,
)
from merlinstand.protocol.generated.control.ttypes import (
    CommandReply,
    ConfigurationPull,
    ConfigurationUpdate,
    QueryReply,
)
from merlinstand.session.configuration_follower import (
    PULL_TIMEOUT_TIMER,
    PULL_TIMER,
    AppliedUpdate,
    ConfigurationFollower,
)
from merlinstand.session.durable_state import DurableState
from merlinstand.session.finished_requests import finished_notice
from merlinstand.session.lease_keeper import (
    LEASE_RETRY_SECONDS,
    LEASE_TIMER,
    HeldLease,
    LeaseKeeper,
    OutgoingCommand,
)
from merlinstand.session.notices import (
    CommandFinished,
    ConfigurationChanged,
    ConfigurationLeaseChanged,
    Notice,
    QueryFinished,
    SessionBusyError,
)
from merlinstand.session.registration import REGISTRATION_TIMEOUT_SECONDS, Registration
from merlinstand.session.replica_choice import rank_members
from merlinstand.session.request_sender import (
    SENDER_TIMER,
    RequestSender,
    SenderResult,
)
from merlinstand.session.settings import SessionSettings
from merlinstand.session.view import ConfigurationView

NOTICES_TIMER = "session.notices"
RETRY_WITHOUT_LEASE_SECONDS = 1.0
"""Retry delay of a request that was refused because the configuration lease is not held; about one
pull interval."""

QUERY_TIMEOUT_SECONDS = 5.0
"""Maximum time that a query waits for its reply."""

BUSY_RETRY_SECONDS = 1.0
"""Retry delay while `maximum_pending_commands` requests are pending."""

_MESSAGES = (CommandReply, QueryReply, ConfigurationPull, ConfigurationUpdate)


class SessionStep(msgspec.Struct, frozen=True):
    """Result of one event."""

    effects: tuple[Effect, ...] = ()
    notices: tuple[Notice, ...] = ()


class ControlSession:
    """Sub-reducer that gateways and coordinators embed."""

    def __init__(self, settings: SessionSettings) -> None:
        """The session sends nothing before `start`."""
        self._settings = settings
        self._durable = DurableState(settings.owns_journal)
        self._counter = 0
        self._queued_notices: list[Notice] = []
        self._run_name = ""
        self._run_token: int | None = None
        self._registration = Registration(settings)
        self._lease_was_held = False
        self._generator = random.Random(0)
        ranked = rank_members(settings.node_id, settings.members)
        self._follower = ConfigurationFollower(settings, self._durable, self._generator)
        self._sender = RequestSender(settings, ranked, self._generator)
        self._keeper = self._new_keeper(0)

    @property
    def view(self) -> ConfigurationView:
        """The configuration in effect; a change replaces the whole view."""
        return self._follower.view

    @property
    def run_name(self) -> str:
        """Name of this run of the process, unique among all runs of all daemons."""
        return self._run_name

    def start(self, event: Started, now: float) -> SessionStep:
        """Recover the highest known revision and send the first pull.

        Records in `event.records` that are not the session's own are ignored.
        """
        self._durable.recover(event)
        # Each run is a different lease holder and has its own command ids. Therefore the run
        # number must be durable before any request is sent.
        incarnation = _run_incarnation(event.incarnation, self._durable.run)
        self._run_name = f"{self._settings.node_id}/{incarnation:x}"
        self._generator.seed(event.seed)
        self._keeper = self._new_keeper(incarnation)
        self._run_token, write_run = self._durable.write(self._durable.revision)
        effects: list[Effect] = [
            LearnAddress(NodeId(member.node_id), member.address)
            for member in self._settings.members
        ]
        effects.append(write_run)
        effects.extend(self._follower.start(now))
        return SessionStep(tuple(effects))

    def handles(self, event: Event) -> bool:
        """Return whether an event belongs to the session.

        True for control messages, timers named `session.…`, and the session's own
        `RecordsSynced` and `SnapshotSaved` tokens (all at or above `SESSION_TOKEN_BASE`).
        """
        match event:
            case MessageReceived():
                return isinstance(event.message, _MESSAGES)
            case TimerFired():
                return event.name.startswith("session.")
            case _:
                return DurableState.synced_token(event) is not None

    def reduce(self, event: Event, now: float) -> SessionStep:
        """Handle an event for which `handles` is true."""
        match event:
            case MessageReceived():
                step = self._message(event, now)
            case TimerFired():
                step = self._timer(event.name, now)
            case RecordsSynced() | SnapshotSaved():
                step = self._synced(event.token, now)
            case _:
                step = SessionStep()
        return self._with_lease_notice(step, now)

    def submit(
        self,
        command: Command,
        now: float,
        *,
        command_id: CommandId | None = None,
        timeout_seconds: float | None = None,
    ) -> tuple[CommandId, Sequence[Effect]]:
        """Send a command, and resend it under the same id until it gets a reply.

        Args:
            command: The command.
            now: Local monotonic time in seconds.
            command_id: Id of the command; generated if None.
            timeout_seconds: Time without a reply after which `CommandFinished` carries
                `CommandUnresolvedError` (the command may still be applied). None for no timeout.

        Returns:
            The command's id, and effects to perform. `CommandFinished` follows exactly once,
            from a later `reduce`.
        """
        chosen = self._next_id() if command_id is None else command_id
        if self._sender.is_full:
            error = SessionBusyError(
                detail="too many pending commands", retry_after_seconds=BUSY_RETRY_SECONDS
            )
            finished = CommandFinished(command_id=chosen, command=command, error=error)
            return chosen, self._queue_notice(finished)
        return chosen, self._sender.add_command(chosen, command, now, timeout_seconds)

    def query(self, query: Query, now: float) -> tuple[CommandId, Sequence[Effect]]:
        """Request a linearizable read; `QueryFinished` follows exactly once.

        After `QUERY_TIMEOUT_SECONDS` without a reply it carries `CommandUnresolvedError`.
        """
        query_id = self._next_id()
        if self._sender.is_full:
            error = SessionBusyError(
                detail="too many pending requests", retry_after_seconds=BUSY_RETRY_SECONDS
            )
            return query_id, self._queue_notice(QueryFinished(query_id=query_id, error=error))
        return query_id, self._sender.add_query(query_id, query, now, QUERY_TIMEOUT_SECONDS)

    def refresh(self, now: float) -> Sequence[Effect]:
        """Pull the configuration now instead of at the next interval; the rate is limited."""
        return self._follower.refresh(now)

    def may_take_new_work(self, now: float) -> bool:
        """Return whether the configuration lease is held.

        False before the first configuration, and whenever the newest proof that the configuration
        in effect is the newest committed one is too old. Work in progress continues.
        """
        return self._follower.holds_lease(now)

    def seconds_until_retry(self, now: float) -> float:
        """Return the retry delay for a request refused without the configuration lease."""
        return 0.0 if self.may_take_new_work(now) else RETRY_WITHOUT_LEASE_SECONDS

    def request_lease(
        self, resource: str, now: float, retry_seconds: float = LEASE_RETRY_SECONDS
    ) -> Sequence[Effect]:
        """Acquire the lease of a resource, and keep it renewed until `release_lease`.

        Args:
            resource: Resource to lease, for example `job/NAME`.
            now: Local monotonic time in seconds.
            retry_seconds: Longest wait before the next attempt while another holder has the
                lease; a call for a resource already requested changes it.
        """
        self._keeper.request(resource, now, retry_seconds)
        return [SetTimer(LEASE_TIMER, 0.0)]

    def release_lease(self, resource: str, now: float) -> Sequence[Effect]:
        """Release the lease of a resource and stop requesting it.

        `lease` returns None from this call on.
        """
        return self._submit_all(self._keeper.release(resource), now)

    def lease(self, resource: str, now: float) -> HeldLease | None:
        """Return the lease if this daemon may act for the resource at `now`, else None."""
        return self._keeper.lease(resource, now)

    def durable_records(self) -> tuple[bytes, ...]:
        """Return the records that the embedding daemon must keep when it truncates the journal."""
        return (self._durable.record(),)

    def stop(self, now: float) -> Sequence[Effect]:
        """Release all leases, for a planned stop."""
        effects: list[Effect] = []
        for resource in self._keeper.resources():
            effects.extend(self.release_lease(resource, now))
        return effects

    @property
    def is_idle(self) -> bool:
        """Whether no command or query is pending."""
        return len(self._sender) == 0

    def _new_keeper(self, incarnation: int) -> LeaseKeeper:
        return LeaseKeeper(
            self._settings.node_id,
            incarnation,
            self._settings.timings.lease_duration_seconds,
            self._generator,
        )

    def _message(self, event: MessageReceived, now: float) -> SessionStep:
        message = event.message
        match message:
            case CommandReply():
                return self._handle_sender_result(
                    self._sender.handle_command_reply(event.sender, message, now), now
                )
            case QueryReply():
                return self._handle_sender_result(
                    self._sender.handle_query_reply(event.sender, message, now), now
                )
            case ConfigurationUpdate():
                effects = self._follower.handle_update(event.sender, message, now)
                return SessionStep(tuple(effects))
            case ConfigurationPull():
                effects = self._follower.answer_pull(event.sender, message, now)
                return SessionStep(tuple(effects))
            case _:
                return SessionStep()

    def _timer(self, name: str, now: float) -> SessionStep:
        if name == PULL_TIMER:
            return SessionStep(tuple(self._follower.pull(now)))
        if name == PULL_TIMEOUT_TIMER:
            return SessionStep(tuple(self._follower.handle_pull_timeout(now)))
        if name == SENDER_TIMER:
            return self._handle_sender_result(self._sender.tick(now), now)
        if name == LEASE_TIMER:
            return self._submit_due_leases(now)
        if name == NOTICES_TIMER:
            notices, self._queued_notices = self._queued_notices, []
            return SessionStep((), tuple(notices))
        return SessionStep()

    def _synced(self, token: int, now: float) -> SessionStep:
        effects: list[Effect] = []
        # Writes are synced in order, so a later token proves that the run number is durable too.
        if self._run_token is not None and token >= self._run_token:
            self._run_token = None
            effects.extend(self._sender.open(now))
        applied = self._follower.apply_synced(token)
        if applied is None:
            return SessionStep(tuple(effects))
        effects.extend(self._register(now))
        return SessionStep(tuple(effects), (self._configuration_changed(applied),))

    def _configuration_changed(self, applied: AppliedUpdate) -> Notice:
        return ConfigurationChanged(revision=self.view.revision, changed_keys=applied.changed_keys)

    def _handle_sender_result(self, result: SenderResult, now: float) -> SessionStep:
        effects = list(result.effects)
        notices: list[Notice] = []
        for finished in result.finished:
            if self._registration.finish_if_pending(finished.request_id):
                continue
            if self._keeper.owns(finished.request_id):
                notices.extend(
                    self._keeper.handle_outcome(finished.request_id, finished.outcome, now)
                )
                unwanted = self._keeper.release_unrequested(finished.outcome)
                effects.extend(self._submit_all(unwanted, now))
                continue
            notices.append(finished_notice(finished))
        return self._with_due_leases(SessionStep(tuple(effects), tuple(notices)), now)

    def _with_due_leases(self, step: SessionStep, now: float) -> SessionStep:
        kept = self._submit_due_leases(now)
        return SessionStep(step.effects + kept.effects, step.notices + kept.notices)

    def _submit_due_leases(self, now: float) -> SessionStep:
        if not self._keeper.resources():
            return SessionStep()
        commands, notices = self._keeper.due_commands(now)
        effects = self._submit_all(commands, now)
        next_due_at = self._keeper.next_due_at()
        if next_due_at is not None:
            effects.append(SetTimer(LEASE_TIMER, max(0.0, next_due_at - now)))
        return SessionStep(tuple(effects), tuple(notices))

    def _submit_all(self, commands: Sequence[OutgoingCommand], now: float) -> list[Effect]:
        # The limit on pending commands does not apply here, so that load causes no loss of a lease.
        effects: list[Effect] = []
        for outgoing in commands:
            effects.extend(
                self._sender.add_command(
                    outgoing.command_id, outgoing.command, now, outgoing.timeout_seconds
                )
            )
        return effects

    def _register(self, now: float) -> list[Effect]:
        command = self._registration.due_command(self.view)
        if command is None:
            return []
        command_id = self._next_id()
        self._registration.record_sent(command_id)
        return self._sender.add_command(command_id, command, now, REGISTRATION_TIMEOUT_SECONDS)

    def _with_lease_notice(self, step: SessionStep, now: float) -> SessionStep:
        held = self._follower.holds_lease(now)
        if held == self._lease_was_held:
            return step
        self._lease_was_held = held
        severity = "info" if held else "warning"
        event = LogEvent("session.configuration_lease", {"held": held}, severity)
        notice = ConfigurationLeaseChanged(held=held)
        # `_synced` registers only when a change of the configuration takes effect, which does not
        # happen while the configuration is empty.
        registration = self._register(now) if held else []
        return SessionStep((*step.effects, event, *registration), (*step.notices, notice))

    def _queue_notice(self, notice: Notice) -> list[Effect]:
        self._queued_notices.append(notice)
        return [SetTimer(NOTICES_TIMER, 0.0)]

    def _next_id(self) -> CommandId:
        self._counter += 1
        return CommandId(f"{self._run_name}/{self._counter}")


def _run_incarnation(storage_incarnation: int, run: int) -> int:
    """Return a number below 2**63 that identifies one run with one disk."""
    return int(xxhash.xxh3_64_intdigest(f"{storage_incarnation}/{run}".encode())) >> 1
