"""Evacuated zones as known to a daemon, and their effect on backends.

A backend of an evacuated zone is shown as draining. All components that send requests already
respect draining, so no separate rule is needed: the backend is sent no new requests, and its
running requests may complete. Runs in every gateway and keeper as part of the directory's follower.
"""

from collections.abc import Collection

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.kernel.effects import Effect, LogEvent


class EvacuatedZones:
    """The evacuated zones that one daemon knows."""

    def __init__(self) -> None:
        self.zones: frozenset[str] = frozenset()
        self.revision = -1

    def update(
        self, evacuated: Collection[str] | None, revision: int, has_backends: bool
    ) -> list[Effect]:
        """Apply an update of the evacuated zones unless the known state is as new.

        Args:
            evacuated: Zones sent by the control leader; None if the update doesn't contain any.
            revision: Log position of the newest change of the evacuated zones.
            has_backends: Whether this daemon holds the backends that were sent with these zones. If
                not, zones are only added: a zone whose evacuation has ended may have cold backends,
                which this daemon doesn't know yet.
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
        """Return the backend as shown to senders: draining if its zone is evacuated."""
        if backend.zone not in self.zones or backend.is_draining:
            return backend
        return msgspec.structs.replace(backend, is_draining=True)

    def are_all_evacuated(self, backends: Collection[Backend]) -> bool:
        """Whether all backends that aren't draining (at least one) are in evacuated zones."""
        serving = [backend for backend in backends if not backend.is_draining]
        return bool(serving) and all(backend.zone in self.zones for backend in serving)
