"""Finds the control group's leader and has it run commands and reads."""

import time
import uuid
from collections.abc import Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from merlinstand.cli.errors import (
    ControlRefusedError,
    ControlUnavailableError,
    MalformedAnswerError,
)
from merlinstand.cli.http_request import Answer, request
from merlinstand.common.decoding import MALFORMED_INPUT
from merlinstand.common.errors import ExitCode, MerlinstandError

REQUEST_TIMEOUT_SECONDS = 5.0
RETRY_INTERVAL_SECONDS = 0.2

_RETRIED_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)
_EXIT_CODES = {
    HTTPStatus.UNAUTHORIZED: ExitCode.UNAUTHORIZED,
    HTTPStatus.FORBIDDEN: ExitCode.UNAUTHORIZED,
    HTTPStatus.NOT_FOUND: ExitCode.NOT_FOUND,
    HTTPStatus.CONFLICT: ExitCode.CONFLICT,
}


class ConfigurationItem(msgspec.Struct, frozen=True):
    """One object of the configuration."""

    key: str
    revision: int
    value: dict[str, Any]


class Configuration(msgspec.Struct, frozen=True):
    """Objects of the configuration at one revision."""

    revision: int
    objects: tuple[ConfigurationItem, ...]


class CommandDone(msgspec.Struct, frozen=True):
    """Control's answer to an applied command."""

    revision: int
    outcome: dict[str, Any]


class _ErrorAnswer(msgspec.Struct, frozen=True):
    code: str = "error"
    detail: str = ""
    leader: str = ""


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where control is, and how to speak to it."""

    addresses: tuple[str, ...]
    """HTTP addresses of all control replicas."""
    token: str = ""
    authority: str = ""
    """File of certificates, when the replicas speak TLS."""
    timeout_seconds: float = 15.0
    """Longest time to try one command."""
    command_id: str = ""
    """Given by the operator to repeat an earlier command; made if empty."""
    expected_revision: int | None = None
    """Revision that the operator saw; None = the one that the client just read."""


class OperatorClient:
    """Runs commands; retries go under the same command id, so they are harmless."""

    def __init__(
        self,
        settings: ClientSettings,
        monotonic: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Create a client.

        Args:
            settings: Addresses, token and bounds.
            monotonic: Clock in seconds.
            sleep: Waits a number of seconds.
        """
        self.settings = settings
        self._addresses = list(settings.addresses)
        self._monotonic = monotonic
        self._sleep = sleep
        self._command_count = 0

    def command(self, command: dict[str, Any]) -> Result[CommandDone, MerlinstandError]:
        """Run a command.

        Args:
            command: JSON form of a class of `control.commands`.
        """
        body = msgspec.json.encode({"command_id": self.next_command_id(), "command": command})
        answer = self._ask("POST", "/v1/commands", body)
        return answer.and_then(lambda found: _decode(found, CommandDone))

    def configuration(self, prefix: str = "") -> Result[Configuration, MerlinstandError]:
        """Read the objects whose keys begin with a prefix."""
        answer = self._ask("GET", f"/v1/configuration?prefix={quote(prefix, safe='')}", b"")
        return answer.and_then(lambda found: _decode(found, Configuration))

    def read(self, path: str) -> Result[dict[str, Any], MerlinstandError]:
        """Read another JSON object of the API."""
        answer = self._ask("GET", path, b"")
        return answer.and_then(lambda found: _decode(found, dict[str, Any]))

    def next_command_id(self) -> str:
        """Make the id of the next command.

        A command line that sends several commands numbers them below the operator's id, so
        that a repeated line repeats the same ids.
        """
        self._command_count += 1
        given = self.settings.command_id
        if not given:
            return uuid.uuid4().hex
        return given if self._command_count == 1 else f"{given}.{self._command_count}"

    def _ask(self, method: str, path: str, body: bytes) -> Result[Answer, MerlinstandError]:
        """Try every replica, following the leader, until one gives a final answer."""
        end = self._monotonic() + self.settings.timeout_seconds
        problem = "no control address is known"
        turn = 0
        while self._addresses:
            address = self._addresses[turn % len(self._addresses)]
            turn += 1
            left = end - self._monotonic()
            if left <= 0:
                break
            result = request(
                address,
                method,
                path,
                body,
                token=self.settings.token,
                timeout_seconds=min(REQUEST_TIMEOUT_SECONDS, left),
                authority=self.settings.authority,
            )
            if isinstance(result, Err):
                problem = result.err_value.detail
            else:
                answer = result.ok_value
                if answer.status == HTTPStatus.OK:
                    self._prefer(address)
                    return Ok(answer)
                error = _error_answer(answer)
                problem = f"{address}: {error.code}: {error.detail}"
                if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
                    if error.leader and error.leader != address:
                        self._prefer(error.leader)
                        turn = 0
                        # The leader is asked at once, but two replicas that name each
                        # other during an election must not be asked in a tight loop.
                        self._sleep(RETRY_INTERVAL_SECONDS / 4)
                        continue
                elif answer.status not in _RETRIED_STATUSES:
                    return Err(_refusal(answer, error))
            if turn % len(self._addresses) == 0:
                self._sleep(RETRY_INTERVAL_SECONDS)
        return Err(ControlUnavailableError(detail=f"no replica answered in time; last: {problem}"))

    def _prefer(self, address: str) -> None:
        """Ask this replica first from now on."""
        if address in self._addresses:
            self._addresses.remove(address)
        self._addresses.insert(0, address)


def _decode(answer: Answer, answer_type: Any) -> Result[Any, MerlinstandError]:
    try:
        return Ok(msgspec.json.decode(answer.body, type=answer_type))
    except MALFORMED_INPUT as error:
        return Err(MalformedAnswerError(detail=str(error)))


def _error_answer(answer: Answer) -> _ErrorAnswer:
    try:
        return msgspec.json.decode(answer.body, type=_ErrorAnswer)
    except MALFORMED_INPUT:
        return _ErrorAnswer(detail=f"status {answer.status}")


def _refusal(answer: Answer, error: _ErrorAnswer) -> ControlRefusedError:
    return ControlRefusedError(
        detail=error.detail,
        answered_code=error.code,
        answered_exit_code=_EXIT_CODES.get(HTTPStatus(answer.status), ExitCode.INVALID)
        if answer.status in {status.value for status in HTTPStatus}
        else ExitCode.FAILURE,
    )
