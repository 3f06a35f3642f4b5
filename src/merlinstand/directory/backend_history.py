"""Which back ends changed lately, so that a daemon is sent only those that it lacks.

Owns the newest changes by log position. Soft state of one control replica: rebuilt from nothing
after a restart, when everybody who asks is sent all back ends once more.
"""

from collections import deque

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId

MAXIMUM_HISTORY_CHANGES = 2_048
"""Changes remembered: about ten times what one day of 200 machines brings. A daemon that is further
behind is sent all back ends."""


class BackendChanges(msgspec.Struct, frozen=True):
    """How a newer state differs from an older one."""

    changed: tuple[Backend, ...]
    """New ones, and those whose registration changed."""
    removed: tuple[BackendId, ...]


class BackendHistory:
    """The newest changes, by the log positions that made them."""

    def __init__(self, revision: int = 0) -> None:
        """Begin with a state whose changes are not known.

        Args:
            revision: Log position of its newest change.
        """
        self._known_from = revision
        """All changes after this position are here."""
        self._changes: deque[tuple[int, BackendId]] = deque()

    def record(self, revision: int, backend_id: BackendId) -> None:
        """A back end came, changed or went."""
        self._changes.append((revision, backend_id))
        while len(self._changes) > MAXIMUM_HISTORY_CHANGES:
            self._known_from, _backend_id = self._changes.popleft()

    def changes_since(
        self, revision: int, present: dict[BackendId, Backend]
    ) -> BackendChanges | None:
        """Give what changed after a log position; None if that isn't known any more.

        Args:
            revision: What the asker holds.
            present: All back ends as they are now.
        """
        if revision < self._known_from:
            return None
        names = dict.fromkeys(name for position, name in self._changes if position > revision)
        changed = tuple(present[name] for name in names if name in present)
        gone = tuple(name for name in names if name not in present)
        return BackendChanges(changed, gone)
