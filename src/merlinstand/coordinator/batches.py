"""Delivers batches to trainers: composed, committed in the ledger, and only then sent.

A trainer's request is held until its batch is ready, for at most
`GenerationSettings.pull_hold_seconds`. A batch is composed of deliverable samples (`candidates`,
`composition`), its slots are reserved, and it is committed in the ledger, one commit per consumer
at a time. Only the ledger decides whether the commit succeeds; if not, the samples are released.
"""

import math

import msgspec
from result import Err

from merlinstand.common.errors import MerlinstandError
from merlinstand.common.ids import CommandId, RequestId
from merlinstand.control.commands import AnyOutcome, BatchCommitted, BatchSample, CommitBatch
from merlinstand.control.commands import Refused as CommandRefused
from merlinstand.control.queries import LedgerAnswer
from merlinstand.coordinator.candidates import CandidateSelector
from merlinstand.coordinator.composition import Candidate
from merlinstand.coordinator.consumers import ConsumerProgress
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.errors import NoLeaseError, NonceUsedError, SupersededError
from merlinstand.coordinator.forecast import ConsumerForecast
from merlinstand.coordinator.purposes import BatchCommit
from merlinstand.coordinator.refusals import batch_not_ready, batch_outdated, ledger_refused
from merlinstand.coordinator.samples import BatchRequest, BatchResponse, to_trainer
from merlinstand.coordinator.slots import SlotState
from merlinstand.coordinator.staleness import fresh_seconds
from merlinstand.coordinator.store import SampleStore
from merlinstand.coordinator.terms import JobTerms

MAXIMUM_DISCARDED_SLOTS = 4_096
"""Maximum number of discarded slots that are reported with one batch."""


class Pull(msgspec.Struct):
    """A trainer's pending request for a batch."""

    request_id: RequestId
    request: BatchRequest
    arrived_at: float
    ledger_reread: bool = False
    """Whether the ledger was read again because the trainer's position differed from it."""


class PendingCommit(msgspec.Struct):
    """A batch whose commit is pending in the ledger."""

    command_id: CommandId
    request_id: RequestId | None
    """None once the trainer has disconnected."""
    command: CommitBatch
    candidates: tuple[Candidate, ...]
    requested_at: float
    """When the trainer's request was received."""


