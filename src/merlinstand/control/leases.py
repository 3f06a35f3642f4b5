"""Leases with fencing epochs; expiry is judged by group time.

The holder counts the duration from the time it sent its request, which is before the grant, and
subtracts the maximum clock drift. So the holder stops acting before the lease can be granted to
another holder.
"""

import msgspec

from merlinstand.control.commands import (
    AcquireLease,
    AnyOutcome,
    Done,
    LeaseGranted,
    LeaseHeld,
    LeasesRenewed,
    Refused,
    ReleaseLease,
    RenewLeases,
)
from merlinstand.control.queries import LeaseState

MAXIMUM_LEASE_SECONDS = 60.0
"""Longest lease duration that may be requested. After a holder's crash, no other holder can act
for up to this long."""

MAXIMUM_LEASES = 10_000
"""Maximum number of leases in the table; when it is full, expired leases are evicted."""


class Lease(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Holder of a resource."""

    holder: str
    holder_incarnation: int
    epoch: int
    """Log position at which the lease was granted. It increases with every new holder, even if the
    lease was removed from the table in between."""
    expires_at: float
    """Group time in seconds."""


class LeaseTable:
    """All leases by resource."""

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}

    def acquire(self, command: AcquireLease, revision: int, group_time: float) -> AnyOutcome:
        """Grant, renew or refuse a lease; `revision` becomes the epoch of a new grant."""
        if not 0.0 < command.duration_seconds <= MAXIMUM_LEASE_SECONDS:
            return Refused(code="invalid_input", detail="lease duration out of range")
        held = self.find_other_holder(command, group_time)
        if held is not None:
            return held
        lease = self.leases.get(command.resource)
        # A holder that acquires its own expired lease again also gets a new epoch: it may have
        # stopped acting, and commands that it sent before must not be accepted under the new
        # lease.
        is_held = lease is not None and _is_held(lease, group_time)
        epoch = lease.epoch if lease is not None and is_held else revision
        if lease is None and not self._make_room(group_time):
            return Refused(code="busy", detail="too many leases")
        self.leases[command.resource] = Lease(
            command.holder,
            command.holder_incarnation,
            epoch,
            group_time + command.duration_seconds,
        )
        return LeaseGranted(
            resource=command.resource, epoch=epoch, duration_seconds=command.duration_seconds
        )

    def find_other_holder(self, command: AcquireLease, group_time: float) -> LeaseHeld | None:
        """Return the other holder of the resource, or None if it could be granted now."""
        lease = self.leases.get(command.resource)
        if lease is None or not _is_held(lease, group_time) or _is_holder(lease, command):
            return None
        return _held(command.resource, lease, group_time)

    def renew(self, command: RenewLeases, group_time: float) -> AnyOutcome:
        """Renew those of the leases that still have the given holder and epoch."""
        if not 0.0 < command.duration_seconds <= MAXIMUM_LEASE_SECONDS:
            return Refused(code="invalid_input", detail="lease duration out of range")
        expires_at = group_time + command.duration_seconds
        renewed: list[str] = []
        for renewal in command.leases:
            lease = self.leases.get(renewal.resource)
            if lease is None or lease.epoch != renewal.epoch:
                continue
            if _is_held(lease, group_time) and _is_holder(lease, command):
                self.leases[renewal.resource] = msgspec.structs.replace(
                    lease, expires_at=expires_at
                )
                renewed.append(renewal.resource)
        return LeasesRenewed(resources=tuple(renewed), duration_seconds=command.duration_seconds)

    def release(self, command: ReleaseLease, revision: int) -> AnyOutcome:
        """Release a lease; does nothing if the holder no longer has it."""
        lease = self.leases.get(command.resource)
        if lease is not None and _is_holder(lease, command) and lease.epoch == command.epoch:
            del self.leases[command.resource]
        return Done(revision=revision)

    def is_current(self, resource: str, epoch: int) -> bool:
        """Return whether `epoch` is still the newest grant of the resource.

        This includes an expired lease that no other holder acquired: the command was sent while
        its holder had the lease, and no other holder can have acted in between.
        """
        lease = self.leases.get(resource)
        return lease is not None and lease.epoch == epoch

    def states(self, group_time: float) -> tuple[LeaseState, ...]:
        """Return the unexpired leases, for operators."""
        return tuple(
            LeaseState(resource, lease.holder, lease.epoch, lease.expires_at - group_time)
            for resource, lease in sorted(self.leases.items())
            if _is_held(lease, group_time)
        )

    def _make_room(self, group_time: float) -> bool:
        if len(self.leases) < MAXIMUM_LEASES:
            return True
        self.leases = {
            resource: lease
            for resource, lease in self.leases.items()
            if _is_held(lease, group_time)
        }
        return len(self.leases) < MAXIMUM_LEASES


def _is_held(lease: Lease, group_time: float) -> bool:
    return lease.expires_at > group_time


def _is_holder(lease: Lease, command: AcquireLease | RenewLeases | ReleaseLease) -> bool:
    return (lease.holder, lease.holder_incarnation) == (
        command.holder,
        command.holder_incarnation,
    )


def _held(resource: str, lease: Lease, group_time: float) -> LeaseHeld:
    return LeaseHeld(
        resource=resource,
        holder=lease.holder,
        epoch=lease.epoch,
        remaining_seconds=lease.expires_at - group_time,
    )
