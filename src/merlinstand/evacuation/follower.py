"""Evacuated zones as known to a daemon, and their effect on backends.

A backend of an evacuated zone is shown as draining. All components that send requests already
respect draining, so no second rule is needed: nothing new is sent there, and running requests may
complete. Runs in every gateway and keeper as part of the directory's follower.
"""

from collections.abc import Collection

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.kernel.effects import Effect, LogEvent


class EvacuatedZones:
    """The evacuated zones that one daemon knows."""

    def __init__(self) -> None:
        """Create without evacuated zones."""
        self.zones: frozenset[str] = frozenset()
        self.revision = -1

    def update(
        self, evacuated: Collection[str] | None, revision: int, has_backends: bool
    ) -> list[Effect]:
        """Apply an update of the evacuated zones unless it is older than the present ones.

        Args:
            evacuated: Zones sent by the control leader; None if the update doesn't contain them.
            revision: Log position of their newest change.
            has_backends: Whether this daemon holds the backends that were sent with them. If not,
                no evacuation ends yet, because it is unknown which backends of the zone are cold.
        """
        if evacuated is None or revision <= self.revision:
            return []
        zones = frozenset(evacuated)
        if has_backends:
            self.revision = revision
        else:
            zones |= self.zones
        if zones == self.zones:
            return []
        self.zones = zones
        fields = {"zones": ",".join(sorted(zones)), "revision": revision}
        return [LogEvent("directory.evacuated", fields)]

    def apply_to(self, backend: Backend) -> Backend:
        """Return a backend as shown to components that send requests."""
        if backend.zone not in self.zones or backend.is_draining:
            return backend
        return msgspec.structs.replace(backend, is_draining=True)

    def are_all_evacuated(self, backends: Collection[Backend]) -> bool:
        """Whether there are usable backends, all of them in evacuated zones."""
        serving = [backend for backend in backends if not backend.is_draining]
        return bool(serving) and all(backend.zone in self.zones for backend in serving)