class BatchManager:
    """Delivers batches to the consumers of one job, one commit per consumer at a time."""

    def __init__(self, store: SampleStore) -> None:
        """Consumers have no position until `load` sets it from the ledger."""
        self._store = store
        self._selector = CandidateSelector(store)
        self._progress: dict[str, ConsumerProgress] = {}
        self._pulls: dict[str, Pull] = {}
        self._commits: dict[str, PendingCommit] = {}
        self._delivered_at: dict[str, float] = {}
        self.forecasts: dict[str, ConsumerForecast] = {}
        self.loaded = False
        self.needs_ledger_read = False
        """Whether the ledger must be read (again) before any batch is delivered."""

    @property
    def has_pending_commits(self) -> bool:
        """Whether the outcome of any consumer's commit is still unknown."""
        return bool(self._commits)

    def progress(self, consumer: str) -> ConsumerProgress:
        """Return a consumer's position in its sequence of batches."""
        return self._progress.setdefault(consumer, ConsumerProgress(consumer))

    def forecast(self, consumer: str) -> ConsumerForecast:
        """Return the forecast of a consumer's requests."""
        return self.forecasts.setdefault(consumer, ConsumerForecast())

    def last_delivered_at(self) -> float:
        """Return when the last batch was committed; minus infinity before the first."""
        return max(self._delivered_at.values(), default=-math.inf)

    def load(self, answer: LedgerAnswer, slot_of: dict[str, int]) -> None:
        """Set all positions from the ledger.

        Args:
            answer: The ledger's response.
            slot_of: Slot of each sample id in the unacknowledged attempts.
        """
        for position in answer.consumers:
            slots = tuple(slot_of[sample_id] for sample_id in position.samples)
            self.progress(position.consumer).load(position, slots)
            self._store.reserve(slots)
        self.loaded = True
        self.needs_ledger_read = False
        for pull in self._pulls.values():
            pull.ledger_reread = True

    def add_request(self, context: Context, request_id: RequestId, request: BatchRequest) -> None:
        """Add a trainer's request; `serve` responds to it when its batch is ready."""
        earlier = self._pulls.get(request.consumer)
        if earlier is not None:
            detail = "a newer request of this consumer arrived"
            context.refuse(earlier.request_id, SupersededError(detail=detail))
        self._pulls[request.consumer] = Pull(request_id, request, context.now)
        self._update_forecast(context, request)

    def _update_forecast(self, context: Context, request: BatchRequest) -> None:
        progress = self.progress(request.consumer)
        # A repeated request for the open batch is not a new training step.
        again = bool(progress.attempts) and request.last_received_batch < progress.next_batch
        forecast = self.forecast(request.consumer)
        if again:
            forecast.record_repeated_request()
        else:
            forecast.record_request(context.now)

    def abort_request(self, request_id: RequestId) -> None:
        """Handle a trainer's disconnect. A pending commit continues; its response is not sent."""
        for consumer, pull in list(self._pulls.items()):
            if pull.request_id == request_id:
                del self._pulls[consumer]
        for commit in self._commits.values():
            if commit.request_id == request_id:
                commit.request_id = None

    def serve(self, context: Context, terms: JobTerms) -> None:
        """Compose and commit batches, least recently served consumer first."""
        if not self._pulls:
            return
        order = sorted(self._pulls, key=lambda name: (self._delivered_at.get(name, -1.0), name))
        for consumer in order:
            pull = self._pulls[consumer]
            if not self._serve_one(context, terms, pull):
                self._refuse_if_expired(context, pull)

    def refuse_all(self, context: Context, error: NoLeaseError) -> None:
        """Refuse all pending requests because the job's lease was lost."""
        for pull in self._pulls.values():
            context.refuse(pull.request_id, error)
        for commit in self._commits.values():
            if commit.request_id is not None:
                context.refuse(commit.request_id, error)
        self._pulls.clear()
        self._commits.clear()

    # --- composing ------------------------------------------------------------------

    def _serve_one(self, context: Context, terms: JobTerms, pull: Pull) -> bool:
        """Respond to a pending request; returns False if its batch is not ready."""
        consumer = pull.request.consumer
        if not self.loaded or self.needs_ledger_read or consumer in self._commits:
            return False
        progress = self.progress(consumer)
        position = progress.requested_batch(pull.request)
        if isinstance(position, Err):
            return self._refuse_position(context, pull, position.err_value)
        batch = position.ok_value
        newest = max(terms.clock.newest, pull.request.trainer_version)
        if batch == progress.next_batch and pull.request.nonce in progress.attempts:
            candidates = self._selector.replay(context, terms, progress, pull.request.nonce, newest)
            if not candidates:
                detail = "the batch must be composed anew: ask under a new nonce"
                return self._refuse(context, pull, NonceUsedError(detail=detail))
        else:
            reusable_slots = self._reusable_slots(pull.request, batch)
            delivered_at = self._delivered_at.get(consumer, -math.inf)
            candidates = self._selector.compose(
                context, terms, pull.request, reusable_slots, newest, delivered_at
            )
        if not candidates:
            return False
        self._commit(context, terms, pull, batch, candidates)
        return True

    def _reusable_slots(self, request: BatchRequest, batch: int) -> set[int]:
        progress = self.progress(request.consumer)
        attempt_slots = progress.attempt_slots()
        if batch == progress.next_batch:
            return attempt_slots
        return attempt_slots - set(progress.delivered_slots(request.last_received_nonce))

    def _commit(
        self,
        context: Context,
        terms: JobTerms,
        pull: Pull,
        batch: int,
        candidates: tuple[Candidate, ...],
    ) -> None:
        request = pull.request
        samples = _ledger_samples(candidates)
        command = CommitBatch(
            job=terms.job.name,
            consumer=request.consumer,
            batch=batch,
            nonce=request.nonce,
            trainer_version=request.trainer_version,
            samples=samples,
            lease_epoch=terms.epoch,
            acknowledged_nonce=request.last_received_nonce,
            discarded_slots=self._store.discarded()[:MAXIMUM_DISCARDED_SLOTS],
        )
        self._store.reserve(sample.slot for sample in samples)
        self.forecast(request.consumer).record_composed(
            context.now, max(terms.clock.newest, request.trainer_version)
        )
        purpose = BatchCommit(terms.job.name, request.consumer, terms.epoch)
        command_id = context.submit(command, purpose)
        self._commits[request.consumer] = PendingCommit(
            command_id, pull.request_id, command, candidates, pull.arrived_at
        )
        del self._pulls[request.consumer]

    # --- outcomes -------------------------------------------------------------------

    def handle_commit_outcome(
        self,
        context: Context,
        terms: JobTerms,
        command_id: CommandId,
        consumer: str,
        outcome: AnyOutcome | None,
    ) -> None:
        """Handle the ledger's outcome of a commit; None if it is unknown."""
        commit = self._commits.get(consumer)
        if commit is None or commit.command_id != command_id:
            return
        del self._commits[consumer]
        if isinstance(outcome, BatchCommitted):
            self._handle_committed(context, terms, commit, outcome)
        else:
            self._handle_refused(context, commit, outcome)

    def _handle_committed(
        self, context: Context, terms: JobTerms, commit: PendingCommit, outcome: BatchCommitted
    ) -> None:
        command = commit.command
        slots = tuple(sample.slot for sample in command.samples)
        progress = self.progress(command.consumer)
        if not progress.is_acknowledgement_known(command.batch, command.acknowledged_nonce):
            # The trainer received an attempt that an earlier coordinator committed.
            self.needs_ledger_read = True
        settled = progress.record_commit(
            command.batch, command.nonce, slots, command.acknowledged_nonce
        )
        self._store.mark_used(settled.used)
        self._store.release(settled.released)
        for slot in command.discarded_slots:
            self._store.slots.set_state(slot, SlotState.USED)
        spent = sum(candidate.at_bound and candidate.passed_over for candidate in commit.candidates)
        self._selector.budget.record_delivery(len(slots), spent)
        self._delivered_at[command.consumer] = context.now
        terms.clock.observe(outcome.newest_version, context.now)
        self.forecast(command.consumer).record_commit(outcome.newest_version)
        context.count("batches_committed_total", job=terms.job.name)
        if commit.request_id is None:
            return
        outdated = terms.clock.newest > outcome.newest_version or not (
            terms.sole_consumer or terms.clock.is_publication_unlikely(context.now)
        )
        if outdated and any(candidate.at_bound for candidate in commit.candidates):
            context.refuse(commit.request_id, batch_outdated())
            return
        self._respond(context, terms, commit, outcome)

    def _respond(
        self, context: Context, terms: JobTerms, commit: PendingCommit, outcome: BatchCommitted
    ) -> None:
        assert commit.request_id is not None
        oldest = min(candidate.sample.oldest_version for candidate in commit.candidates)
        fresh = fresh_seconds(terms.bound, terms.clock, oldest, outcome.newest_version, context.now)
        # The trainer counts from when it sent its request, so the time spent here is added. No
        # clocks are compared; the request's transit time only makes the limit stricter.
        waited = context.now - commit.requested_at
        answer = BatchResponse(
            job=commit.command.job,
            consumer=commit.command.consumer,
            batch=outcome.batch,
            nonce=outcome.nonce,
            newest_version=outcome.newest_version,
            samples=tuple(
                to_trainer(candidate.sample, candidate.weight) for candidate in commit.candidates
            ),
            use_within_seconds=None if fresh is None else waited + fresh,
        )
        context.respond(commit.request_id, 200, msgspec.json.encode(answer))

    def _handle_refused(
        self, context: Context, commit: PendingCommit, outcome: AnyOutcome | None
    ) -> None:
        command = commit.command
        code = outcome.code if isinstance(outcome, CommandRefused) else "unknown"
        context.count("batches_refused_total", job=command.job, code=code)
        context.log("batch.refused", job=command.job, consumer=command.consumer, code=code)
        self._release_commit(command)
        self.forecast(command.consumer).record_repeated_request()
        # "stale": the ledger knows a newer version than this coordinator, whose configuration
        # is updated soon. Any other code: this object's state is wrong, the ledger's is right.
        if code not in ("stale", "conflict"):
            self.needs_ledger_read = True
        if commit.request_id is None:
            return
        if code == "conflict":
            detail = "the batch must be composed anew: ask under a new nonce"
            context.refuse(commit.request_id, NonceUsedError(detail=detail))
            return
        context.refuse(commit.request_id, ledger_refused(code))

    def _release_commit(self, command: CommitBatch) -> None:
        still_held = self.progress(command.consumer).attempt_slots()
        self._store.release(
            sample.slot for sample in command.samples if sample.slot not in still_held
        )

    # --- refusals -------------------------------------------------------------------

    def _refuse_position(self, context: Context, pull: Pull, error: MerlinstandError) -> bool:
        # An operator may have rewound the job: read the ledger again before refusing the
        # trainer.
        if not pull.ledger_reread:
            self.needs_ledger_read = True
            return False
        return self._refuse(context, pull, error)

    def _refuse(self, context: Context, pull: Pull, error: MerlinstandError) -> bool:
        del self._pulls[pull.request.consumer]
        context.refuse(pull.request_id, error)
        return True

    def _refuse_if_expired(self, context: Context, pull: Pull) -> None:
        held_for = context.now - pull.arrived_at
        if held_for >= context.settings.generation.pull_hold_seconds:
            self._refuse(context, pull, batch_not_ready())


def _ledger_samples(candidates: tuple[Candidate, ...]) -> tuple[BatchSample, ...]:
    """Return a batch's samples as the ledger stores them."""
    return tuple(
        BatchSample(
            candidate.sample.slot, candidate.sample.sample_id, candidate.sample.oldest_version
        )
        for candidate in candidates
    )
