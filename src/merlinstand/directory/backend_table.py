"""Back ends that register themselves: what the control group agreed on about them.

Relies on `former_backends` for which of two incarnations at one address is older, and on
`returned_backends` for whose own report of being warm counts. Runs on every control replica.
"""

from collections.abc import Collection, Iterable

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId
from merlinstand.directory.commands import (
    AssumeCold,
    ExpireBackend,
    PutBackend,
    PutBackends,
    RemoveBackend,
)
from merlinstand.directory.former_backends import FormerBackend, RegistrationHistory
from merlinstand.directory.heartbeat_rules import MAXIMUM_HEARTBEAT_DELAY_SECONDS
from merlinstand.directory.returned_backends import ReturnedBackends

BackendCommand = PutBackend | PutBackends | RemoveBackend | ExpireBackend | AssumeCold
"""Commands of the log that concern back ends."""


class ChangedBackend(msgspec.Struct, frozen=True):
    """A back end that came, changed or went."""

    backend_id: BackendId
    service: str


class BackendTable:
    """Registered back ends; part of the replicated directory, so deterministic."""

    MAXIMUM_REMOVED_IDS = 4_096
    """Removed ids remembered, so that a late heartbeat brings none of them back; chosen, not
    measured."""

    def __init__(self) -> None:
        """Begin empty."""
        self.backends: dict[BackendId, Backend] = {}
        self.sequences: dict[BackendId, int] = {}
        """Newest heartbeat that changed something."""
        self.removed: dict[BackendId, None] = {}
        self.registrations = RegistrationHistory()
        self.unconfirmed = ReturnedBackends()
        self._by_address: dict[str, BackendId] = {}
        self._touched: list[ChangedBackend] = []

    def restore(self, backends: Iterable[Backend], sequences: dict[BackendId, int]) -> None:
        """Replace the back ends by those of a snapshot."""
        self.backends = {backend.backend_id: backend for backend in backends}
        self.sequences = dict(sequences)
        self._by_address = {b.address: b.backend_id for b in self.backends.values()}

    def apply(self, command: BackendCommand, group_time: float) -> None:
        """Apply a committed command; `take_touched` gives what it changed.

        Args:
            command: What was agreed.
            group_time: Group time of its proposal in seconds.
        """
        match command:
            case PutBackend():
                self.put(command.backend, command.sequence, group_time)
            case PutBackends():
                for change in command.changes:
                    self.put(change.backend, change.sequence, group_time)
            case RemoveBackend():
                self.remove(command.backend_id)
            case ExpireBackend():
                self.expire(command.backend_id)
            case AssumeCold():
                self.assume_cold(command.backend_ids, group_time)

    def take_changed(self) -> list[ChangedBackend]:
        """Give the back ends that came, changed or went since the last time."""
        touched, self._touched = self._touched, []
        return touched

    def holder_of(self, address: str) -> BackendId | None:
        """The back end that is registered at an address."""
        return self._by_address.get(address)

    def service_of(self, backend_id: BackendId) -> str:
        """Service of a back end that is registered and doesn't leave; empty for any other."""
        backend = self.backends.get(backend_id)
        return "" if backend is None or backend.is_draining else backend.service

    def would_change(self, backend: Backend, sequence: int) -> bool:
        """Whether a heartbeat reports anything that is not agreed yet."""
        if backend.backend_id in self.removed:
            return False
        present = self.backends.get(backend.backend_id)
        if present is None:
            holder = self.holder_of(backend.address)
            return self.registrations.may_register(backend.backend_id, sequence, holder)
        if sequence <= self.sequences.get(backend.backend_id, -1):
            return False
        is_awaited = self.unconfirmed.is_unconfirmed(backend.backend_id)
        return is_awaited or _merged(present, backend) != present

    def put(self, backend: Backend, sequence: int, group_time: float = 0.0) -> None:
        """Take a heartbeat's content in, unless it is a late one.

        Args:
            backend: What it reports.
            sequence: Its number.
            group_time: When it was taken in, in seconds.
        """
        if not self.would_change(backend, sequence):
            return
        backend_id = backend.backend_id
        present = self.backends.get(backend_id)
        if present is None:
            backend = _returned(backend, self.registrations.record_registration(backend_id))
        if not self.unconfirmed.record_heartbeat(backend_id, sequence, group_time):
            backend = msgspec.structs.replace(backend, is_cold=True)
        if present is not None and _merged(present, backend) == present:
            self.sequences[backend_id] = sequence
            return
        # One address, one server: whoever had it before is gone, unless this one expires.
        before = self._by_address.get(backend.address, backend_id)
        if before != backend_id:
            self.expire(before)
        if present is not None and present.address != backend.address:
            self._by_address.pop(present.address, None)
        self._by_address[backend.address] = backend_id
        self.backends[backend_id] = backend if present is None else _merged(present, backend)
        self._touched.append(ChangedBackend(backend_id, backend.service))
        self.sequences[backend_id] = sequence

    def mark_zone_returned(self, zone: str, services: Collection[str], group_time: float) -> None:
        """The servers of a zone are used again: some services' are cold until they say otherwise.

        Args:
            zone: The zone.
            services: Services whose cold servers bear only some requests a second.
            group_time: Present time in seconds.
        """
        for backend_id, backend in self.backends.items():
            if backend.zone != zone or backend.service not in services:
                continue
            self.unconfirmed.add(backend_id, group_time)
            if not backend.is_cold:
                self.backends[backend_id] = msgspec.structs.replace(backend, is_cold=True)
                self._touched.append(ChangedBackend(backend_id, backend.service))

    def assume_cold(self, backend_ids: Iterable[BackendId], group_time: float) -> None:
        """Note that some silent back ends may be cold, until they say otherwise.

        The first heartbeat after the silence doesn't count: it may be an older one that a cut held
        back. They were silent for long enough, so the second one does.
        """
        for backend_id in backend_ids:
            present = self.backends.get(backend_id)
            if present is not None and not present.is_cold:
                self.unconfirmed.add(backend_id, group_time - MAXIMUM_HEARTBEAT_DELAY_SECONDS)
                self.backends[backend_id] = msgspec.structs.replace(present, is_cold=True)
                self._touched.append(ChangedBackend(backend_id, present.service))

    def remove(self, backend_id: BackendId) -> None:
        """Forget a back end for good."""
        self.removed[backend_id] = None
        while len(self.removed) > self.MAXIMUM_REMOVED_IDS:
            del self.removed[next(iter(self.removed))]
        self.expire(backend_id)
        self.registrations.forget(backend_id)

    def expire(self, backend_id: BackendId) -> None:
        """Forget a silent back end, which may register again."""
        sequence = self.sequences.pop(backend_id, -1)
        self.unconfirmed.forget(backend_id)
        backend = self.backends.pop(backend_id, None)
        if backend is None:
            return
        self.registrations.record_expiry(backend_id, sequence, backend.service, backend.is_draining)
        if self._by_address.get(backend.address) == backend_id:
            del self._by_address[backend.address]
        self._touched.append(ChangedBackend(backend_id, backend.service))


def _returned(heard: Backend, former: FormerBackend | None) -> Backend:
    """What is registered of a back end that comes, or comes back: see `_merged`."""
    if former is None:
        return heard
    is_leaving = former.is_draining or heard.is_draining
    return msgspec.structs.replace(heard, is_draining=is_leaving, service=former.service)


def _merged(present: Backend, heard: Backend) -> Backend:
    """What a newer heartbeat makes of a registration: leaving can't be taken back, and one
    incarnation serves one service."""
    is_leaving = present.is_draining or heard.is_draining
    return msgspec.structs.replace(heard, is_draining=is_leaving, service=present.service)
