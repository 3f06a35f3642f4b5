"""Zones to whose servers a daemon sends nothing: what it sees of their back ends.

A back end of such a zone is seen as one that leaves. All that sends heeds leaving back ends
already, so there is no second rule to forget: nothing new goes there, what runs may end. Runs in
every gateway and keeper, as part of the directory's follower.
"""

from collections.abc import Collection

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.kernel.effects import Effect, LogEvent


class EvacuatedZones:
    """The evacuated zones that one daemon knows."""

    def __init__(self) -> None:
        """Begin with none known."""
        self.zones: frozenset[str] = frozenset()
        self.revision = -1

    def update(
        self, evacuated: Collection[str] | None, revision: int, has_backends: bool
    ) -> list[Effect]:
        """Take the section in; an older one than held never replaces it.

        Args:
            evacuated: Zones that the control leader sent; None if it sent no such section.
            revision: Log position of their newest change.
            has_backends: Whether this daemon holds the back ends that were sent along with it. If
                not, no zone comes back yet: which of its servers are cold is not known here.
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
        """Give a back end as what sends requests is to see it."""
        if backend.zone not in self.zones or backend.is_draining:
            return backend
        return msgspec.structs.replace(backend, is_draining=True)

    def are_all_evacuated(self, backends: Collection[Backend]) -> bool:
        """Whether some registered back ends could be used but for the evacuated zones."""
        present = [backend for backend in backends if not backend.is_draining]
        return bool(present) and all(backend.zone in self.zones for backend in present)
