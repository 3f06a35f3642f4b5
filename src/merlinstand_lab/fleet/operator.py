"""The launcher as an operator: sends commands to control and records what came of them."""

import time

import gevent
import msgspec

from merlinstand.runtime.record_writer import RecordWriter
from merlinstand_lab.fleet.http import JsonResponse, get_typed, request_json
from merlinstand_lab.records.kinds import OperatorRecord
from merlinstand_lab.standins.trainer_messages import CommandAnswer, NotLeaderBody

_RETRY_SECONDS = 0.3
"""Seconds; chosen, not measured."""
_ANSWER_STATUSES = (200, 400, 404, 409)
"""Statuses of answers that judge a command (docs/INTERFACES.md)."""


class CommandRequestBody(msgspec.Struct, frozen=True):
    """`POST /v1/commands`."""

    command_id: str
    command: dict[str, object]


class ConfigurationItem(msgspec.Struct, frozen=True):
    """One object of the configuration."""

    key: str
    revision: int
    value: dict[str, object]


class _Configuration(msgspec.Struct, frozen=True):
    """`GET /v1/configuration`."""

    objects: list[ConfigurationItem]


class OperatorClient:
    """Sends each command under one id until an answer comes or time is up."""

    def __init__(
        self, name: str, controls: list[str], token: str, records: RecordWriter, patience: float
    ) -> None:
        """Remember where control is."""
        self._name = name
        self._controls = controls
        self._token = token
        self._records = records
        self._patience_seconds = patience
        self._leader = ""
        self._next = 0
        self._count = 0

    def new_command_id(self) -> str:
        """Make the id of a command; a resend uses the same one."""
        self._count += 1
        return f"{self._name}-{time.monotonic_ns()}-{self._count}"

    def send(self, command: dict[str, object], command_id: str = "") -> CommandAnswer | None:
        """Send a command and record its outcome; None if no answer came in time."""
        command_id = command_id or self.new_command_id()
        sent_at = time.monotonic()
        answer = None
        while answer is None and time.monotonic() - sent_at < self._patience_seconds:
            answer = self._try(CommandRequestBody(command_id, command))
            if answer is None:
                gevent.sleep(_RETRY_SECONDS)
        self._records.write("operators", self._record(command_id, command, sent_at, answer))
        return answer

    def twin(self, name: str) -> "OperatorClient":
        """Another operator of the same control group."""
        return OperatorClient(
            name, self._controls, self._token, self._records, self._patience_seconds
        )

    def get(self, path: str, body_type: type) -> object | None:
        """Read from whichever control replica answers."""
        for address in self._controls:
            document = get_typed(address, path, body_type, self._token)
            if document is not None:
                return document
        return None

    def _try(self, body: CommandRequestBody) -> CommandAnswer | None:
        """Try one replica; follow a named leader next time."""
        address = self._leader or self._controls[self._next % len(self._controls)]
        self._leader = ""
        response = request_json(address, "POST", "/v1/commands", body, self._token)
        if response is not None and response.status in _ANSWER_STATUSES:
            try:
                return msgspec.json.decode(response.body, type=CommandAnswer)
            except msgspec.DecodeError:
                return None
        self._next += 1
        if response is not None and response.status == 421:
            self._leader = _leader_of(response)
        return None

    def _record(
        self,
        command_id: str,
        command: dict[str, object],
        sent_at: float,
        answer: CommandAnswer | None,
    ) -> OperatorRecord:
        """Record of one command."""
        return OperatorRecord(
            command_id=command_id,
            command=command,
            sent_at=sent_at,
            ended_at=time.monotonic() if answer else None,
            outcome=answer.outcome.outcome if answer else "unknown",
            revision=answer.object_revision if answer else 0,
            operator=self._name,
            code=answer.outcome.code if answer else "",
        )


def find_object(operator: OperatorClient, key: str) -> ConfigurationItem | None:
    """Read one object of the configuration; None if there is none or no answer."""
    found = operator.get(f"/v1/configuration?prefix={key}", _Configuration)
    items = found.objects if isinstance(found, _Configuration) else []
    return next((item for item in items if item.key == key), None)


def _leader_of(response: JsonResponse) -> str:
    """Leader's address in a 421, empty if unknown."""
    try:
        return msgspec.json.decode(response.body, type=NotLeaderBody).leader or ""
    except msgspec.DecodeError:
        return ""
