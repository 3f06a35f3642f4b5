"""Requests, renews and releases this daemon's leases.

All leases are renewed by one command, sent at a third of their duration, so the load on the control
group (one command every two seconds) does not depend on the number of leases.

The holder counts the duration from the time it *sent* the request, which is before the grant, and
subtracts the clock drift of both sides. So the holder stops acting before the control group, which
counts group time, can grant the lease to another holder.
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
"""Default of the maximum time before the next attempt at a lease that another holder has."""

RETRY_JITTER_FRACTION = 0.25
"""Largest random deviation of a retry delay, as a fraction of it; spreads the retries of daemons
that were refused at the same time."""

RENEWALS_PER_DURATION = 3
"""Renewals sent per lease duration; two may be lost before the lease expires."""


class HeldLease(msgspec.Struct, frozen=True):
    """A lease from its holder's view."""

    resource: str
    epoch: int
    expires_at: float
    """Local time until which the holder may act: send time + duration - clock drift."""


class RequestedLease(msgspec.Struct):
    """A resource whose lease this daemon requested."""

    resource: str
    retry_seconds: float = LEASE_RETRY_SECONDS
    """Longest wait before the next attempt while another holder has the lease."""
    held: HeldLease | None = None
    acquire_command_id: CommandId | None = None
    """Id of the pending acquisition."""
    next_attempt_at: float = 0.0
    """Local time in seconds."""


class Renewal(msgspec.Struct, frozen=True):
    """A pending renewal."""

    command_id: CommandId
    sent_at: float
    leases: tuple[LeaseRenewal, ...]


class OutgoingCommand(msgspec.Struct, frozen=True):
    """A lease command for the session to submit."""

    command_id: CommandId
    command: Command
    timeout_seconds: float


