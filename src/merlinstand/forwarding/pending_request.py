"""State that `forwarder` keeps of each pending non-streaming request and its attempts."""

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.requests import Answered
from merlinstand.common.ids import CallId
from merlinstand.decisions.hedging import is_hedge_allowed
from merlinstand.forwarding.pending_tries import PendingAttempts
from merlinstand.forwarding.server_picker import Target


class Attempt(msgspec.Struct, frozen=True):
    """A running attempt."""

    target: Target
    started_at: float


class PendingRequest(PendingAttempts):
    """A pending non-streaming request."""

    running: dict[CallId, Attempt] = msgspec.field(default_factory=dict)
    server_errors: int = 0
    """Number of responses with status 500."""
    was_hedge_withheld: bool = False
    """Whether a hedge was withheld before the target latency had passed."""
    last_error_response: Answered | None = None

    def unresponsive_backends(self) -> list[Backend]:
        """Return the backends of the running attempts; called once the attempts take too long."""
        return [attempt.target.backend for attempt in self.running.values()]

    def is_hedge_allowed(self) -> bool:
        """Return whether a hedge may be sent while another attempt is running."""
        return is_hedge_allowed(self.request.route, len(self.running), self.has_attempts_left())
