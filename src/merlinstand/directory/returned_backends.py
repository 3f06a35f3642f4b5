"""Backends that returned to service and count as cold until a reliable heartbeat says otherwise.

A cold backend may be limited to a low request rate, as after a start. After the evacuation of its
zone or a gap in its heartbeats, a backend may have become cold for lack of requests. A heartbeat
may arrive seconds after it was sent, so a report of being warm may predate the return;
`heartbeat_rules` decides which report is reliable. Runs on every control replica, as part of the
backend table.
"""

import msgspec

from merlinstand.common.ids import BackendId
from merlinstand.directory.heartbeat_rules import is_warm_report_reliable


class ReturnedBackend(msgspec.Struct):
    """A backend whose reports of being warm are not reliable yet."""

    since: float
    """Group time (the consensus group's replicated clock) of the return, in seconds."""
    first_sequence: int = -1
    """Sequence number of the first heartbeat applied after the return; -1 before that."""


class ReturnedBackends:
    """Backends whose reports of being warm are not reliable yet.

    Part of the replicated state: its methods are deterministic. Bounded by the number of registered
    backends.
    """

    def __init__(self) -> None:
        self.backends: dict[BackendId, ReturnedBackend] = {}

    def add(self, backend_id: BackendId, group_time: float) -> None:
        """Add a backend that returns to service at a group time."""
        self.backends[backend_id] = ReturnedBackend(group_time)

    def is_unconfirmed(self, backend_id: BackendId) -> bool:
        """Return whether a backend's reports of being warm are not reliable yet."""
        return backend_id in self.backends

    def forget(self, backend_id: BackendId) -> None:
        """Delete a backend that is no longer registered."""
        self.backends.pop(backend_id, None)

    def record_heartbeat(self, backend_id: BackendId, sequence: int, group_time: float) -> bool:
        """Record a newer heartbeat; returns whether its report of being warm or cold counts."""
        returned = self.backends.get(backend_id)
        if returned is None:
            return True
        is_first = returned.first_sequence < 0
        if is_first:
            returned.first_sequence = sequence
        if not is_warm_report_reliable(returned.since, is_first, group_time):
            return False
        del self.backends[backend_id]
        return True
