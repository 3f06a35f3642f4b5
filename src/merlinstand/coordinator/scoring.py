"""Scores finished samples by calls to a scorer, which may be slow or unavailable.

A sample waits for its score for at most `GenerationSettings.scorer_wait_seconds`, and not at all
while the scorer's circuit breaker is open. It then continues without a score, and the job's policy
weighs it accordingly. Waiting samples are not in the journal yet: those that wait when the process
ends are generated again.
"""

import math
from random import Random

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.purposes import ScoreCall
from merlinstand.coordinator.samples import Sample
from merlinstand.kernel.events import CallFailed, CallResponded
from merlinstand.routing.breaker import CircuitBreaker
from merlinstand.routing.settings import BreakerSettings

RETRY_SECONDS = 0.25
"""Delay before a sample whose scoring failed is sent to the scorer again, within
`GenerationSettings.scorer_wait_seconds`."""


class ScoreRequest(msgspec.Struct, frozen=True):
    """Body of `POST /v1/score`."""

    sample_id: str
    prompt: str
    text: str


class ScoreResponse(msgspec.Struct, frozen=True):
    """Response of the scorer."""

    score: float


class WaitingSample(msgspec.Struct):
    """A finished sample that waits for its score."""

    sample: Sample
    deadline: float
    next_try_at: float
    in_call: bool = False


class ScoringManager:
    """Scores the samples of one job; each is returned within a bounded time."""

    def __init__(self, job: str, random: Random) -> None:
        self._job = job
        self._breaker = CircuitBreaker(BreakerSettings(), random)
        self._waiting: dict[int, WaitingSample] = {}

    def submit(self, context: Context, scorer: str, sample: Sample) -> list[Sample]:
        """Submit a finished sample.

        Returns:
            Samples that continue without a score, as returned by `tick`.
        """
        if not scorer:
            return [sample]
        deadline = context.now + context.settings.generation.scorer_wait_seconds
        self._waiting[sample.slot] = WaitingSample(sample, deadline, context.now)
        return self.tick(context, scorer)

    def tick(self, context: Context, scorer: str) -> list[Sample]:
        """Send the requests that are due; return samples that continue without a score."""
        unscored = []
        for slot, waiting in list(self._waiting.items()):
            # No sample waits while the breaker is open, so that a failed scorer delays no trainer.
            closed = self._breaker.allows(context.now)
            if context.now >= waiting.deadline or not (closed or waiting.in_call):
                del self._waiting[slot]
                context.count("samples_without_score_total", job=self._job)
                unscored.append(waiting.sample)
            elif not waiting.in_call and context.now >= waiting.next_try_at:
                self._send(context, scorer, waiting)
        return unscored

    def handle_response(
        self, context: Context, slot: int, event: CallResponded | CallFailed
    ) -> list[Sample]:
        """Handle a response; return the sample if it now has a score."""
        score = _decode_score(event)
        if score is None:
            self._breaker.record_failure(context.now)
        else:
            self._breaker.record_success(context.now)
        waiting = self._waiting.get(slot)
        if waiting is None:
            return []
        if score is None:
            waiting.in_call = False
            waiting.next_try_at = context.now + RETRY_SECONDS
            return []
        del self._waiting[slot]
        return [msgspec.structs.replace(waiting.sample, score=score)]

    def forget(self, slot: int) -> None:
        """Remove a sample that is no longer needed."""
        self._waiting.pop(slot, None)

    def _send(self, context: Context, scorer: str, waiting: WaitingSample) -> None:
        waiting.in_call = True
        self._breaker.record_call_start(context.now)
        sample = waiting.sample
        body = ScoreRequest(sample.sample_id, sample.prompt, sample.text)
        context.start_call(
            ScoreCall(self._job, sample.slot),
            scorer,
            "POST",
            "/v1/score",
            body=msgspec.json.encode(body),
            timeout_seconds=context.settings.generation.scorer_timeout_seconds,
        )


def _decode_score(event: CallResponded | CallFailed) -> float | None:
    """Return the score; None if the call failed, which counts against the breaker."""
    if isinstance(event, CallFailed) or event.status != 200:
        return None
    try:
        score = msgspec.json.decode(event.body, type=ScoreResponse).score
    except DECODE_ERRORS:
        return None
    # An infinite score cannot be written as JSON.
    return score if math.isfinite(score) else None
