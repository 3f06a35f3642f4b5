"""Which start of a server a crash belongs to, where servers start again under their id.

A server may crash twice under one request and have the same id both times; these are two crashes.
So a crash is noted under the id and the time of that start, as far as a heartbeat has told it. The
newest starts are soft state of each control replica: daemons report ids, and the leader completes
them. A report that comes only after the next start is taken for one of that start.
"""

from msgspec.structs import replace

from merlinstand.common.ids import BackendId
from merlinstand.quarantine.messages import BackendCrash, SuspectReport, UnansweredAttempts

STARTS_LIMIT = 8_192
"""Servers whose newest start is remembered, those that started longest ago are forgotten first:
twice as many as there are at the target size; 1 MB."""
_SEPARATOR = "@"


def incarnation_id(backend_id: BackendId, born_ms: int) -> BackendId:
    """Name one start of a server.

    Args:
        backend_id: The server's id.
        born_ms: When it started, in Unix milliseconds; 0 if it doesn't say.
    """
    return BackendId(f"{backend_id}{_SEPARATOR}{born_ms}") if born_ms else backend_id


def has_start(incarnation: BackendId) -> bool:
    """Whether a name tells the time of the start: the server may have started again since."""
    _id, separator, born = incarnation.rpartition(_SEPARATOR)
    return bool(separator) and born.isascii() and born.isdigit()


def server_of(incarnation: BackendId) -> BackendId:
    """Give the id of the server that a name is of."""
    return (
        BackendId(incarnation.rpartition(_SEPARATOR)[0]) if has_start(incarnation) else incarnation
    )


class Incarnations:
    """The newest start of each server that one control replica heard of."""

    def __init__(self) -> None:
        """Begin with none known."""
        self._born_ms: dict[BackendId, int] = {}

    def note(self, backend_id: BackendId, born_ms: int) -> BackendId | None:
        """Take in when a server says that it started; gives its earlier start if that has ended.

        An earlier time than the known one comes from a heartbeat that was held back.
        """
        known = self._born_ms.get(backend_id, 0)
        if born_ms <= known:
            return None
        self._born_ms.pop(backend_id, None)
        self._born_ms[backend_id] = born_ms
        if len(self._born_ms) > STARTS_LIMIT:
            del self._born_ms[next(iter(self._born_ms))]
        return incarnation_id(backend_id, known) if known else None

    def name(self, backend_id: BackendId) -> BackendId:
        """Name the newest start of a server."""
        return incarnation_id(backend_id, self._born_ms.get(backend_id, 0))

    def complete(self, report: SuspectReport) -> SuspectReport:
        """Name the starts of the servers in a report."""
        if not self._born_ms:
            return report
        return replace(
            report,
            crashes=tuple(
                BackendCrash(self.name(c.backend_id), c.contents) for c in report.crashes
            ),
            unanswered=self._complete_tries(report.unanswered),
            in_flight=self._complete_tries(report.in_flight),
        )

    def _complete_tries(
        self, tries: tuple[UnansweredAttempts, ...]
    ) -> tuple[UnansweredAttempts, ...]:
        return tuple(UnansweredAttempts(self.name(t.backend_id), t.contents) for t in tries)
