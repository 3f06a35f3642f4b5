"""A whole request on its way, and its tries: the state that `forwarder` keeps of each."""

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.requests import Answered
from merlinstand.common.ids import BackendId, CallId
from merlinstand.decisions.hedging import may_hedge
from merlinstand.decisions.retry import has_tries_left
from merlinstand.forwarding.server_picker import Target
from merlinstand.quarantine.request_digest import KnownRequest


class Attempt(msgspec.Struct, frozen=True):
    """A try without an answer."""

    target: Target
    started_at: float


class PendingRequest(KnownRequest):
    """A request on its way."""

    tried: set[BackendId] = msgspec.field(default_factory=set)
    running: dict[CallId, Attempt] = msgspec.field(default_factory=dict)
    tries: int = 0
    sent: int = 0
    """Tries that ran, may have run, or were turned away; not those that never connected."""
    may_have_run: bool = False
    failed_answers: int = 0
    """Answers of 500."""
    last_error_answer: Answered | None = None
    last_reason: str = ""
    probed_backend: BackendId | None = None
    """Server at which its last try broke off, while that is asked for a sign of life."""

    def silent_backends(self) -> list[Backend]:
        """Back ends where a try is under way; asked for once it has taken too long."""
        return [attempt.target.backend for attempt in self.running.values()]

    def has_tries_left(self) -> bool:
        """Whether it may be sent once more."""
        return has_tries_left(self.request.route, self.sent, self.tries)

    def may_hedge(self) -> bool:
        """Whether it may get a second try beside the running one."""
        return may_hedge(self.request.route, len(self.running), self.has_tries_left())
