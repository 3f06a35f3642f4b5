"""Sends commands and reads to the control group's leader.

Tries the replicas in turn within the operator's time limit, and follows redirects to the leader.
All attempts of a command carry the same command id, so that it is applied once.
"""

import time
import uuid
from collections.abc import Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import msgspec
import xxhash
from result import Err, Ok, Result

from merlinstand.cli.answers import CommandResult, Configuration, Leases, Members
from merlinstand.cli.client_settings import ClientSettings
from merlinstand.cli.errors import (
    ControlRefusedError,
    ControlUnavailableError,
    MalformedResponseError,
    UntrustedControlError,
)
from merlinstand.cli.http_request import HttpResponse, send_request
from merlinstand.common.boot_clock import boot_seconds
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.errors import ExitCode, MerlinstandError

REQUEST_TIMEOUT_SECONDS = 5.0
"""Timeout to connect to one replica, and for each read of its response."""
RETRY_INTERVAL_SECONDS = 0.2
"""Pause after all replicas were tried; a quarter of it before following a redirect."""

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
_OUTCOME_EXIT_CODES = {
    "invalid_input": ExitCode.INVALID,
    "not_found": ExitCode.NOT_FOUND,
    "busy": ExitCode.UNAVAILABLE,
}


class _ErrorBody(msgspec.Struct, frozen=True):
    code: str = "error"
    detail: str = ""
    leader: str = ""


