"""Leases wanted and held by this daemon, renewed at a third of their duration.

All leases are renewed by one command, so a daemon costs the group one command every two
seconds, however many resources it holds, and none if it holds nothing.

The holder counts from the time it *sent* the request, which is before the group granted
it, and takes the clock drift of both sides off. So it stops before the group, which
counts group time, can let anybody else in.
"""

import random

import msgspec

from merlinstand.common import constants
from merlinstand.common.ids import CommandId
from merlinstand.control.commands import (
    AcquireLease,
    AnyOutcome,
    Command,
    LeaseGranted,
    LeaseHeld,
    LeaseRenewal,
    LeasesRenewed,
    ReleaseLease,
    RenewLeases,
)
from merlinstand.session.notices import LeaseGained, LeaseLost, LeaseUnavailable, Notice

LEASE_TIMER = "session.leases"

LEASE_RETRY_SECONDS = 1.0
"""Longest wait before a lease that somebody else holds is asked for again, unless the daemon
wants it less eagerly."""

RETRY_JITTER_FRACTION = 0.25
"""Share by which a wait before asking again is longer or shorter, at random: keeps daemons that
were refused together from coming back together. Chosen, not measured."""

RENEWALS_PER_DURATION = 3
"""Renewals sent in one duration of a lease: two may be lost before it runs out. Chosen, not
measured."""


class HeldLease(msgspec.Struct, frozen=True):
    """A lease as its holder may count on it."""

    resource: str
    epoch: int
    expires_at: float
    """Local time until which the holder may act: send time + duration, less drift."""


class RequestedLease(msgspec.Struct):
    """A resource this daemon wants to hold."""

    resource: str
    retry_seconds: float = LEASE_RETRY_SECONDS
    """Longest wait before it is asked for again while somebody else holds it."""
    held: HeldLease | None = None
    asked: CommandId | None = None
    """The acquisition under way."""
    next_ask_at: float = 0.0
    """Local time in seconds."""


class Renewal(msgspec.Struct, frozen=True):
    """A renewal under way."""

    command_id: CommandId
    sent_at: float
    leases: tuple[LeaseRenewal, ...]


class OutgoingCommand(msgspec.Struct, frozen=True):
    """A command to submit."""

    command_id: CommandId
    command: Command
    timeout_seconds: float


