"""Attempt counters that pending non-streaming requests and pending streams have in common."""

from http import HTTPStatus

import msgspec

from merlinstand.common.ids import BackendId
from merlinstand.decisions.rejection import Reason
from merlinstand.decisions.retry import has_attempts_left
from merlinstand.forwarding.send_control import AttemptEnd
from merlinstand.quarantine.request_digest import RequestWithDigest


class PendingAttempts(RequestWithDigest):
    """A pending request and its attempts so far."""

    tried_backends: set[BackendId] = msgspec.field(default_factory=set)
    attempts_started: int = 0
    attempts_maybe_run: int = 0
    """Number of attempts that ran or may have run."""
    attempts_not_run: int = 0
    """Number of attempts that have certainly not run, according to the backend's response."""
    attempts_refused: int = 0
    """Number of `attempts_not_run` that a backend refused for lack of capacity."""
    has_paused: bool = False
    """Whether the request has already paused once after backends refused it."""
    may_have_run: bool = False
    last_failure_reason: str = ""
    probed_backend: BackendId | None = None
    """Backend of the last attempt, which broke off, while the request waits for the backend's crash
    check."""

    @property
    def attempts_connected(self) -> int:
        """Number of attempts that reached a backend."""
        return self.attempts_maybe_run + self.attempts_not_run

    def has_attempts_left(self) -> bool:
        """Return whether the request may be sent once more."""
        return has_attempts_left(
            self.request.route,
            self.attempts_maybe_run,
            self.attempts_started - self.attempts_refused,
        )

    def record_send(self, backend_id: BackendId) -> None:
        """Record the start of an attempt, which counts as maybe run."""
        self.tried_backends.add(backend_id)
        self.attempts_started += 1
        self.attempts_maybe_run += 1

    def record_connect_failure(self) -> None:
        """Record that an attempt got no connection, so it has not run."""
        self.attempts_maybe_run -= 1

    def record_not_run(self, status: int) -> AttemptEnd:
        """Record a response that says that the last attempt has not run.

        Args:
            status: Status of the response. A 421 comes from a backend other than the expected one,
                so it says nothing about the expected backend's capacity.
        """
        self.attempts_maybe_run -= 1
        self.attempts_not_run += 1
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            self.last_failure_reason = f"not_run_{status}"
            return AttemptEnd.INCONCLUSIVE
        self.attempts_refused += 1
        self.last_failure_reason = Reason.OVERLOADED
        return AttemptEnd.REFUSED

    def begin_pause(self) -> None:
        """Allow the request to be sent to all backends again after the pause that begins now."""
        self.has_paused = True
        self.tried_backends.clear()