class _NoFinalResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A replica gave no final response; another attempt may succeed."""

    problem: str
    leader: str = ""
    """HTTP address of the leader, or empty if the replica did not name it."""
    untrusted: UntrustedControlError | None = None


class OperatorClient:
    """Runs commands and reads; retries of a command are safe, as they keep its command id."""

    def __init__(
        self,
        settings: ClientSettings,
        monotonic: Callable[[], float] = boot_seconds,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Create a client; `monotonic` and `sleep` (seconds) can be replaced in tests."""
        self.settings = settings
        self._addresses = list(settings.addresses)
        self._monotonic = monotonic
        self._sleep = sleep
        self._invocation_id = settings.command_id or uuid.uuid4().hex

    def command(
        self, command: dict[str, Any], intent: Any = None
    ) -> Result[CommandResult, MerlinstandError]:
        """Run a command, or return its earlier result under the operator's command id.

        Args:
            command: JSON form of a class of `control.commands`.
            intent: What the operator asked for, without any state read from control; the
                command itself if None. A repeated command line has the same intent even
                if the object has changed since.
        """
        command_id = self._command_id(command if intent is None else intent)
        if self.settings.command_id:
            earlier = self._find_earlier_result(command_id)
            if earlier is not None:
                return earlier
        body = msgspec.json.encode({"command_id": command_id, "command": command})
        response = self._send_with_retries("POST", "/v1/commands", body)
        return response.map_err(self._add_invocation_id).and_then(
            lambda found: _decode(found, CommandResult)
        )

    def configuration(self, prefix: str = "") -> Result[Configuration, MerlinstandError]:
        """Read the objects whose keys begin with a prefix."""
        return self._read(f"/v1/configuration?prefix={quote(prefix, safe='')}", Configuration)

    def members(self) -> Result[Members, MerlinstandError]:
        """Read the members of the control group."""
        return self._read("/v1/members", Members)

    def leases(self) -> Result[Leases, MerlinstandError]:
        """Read all unexpired leases."""
        return self._read("/v1/leases", Leases)

    def ledger(self, job: str) -> Result[dict[str, Any], MerlinstandError]:
        """Read the positions of a job's consumers, and the job's used slots."""
        return self._read(f"/v1/ledger/{quote(job, safe='')}", dict[str, Any])

    def _read(self, path: str, response_type: Any) -> Result[Any, MerlinstandError]:
        response = self._send_with_retries("GET", path, b"")
        return response.and_then(lambda found: _decode(found, response_type))

    def _command_id(self, intent: Any) -> str:
        """Derive a command id from the invocation id and the command's intent.

        An invocation may send several commands, and a repeated one may send fewer of them, so
        commands are identified by their intent and not by their order.
        """
        encoded_intent = msgspec.json.encode(
            [intent, self.settings.expected_revision], order="sorted"
        )
        return f"{self._invocation_id}.{xxhash.xxh3_64_hexdigest(encoded_intent)}"

    def _find_earlier_result(
        self, command_id: str
    ) -> Result[CommandResult, MerlinstandError] | None:
        """Return the result of a command that was sent before; None if it was not."""
        response = self._send_with_retries("GET", f"/v1/commands/{quote(command_id, safe='')}", b"")
        if isinstance(response, Err):
            error = response.err_value
            is_new = (
                isinstance(error, ControlRefusedError) and error.control_error_code == "not_found"
            )
            return None if is_new else response
        decoded = _decode(response.ok_value, CommandResult)
        if isinstance(decoded, Err):
            return decoded
        result: CommandResult = decoded.ok_value
        if result.outcome.get("outcome") != "refused":
            return Ok(result)
        code = str(result.outcome.get("code", "refused"))
        return Err(
            ControlRefusedError(
                detail=str(result.outcome.get("detail", "")),
                control_error_code=code,
                control_exit_code=_OUTCOME_EXIT_CODES.get(code, ExitCode.CONFLICT),
            )
        )

    def _add_invocation_id(self, error: MerlinstandError) -> MerlinstandError:
        """Add the id to retry with to the error of a command whose outcome is unknown."""
        if not isinstance(error, ControlUnavailableError):
            return error
        return msgspec.structs.replace(error, command_id=self._invocation_id)

    def _send_with_retries(
        self, method: str, path: str, body: bytes
    ) -> Result[HttpResponse, MerlinstandError]:
        """Try the replicas in turn, following redirects, until one gives a final response.

        If the certificates of all replicas are refused, it fails without waiting for the limit.
        """
        deadline = self._monotonic() + self.settings.timeout_seconds
        problem = "no control replica was tried"
        attempt = 0
        untrusted: dict[str, UntrustedControlError] = {}
        while self._addresses:
            address = self._addresses[attempt % len(self._addresses)]
            attempt += 1
            remaining_seconds = deadline - self._monotonic()
            if remaining_seconds <= 0:
                break
            outcome = self._send_once(address, method, path, body, remaining_seconds)
            if not isinstance(outcome, _NoFinalResponse):
                return outcome
            problem = outcome.problem
            if outcome.untrusted is not None:
                untrusted[address] = outcome.untrusted
                if untrusted.keys() >= set(self._addresses):
                    return Err(next(iter(untrusted.values())))
            if outcome.leader:
                self._move_to_front(outcome.leader)
                attempt = 0
                # A short pause, because two replicas may redirect to each other during an
                # election, which would make this a tight loop.
                self._sleep(RETRY_INTERVAL_SECONDS / 4)
            elif attempt % len(self._addresses) == 0:
                self._sleep(RETRY_INTERVAL_SECONDS)
        return Err(
            ControlUnavailableError(
                detail=f"no control replica gave a final response in time; last error: {problem}"
            )
        )

    def _send_once(
        self, address: str, method: str, path: str, body: bytes, remaining_seconds: float
    ) -> "Result[HttpResponse, MerlinstandError] | _NoFinalResponse":
        """Send the request to one replica, and classify its response."""
        result = send_request(
            address,
            method,
            path,
            body,
            token=self.settings.token,
            timeout_seconds=min(REQUEST_TIMEOUT_SECONDS, remaining_seconds),
            authority=self.settings.authority,
        )
        if isinstance(result, Err):
            error = result.err_value
            untrusted = error if isinstance(error, UntrustedControlError) else None
            return _NoFinalResponse(problem=error.detail, untrusted=untrusted)
        response = result.ok_value
        if response.status == HTTPStatus.OK:
            self._move_to_front(address)
            return Ok(response)
        error_body = _decode_error_body(response)
        problem = f"{address}: {error_body.code}: {error_body.detail}"
        if response.status == HTTPStatus.MISDIRECTED_REQUEST:
            leader = error_body.leader if error_body.leader != address else ""
            return _NoFinalResponse(problem=problem, leader=leader)
        if response.status in _RETRIED_STATUSES:
            return _NoFinalResponse(problem=problem)
        return Err(_rejection_error(response, error_body))

    def _move_to_front(self, address: str) -> None:
        """Try this replica first from now on."""
        if address in self._addresses:
            self._addresses.remove(address)
        self._addresses.insert(0, address)


def _decode(response: HttpResponse, response_type: Any) -> Result[Any, MerlinstandError]:
    try:
        return Ok(msgspec.json.decode(response.body, type=response_type))
    except DECODE_ERRORS as error:
        return Err(MalformedResponseError(detail=str(error)))


def _decode_error_body(response: HttpResponse) -> _ErrorBody:
    try:
        return msgspec.json.decode(response.body, type=_ErrorBody)
    except DECODE_ERRORS:
        return _ErrorBody(detail=f"HTTP status {response.status}")


def _rejection_error(response: HttpResponse, error_body: _ErrorBody) -> ControlRefusedError:
    return ControlRefusedError(
        detail=error_body.detail,
        control_error_code=error_body.code,
        control_exit_code=_EXIT_CODES.get(HTTPStatus(response.status), ExitCode.INVALID)
        if response.status in {status.value for status in HTTPStatus}
        else ExitCode.FAILURE,
    )
