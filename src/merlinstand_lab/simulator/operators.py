"""Operators as a reducer: they race with equal revisions and resend lost commands."""

import random
from collections.abc import Sequence
from typing import Any

import msgspec

from merlinstand.kernel.effects import Effect, SetTimer, StartCall, WriteRecord
from merlinstand.kernel.events import CallFailed, CallResponded, Event, Started, TimerFired
from merlinstand_lab.records.kinds import OperatorRecord
from merlinstand_lab.simulator.operator_settings import OperatorSettings, RandomWrites

RECORD_STREAM = "operators"
SCRIPT = "script"
NOT_LEADER_STATUS = 421
"""HTTP status of a follower, which may name the leader."""
BUSY_STATUS = 503
"""HTTP status of a replica that takes no command now."""
BEAT_JITTER_SECONDS = 0.002
"""Seconds; chosen, not measured."""


class Attempt(msgspec.Struct):
    """One command on its way."""

    operator: str
    command_id: str
    command: dict[str, Any]
    sent_at: float
    patience_seconds: float
    server: int = 0
    tries: int = 0
    is_resend: bool = False


class AnswerBody(msgspec.Struct):
    """What any answer of the operators' API may carry."""

    revision: int = 0
    outcome: dict[str, Any] | None = None
    code: str = ""
    leader: str = ""


