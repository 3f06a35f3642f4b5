"""The back ends that a daemon sees: those that it was sent, as leaving where zones are evacuated.

Owns the daemon's copy of the back ends and of the evacuated zones, and an index by service. Part of
the directory's follower, which takes changes in; whatever sends requests reads it.
"""

from collections.abc import Collection, Iterable

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId
from merlinstand.evacuation.follower import EvacuatedZones
from merlinstand.kernel.effects import Effect


class BackendView:
    """All back ends that one daemon knows."""

    def __init__(self) -> None:
        """Begin with none known."""
        self._backends: dict[BackendId, Backend] = {}
        self._by_service: dict[str, tuple[Backend, ...]] = {}
        """As seen; filled as services are asked for, emptied as they change."""
        self.evacuated = EvacuatedZones()
        self.revision = 0
        """Rises with every change of what is seen."""

    @property
    def backends(self) -> Collection[Backend]:
        """All of them; those of evacuated zones as leaving."""
        if not self.evacuated.zones:
            return self._backends.values()
        return [self.evacuated.apply_to(backend) for backend in self._backends.values()]

    @property
    def ids(self) -> Collection[BackendId]:
        """The ids of all of them."""
        return self._backends.keys()

    def replace_all(self, backends: Iterable[Backend]) -> None:
        """Replace all back ends."""
        self._backends = {backend.backend_id: backend for backend in backends}
        self._by_service.clear()
        self.revision += 1

    def apply_changes(self, removed: Iterable[BackendId], changed: Iterable[Backend]) -> None:
        """Take in those that went, and those that came or changed."""
        self.revision += 1
        for backend_id in removed:
            before = self._backends.pop(backend_id, None)
            if before is not None:
                self._by_service.pop(before.service, None)
        for backend in changed:
            self._backends[backend.backend_id] = backend
            self._by_service.pop(backend.service, None)

    def update_evacuated(
        self, zones: Collection[str] | None, revision: int, has_backends: bool
    ) -> list[Effect]:
        """Take in the evacuated zones: see `EvacuatedZones.take`."""
        effects = self.evacuated.update(zones, revision, has_backends)
        if effects:
            self._by_service.clear()
            self.revision += 1
        return effects

    def of_service(self, service: str) -> tuple[Backend, ...]:
        """Back ends of a service, leaving ones included."""
        known = self._by_service.get(service)
        if known is None:
            known = tuple(self.evacuated.apply_to(backend) for backend in self._registered(service))
            self._by_service[service] = known
        return known

    def is_evacuated(self, service: str) -> bool:
        """Whether only evacuated zones have servers of a service that could be used."""
        if not self.evacuated.zones or any(not b.is_draining for b in self.of_service(service)):
            return False
        return self.evacuated.are_all_evacuated(self._registered(service))

    def _registered(self, service: str) -> list[Backend]:
        return [b for b in self._backends.values() if b.service == service]
