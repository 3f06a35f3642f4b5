"""State that `forwarder` keeps of each pending whole request and its attempts."""

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
    """A pending whole request."""

    running: dict[CallId, Attempt] = msgspec.field(default_factory=dict)
    server_errors: int = 0
    """Number of responses with status 500."""
    was_hedge_withheld: bool = False
    """Whether a hedge was withheld before the target latency had passed."""
    last_error_response: Answered | None = None

    def unresponsive_backends(self) -> list[Backend]:
        """Return the backends of the running attempts; used once these have taken too long."""
        return [attempt.target.backend for attempt in self.running.values()]

    def is_hedge_allowed(self) -> bool:
        """Return whether a hedge may be sent beside the running attempt."""
        return is_hedge_allowed(self.request.route, len(self.running), self.has_attempts_left())
