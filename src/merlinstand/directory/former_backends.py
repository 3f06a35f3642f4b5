"""Which of two incarnations at one address came first, and what was agreed of those that are gone.

A heartbeat that a cut held back may arrive after its sender has crashed and the next incarnation
has registered at the same address. Incarnations follow one another at an address, so that one which
was known before the present one is older, and its heartbeat is late. It may come back only once the
address is free: should the present one be the wrong one after all, it falls silent and expires.
The rule itself is in `heartbeat_rules`. Runs on every control replica, as part of the table of back
ends.
"""

import msgspec

from merlinstand.common.ids import BackendId
from merlinstand.directory.heartbeat_rules import may_reregister


class FormerBackend(msgspec.Struct, frozen=True, array_like=True):
    """A back end that is not registered any more."""

    registration_number: int
    """Counts the back ends in the order in which they first came."""
    sequence: int
    """Newest heartbeat that had changed something."""
    service: str
    is_draining: bool


class StoredRegistrations(msgspec.Struct, frozen=True):
    """What a snapshot holds of all this."""

    count: int = 0
    present: dict[BackendId, int] = {}
    former: dict[BackendId, FormerBackend] = {}


class RegistrationHistory:
    """The order of all back ends; part of the replicated directory, so deterministic."""

    MAXIMUM_FORMER_BACKENDS = 4_096
    """Former back ends remembered, the oldest ones are forgotten: as many as removed ids."""

    def __init__(self) -> None:
        """Begin with nobody known."""
        self.count = 0
        self.present: dict[BackendId, int] = {}
        self.former: dict[BackendId, FormerBackend] = {}

    def may_register(self, backend_id: BackendId, sequence: int, holder: BackendId | None) -> bool:
        """Whether a heartbeat may register a back end that isn't registered.

        Args:
            backend_id: Whose heartbeat it is.
            sequence: Its number.
            holder: The registered back end at the same address, if there is one.
        """
        former = self.former.get(backend_id)
        if former is None:
            return True
        holder_arrival = None if holder is None else self.present.get(holder, 0)
        return may_reregister(sequence, former.sequence, former.registration_number, holder_arrival)

    def record_registration(self, backend_id: BackendId) -> FormerBackend | None:
        """A back end is registered; gives what was agreed of it before, if it was known."""
        former = self.former.pop(backend_id, None)
        if former is None:
            self.count += 1
        self.present[backend_id] = self.count if former is None else former.registration_number
        return former

    def record_expiry(
        self, backend_id: BackendId, sequence: int, service: str, is_draining: bool
    ) -> None:
        """A back end is registered no more, and may come back."""
        arrival = self.present.pop(backend_id, 0)
        self.former[backend_id] = FormerBackend(arrival, sequence, service, is_draining)
        while len(self.former) > self.MAXIMUM_FORMER_BACKENDS:
            del self.former[next(iter(self.former))]

    def forget(self, backend_id: BackendId) -> None:
        """A back end never comes back."""
        self.present.pop(backend_id, None)
        self.former.pop(backend_id, None)

    def stored(self) -> StoredRegistrations:
        """Give what a snapshot holds."""
        return StoredRegistrations(self.count, dict(self.present), dict(self.former))

    def restore(self, stored: StoredRegistrations) -> None:
        """Replace everything by what a snapshot held."""
        self.count = stored.count
        self.present = dict(stored.present)
        self.former = dict(stored.former)
