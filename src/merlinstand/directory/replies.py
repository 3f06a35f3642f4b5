"""What a control daemon answers, as HTTP responses; run by every control daemon.

Keeps no state: who leads is read from the consensus replica each time.
"""

from merlinstand.common.errors import MerlinstandError, UnavailableError
from merlinstand.common.ids import RequestId
from merlinstand.consensus.replica import Replica
from merlinstand.decisions.rejection import NO_LEADER_RETRY_AFTER_SECONDS
from merlinstand.directory.part_settings import ip_of
from merlinstand.directory.requests import (
    Accepted,
    ControlInterface,
    ControlReply,
    Failed,
    Redirect,
)
from merlinstand.directory.settings import DirectorySettings
from merlinstand.kernel.effects import Effect, Respond

READY_PROOF_SECONDS = 3.0
"""A daemon whose newest proof of a leader is older than this is not ready; chosen, not measured."""


class Replies:
    """Answers callers of one control daemon."""

    def __init__(
        self, settings: DirectorySettings, interface: ControlInterface, replica: Replica
    ) -> None:
        """Make one.

        Args:
            settings: Of the daemon.
            interface: Translates replies.
            replica: Knows who leads.
        """
        self._settings = settings
        self._interface = interface
        self._replica = replica

    def respond(self, request_id: RequestId, reply: ControlReply) -> Effect:
        """Answer a request."""
        response = self._interface.write(reply)
        return Respond(request_id, response.status, response.headers, response.body)

    def fail(self, request_id: RequestId, error: MerlinstandError) -> Effect:
        """Answer a request by an error."""
        return self.respond(request_id, Failed(error))

    def redirect(self, request_id: RequestId, path: str) -> Effect:
        """Send a caller on to the leader, or ask it to come back if none is known.

        Args:
            request_id: The request.
            path: Its path with query; empty if it must not be repeated elsewhere.
        """
        leader = self._replica.leader_address
        is_other = leader is not None and self._replica.leader != self._settings.node_id
        if path and is_other and leader is not None:
            address = f"{ip_of(leader)}:{self._settings.http_port}"
            return self.respond(request_id, Redirect(address, path))
        error = UnavailableError(
            detail="no leader", retry_after_seconds=NO_LEADER_RETRY_AFTER_SECONDS
        )
        return self.fail(request_id, error)

    def answer_readiness(self, request_id: RequestId, is_stopping: bool, now: float) -> Effect:
        """Answer a health check: ready is who knows of a living leader and does not stop."""
        age = self._replica.proof_age_seconds(now)
        if not is_stopping and age is not None and age < READY_PROOF_SECONDS:
            return self.respond(request_id, Accepted())
        return self.fail(request_id, UnavailableError(detail="no known leader"))
