"""Order in which backends first registered, and the last state of backends that expired.

A heartbeat delayed by a network partition may arrive after its sender has crashed and the next
incarnation has registered at the same address. An incarnation that registered before the address's
holder is older, so its heartbeat is outdated; the older incarnation may register again only once
the address is free. If instead the holder has ended, it sends no more heartbeats and expires, which
frees the address. `heartbeat_rules.may_reregister` is the rule. Runs on every control replica, as
part of the backend table.
"""

import msgspec

from merlinstand.common.ids import BackendId
from merlinstand.directory.heartbeat_rules import may_reregister


class FormerBackend(msgspec.Struct, frozen=True, array_like=True):
    """Last state of a backend that is no longer registered and may register again."""

    registration_number: int
    """Position in the order of first registrations."""
    sequence: int
    """Sequence number of the backend's newest heartbeat that changed its registration."""
    service: str
    is_draining: bool


class StoredRegistrations(msgspec.Struct, frozen=True):
    """Stored form of `RegistrationHistory`, in a snapshot."""

    count: int = 0
    present: dict[BackendId, int] = {}
    former: dict[BackendId, FormerBackend] = {}


class RegistrationHistory:
    """Registration order of all backends.

    Part of the replicated state: its methods are deterministic.
    """

    MAXIMUM_FORMER_BACKENDS = 4_096
    """Number of former backends that are kept; the ones that expired first are dropped."""

    def __init__(self) -> None:
        self.count = 0
        self.present: dict[BackendId, int] = {}
        self.former: dict[BackendId, FormerBackend] = {}

    def may_register(self, backend_id: BackendId, sequence: int, holder: BackendId | None) -> bool:
        """Return whether a heartbeat may register a backend that isn't registered.

        Args:
            backend_id: Backend that sent the heartbeat.
            sequence: Sequence number of the heartbeat.
            holder: Backend that is registered at the same address; None if there is none.
        """
        former = self.former.get(backend_id)
        if former is None:
            return True
        holder_number = None if holder is None else self.present.get(holder, 0)
        return may_reregister(sequence, former.sequence, former.registration_number, holder_number)

    def record_registration(self, backend_id: BackendId) -> FormerBackend | None:
        """Record that a backend registered; returns its former state, or None if it is new."""
        former = self.former.pop(backend_id, None)
        if former is None:
            self.count += 1
        self.present[backend_id] = self.count if former is None else former.registration_number
        return former

    def record_expiry(
        self, backend_id: BackendId, sequence: int, service: str, is_draining: bool
    ) -> None:
        """Record that a backend expired; it may register again."""
        registration_number = self.present.pop(backend_id, 0)
        self.former[backend_id] = FormerBackend(registration_number, sequence, service, is_draining)
        while len(self.former) > self.MAXIMUM_FORMER_BACKENDS:
            del self.former[next(iter(self.former))]

    def forget(self, backend_id: BackendId) -> None:
        """Delete all data on a backend that was removed permanently."""
        self.present.pop(backend_id, None)
        self.former.pop(backend_id, None)

    def stored(self) -> StoredRegistrations:
        """Return the state for a snapshot."""
        return StoredRegistrations(self.count, dict(self.present), dict(self.former))

    def restore(self, stored: StoredRegistrations) -> None:
        """Replace the state with that of a snapshot."""
        self.count = stored.count
        self.present = dict(stored.present)
        self.former = dict(stored.former)
