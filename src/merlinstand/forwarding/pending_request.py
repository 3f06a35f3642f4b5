"""A whole request on its way, and its tries: the state that `forwarder` keeps of each."""

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.requests import Answered
from merlinstand.common.ids import CallId
from merlinstand.decisions.hedging import is_hedge_allowed
from merlinstand.forwarding.pending_tries import PendingTries
from merlinstand.forwarding.server_picker import Target


class Attempt(msgspec.Struct, frozen=True):
    """A try without an answer."""

    target: Target
    started_at: float


class PendingRequest(PendingTries):
    """A request on its way."""

    running: dict[CallId, Attempt] = msgspec.field(default_factory=dict)
    failed_answers: int = 0
    """Answers of 500."""
    is_hedge_late: bool = False
    """Whether a second try was withheld before its aim was missed."""
    last_error_answer: Answered | None = None

    def silent_backends(self) -> list[Backend]:
        """Back ends where a try is under way; asked for once it has taken too long."""
        return [attempt.target.backend for attempt in self.running.values()]

    def may_hedge(self) -> bool:
        """Whether it may get a second try beside the running one."""
        return is_hedge_allowed(self.request.route, len(self.running), self.has_tries_left())
