"""The scoring service, which can be told to be slow or dead."""

import math
import random
from collections.abc import Sequence

import msgspec
import xxhash
from result import Err

from merlinstand.common.errors import InvalidInputError
from merlinstand.kernel.effects import Effect, Respond, SetTimer, StopProcess
from merlinstand.kernel.events import Event, RequestReceived, Started, StopRequested, TimerFired
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.settings import ScorerSettings

_ANSWER_TIMER = "scorer.answer."
_HEAL_TIMER = "scorer.heal"
_SCORE_STEPS = 10_000
"""Different scores between 0 and 1; chosen, not measured."""


class ScoreBody(msgspec.Struct, frozen=True):
    """`POST /v1/score`."""

    sample_id: str
    prompt: str
    text: str


class ScoreAnswer(msgspec.Struct, frozen=True):
    """Answer of the scorer."""

    score: float


class Scorer:
    """Reducer of the scorer."""

    def __init__(self, settings: ScorerSettings) -> None:
        """Begin healthy."""
        self._settings = settings
        self._answers: dict[str, Respond] = {}
        self._fault = ""
        self._count = 0

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Begin."""
        self._random = random.Random(event.seed)
        return ()

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Take one event."""
        match event:
            case RequestReceived():
                return self._request(event)
            case TimerFired() if event.name == _HEAL_TIMER:
                self._fault = ""
            case TimerFired() if event.name in self._answers:
                return (self._answers.pop(event.name),)
            case StopRequested():
                return (StopProcess(),)
            case _:
                pass
        return ()

    def _request(self, event: RequestReceived) -> Sequence[Effect]:
        """Route one HTTP request."""
        common = endpoint.respond_common(event, ready=not self._fault)
        if common is not None:
            return (common,)
        match endpoint.route(event):
            case ("POST", "/v1/score"):
                return self._score(event)
            case ("POST", "/lab/faults"):
                return self._laboratory(event)
            case _:
                return (endpoint.respond_not_found(event),)

    def _score(self, event: RequestReceived) -> Sequence[Effect]:
        """Answer after a while; never while dead."""
        decoded = endpoint.decode_body(event.body, ScoreBody)
        if isinstance(decoded, Err):
            return (endpoint.respond_error(event.request_id, decoded.err_value),)
        if self._fault == "dead":
            return ()
        digest = xxhash.xxh3_64_intdigest(decoded.ok_value.sample_id.encode())
        answer = ScoreAnswer(digest % _SCORE_STEPS / _SCORE_STEPS)
        self._count += 1
        name = f"{_ANSWER_TIMER}{self._count}"
        self._answers[name] = endpoint.respond_json(event.request_id, answer)
        return (SetTimer(name, self._delay_seconds()),)

    def _delay_seconds(self) -> float:
        """Draw a response time."""
        if self._fault == "slow":
            return self._settings.slow_seconds
        median = math.log(self._settings.response_median_seconds)
        return self._random.lognormvariate(median, self._settings.response_sigma)

    def _laboratory(self, event: RequestReceived) -> Sequence[Effect]:
        """Become slow or dead, or heal."""
        decoded = endpoint.decode_body(event.body, endpoint.LabFault)
        if isinstance(decoded, Err):
            return (endpoint.respond_error(event.request_id, decoded.err_value),)
        fault = decoded.ok_value
        if fault.kind not in ("slow", "dead", "heal"):
            error = InvalidInputError(detail=f"unknown fault {fault.kind}")
            return (endpoint.respond_error(event.request_id, error),)
        self._fault = "" if fault.kind == "heal" else fault.kind
        effects: list[Effect] = [endpoint.respond_json(event.request_id, endpoint.Acknowledged())]
        if self._fault and fault.duration_seconds > 0:
            effects.append(SetTimer(_HEAL_TIMER, fault.duration_seconds))
        return effects
