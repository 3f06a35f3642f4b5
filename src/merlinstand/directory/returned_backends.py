"""Back ends whose zone was taken back, or that were silent: cold until they surely say otherwise.

They had no requests for a while and may have become cold. A heartbeat may arrive seconds after it
was sent, so one that reports a warm server may be older than the return; `heartbeat_rules` says
which one counts. Runs on every control replica, as part of the table of back ends.
"""

import msgspec

from merlinstand.common.ids import BackendId
from merlinstand.directory.heartbeat_rules import is_warm_report_reliable


class ReturnedBackend(msgspec.Struct):
    """A back end whose own report of being warm does not count yet."""

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
        self.backends: dict[BackendId, ReturnedBackend] = {}

    def add(self, backend_id: BackendId, group_time: float) -> None:
        """A back end's zone was taken back."""
        self.backends[backend_id] = ReturnedBackend(group_time)

    def is_unconfirmed(self, backend_id: BackendId) -> bool:
        """Whether a back end's own report of being warm does not count yet."""
        return backend_id in self.backends

    def forget(self, backend_id: BackendId) -> None:
        """A back end is gone."""
        self.backends.pop(backend_id, None)

    def record_heartbeat(self, backend_id: BackendId, sequence: int, group_time: float) -> bool:
        """Take a newer heartbeat in; gives whether what it says of a cold server counts."""
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
