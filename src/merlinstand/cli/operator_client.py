"""Finds the control group's leader and has it run commands and reads.

Asks one replica after the other within the operator's time limit, and goes where a replica says
that the leader is. A command is sent under one command id however often it is tried, so that it is
applied once.
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

from merlinstand.cli.answers import CommandDone, Configuration, Leases, Members
from merlinstand.cli.client_settings import ClientSettings
from merlinstand.cli.errors import (
    ControlRefusedError,
    ControlUnavailableError,
    MalformedAnswerError,
    UntrustedControlError,
)
from merlinstand.cli.http_request import Answer, request
from merlinstand.common.boot_clock import boot_seconds
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.errors import ExitCode, MerlinstandError

REQUEST_TIMEOUT_SECONDS = 5.0
"""Longest wait for one replica to connect, and for each piece of its answer. Chosen, not
measured."""
RETRY_INTERVAL_SECONDS = 0.2
"""Pause after all replicas were asked in vain; a quarter of it before a leader that was named.
Chosen, not measured."""

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


class _ErrorAnswer(msgspec.Struct, frozen=True):
    code: str = "error"
    detail: str = ""
    leader: str = ""


class _AskElsewhere(msgspec.Struct, frozen=True, kw_only=True):
    """One replica gave no final answer."""

    problem: str
    leader: str = ""
    """HTTP address of the replica that leads, if it was named."""
    untrusted: UntrustedControlError | None = None


class OperatorClient:
    """Runs commands; retries go under the same command id, so they are harmless."""

    def __init__(
        self,
        settings: ClientSettings,
        monotonic: Callable[[], float] = boot_seconds,
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
        self._line_id = settings.command_id or uuid.uuid4().hex

    def command(
        self, command: dict[str, Any], intent: Any = None
    ) -> Result[CommandDone, MerlinstandError]:
        """Run a command, unless it was run before under the operator's command id.

        Args:
            command: JSON form of a class of `control.commands`.
            intent: What the operator asked for, apart from what was read meanwhile; the
                command itself if None. A repeated command line has the same intent even
                when the object it changes has moved on.
        """
        command_id = self._command_id(command if intent is None else intent)
        if self.settings.command_id:
            earlier = self._find_earlier(command_id)
            if earlier is not None:
                return earlier
        body = msgspec.json.encode({"command_id": command_id, "command": command})
        answer = self._ask("POST", "/v1/commands", body)
        return answer.map_err(self._with_line_id).and_then(
            lambda found: _decode(found, CommandDone)
        )

    def configuration(self, prefix: str = "") -> Result[Configuration, MerlinstandError]:
        """Read the objects whose keys begin with a prefix."""
        return self._read(f"/v1/configuration?prefix={quote(prefix, safe='')}", Configuration)

    def members(self) -> Result[Members, MerlinstandError]:
        """Read the control group's members."""
        return self._read("/v1/members", Members)

    def leases(self) -> Result[Leases, MerlinstandError]:
        """Read all leases."""
        return self._read("/v1/leases", Leases)

    def ledger(self, job: str) -> Result[dict[str, Any], MerlinstandError]:
        """Read where a job's consumers stand."""
        return self._read(f"/v1/ledger/{quote(job, safe='')}", dict[str, Any])

    def _read(self, path: str, answer_type: Any) -> Result[Any, MerlinstandError]:
        answer = self._ask("GET", path, b"")
        return answer.and_then(lambda found: _decode(found, answer_type))

    def _command_id(self, intent: Any) -> str:
        """Name a command below the command line's id.

        A line may send several commands, and a repeated line may send fewer of them, so
        they are told apart by what they ask for and not by their order.
        """
        asked = msgspec.json.encode([intent, self.settings.expected_revision], order="sorted")
        return f"{self._line_id}.{xxhash.xxh3_64_hexdigest(asked)}"

    def _find_earlier(self, command_id: str) -> Result[CommandDone, MerlinstandError] | None:
        """Ask how a command ended that may have been sent before; None if it was not."""
        asked = self._ask("GET", f"/v1/commands/{quote(command_id, safe='')}", b"")
        if isinstance(asked, Err):
            error = asked.err_value
            is_new = isinstance(error, ControlRefusedError) and error.answered_code == "not_found"
            return None if is_new else asked
        decoded = _decode(asked.ok_value, CommandDone)
        if isinstance(decoded, Err):
            return decoded
        done: CommandDone = decoded.ok_value
        if done.outcome.get("outcome") != "refused":
            return Ok(done)
        code = str(done.outcome.get("code", "refused"))
        return Err(
            ControlRefusedError(
                detail=str(done.outcome.get("detail", "")),
                answered_code=code,
                answered_exit_code=_OUTCOME_EXIT_CODES.get(code, ExitCode.CONFLICT),
            )
        )

    def _with_line_id(self, error: MerlinstandError) -> MerlinstandError:
        """Tell under which id a command is to be repeated whose answer did not come."""
        if not isinstance(error, ControlUnavailableError):
            return error
        return msgspec.structs.replace(error, command_id=self._line_id)

    def _ask(self, method: str, path: str, body: bytes) -> Result[Answer, MerlinstandError]:
        """Try every replica, following the leader, until one gives a final answer."""
        end = self._monotonic() + self.settings.timeout_seconds
        problem = "no control address is known"
        turn = 0
        untrusted: dict[str, UntrustedControlError] = {}
        while self._addresses:
            address = self._addresses[turn % len(self._addresses)]
            turn += 1
            left = end - self._monotonic()
            if left <= 0:
                break
            outcome = self._try(address, method, path, body, left)
            if not isinstance(outcome, _AskElsewhere):
                return outcome
            problem = outcome.problem
            if outcome.untrusted is not None:
                untrusted[address] = outcome.untrusted
                if untrusted.keys() >= set(self._addresses):
                    return Err(next(iter(untrusted.values())))
            if outcome.leader:
                self._prefer(outcome.leader)
                turn = 0
                # The leader is asked at once, but two replicas that name each other during
                # an election must not be asked in a tight loop.
                self._sleep(RETRY_INTERVAL_SECONDS / 4)
            elif turn % len(self._addresses) == 0:
                self._sleep(RETRY_INTERVAL_SECONDS)
        return Err(ControlUnavailableError(detail=f"no replica answered in time; last: {problem}"))

    def _try(
        self, address: str, method: str, path: str, body: bytes, left_seconds: float
    ) -> "Result[Answer, MerlinstandError] | _AskElsewhere":
        """Ask one replica."""
        result = request(
            address,
            method,
            path,
            body,
            token=self.settings.token,
            timeout_seconds=min(REQUEST_TIMEOUT_SECONDS, left_seconds),
            authority=self.settings.authority,
        )
        if isinstance(result, Err):
            error = result.err_value
            untrusted = error if isinstance(error, UntrustedControlError) else None
            return _AskElsewhere(problem=error.detail, untrusted=untrusted)
        answer = result.ok_value
        if answer.status == HTTPStatus.OK:
            self._prefer(address)
            return Ok(answer)
        refused = _error_answer(answer)
        problem = f"{address}: {refused.code}: {refused.detail}"
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            leader = refused.leader if refused.leader != address else ""
            return _AskElsewhere(problem=problem, leader=leader)
        if answer.status in _RETRIED_STATUSES:
            return _AskElsewhere(problem=problem)
        return Err(_refusal(answer, refused))

    def _prefer(self, address: str) -> None:
        """Ask this replica first from now on."""
        if address in self._addresses:
            self._addresses.remove(address)
        self._addresses.insert(0, address)


def _decode(answer: Answer, answer_type: Any) -> Result[Any, MerlinstandError]:
    try:
        return Ok(msgspec.json.decode(answer.body, type=answer_type))
    except DECODE_ERRORS as error:
        return Err(MalformedAnswerError(detail=str(error)))


def _error_answer(answer: Answer) -> _ErrorAnswer:
    try:
        return msgspec.json.decode(answer.body, type=_ErrorAnswer)
    except DECODE_ERRORS:
        return _ErrorAnswer(detail=f"status {answer.status}")


def _refusal(answer: Answer, error: _ErrorAnswer) -> ControlRefusedError:
    return ControlRefusedError(
        detail=error.detail,
        answered_code=error.code,
        answered_exit_code=_EXIT_CODES.get(HTTPStatus(answer.status), ExitCode.INVALID)
        if answer.status in {status.value for status in HTTPStatus}
        else ExitCode.FAILURE,
    )
