"""The tries of a request on its way: what whole requests and streams have in common."""

from http import HTTPStatus

import msgspec

from merlinstand.common.ids import BackendId
from merlinstand.decisions.rejection import Reason
from merlinstand.decisions.retry import has_attempts_left
from merlinstand.forwarding.send_control import TryEnd
from merlinstand.quarantine.request_digest import RequestWithDigest


class PendingTries(RequestWithDigest):
    """A request on its way, and where it has been."""

    tried: set[BackendId] = msgspec.field(default_factory=set)
    tries: int = 0
    sent: int = 0
    """Tries that ran or may have run."""
    not_run: int = 0
    """Tries that a server said it has not run."""
    turned_away: int = 0
    """Those of them for which it had no room."""
    has_paused: bool = False
    """Whether it has waited for a server that turned it away."""
    may_have_run: bool = False
    last_reason: str = ""
    probed_backend: BackendId | None = None
    """Server at which its last try broke off, while that is asked for a sign of life."""

    @property
    def attempts(self) -> int:
        """Tries that reached a server."""
        return self.sent + self.not_run

    def has_tries_left(self) -> bool:
        """Whether it may be sent once more."""
        return has_attempts_left(self.request.route, self.sent, self.tries - self.turned_away)

    def note_begun(self, backend_id: BackendId) -> None:
        """A try goes to a server."""
        self.tried.add(backend_id)
        self.tries += 1
        self.sent += 1

    def note_unconnected(self) -> None:
        """A try never connected: it ran nothing."""
        self.sent -= 1

    def note_not_run(self, status: int) -> TryEnd:
        """A server said that it has not run the last try.

        Args:
            status: Of its answer; 421 comes from another server than the expected one, and tells
                nothing of its room.
        """
        self.sent -= 1
        self.not_run += 1
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            self.last_reason = f"not_run_{status}"
            return TryEnd.BROKEN_OFF
        self.turned_away += 1
        self.last_reason = Reason.OVERLOADED
        return TryEnd.TURNED_AWAY

    def pause(self) -> None:
        """It waits for servers that turned it away, and may go to all of them again."""
        self.has_paused = True
        self.tried.clear()
