"""The replicated table of registered backends.

A cold backend, such as one that has just started, may be limited to a low request rate; a backend
reports when it is warm. `former_backends` decides which of two incarnations at one address is
older, `returned_backends` whether a backend's report of being warm is reliable. Runs on every
control replica.
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
"""Log commands about backends."""


class ChangedBackend(msgspec.Struct, frozen=True):
    """A backend that was added, changed or removed."""

    backend_id: BackendId
    service: str


class BackendTable:
    """Registered backends.

    Part of the replicated state: its methods are deterministic.
    """

    MAXIMUM_REMOVED_IDS = 4_096
    """Number of removed backends whose ids are kept, so that a delayed heartbeat doesn't register
    a removed backend again."""

    def __init__(self) -> None:
        self.backends: dict[BackendId, Backend] = {}
        self.sequences: dict[BackendId, int] = {}
        """By backend: sequence number of the newest heartbeat that changed the registration."""
        self.removed: dict[BackendId, None] = {}
        self.registrations = RegistrationHistory()
        self.unconfirmed = ReturnedBackends()
        self._by_address: dict[str, BackendId] = {}
        self._changed: list[ChangedBackend] = []

    def restore(self, backends: Iterable[Backend], sequences: dict[BackendId, int]) -> None:
        """Replace the backends with those of a snapshot."""
        self.backends = {backend.backend_id: backend for backend in backends}
        self.sequences = dict(sequences)
        self._by_address = {b.address: b.backend_id for b in self.backends.values()}

    def apply(self, command: BackendCommand, group_time: float) -> None:
        """Apply a committed command; `take_changed` returns the backends that it changed.

        Args:
            command: The committed command.
            group_time: Time of the command's proposal by the group's replicated clock, in seconds.
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
        """Return the backends that were added, changed or removed since the last call."""
        changed, self._changed = self._changed, []
        return changed

    def holder_of(self, address: str) -> BackendId | None:
        """Return the backend that is registered at an address."""
        return self._by_address.get(address)

    def service_of(self, backend_id: BackendId) -> str:
        """Return the service of a registered backend; empty if it is unknown or draining."""
        backend = self.backends.get(backend_id)
        return "" if backend is None or backend.is_draining else backend.service

    def would_change(self, backend: Backend, sequence: int) -> bool:
        """Return whether a heartbeat would change the table."""
        if backend.backend_id in self.removed:
            return False
        registered = self.backends.get(backend.backend_id)
        if registered is None:
            holder = self.holder_of(backend.address)
            return self.registrations.may_register(backend.backend_id, sequence, holder)
        if sequence <= self.sequences.get(backend.backend_id, -1):
            return False
        is_unconfirmed = self.unconfirmed.is_unconfirmed(backend.backend_id)
        return is_unconfirmed or _merge_registered(registered, backend) != registered

    def put(self, backend: Backend, sequence: int, group_time: float = 0.0) -> None:
        """Apply a heartbeat, unless it is outdated.

        Args:
            backend: The backend as reported.
            sequence: Sequence number of the heartbeat.
            group_time: Time of the heartbeat's proposal by the group's replicated clock, in
                seconds.
        """
        if not self.would_change(backend, sequence):
            return
        backend_id = backend.backend_id
        registered = self.backends.get(backend_id)
        if registered is None:
            backend = _merge_former(backend, self.registrations.record_registration(backend_id))
        if not self.unconfirmed.record_heartbeat(backend_id, sequence, group_time):
            backend = msgspec.structs.replace(backend, is_cold=True)
        if registered is not None and _merge_registered(registered, backend) == registered:
            self.sequences[backend_id] = sequence
            return
        # The previous holder of the address is assumed to have ended. The holder is expired rather
        # than removed, so that it can register again if this backend expires.
        previous = self._by_address.get(backend.address, backend_id)
        if previous != backend_id:
            self.expire(previous)
        if registered is not None and registered.address != backend.address:
            self._by_address.pop(registered.address, None)
        self._by_address[backend.address] = backend_id
        self.backends[backend_id] = (
            backend if registered is None else _merge_registered(registered, backend)
        )
        self._changed.append(ChangedBackend(backend_id, backend.service))
        self.sequences[backend_id] = sequence

    def mark_zone_returned(self, zone: str, services: Collection[str], group_time: float) -> None:
        """Mark the backends of a zone whose evacuation ended as cold until they report being warm.

        Args:
            zone: The zone.
            services: Services that limit the request rate of cold backends. Backends of other
                services are not changed.
            group_time: Time by the group's replicated clock, in seconds.
        """
        for backend_id, backend in self.backends.items():
            if backend.zone != zone or backend.service not in services:
                continue
            self.unconfirmed.add(backend_id, group_time)
            if not backend.is_cold:
                self.backends[backend_id] = msgspec.structs.replace(backend, is_cold=True)
                self._changed.append(ChangedBackend(backend_id, backend.service))

    def assume_cold(self, backend_ids: Iterable[BackendId], group_time: float) -> None:
        """Mark backends without recent heartbeats as cold until they report being warm.

        A report of being warm in the first heartbeat after the gap is ignored, since that heartbeat
        may have been sent before the gap and delayed by a network partition. A report in the second
        heartbeat counts: the gap was longer than a heartbeat can be delayed.
        """
        for backend_id in backend_ids:
            registered = self.backends.get(backend_id)
            if registered is not None and not registered.is_cold:
                self.unconfirmed.add(backend_id, group_time - MAXIMUM_HEARTBEAT_DELAY_SECONDS)
                self.backends[backend_id] = msgspec.structs.replace(registered, is_cold=True)
                self._changed.append(ChangedBackend(backend_id, registered.service))

    def remove(self, backend_id: BackendId) -> None:
        """Remove a backend permanently: it can't register again."""
        self.removed[backend_id] = None
        while len(self.removed) > self.MAXIMUM_REMOVED_IDS:
            del self.removed[next(iter(self.removed))]
        self.expire(backend_id)
        self.registrations.forget(backend_id)

    def expire(self, backend_id: BackendId) -> None:
        """Remove a backend that sends no heartbeats; it may register again."""
        sequence = self.sequences.pop(backend_id, -1)
        self.unconfirmed.forget(backend_id)
        backend = self.backends.pop(backend_id, None)
        if backend is None:
            return
        self.registrations.record_expiry(backend_id, sequence, backend.service, backend.is_draining)
        if self._by_address.get(backend.address) == backend_id:
            del self._by_address[backend.address]
        self._changed.append(ChangedBackend(backend_id, backend.service))


def _merge_former(reported: Backend, former: FormerBackend | None) -> Backend:
    """Return the registration of a new or returning backend.

    A returning backend stays draining and keeps its service, as in `_merge_registered`.
    """
    if former is None:
        return reported
    is_draining = former.is_draining or reported.is_draining
    return msgspec.structs.replace(reported, is_draining=is_draining, service=former.service)


def _merge_registered(registered: Backend, reported: Backend) -> Backend:
    """Return a registration updated by a newer heartbeat.

    Draining can't be undone, and an incarnation never changes its service.
    """
    is_draining = registered.is_draining or reported.is_draining
    return msgspec.structs.replace(reported, is_draining=is_draining, service=registered.service)
