"""Writes commands steadily, each under one command id until it is answered."""

import time
from http import HTTPStatus

import gevent
import msgspec

from merlinstand_lab.fleet.http import JsonResponse, request_json
from tests.failover.history import Accepted, History, Refusal, Repeat, key_of

ATTEMPT_TIMEOUT_SECONDS = 0.3
"""A frozen replica does not answer; the next one is asked after this long."""
RETRY_SECONDS = 0.02
LAST_ATTEMPT_SECONDS = 10.0
"""A write under way when the writer is asked to stop is given up after this long."""
REPEAT_EVERY = 5
"""Every so many accepted writes one is sent again, though its answer arrived."""

_TRY_ANOTHER = frozenset(
    (
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)


class _Answer(msgspec.Struct, frozen=True):
    revision: int = 0
    detail: str = ""
    leader: str = ""


class Writer:
    """One operator that creates a new object with every command."""

    def __init__(
        self, name: str, addresses: tuple[str, ...], history: History, interval_seconds: float
    ) -> None:
        """Make a writer; `run` is its greenlet.

        Args:
            name: Begins its command ids.
            addresses: HTTP addresses of the control replicas.
            history: Takes what comes of the writes.
            interval_seconds: Pause between two writes.
        """
        self._name = name
        self._addresses = addresses
        self._history = history
        self._interval_seconds = interval_seconds
        self._turn = 0
        self._count = 0
        self._stop_at: float | None = None

    def stop(self) -> None:
        """Begin no more writes."""
        self._stop_at = time.monotonic() + LAST_ATTEMPT_SECONDS

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
        """Send a command until it is judged; None if it was refused or not judged."""
        body = _create_command(command_id)
        while self._stop_at is None or time.monotonic() < self._stop_at:
            began_at = time.monotonic()
            address = self._addresses[self._turn % len(self._addresses)]
            response = request_json(
                address, "POST", "/v1/commands", body, timeout_seconds=ATTEMPT_TIMEOUT_SECONDS
            )
            if response is None or response.status in _TRY_ANOTHER:
                self._turn += 1
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
    # Revision 0 is expected: a second application under the same id can't pass for the first.
    return {
        "command_id": command_id,
        "command": {
            "command": "put_object",
            "key": key_of(command_id),
            "object": {"caller": command_id},
            "expected_revision": 0,
        },
    }


def _decode(response: JsonResponse) -> _Answer:
    try:
        return msgspec.json.decode(response.body, type=_Answer)
    except msgspec.DecodeError:
        return _Answer(detail="malformed answer")
