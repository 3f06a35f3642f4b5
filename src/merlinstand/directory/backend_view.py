"""A daemon's copy of the backends, indexed by service; those in evacuated zones appear as draining.

The directory's follower updates it; the code that sends requests reads it.
"""

from collections.abc import Collection, Iterable

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId
from merlinstand.evacuation.follower import EvacuatedZones
from merlinstand.kernel.effects import Effect


class BackendView:
    """All backends that one daemon knows, and the evacuated zones."""

    def __init__(self) -> None:
        self._backends: dict[BackendId, Backend] = {}
        self._by_service: dict[str, tuple[Backend, ...]] = {}
        """Cache of `of_service`, by service. An entry is dropped when one of its backends or the
        evacuated zones change."""
        self.evacuated = EvacuatedZones()
        self.revision = 0
        """Increases with every change of the backends or the evacuated zones."""

    @property
    def backends(self) -> Collection[Backend]:
        """All backends; those in evacuated zones appear as draining."""
        if not self.evacuated.zones:
            return self._backends.values()
        return [self.evacuated.apply_to(backend) for backend in self._backends.values()]

    @property
    def ids(self) -> Collection[BackendId]:
        """Ids of all backends."""
        return self._backends.keys()

    def replace_all(self, backends: Iterable[Backend]) -> None:
        """Replace all backends; the evacuated zones stay."""
        self._backends = {backend.backend_id: backend for backend in backends}
        self._by_service.clear()
        self.revision += 1

    def apply_changes(self, removed: Iterable[BackendId], changed: Iterable[Backend]) -> None:
        """Apply an update: removed backends, and those that were added or changed."""
        self.revision += 1
        for backend_id in removed:
            previous = self._backends.pop(backend_id, None)
            if previous is not None:
                self._by_service.pop(previous.service, None)
        for backend in changed:
            self._backends[backend.backend_id] = backend
            self._by_service.pop(backend.service, None)

    def update_evacuated(
        self, zones: Collection[str] | None, revision: int, has_backends: bool
    ) -> list[Effect]:
        """Update the evacuated zones; see `EvacuatedZones.update`."""
        effects = self.evacuated.update(zones, revision, has_backends)
        if effects:
            self._by_service.clear()
            self.revision += 1
        return effects

    def of_service(self, service: str) -> tuple[Backend, ...]:
        """Return the backends of a service, draining ones included."""
        cached = self._by_service.get(service)
        if cached is None:
            cached = tuple(
                self.evacuated.apply_to(backend) for backend in self._registered(service)
            )
            self._by_service[service] = cached
        return cached

    def is_evacuated(self, service: str) -> bool:
        """Return whether all usable backends of a service are in evacuated zones."""
        if not self.evacuated.zones or any(not b.is_draining for b in self.of_service(service)):
            return False
        return self.evacuated.are_all_evacuated(self._registered(service))

    def _registered(self, service: str) -> list[Backend]:
        return [b for b in self._backends.values() if b.service == service]
