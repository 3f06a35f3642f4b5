"""The trainer stand-in: pulls batches, trains for a modelled time, publishes new weights."""

import random
from collections.abc import Sequence

import msgspec
from result import Err

from merlinstand.common.errors import InvalidInputError
from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import (
    CancelCall,
    CancelTimer,
    CountMetric,
    Effect,
    LogEvent,
    SetTimer,
    StartCall,
    StopProcess,
    WriteRecord,
)
from merlinstand.kernel.events import (
    CallFailed,
    CallResponded,
    Event,
    RequestReceived,
    Started,
    StopRequested,
    TimerFired,
)
from merlinstand_lab.records.kinds import StepRecord
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.publisher import Publisher
from merlinstand_lab.standins.settings import TrainerSettings
from merlinstand_lab.standins.trainer_feed import FeedBody, FeedName, make_feeds
from merlinstand_lab.standins.trainer_messages import (
    PullBody,
    PulledBatch,
    PulledSample,
    PullRefusal,
)
from merlinstand_lab.standins.trainer_records import sample_record, step_record

_PULL_TIMER = "trainer.pull"
_STEP_TIMER = "trainer.step"
_PULL_PREFIX = "pull."
_FIRST_VERSION = 1
"""Version of the weights before the first step."""


class TrainerProgress(msgspec.Struct, frozen=True, kw_only=True):
    """`GET /lab/progress`: for the launcher's display."""

    consumer: str
    steps: int
    """Steps completed, and so recorded."""
    steps_fed_by_scripts: int = 0
    """Those of them on batches of the old scripts."""
    version: int
    waiting: bool
    samples: int


class Rewind(msgspec.Struct, frozen=True):
    """`POST /lab/rewind`: fall back to the checkpoint before a batch."""

    batch: int