class Operators:
    """Reducer of all operators of a deployment."""

    def __init__(self, settings: OperatorSettings) -> None:
        """Make operators that have not started."""
        self._settings = settings
        self._random = random.Random()
        self._attempts: dict[str, Attempt] = {}
        """By operator: an operator waits for one answer before the next command."""
        self._revisions: dict[str, dict[str, int]] = {}
        """By operator and key: the revision it believes in."""
        self._script_position = 0
        self._counter = 0
        self._server = 0
        self._run_name = ""

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Begin the script and the racing writes."""
        self._random = random.Random(event.seed)
        self._run_name = f"{event.seed:x}"
        effects: list[Effect] = []
        if self._settings.script:
            effects.append(SetTimer(SCRIPT, max(0.0, self._settings.script[0].at - now)))
        writes = self._settings.writes
        if writes is not None:
            for number in range(writes.operators):
                name = f"operator-{number + 1}"
                self._revisions[name] = {}
                effects.append(SetTimer(name, max(0.0, writes.start_at - now)))
        return effects

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Send, take answers, send again."""
        if isinstance(event, TimerFired):
            return self._timer_fired(event.name, now)
        if isinstance(event, CallResponded):
            return self._answered(event, now)
        if isinstance(event, CallFailed):
            return self._unanswered(event, now)
        return ()

    def _timer_fired(self, name: str, now: float) -> Sequence[Effect]:
        operator, _, what = name.partition("/")
        attempt = self._attempts.get(operator)
        if what == "retry":
            return self._send(attempt) if attempt is not None else ()
        if attempt is not None:
            return ()
        if operator == SCRIPT:
            return self._next_of_script(now)
        assert self._settings.writes is not None
        return self._random_write(operator, self._settings.writes, now)

    def _next_of_script(self, now: float) -> Sequence[Effect]:
        script = self._settings.script
        if self._script_position >= len(script):
            return ()
        step = script[self._script_position]
        if now < step.at:
            return (SetTimer(SCRIPT, step.at - now),)
        return self._begin(SCRIPT, step.command, now, float("inf"))

    def _random_write(self, operator: str, writes: RandomWrites, now: float) -> Sequence[Effect]:
        if now >= writes.stop_at:
            return ()
        caller = f"raced-{self._random.randrange(writes.keys) + 1}"
        key = f"limits/{caller}"
        expected: int | None = self._revisions[operator].get(key, 0)
        if self._random.random() < writes.blind_share:
            expected = None
        command = {
            "command": "put_object",
            "key": key,
            "object": {"caller": caller, "weight": 1.0 + self._random.random()},
            "expected_revision": expected,
        }
        return self._begin(operator, command, now, self._settings.patience_seconds)

    def _begin(
        self, operator: str, command: dict[str, Any], now: float, patience_seconds: float
    ) -> Sequence[Effect]:
        self._counter += 1
        command_id = f"{operator}-{self._run_name}-{self._counter}"
        attempt = Attempt(operator, command_id, command, now, patience_seconds, self._server)
        self._attempts[operator] = attempt
        return self._send(attempt)

    def _send(self, attempt: Attempt) -> Sequence[Effect]:
        attempt.tries += 1
        headers = {"content-type": "application/json"}
        if self._settings.token:
            headers["authorization"] = f"Bearer {self._settings.token}"
        body = {"command_id": attempt.command_id, "command": attempt.command}
        return (
            StartCall(
                f"{attempt.operator}/{attempt.command_id}/{attempt.tries}",  # type: ignore[arg-type]
                self._settings.controls[attempt.server % len(self._settings.controls)],
                "POST",
                "/v1/commands",
                headers,
                msgspec.json.encode(body),
                self._settings.request_timeout_seconds,
            ),
        )

    def _attempt_of(self, call_id: str) -> Attempt | None:
        operator, command_id, _tries = call_id.rsplit("/", 2)
        attempt = self._attempts.get(operator)
        if attempt is None or attempt.command_id != command_id:
            return None
        return attempt

    def _unanswered(self, event: CallFailed, now: float) -> Sequence[Effect]:
        attempt = self._attempt_of(event.call_id)
        return self._try_elsewhere(attempt, now) if attempt is not None else ()

    def _try_elsewhere(self, attempt: Attempt, now: float) -> Sequence[Effect]:
        attempt.server += 1
        return self._retry(attempt, now)

    def _retry(self, attempt: Attempt, now: float) -> Sequence[Effect]:
        if now - attempt.sent_at > attempt.patience_seconds:
            return self._finish(attempt, now, None, "unknown", 0, "")
        return (SetTimer(f"{attempt.operator}/retry", self._settings.retry_seconds),)

    def _answered(self, event: CallResponded, now: float) -> Sequence[Effect]:
        attempt = self._attempt_of(event.call_id)
        if attempt is None:
            return ()
        try:
            body = msgspec.json.decode(event.body, type=AnswerBody)
        except msgspec.DecodeError:
            return self._try_elsewhere(attempt, now)
        if event.status == NOT_LEADER_STATUS:
            return self._follow(attempt, body.leader, now)
        if event.status == BUSY_STATUS:
            return self._try_elsewhere(attempt, now)
        if body.outcome is not None:
            outcome = str(body.outcome.get("outcome", ""))
            code = str(body.outcome.get("code", ""))
            revision = body.revision or int(body.outcome.get("revision", 0))
            current = int(body.outcome.get("current_revision", 0))
            self._learn(attempt, outcome, revision, current)
            return self._finish(attempt, now, now, outcome, revision, code)
        if 400 <= event.status < 500 and event.status != 429:
            return self._finish(attempt, now, now, "refused", 0, body.code)
        return self._try_elsewhere(attempt, now)

    def _follow(self, attempt: Attempt, leader: str, now: float) -> Sequence[Effect]:
        if leader in self._settings.controls:
            attempt.server = self._settings.controls.index(leader)
            return self._retry(attempt, now)
        return self._try_elsewhere(attempt, now)

    def _learn(self, attempt: Attempt, outcome: str, revision: int, current: int) -> None:
        beliefs = self._revisions.get(attempt.operator)
        if beliefs is None or attempt.is_resend:
            return
        key = str(attempt.command["key"])
        if outcome == "done":
            # Every operator sees a successful write at once: the next race is an equal one.
            for others in self._revisions.values():
                others[key] = revision
        elif current:
            beliefs[key] = current

    def _finish(
        self,
        attempt: Attempt,
        now: float,
        ended_at: float | None,
        outcome: str,
        revision: int,
        code: str,
    ) -> Sequence[Effect]:
        self._server = attempt.server
        record = OperatorRecord(
            command_id=attempt.command_id,
            command=attempt.command,
            sent_at=attempt.sent_at,
            ended_at=ended_at,
            outcome=outcome,
            revision=revision,
            operator=attempt.operator,
            code=code,
        )
        del self._attempts[attempt.operator]
        return [WriteRecord(RECORD_STREAM, record), *self._after(attempt, ended_at, now)]

    def _after(self, attempt: Attempt, ended_at: float | None, now: float) -> Sequence[Effect]:
        if attempt.operator == SCRIPT:
            self._script_position += 1
            return self._next_of_script(now)
        writes = self._settings.writes
        assert writes is not None
        if (
            ended_at is not None
            and not attempt.is_resend
            and self._random.random() < writes.resend_share
        ):
            return self._resend(attempt, now)
        # All operators write on the same beat, so that they race with equal revisions.
        wait = writes.interval_seconds - now % writes.interval_seconds
        jitter = self._random.uniform(0.0, BEAT_JITTER_SECONDS)
        return (SetTimer(attempt.operator, wait + jitter),)

    def _resend(self, attempt: Attempt, now: float) -> Sequence[Effect]:
        """Send an answered command once more, as if its answer had been lost."""
        again = msgspec.structs.replace(
            attempt, sent_at=now, server=self._random.randrange(100), is_resend=True
        )
        self._attempts[attempt.operator] = again
        return self._send(again)
