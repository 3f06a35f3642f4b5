"""Back ends whose zone was taken back, or that were silent: cold until they surely say otherwise.

They had no requests for a while and may have become cold. A heartbeat may arrive seconds after it
was sent, so one that tells of a warm server may be older than the return. It counts once it came
some seconds after the return, and is not the first one since: a cut may hold several back, which
then come together and are taken in as one.
"""

import msgspec

from merlinstand.common.ids import BackendId

LATE_HEARTBEAT_SECONDS = 3.0
"""A heartbeat that comes this long after the return was sent after it: longer than two of the 1.2 s
between heartbeats. A server that is warm takes its full share this much later, while the other
zones go on carrying what they carried."""


class ReturnedBackend(msgspec.Struct):
    """A back end whose own word does not count yet."""

    since: float
    """Group time of the return."""
    first_sequence: int = -1
    """Of the first newer heartbeat since; -1 before there is one."""


class ReturnedBackends:
    """All of them; part of the replicated directory, so deterministic.

    Bounded by the registered back ends.
    """

    def __init__(self) -> None:
        """Begin with none."""
        self.marks: dict[BackendId, ReturnedBackend] = {}

    def begin(self, backend_id: BackendId, group_time: float) -> None:
        """A back end's zone was taken back."""
        self.marks[backend_id] = ReturnedBackend(group_time)

    def holds(self, backend_id: BackendId) -> bool:
        """Whether a back end's own word does not count yet."""
        return backend_id in self.marks

    def forget(self, backend_id: BackendId) -> None:
        """A back end is gone."""
        self.marks.pop(backend_id, None)

    def take_heartbeat(self, backend_id: BackendId, sequence: int, group_time: float) -> bool:
        """Take a newer heartbeat in; tells whether what it says of a cold server counts."""
        mark = self.marks.get(backend_id)
        if mark is None:
            return True
        if mark.first_sequence < 0:
            mark.first_sequence = sequence
            return False
        if group_time < mark.since + LATE_HEARTBEAT_SECONDS:
            return False
        del self.marks[backend_id]
        return True