class LeaseKeeper:
    """The leases of one run of a daemon."""

    def __init__(
        self,
        holder: str,
        incarnation: int,
        duration_seconds: float,
        generator: random.Random,
    ) -> None:
        """No lease is requested at first.

        Args:
            holder: The daemon's name.
            incarnation: Number of this run; each run is a different holder.
            duration_seconds: Duration of every lease.
            generator: Source of random choices.
        """
        self._holder = holder
        self._incarnation = incarnation
        self._duration_seconds = duration_seconds
        self._generator = generator
        self._requested: dict[str, RequestedLease] = {}
        self._sent_at: dict[CommandId, float] = {}
        """Send times of the pending acquisitions, local time in seconds."""
        self._renewal: Renewal | None = None
        self._next_renewal_at = 0.0
        self._counter = 0
        self._id_prefix = f"{holder}/{incarnation:x}/lease-"

    def lease(self, resource: str, now: float) -> HeldLease | None:
        """Return the lease of a resource if it is held at `now`, else None."""
        requested = self._requested.get(resource)
        if requested is None or requested.held is None or now >= requested.held.expires_at:
            return None
        return requested.held

    def owns(self, command_id: CommandId) -> bool:
        """Return whether a command was made by the keeper."""
        return command_id.startswith(self._id_prefix)

    def request(
        self, resource: str, now: float, retry_seconds: float = LEASE_RETRY_SECONDS
    ) -> None:
        """Request the lease of a resource, or change the retry delay of an earlier request."""
        requested = self._requested.setdefault(
            resource, RequestedLease(resource, next_attempt_at=now)
        )
        if retry_seconds < requested.retry_seconds:
            requested.next_attempt_at = min(requested.next_attempt_at, now + retry_seconds)
        requested.retry_seconds = retry_seconds

    def release(self, resource: str) -> list[OutgoingCommand]:
        """Stop requesting a resource, and return the command that releases its lease if held."""
        requested = self._requested.pop(resource, None)
        if requested is None or requested.held is None:
            return []
        return [self._release_command(resource, requested.held.epoch)]

    def release_unrequested(self, outcome: AnyOutcome | None) -> list[OutgoingCommand]:
        """Return the release of a lease that was granted after the daemon stopped requesting it."""
        if not isinstance(outcome, LeaseGranted) or outcome.resource in self._requested:
            return []
        return [self._release_command(outcome.resource, outcome.epoch)]

    def resources(self) -> tuple[str, ...]:
        """Return the requested resources."""
        return tuple(self._requested)

    def due_commands(self, now: float) -> tuple[list[OutgoingCommand], list[Notice]]:
        """Return the acquisitions and renewals that are due, and notices of expired leases."""
        notices = self._expire(now)
        commands = [
            self._acquire_command(requested, now)
            for requested in self._requested.values()
            if requested.held is None
            and requested.acquire_command_id is None
            and now >= requested.next_attempt_at
        ]
        renewal = self._renew_command(now)
        if renewal is not None:
            commands.append(renewal)
        return commands, notices

    def next_due_at(self) -> float | None:
        """Return the local time of the next `due_commands` call, None if nothing is scheduled."""
        times: list[float] = []
        for requested in self._requested.values():
            if requested.held is not None:
                times.append(requested.held.expires_at)
            elif requested.acquire_command_id is None:
                times.append(requested.next_attempt_at)
        if self._renewal is None and any(requested.held for requested in self._requested.values()):
            times.append(self._next_renewal_at)
        return min(times, default=None)

    def handle_outcome(
        self, command_id: CommandId, outcome: AnyOutcome | None, now: float
    ) -> list[Notice]:
        """Handle the outcome of one of the keeper's commands; None if it timed out."""
        if self._renewal is not None and command_id == self._renewal.command_id:
            return self._handle_renew_outcome(self._renewal, outcome, now)
        sent_at = self._sent_at.pop(command_id, None)
        requested = next(
            (
                requested
                for requested in self._requested.values()
                if requested.acquire_command_id == command_id
            ),
            None,
        )
        if sent_at is None or requested is None:
            return []
        requested.acquire_command_id = None
        return self._handle_acquire_outcome(requested, sent_at, outcome, now)

    def _release_command(self, resource: str, epoch: int) -> OutgoingCommand:
        command = ReleaseLease(
            resource=resource,
            holder=self._holder,
            holder_incarnation=self._incarnation,
            epoch=epoch,
        )
        return OutgoingCommand(self._next_id(), command, self._duration_seconds)

    def _handle_acquire_outcome(
        self, requested: RequestedLease, sent_at: float, outcome: AnyOutcome | None, now: float
    ) -> list[Notice]:
        match outcome:
            case LeaseGranted():
                return self._handle_granted(requested, sent_at, outcome, now)
            case LeaseHeld():
                requested.next_attempt_at = now + self._with_jitter(
                    _retry_delay_seconds(requested, outcome)
                )
                return [
                    LeaseUnavailable(
                        resource=requested.resource,
                        holder=outcome.holder,
                        remaining_seconds=outcome.remaining_seconds,
                    )
                ]
            case _:
                # Timed-out acquisitions are also delayed, or all daemons would retry at once
                # when the control group recovers.
                requested.next_attempt_at = now + self._with_jitter(requested.retry_seconds)
                return []

    def _handle_granted(
        self, requested: RequestedLease, sent_at: float, outcome: LeaseGranted, now: float
    ) -> list[Notice]:
        expires_at = sent_at + self._usable_seconds(outcome.duration_seconds)
        if now >= expires_at:
            # The grant arrived after the lease's end; retry with a new send time.
            requested.next_attempt_at = now
            return []
        requested.held = HeldLease(requested.resource, outcome.epoch, expires_at)
        interval = self._duration_seconds / RENEWALS_PER_DURATION
        self._next_renewal_at = min(max(self._next_renewal_at, now), sent_at + interval)
        return [LeaseGained(resource=requested.resource, epoch=outcome.epoch)]

    def _handle_renew_outcome(
        self, renewal: Renewal, outcome: AnyOutcome | None, now: float
    ) -> list[Notice]:
        self._renewal = None
        if not isinstance(outcome, LeasesRenewed):
            # Timed out: the leases stay valid until they expire; renew again at once.
            self._next_renewal_at = now
            return []
        self._next_renewal_at = renewal.sent_at + self._duration_seconds / RENEWALS_PER_DURATION
        expires_at = renewal.sent_at + self._usable_seconds(outcome.duration_seconds)
        notices: list[Notice] = []
        for lease in renewal.leases:
            requested = self._requested.get(lease.resource)
            if requested is None or requested.held is None or requested.held.epoch != lease.epoch:
                continue
            if lease.resource in outcome.resources:
                later = max(expires_at, requested.held.expires_at)
                requested.held = HeldLease(lease.resource, lease.epoch, later)
            else:
                notices.append(self._mark_lost(requested, "taken", now))
        return notices

    def _expire(self, now: float) -> list[Notice]:
        return [
            self._mark_lost(requested, "expired", now)
            for requested in self._requested.values()
            if requested.held is not None and now >= requested.held.expires_at
        ]

    def _mark_lost(self, requested: RequestedLease, reason: str, now: float) -> Notice:
        epoch = 0 if requested.held is None else requested.held.epoch
        requested.held = None
        requested.next_attempt_at = now
        return LeaseLost(resource=requested.resource, epoch=epoch, reason=reason)

    def _acquire_command(self, requested: RequestedLease, now: float) -> OutgoingCommand:
        command_id = self._next_id()
        requested.acquire_command_id = command_id
        self._sent_at[command_id] = now
        command = AcquireLease(
            resource=requested.resource,
            holder=self._holder,
            holder_incarnation=self._incarnation,
            duration_seconds=self._duration_seconds,
        )
        # The duration counts from the first send time, so a late grant would soon expire.
        return OutgoingCommand(command_id, command, self._duration_seconds / RENEWALS_PER_DURATION)

    def _renew_command(self, now: float) -> OutgoingCommand | None:
        leases = tuple(
            LeaseRenewal(requested.resource, requested.held.epoch)
            for requested in self._requested.values()
            if requested.held is not None
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
        # A short timeout, so that the next renewal is sent soon and counts from its own send time.
        timeout_seconds = self._duration_seconds / RENEWALS_PER_DURATION / 2
        return OutgoingCommand(self._renewal.command_id, command, timeout_seconds)

    def _usable_seconds(self, duration_seconds: float) -> float:
        # Both clocks may drift: the holder's may be slow and the leader's fast.
        return duration_seconds * (1.0 - 2 * constants.MAXIMUM_CLOCK_DRIFT)

    def _with_jitter(self, seconds: float) -> float:
        return seconds * self._generator.uniform(
            1.0 - RETRY_JITTER_FRACTION, 1.0 + RETRY_JITTER_FRACTION
        )

    def _next_id(self) -> CommandId:
        self._counter += 1
        return CommandId(f"{self._id_prefix}{self._counter}")


def _retry_delay_seconds(requested: RequestedLease, held: LeaseHeld) -> float:
    """Return the delay before the next attempt at a lease that another holder has.

    A daemon whose retry delay is at most the default retries when the lease may have expired, or
    after its own delay if that is shorter. A daemon with a longer delay always waits for the whole
    delay, which gives the other daemons precedence.
    """
    if requested.retry_seconds > LEASE_RETRY_SECONDS:
        return requested.retry_seconds
    return max(min(held.remaining_seconds, requested.retry_seconds), LEASE_RETRY_SECONDS / 4)