class Trainer:
    """Reducer of one trainer."""

    def __init__(self, settings: TrainerSettings) -> None:
        """Keep the settings; `start` begins."""
        self._settings = settings
        self._publisher = Publisher(settings)
        self._version = 0
        self._feeds = make_feeds(settings)
        self._feed = self._feeds[FeedName.COORDINATORS]
        self._nonce = ""
        self._calls = 0
        self._asked_at: float | None = None
        self._sent_at = 0.0
        self._step: StepRecord | None = None
        self._samples = 0
        self._steps_done = 0
        self._steps_fed_by_scripts = 0

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Publish the first weights, or just begin to pull."""
        self._random = random.Random(event.seed)
        if self._settings.publishes:
            return self._publisher.publish(_FIRST_VERSION)
        return (self._pull(now),)

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Take one event."""
        match event:
            case CallResponded() | CallFailed() | TimerFired() if self._publisher.handles(event):
                return self._publishing(event, now)
            case TimerFired(name=name) if name == _PULL_TIMER:
                return (self._pull(now),)
            case TimerFired(name=name) if name == _STEP_TIMER:
                return self._step_ended(now)
            case CallResponded() if event.call_id == self._current_call_id():
                return self._pulled(event, now)
            case CallFailed() if event.call_id == self._current_call_id():
                return self._try_elsewhere()
            case RequestReceived():
                return self._request(event, now)
            case StopRequested():
                return (StopProcess(),)
            case _:
                return ()

    def _request(self, event: RequestReceived, now: float) -> Sequence[Effect]:
        """Route one HTTP request."""
        common = endpoint.respond_common(event, ready=True)
        if common is not None:
            return (common,)
        match endpoint.route(event):
            case ("GET", "/lab/progress"):
                return (self._show_progress(event),)
            case ("POST", "/lab/rewind"):
                return self._rewind(event, now)
            case ("POST", "/lab/feed"):
                return self._change_feed(event, now)
            case _:
                return (endpoint.respond_not_found(event),)

    def _show_progress(self, event: RequestReceived) -> Effect:
        """Answer how far the trainer is."""
        progress = TrainerProgress(
            consumer=self._settings.consumer,
            steps=self._steps_done,
            steps_fed_by_scripts=self._steps_fed_by_scripts,
            version=self._version,
            waiting=self._asked_at is not None,
            samples=self._samples,
        )
        return endpoint.respond_json(event.request_id, progress)

    def _rewind(self, event: RequestReceived, now: float) -> Sequence[Effect]:
        """Fall back to an older checkpoint: the step under way and its batch are lost."""
        decoded = endpoint.decode_body(event.body, Rewind)
        if isinstance(decoded, Err):
            return (endpoint.respond_error(event.request_id, decoded.err_value),)
        batch = decoded.ok_value.batch
        if not 1 <= batch <= self._feed.last_batch + 1:
            error = InvalidInputError(detail=f"there is no checkpoint before batch {batch}")
            return (endpoint.respond_error(event.request_id, error),)
        effects: list[Effect] = [
            endpoint.respond_json(event.request_id, endpoint.Acknowledged()),
            CancelCall(self._current_call_id()),
            CancelTimer(_STEP_TIMER),
            CancelTimer(_PULL_TIMER),
        ]
        self._feed.fall_back(batch - 1)
        self._step = None
        self._asked_at = None
        if self._publisher.is_idle:
            effects += self._next_pull(now)
        return effects

    def _change_feed(self, event: RequestReceived, now: float) -> Sequence[Effect]:
        """Pull from somebody else; a step under way goes on."""
        decoded = endpoint.decode_body(event.body, FeedBody)
        if isinstance(decoded, Err):
            return (endpoint.respond_error(event.request_id, decoded.err_value),)
        feed = self._feeds.get(decoded.ok_value.feed)
        if feed is None:
            error = InvalidInputError(detail="the settings name no such source of batches")
            return (endpoint.respond_error(event.request_id, error),)
        self._feed = feed
        acknowledged = endpoint.respond_json(event.request_id, endpoint.Acknowledged())
        if self._asked_at is None:
            return (acknowledged,)
        # An answer of the former source that is still on its way has an older nonce.
        cancel = (CancelCall(self._current_call_id()), CancelTimer(_PULL_TIMER))
        return (acknowledged, *cancel, self._pull(now))

    # --- publishing -----------------------------------------------------------------

    def _publishing(
        self, event: CallResponded | CallFailed | TimerFired, now: float
    ) -> Sequence[Effect]:
        """Go on with publishing; pull the next batch when it is over."""
        was_idle = self._publisher.is_idle
        effects = list(self._publisher.reduce(event, now))
        if self._publisher.is_idle and not was_idle:
            self._version += 1
            effects += self._next_pull(now)
        return effects

    # --- pulling --------------------------------------------------------------------

    def _next_pull(self, now: float) -> Sequence[Effect]:
        """Ask for the next batch unless all steps are done."""
        last_batch = self._feed.last_batch
        if 0 < self._settings.steps <= last_batch:
            return (LogEvent("trainer.finished", {"steps": last_batch}),)
        return (self._pull(now),)

    def _current_call_id(self) -> CallId:
        """Name of the latest pull; answers to earlier ones are dropped."""
        return CallId(f"{_PULL_PREFIX}{self._calls}")

    def _pull(self, now: float) -> Effect:
        """Ask for the next batch under a new nonce."""
        if self._asked_at is None:
            self._asked_at = now
        self._sent_at = now
        self._calls += 1
        self._nonce = f"{self._settings.consumer}-{self._random.getrandbits(64):016x}"
        body = PullBody(
            consumer=self._settings.consumer,
            last_received_batch=self._feed.last_batch,
            trainer_version=self._version,
            nonce=self._nonce,
            last_received_nonce=self._feed.last_nonce,
        )
        return StartCall(
            call_id=self._current_call_id(),
            address=self._feed.address,
            method="POST",
            path=f"/v1/jobs/{self._settings.job}/batches",
            headers=dict(endpoint.JSON_HEADERS),
            body=msgspec.json.encode(body),
            timeout_seconds=self._settings.request_timeout_seconds,
        )

    def _pulled(self, event: CallResponded, now: float) -> Sequence[Effect]:
        """Take a batch, or find out why there is none."""
        if event.status == 200:
            batch = msgspec.json.decode(event.body, type=PulledBatch)
            return self._received(batch, now)
        refusal = _decode_refusal(event.body)
        if event.status == 421 and refusal.owner:
            moved = self._feed.redirect(refusal.owner)
            return (SetTimer(_PULL_TIMER, 0.0 if moved else self._settings.retry_seconds),)
        if event.status in (202, 409):
            delay = refusal.retry_after_seconds
            return (
                SetTimer(_PULL_TIMER, self._settings.retry_seconds if delay is None else delay),
            )
        return self._try_elsewhere()

    def _try_elsewhere(self) -> Sequence[Effect]:
        """Ask the next address after a short while."""
        self._feed.try_next()
        return (SetTimer(_PULL_TIMER, self._settings.retry_seconds),)

    def _received(self, batch: PulledBatch, now: float) -> Sequence[Effect]:
        """Record every sample and train on the batch."""
        if batch.nonce != self._nonce or batch.batch != self._feed.last_batch + 1:
            # An answer to an earlier attempt: it was voided, so it must not be trained on.
            fields = {"batch": batch.batch, "nonce": batch.nonce}
            drop = LogEvent("trainer.late_answer_dropped", fields, "warning")
            return (drop, SetTimer(_PULL_TIMER, self._settings.retry_seconds))
        limit_seconds = batch.use_within_seconds
        if limit_seconds is not None and now - self._sent_at > limit_seconds:
            drop = LogEvent("trainer.old_answer_dropped", {"batch": batch.batch}, "warning")
            return (drop, SetTimer(_PULL_TIMER, 0.0))
        assert self._asked_at is not None
        self._feed.received(batch.batch, batch.nonce)
        self._samples += len(batch.samples)
        if not self._settings.publishes:
            self._version = batch.newest_version
        self._step = step_record(batch, self._feed.label, self._version, self._asked_at, now)
        self._asked_at = None
        effects: list[Effect] = [self._record(sample, batch, now) for sample in batch.samples]
        effects.append(CountMetric("trainer_samples_total", len(batch.samples)))
        effects.append(SetTimer(_STEP_TIMER, self._settings.step_seconds))
        return effects

    def _record(self, sample: PulledSample, batch: PulledBatch, now: float) -> WriteRecord:
        """Record one sample."""
        record = sample_record(sample, batch, self._feed.label, self._version, now)
        return WriteRecord(f"trainer-{self._settings.consumer}", record)

    # --- training -------------------------------------------------------------------

    def _step_ended(self, now: float) -> Sequence[Effect]:
        """Record the step and publish the new weights."""
        assert self._step is not None
        step = msgspec.structs.replace(self._step, step_ended_at=now)
        self._step = None
        self._steps_done += 1
        self._steps_fed_by_scripts += step.consumer != self._settings.consumer
        effects: list[Effect] = [WriteRecord(f"idle-{self._settings.consumer}", step)]
        if self._settings.publishes:
            return [*effects, *self._publisher.publish(self._version + 1)]
        return [*effects, *self._next_pull(now)]


def _decode_refusal(body: bytes) -> PullRefusal:
    """Decode an answer without a batch; anything else counts as an empty refusal."""
    try:
        return msgspec.json.decode(body, type=PullRefusal)
    except msgspec.DecodeError:
        return PullRefusal()
