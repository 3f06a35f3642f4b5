"""Recent changes of backends by log position, so that a daemon is sent only the ones it lacks.

Kept in each control replica's memory and not part of a snapshot: after a restart, daemons are sent
all backends again.
"""

from collections import deque

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId

MAXIMUM_HISTORY_CHANGES = 2_048
"""A daemon that lacks more changes than this is sent all backends. A deployment of 200 machines has
about a tenth as many changes a day."""


class BackendChanges(msgspec.Struct, frozen=True):
    """Difference between the backends at two log positions."""

    changed: tuple[Backend, ...]
    """Backends that registered, or whose registration changed."""
    removed: tuple[BackendId, ...]


class BackendHistory:
    """The newest changes of backends, with their log positions."""

    def __init__(self, revision: int = 0) -> None:
        """Create a history that begins at a log position.

        Args:
            revision: Log position after which all changes will be recorded; earlier changes are
                unknown.
        """
        self._complete_after = revision
        """All changes after this log position are recorded."""
        self._changes: deque[tuple[int, BackendId]] = deque()

    def record(self, revision: int, backend_id: BackendId) -> None:
        """Record that a backend was added, changed or removed."""
        self._changes.append((revision, backend_id))
        while len(self._changes) > MAXIMUM_HISTORY_CHANGES:
            self._complete_after, _backend_id = self._changes.popleft()

    def changes_since(
        self, revision: int, registered: dict[BackendId, Backend]
    ) -> BackendChanges | None:
        """Return the changes after a log position; None if older ones were dropped.

        Args:
            revision: Log position up to which the daemon has all changes.
            registered: All registered backends.
        """
        if revision < self._complete_after:
            return None
        backend_ids = dict.fromkeys(b for position, b in self._changes if position > revision)
        changed = tuple(registered[b] for b in backend_ids if b in registered)
        removed = tuple(b for b in backend_ids if b not in registered)
        return BackendChanges(changed, removed)
