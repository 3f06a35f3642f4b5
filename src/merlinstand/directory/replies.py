"""HTTP responses of a control daemon, including redirects to the control leader."""

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

READINESS_PROOF_MAXIMUM_AGE_SECONDS = 3.0
"""A daemon whose newest proof of a live leader is older than this fails its readiness check."""


class Replies:
    """Builds the responses of one control daemon; stateless."""

    def __init__(
        self, settings: DirectorySettings, interface: ControlInterface, replica: Replica
    ) -> None:
        """Create the builder of one control daemon.

        Args:
            settings: The daemon's settings.
            interface: Translates replies into HTTP responses.
            replica: The consensus replica.
        """
        self._settings = settings
        self._interface = interface
        self._replica = replica

    def respond(self, request_id: RequestId, reply: ControlReply) -> Effect:
        """Respond to a request with a reply."""
        response = self._interface.write(reply)
        return Respond(request_id, response.status, response.headers, response.body)

    def fail(self, request_id: RequestId, error: MerlinstandError) -> Effect:
        """Respond to a request with an error."""
        return self.respond(request_id, Failed(error))

    def redirect(self, request_id: RequestId, path: str) -> Effect:
        """Redirect a caller to the leader, or ask the caller to retry later if no leader is known.

        Args:
            request_id: The request.
            path: Path of the request, with its query; empty if the request must not be repeated at
                another daemon.
        """
        leader = self._replica.leader_address
        is_other_node = leader is not None and self._replica.leader != self._settings.node_id
        if path and is_other_node and leader is not None:
            address = f"{ip_of(leader)}:{self._settings.http_port}"
            return self.respond(request_id, Redirect(address, path))
        error = UnavailableError(
            detail="no leader", retry_after_seconds=NO_LEADER_RETRY_AFTER_SECONDS
        )
        return self.fail(request_id, error)

    def answer_readiness(self, request_id: RequestId, is_stopping: bool, now: float) -> Effect:
        """Respond to a readiness check; fails if stopping or without recent proof of a leader."""
        age = self._replica.proof_age_seconds(now)
        if not is_stopping and age is not None and age < READINESS_PROOF_MAXIMUM_AGE_SECONDS:
            return self.respond(request_id, Accepted())
        return self.fail(request_id, UnavailableError(detail="no known leader"))
