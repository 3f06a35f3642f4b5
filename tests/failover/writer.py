"""Writer that sends commands continuously, retrying each with the same command id."""

import time
from http import HTTPStatus

import gevent
import msgspec

from merlinstand_lab.fleet.http import JsonResponse, request_json
from tests.failover.history import Accepted, History, Refusal, Repeat, object_key

ATTEMPT_TIMEOUT_SECONDS = 0.3
"""Timeout of one attempt, after which the next replica is tried, since a frozen one is silent."""
RETRY_SECONDS = 0.02
STOP_TIMEOUT_SECONDS = 10.0
"""Time after `stop` until which a write in progress is retried."""
REPEAT_EVERY = 5
"""Number of accepted writes after which one is sent again, which must not apply it twice."""

_RETRIED_STATUSES = frozenset(
    (
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)


class _CommandResponse(msgspec.Struct, frozen=True):
    revision: int = 0
    detail: str = ""
    leader: str = ""


class Writer:
    """A client that creates a new object with every command."""

    def __init__(
        self, name: str, addresses: tuple[str, ...], history: History, interval_seconds: float
    ) -> None:
        """Create a writer; `run` is its greenlet.

        Args:
            name: Prefix of its command ids.
            addresses: HTTP addresses of the control replicas.
            history: Receives the outcome of each write.
            interval_seconds: Pause between two writes.
        """
        self._name = name
        self._addresses = addresses
        self._history = history
        self._interval_seconds = interval_seconds
        self._address_index = 0
        self._count = 0
        self._stop_at: float | None = None

    def stop(self) -> None:
        """Start no more writes, and bound the retries of the current one."""
        self._stop_at = time.monotonic() + STOP_TIMEOUT_SECONDS

    def run(self) -> None:
        """Write until stopped."""
        while self._stop_at is None:
            self._count += 1
            command_id = f"{self._name}-{self._count}"
            accepted = self._write(command_id)
            if accepted is None:
                continue
            self._history.accepted.append(accepted)
            if len(self._history.accepted) % REPEAT_EVERY == 0:
                self._repeat(accepted)
            gevent.sleep(self._interval_seconds)

    def _repeat(self, accepted: Accepted) -> None:
        again = self._write(accepted.command_id)
        if again is not None:
            repeat = Repeat(accepted.command_id, accepted.revision, again.revision)
            self._history.repeats.append(repeat)

    def _write(self, command_id: str) -> Accepted | None:
        """Send a command until it is accepted; None if it was refused or got no response."""
        body = _create_command(command_id)
        while self._stop_at is None or time.monotonic() < self._stop_at:
            began_at = time.monotonic()
            address = self._addresses[self._address_index % len(self._addresses)]
            response = request_json(
                address, "POST", "/v1/commands", body, timeout_seconds=ATTEMPT_TIMEOUT_SECONDS
            )
            if response is None or response.status in _RETRIED_STATUSES:
                self._address_index += 1
                gevent.sleep(RETRY_SECONDS)
                continue
            answer = _decode(response)
            if response.status == HTTPStatus.OK:
                return Accepted(command_id, answer.revision, began_at, time.monotonic())
            self._history.refusals.append(Refusal(command_id, response.status, answer.detail))
            return None
        self._history.unresolved.append(command_id)
        return None


def _create_command(command_id: str) -> dict[str, object]:
    # Expected revision 0 requires a new object, so that a second application is refused.
    return {
        "command_id": command_id,
        "command": {
            "command": "put_object",
            "key": object_key(command_id),
            "object": {"caller": command_id},
            "expected_revision": 0,
        },
    }


def _decode(response: JsonResponse) -> _CommandResponse:
    try:
        return msgspec.json.decode(response.body, type=_CommandResponse)
    except msgspec.DecodeError:
        return _CommandResponse(detail="malformed response")
