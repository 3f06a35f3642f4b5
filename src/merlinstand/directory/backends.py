"""Back ends that register themselves: what is agreed of them."""

from collections.abc import Iterable

import msgspec

from merlinstand.common.ids import BackendId


class HeldModel(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A model that an engine holds, with its weight version."""

    name: str
    version: int


class Backend(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of a server, as it registered itself."""

    backend_id: BackendId
    """New at every start of the server."""
    service: str
    address: str
    """`ip:port`."""
    zone: str = ""
    slots: int = 0
    """Requests that it works on at once."""
    is_leaving: bool = False
    """Takes no new requests any more."""
    models: tuple[HeldModel, ...] = ()
    is_cold: bool = False
    """Bears only some requests a second yet, as after a start."""

    def version_of(self, model: str) -> int:
        """The weight version it reported of a model; 0 if it doesn't hold it."""
        for held in self.models:
            if held.name == model:
                return held.version
        return 0


class Touched(msgspec.Struct, frozen=True):
    """A back end that came, changed or went."""

    backend_id: BackendId
    service: str


class BackendTable:
    """Registered back ends; part of the replicated directory, so deterministic."""

    REMOVED_LIMIT = 4_096
    """Removed ids remembered, so that a late heartbeat brings none of them back."""

    def __init__(self) -> None:
        """Begin empty."""
        self.backends: dict[BackendId, Backend] = {}
        self.sequences: dict[BackendId, int] = {}
        """Newest heartbeat that changed something."""
        self.removed: dict[BackendId, None] = {}
        self._by_address: dict[str, BackendId] = {}
        self._touched: list[Touched] = []

    def restore(self, backends: Iterable[Backend], sequences: dict[BackendId, int]) -> None:
        """Replace the back ends by those of a snapshot."""
        self.backends = {backend.backend_id: backend for backend in backends}
        self.sequences = dict(sequences)
        self._by_address = {b.address: b.backend_id for b in self.backends.values()}

    def take_touched(self) -> list[Touched]:
        """Give the back ends that came, changed or went since the last time."""
        touched, self._touched = self._touched, []
        return touched

    def would_change(self, backend: Backend, sequence: int) -> bool:
        """Whether a heartbeat tells anything that is not agreed yet."""
        if backend.backend_id in self.removed:
            return False
        present = self.backends.get(backend.backend_id)
        if present is None:
            return True
        if sequence <= self.sequences.get(backend.backend_id, -1):
            return False
        return _merged(present, backend) != present

    def put(self, backend: Backend, sequence: int) -> bool:
        """Take a heartbeat's content in; tells whether anything changed."""
        if not self.would_change(backend, sequence):
            return False
        backend_id = backend.backend_id
        present = self.backends.get(backend_id)
        # One address, one server: whoever had it before is gone.
        before = self._by_address.get(backend.address, backend_id)
        if before != backend_id:
            self.remove(before)
        if present is not None and present.address != backend.address:
            self._by_address.pop(present.address, None)
        self._by_address[backend.address] = backend_id
        self.backends[backend_id] = backend if present is None else _merged(present, backend)
        self._touched.append(Touched(backend_id, backend.service))
        self.sequences[backend_id] = sequence
        return True

    def take_for_cold(self, backend_ids: Iterable[BackendId]) -> None:
        """Note that some back ends may be cold, until newer heartbeats of theirs say otherwise."""
        for backend_id in backend_ids:
            present = self.backends.get(backend_id)
            if present is not None and not present.is_cold:
                self.backends[backend_id] = msgspec.structs.replace(present, is_cold=True)
                self._touched.append(Touched(backend_id, present.service))

    def remove(self, backend_id: BackendId) -> bool:
        """Forget a back end for good; tells whether it was there."""
        self.removed[backend_id] = None
        while len(self.removed) > self.REMOVED_LIMIT:
            del self.removed[next(iter(self.removed))]
        return self.expire(backend_id)

    def expire(self, backend_id: BackendId) -> bool:
        """Forget a silent back end, which may register again."""
        self.sequences.pop(backend_id, None)
        backend = self.backends.pop(backend_id, None)
        if backend is None:
            return False
        if self._by_address.get(backend.address) == backend_id:
            del self._by_address[backend.address]
        self._touched.append(Touched(backend_id, backend.service))
        return True


def _merged(present: Backend, heard: Backend) -> Backend:
    """What a newer heartbeat makes of a registration: leaving can't be taken back, and one
    incarnation serves one service."""
    is_leaving = present.is_leaving or heard.is_leaving
    return msgspec.structs.replace(heard, is_leaving=is_leaving, service=present.service)
