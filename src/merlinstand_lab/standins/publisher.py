"""The publishing step of a trainer: put weights into the store, announce them to control."""

import enum
from collections.abc import Sequence

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import Effect, LogEvent, SetTimer, StartCall, WriteRecord
from merlinstand.kernel.events import CallFailed, CallResponded, TimerFired
from merlinstand_lab.records.kinds import OperatorRecord
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.engine_messages import StorePut, StorePutAnswer
from merlinstand_lab.standins.settings import TrainerSettings
from merlinstand_lab.standins.trainer_messages import (
    CommandAnswer,
    CommandBody,
    NotLeaderBody,
    PublishCommand,
)

_RETRY_TIMER = "publish.retry"
_CALL_PREFIX = "publish."


class _Phase(enum.Enum):
    """Where the publishing step is."""

    IDLE = "idle"
    PUT = "put"
    ANNOUNCE = "announce"


class Publisher:
    """Publishes one version at a time, resending under one command id until answered."""

    def __init__(self, settings: TrainerSettings) -> None:
        """Begin idle."""
        self._settings = settings
        self._phase = _Phase.IDLE
        self._version = 0
        self._digest = ""
        self._calls = 0
        self._control = 0
        self._leader = ""
        self._sent_at: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether the last version was announced (or refused)."""
        return self._phase is _Phase.IDLE

    def publish(self, version: int) -> Sequence[Effect]:
        """Begin to publish a version."""
        self._phase = _Phase.PUT
        self._version = version
        self._sent_at = None
        return (self._put(),)

    def handles(self, event: CallResponded | CallFailed | TimerFired) -> bool:
        """Whether an event belongs to the publishing step."""
        name = event.name if isinstance(event, TimerFired) else event.call_id
        return name.startswith(_CALL_PREFIX)

    def reduce(
        self, event: CallResponded | CallFailed | TimerFired, now: float
    ) -> Sequence[Effect]:
        """Go on; afterwards `is_idle` tells whether it is over."""
        if self._phase is _Phase.IDLE:
            return ()
        if isinstance(event, TimerFired):
            return (self._put(),) if self._phase is _Phase.PUT else (self._announce(now),)
        if event.call_id != self._current_call_id():
            return ()
        if self._phase is _Phase.PUT:
            return self._put_ended(event, now)
        return self._announce_ended(event, now)

    def _current_call_id(self) -> CallId:
        """Name of the call under way."""
        return CallId(f"{_CALL_PREFIX}{self._calls}")

    def _call(self, address: str, method: str, path: str, body: bytes) -> StartCall:
        """Send a request."""
        self._calls += 1
        headers = dict(endpoint.JSON_HEADERS)
        if self._settings.operator_token:
            headers["authorization"] = f"Bearer {self._settings.operator_token}"
        return StartCall(
            call_id=self._current_call_id(),
            address=address,
            method=method,
            path=path,
            headers=headers,
            body=body,
            timeout_seconds=self._settings.request_timeout_seconds,
        )

    def _put(self) -> StartCall:
        """Put the weights into the store."""
        path = f"/v1/weights/{self._settings.model}/{self._version}"
        body = msgspec.json.encode(StorePut(self._settings.weight_bytes))
        return self._call(self._settings.weight_store, "PUT", path, body)

    def _put_ended(self, event: CallResponded | CallFailed, now: float) -> Sequence[Effect]:
        """Announce once the store has the weights."""
        if isinstance(event, CallResponded) and event.status == 200:
            self._digest = msgspec.json.decode(event.body, type=StorePutAnswer).digest
            self._phase = _Phase.ANNOUNCE
            return (self._announce(now),)
        return (SetTimer(_RETRY_TIMER, self._settings.retry_seconds),)

    def _command_id(self) -> str:
        """The same for every resend."""
        return f"{self._settings.consumer}-publish-{self._settings.model}-{self._version}"

    def _command(self) -> PublishCommand:
        """The announcement."""
        return PublishCommand(
            model=self._settings.model,
            version=self._version,
            digest=self._digest,
            source=self._settings.weight_store,
            size_bytes=self._settings.weight_bytes,
        )

    def _announce(self, now: float) -> StartCall:
        """Send the command to the leader, or to the next replica."""
        if self._sent_at is None:
            self._sent_at = now
        controls = self._settings.controls
        address = self._leader or controls[self._control % len(controls)]
        body = CommandBody(command_id=self._command_id(), command=self._command())
        return self._call(address, "POST", "/v1/commands", msgspec.json.encode(body))

    def _announce_ended(self, event: CallResponded | CallFailed, now: float) -> Sequence[Effect]:
        """Take the outcome, follow the leader, or try the next replica."""
        if isinstance(event, CallResponded) and event.status in (200, 409, 400, 404):
            outcome = _decode_answer(event.body)
            if outcome is not None:
                return self._announced(outcome, now)
        if isinstance(event, CallResponded) and event.status == 421:
            self._leader = _decode_leader(event.body)
            if self._leader:
                return (self._announce(now),)
        self._leader = ""
        self._control += 1
        return (SetTimer(_RETRY_TIMER, self._settings.retry_seconds),)

    def _announced(self, answer: CommandAnswer, now: float) -> Sequence[Effect]:
        """Record the outcome; the step is over."""
        self._phase = _Phase.IDLE
        assert self._sent_at is not None
        record = OperatorRecord(
            command_id=self._command_id(),
            command=msgspec.to_builtins(self._command()),
            sent_at=self._sent_at,
            ended_at=now,
            outcome=answer.outcome.outcome,
            revision=answer.object_revision,
            operator=self._settings.consumer,
            code=answer.outcome.code,
        )
        fields = {"version": self._version, "outcome": record.outcome, "code": record.code}
        write = WriteRecord(f"operators-{self._settings.node_id}", record)
        return (write, LogEvent("weights.published", fields))


def _decode_answer(body: bytes) -> CommandAnswer | None:
    """Decode a command's answer; None for an error body."""
    try:
        return msgspec.json.decode(body, type=CommandAnswer)
    except msgspec.DecodeError:
        return None


def _decode_leader(body: bytes) -> str:
    """Decode the leader's address of a 421, empty if unknown."""
    try:
        return msgspec.json.decode(body, type=NotLeaderBody).leader or ""
    except msgspec.DecodeError:
        return ""