class LeaseKeeper:
    """Leases of one run of a daemon."""

    def __init__(
        self,
        holder: str,
        incarnation: int,
        duration_seconds: float,
        generator: random.Random,
    ) -> None:
        """Make a keeper that wants nothing.

        Args:
            holder: The daemon's name.
            incarnation: Number of this run: another run is another holder.
            duration_seconds: Duration of every lease.
            generator: Source of random choices.
        """
        self._holder = holder
        self._incarnation = incarnation
        self._duration_seconds = duration_seconds
        self._generator = generator
        self._requested: dict[str, RequestedLease] = {}
        self._sent_at: dict[CommandId, float] = {}
        """Send times of acquisitions under way."""
        self._renewal: Renewal | None = None
        self._next_renewal_at = 0.0
        self._counter = 0
        self._id_prefix = f"{holder}/{incarnation:x}/lease-"

    def lease(self, resource: str, now: float) -> HeldLease | None:
        """Return a lease that is held at `now`."""
        wanted = self._requested.get(resource)
        if wanted is None or wanted.held is None or now >= wanted.held.expires_at:
            return None
        return wanted.held

    def owns(self, command_id: CommandId) -> bool:
        """Tell whether a command was made by the keeper."""
        return command_id.startswith(self._id_prefix)

    def request(
        self, resource: str, now: float, retry_seconds: float = LEASE_RETRY_SECONDS
    ) -> None:
        """Begin to want a resource, or change how eagerly it is asked for."""
        wanted = self._requested.setdefault(resource, RequestedLease(resource, next_ask_at=now))
        if retry_seconds < wanted.retry_seconds:
            wanted.next_ask_at = min(wanted.next_ask_at, now + retry_seconds)
        wanted.retry_seconds = retry_seconds

    def release(self, resource: str) -> list[OutgoingCommand]:
        """Stop wanting a resource and release it."""
        wanted = self._requested.pop(resource, None)
        if wanted is None or wanted.held is None:
            return []
        return [self._release_command(resource, wanted.held.epoch)]

    def release_unrequested(self, outcome: AnyOutcome | None) -> list[OutgoingCommand]:
        """Release a lease that was granted after the daemon had given the resource up."""
        if not isinstance(outcome, LeaseGranted) or outcome.resource in self._requested:
            return []
        return [self._release_command(outcome.resource, outcome.epoch)]

    def resources(self) -> tuple[str, ...]:
        """Return the wanted resources."""
        return tuple(self._requested)

    def due_commands(self, now: float) -> tuple[list[OutgoingCommand], list[Notice]]:
        """Notice expiry, and ask for what is due."""
        notices = self._expire(now)
        commands = [
            self._acquire_command(wanted, now)
            for wanted in self._requested.values()
            if wanted.held is None and wanted.asked is None and now >= wanted.next_ask_at
        ]
        renewal = self._renew_command(now)
        if renewal is not None:
            commands.append(renewal)
        return commands, notices

    def next_due_at(self) -> float | None:
        """Return when `due` must be called next, None if there is nothing to do."""
        times: list[float] = []
        for wanted in self._requested.values():
            if wanted.held is not None:
                times.append(wanted.held.expires_at)
            elif wanted.asked is None:
                times.append(wanted.next_ask_at)
        if self._renewal is None and any(wanted.held for wanted in self._requested.values()):
            times.append(self._next_renewal_at)
        return min(times, default=None)

    def handle_outcome(
        self, command_id: CommandId, outcome: AnyOutcome | None, now: float
    ) -> list[Notice]:
        """Take the answer to one of the keeper's commands; `outcome` is None if there was none."""
        if self._renewal is not None and command_id == self._renewal.command_id:
            return self._handle_renew_outcome(self._renewal, outcome, now)
        sent_at = self._sent_at.pop(command_id, None)
        wanted = next(
            (wanted for wanted in self._requested.values() if wanted.asked == command_id), None
        )
        if sent_at is None or wanted is None:
            return []
        wanted.asked = None
        return self._handle_acquire_outcome(wanted, sent_at, outcome, now)

    def _release_command(self, resource: str, epoch: int) -> OutgoingCommand:
        command = ReleaseLease(
            resource=resource,
            holder=self._holder,
            holder_incarnation=self._incarnation,
            epoch=epoch,
        )
        return OutgoingCommand(self._next_id(), command, self._duration_seconds)

    def _handle_acquire_outcome(
        self, wanted: RequestedLease, sent_at: float, outcome: AnyOutcome | None, now: float
    ) -> list[Notice]:
        match outcome:
            case LeaseGranted():
                return self._handle_granted(wanted, sent_at, outcome, now)
            case LeaseHeld():
                wanted.next_ask_at = now + self._with_jitter(_retry_delay_seconds(wanted, outcome))
                return [
                    LeaseUnavailable(
                        resource=wanted.resource,
                        holder=outcome.holder,
                        remaining_seconds=outcome.remaining_seconds,
                    )
                ]
            case _:
                # Also unanswered questions come back patiently, or all of them would meet
                # a control group that has just recovered.
                wanted.next_ask_at = now + self._with_jitter(wanted.retry_seconds)
                return []

    def _handle_granted(
        self, wanted: RequestedLease, sent_at: float, outcome: LeaseGranted, now: float
    ) -> list[Notice]:
        expires_at = sent_at + self._usable_seconds(outcome.duration_seconds)
        if now >= expires_at:
            # The answer came too late to be of use; ask again, counting anew.
            wanted.next_ask_at = now
            return []
        wanted.held = HeldLease(wanted.resource, outcome.epoch, expires_at)
        interval = self._duration_seconds / RENEWALS_PER_DURATION
        self._next_renewal_at = min(max(self._next_renewal_at, now), sent_at + interval)
        return [LeaseGained(resource=wanted.resource, epoch=outcome.epoch)]

    def _handle_renew_outcome(
        self, renewal: Renewal, outcome: AnyOutcome | None, now: float
    ) -> list[Notice]:
        self._renewal = None
        if not isinstance(outcome, LeasesRenewed):
            # Not answered: the leases go on until they expire; ask again at once.
            self._next_renewal_at = now
            return []
        self._next_renewal_at = renewal.sent_at + self._duration_seconds / RENEWALS_PER_DURATION
        expires_at = renewal.sent_at + self._usable_seconds(outcome.duration_seconds)
        notices: list[Notice] = []
        for lease in renewal.leases:
            wanted = self._requested.get(lease.resource)
            if wanted is None or wanted.held is None or wanted.held.epoch != lease.epoch:
                continue
            if lease.resource in outcome.resources:
                later = max(expires_at, wanted.held.expires_at)
                wanted.held = HeldLease(lease.resource, lease.epoch, later)
            else:
                notices.append(self._mark_lost(wanted, "taken", now))
        return notices

    def _expire(self, now: float) -> list[Notice]:
        return [
            self._mark_lost(wanted, "expired", now)
            for wanted in self._requested.values()
            if wanted.held is not None and now >= wanted.held.expires_at
        ]

    def _mark_lost(self, wanted: RequestedLease, reason: str, now: float) -> Notice:
        epoch = 0 if wanted.held is None else wanted.held.epoch
        wanted.held = None
        wanted.next_ask_at = now
        return LeaseLost(resource=wanted.resource, epoch=epoch, reason=reason)

    def _acquire_command(self, wanted: RequestedLease, now: float) -> OutgoingCommand:
        command_id = self._next_id()
        wanted.asked = command_id
        self._sent_at[command_id] = now
        command = AcquireLease(
            resource=wanted.resource,
            holder=self._holder,
            holder_incarnation=self._incarnation,
            duration_seconds=self._duration_seconds,
        )
        # Beyond this the answer would be of no use, since it counts from the first sending.
        return OutgoingCommand(command_id, command, self._duration_seconds / RENEWALS_PER_DURATION)

    def _renew_command(self, now: float) -> OutgoingCommand | None:
        leases = tuple(
            LeaseRenewal(wanted.resource, wanted.held.epoch)
            for wanted in self._requested.values()
            if wanted.held is not None
        )
        if not leases or self._renewal is not None or now < self._next_renewal_at:
            return None
        self._renewal = Renewal(self._next_id(), now, leases)
        command = RenewLeases(
            holder=self._holder,
            holder_incarnation=self._incarnation,
            duration_seconds=self._duration_seconds,
            leases=leases,
        )
        # Given up early and sent anew, so that the next answer counts from a later time.
        timeout_seconds = self._duration_seconds / RENEWALS_PER_DURATION / 2
        return OutgoingCommand(self._renewal.command_id, command, timeout_seconds)

    def _usable_seconds(self, duration_seconds: float) -> float:
        # Both clocks may be wrong by the drift: the holder's slow, the leader's fast.
        return duration_seconds * (1.0 - 2 * constants.MAXIMUM_CLOCK_DRIFT)

    def _with_jitter(self, seconds: float) -> float:
        return seconds * self._generator.uniform(
            1.0 - RETRY_JITTER_FRACTION, 1.0 + RETRY_JITTER_FRACTION
        )

    def _next_id(self) -> CommandId:
        self._counter += 1
        return CommandId(f"{self._id_prefix}{self._counter}")


def _retry_delay_seconds(wanted: RequestedLease, held: LeaseHeld) -> float:
    """Return when to ask again for a lease that somebody else holds.

    An eager daemon comes back when the lease may have run out; a patient one leaves it to
    the eager ones first.
    """
    if wanted.retry_seconds > LEASE_RETRY_SECONDS:
        return wanted.retry_seconds
    return max(min(held.remaining_seconds, wanted.retry_seconds), LEASE_RETRY_SECONDS / 4)
