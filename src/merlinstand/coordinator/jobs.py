"""One job that this coordinator leads: from prompts to batches.

`JobRunner` holds the components of one leased job and passes events between them. Its owner
(`WorkManager`) must stop it when the lease is lost.

Behaviour by phase and mode:

- Running: samples are started (`job_planner`), scored, journalled and delivered.
- Paused: nothing is started or resumed, and new requests for batches are refused
  (`refusals.job_paused`). Open streams continue to their end.
- Cancelled: every generation is cancelled.
- Mirror mode: samples are generated and scored as above, but no batch is delivered, since the
  team's own scripts feed the trainer (docs/ADOPTION.md).

Nothing is started before the ledger has been read under this lease. It is read again whenever it
may differ from the local state (`BatchManager.needs_ledger_read`).
"""

from random import Random

from result import Err

from merlinstand.common.ids import CommandId, RequestId
from merlinstand.configuration.objects import Job, JobMode, JobPhase
from merlinstand.control.commands import AnyOutcome
from merlinstand.control.queries import LedgerAnswer, LedgerQuery
from merlinstand.coordinator.batches import BatchManager
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.dispatch import StreamRequest
from merlinstand.coordinator.engines import Engine, EnginePool
from merlinstand.coordinator.errors import JobNotActiveError, UnknownConsumerError
from merlinstand.coordinator.expiry import Expiry
from merlinstand.coordinator.forecast import Demand
from merlinstand.coordinator.generation import Generation
from merlinstand.coordinator.generations import GenerationManager
from merlinstand.coordinator.job_planner import JobPlanner
from merlinstand.coordinator.journal import SampleJournal
from merlinstand.coordinator.lengths import LengthStatistics
from merlinstand.coordinator.prompts import PromptCache
from merlinstand.coordinator.purposes import LedgerRead
from merlinstand.coordinator.refusals import job_paused, lease_lost
from merlinstand.coordinator.samples import BatchRequest, Sample
from merlinstand.coordinator.scoring import ScoringManager
from merlinstand.coordinator.slots import SlotState
from merlinstand.coordinator.staleness import StalenessBound
from merlinstand.coordinator.store import SampleStore
from merlinstand.coordinator.supply import SupplyView
from merlinstand.coordinator.terms import JobTerms, has_sole_consumer
from merlinstand.kernel.events import CallFailed, CallResponded
from merlinstand.policy.check import check_policy
from merlinstand.policy.program import CompiledPolicy

HOUSEKEEPING_INTERVAL_SECONDS = 0.2
"""Interval of the checks for stalled streams, leaving engines and expired samples. Each check
iterates over all of the job's samples, and none is urgent."""


class JobRunner:
    """Generates, scores, journals and delivers the samples of one leased job."""

    def __init__(
        self,
        context: Context,
        job: Job,
        epoch: int,
        pool: EnginePool,
        journal: SampleJournal,
        random: Random,
    ) -> None:
        """The caller must hold the job's lease. Nothing starts before the ledger has been read."""
        self.job = job
        self.epoch = epoch
        self.accepting = True
        """False during a planned stop: no new sample is started."""
        self._context = context
        self._journal = journal
        self._policy = _compile_policy(job)
        self._terms = self._make_terms()
        self._store = SampleStore(job.name, job.samples_per_prompt, self._terms.unit_size)
        self.batch_manager = BatchManager(self._store)
        self._lengths = LengthStatistics(job.maximum_tokens)
        self.generations = GenerationManager(job.name, pool, self._handle_generated)
        self._scoring = ScoringManager(job.name, random)
        self._prompts = PromptCache(job)
        self._supply = SupplyView(self._store, self.generations, self._lengths)
        self._planner = self._make_planner()
        self._expiry = self._make_expiry()
        self._finalizing: set[int] = set()
        """Slots whose samples are generated, but wait for a score or to become durable."""
        self._recovered: list[Sample] = journal.live_samples(job.name)
        self._reading_ledger = False
        self._housekeeping_at = 0.0
        self.stream_limit = 0.0
        """Limit on concurrent streams, by the job's share of the pool."""

    def _make_planner(self) -> JobPlanner:
        return JobPlanner(
            self._store,
            self.batch_manager,
            self.generations,
            self._prompts,
            self._lengths,
            self._supply,
        )

    def _make_expiry(self) -> Expiry:
        return Expiry(self._store, self.generations, self._lengths, self._supply, self._cancel_slot)

    @property
    def changed(self) -> bool:
        """Whether anything changed that affects planning."""
        return self.generations.changed

    @changed.setter
    def changed(self, value: bool) -> None:
        self.generations.changed = value

    # --- configuration and ledger ---------------------------------------------------

    def configure(self, job: Job) -> None:
        """Apply the job's new configuration."""
        if job.policy != self.job.policy:
            self._policy = _compile_policy(job)
        self.job = job
        self._terms = self._make_terms()
        self._prompts.configure(job)
        if job.phase is JobPhase.CANCELLED:
            self.generations.cancel_all(self._context)
        self.changed = True

    def terms(self) -> JobTerms:
        """Return the job's current terms."""
        return self._terms

    def _make_terms(self) -> JobTerms:
        sole = has_sole_consumer(self.job, self._context.view.jobs.values())
        policy = self._policy
        bound = StalenessBound(
            policy.maximum_staleness_versions, policy.maximum_staleness_seconds, sole
        )
        clock = self._context.version_clock(self.job.model)
        return JobTerms(self.job, policy, self.epoch, clock, bound)

    def handle_ledger(self, answer: LedgerAnswer | None) -> None:
        """Apply the ledger's response to a read; None if the ledger could not be read."""
        self._reading_ledger = False
        if answer is None:
            return
        self._store.release(self._store.slots.with_state(SlotState.RESERVED))
        self._store.load_used(answer.used_below, answer.used_above)
        slot_of = {
            sample_id: self._slot_of(sample_id)
            for position in answer.consumers
            for sample_id in position.samples
        }
        self.batch_manager.load(answer, slot_of)
        for slot in self._store.slots.with_state(SlotState.RESERVED):
            self._cancel_slot(slot)
        recovered, self._recovered = self._recovered, []
        unneeded = tuple(sample.slot for sample in recovered if not self._store.put(sample))
        if unneeded:
            self._context.add(self._journal.close(self.job.name, unneeded))
        self.changed = True
        self._context.log("job.ledger_read", job=self.job.name, used_below=answer.used_below)
        self.serve()

    def _slot_of(self, sample_id: str) -> int:
        _job, prompt_index, attempt = sample_id.rsplit("/", 2)
        return int(prompt_index) * max(1, self.job.samples_per_prompt) + int(attempt)

    def _read_ledger_if_needed(self) -> None:
        batch_manager = self.batch_manager
        # While a commit is pending, this response may show the ledger before that commit.
        if (
            self._reading_ledger
            or batch_manager.has_pending_commits
            or (batch_manager.loaded and not batch_manager.needs_ledger_read)
        ):
            return
        self._reading_ledger = True
        self._context.query(LedgerQuery(job=self.job.name), LedgerRead(self.job.name, self.epoch))

    # --- trainers -------------------------------------------------------------------

    def handle_batch_request(self, request_id: RequestId, request: BatchRequest) -> None:
        """Handle a trainer's request for a batch."""
        context = self._context
        if request.consumer not in self.job.consumers:
            detail = f"job {self.job.name} has no consumer {request.consumer!r}"
            context.refuse(request_id, UnknownConsumerError(detail=detail))
        elif self.job.mode is JobMode.MIRROR:
            detail = "the job is in mirror mode: the team's own scripts lead it"
            context.refuse(request_id, JobNotActiveError(detail=detail))
        elif self.job.phase is JobPhase.PAUSED:
            context.refuse(request_id, job_paused())
        else:
            self.changed = True
            self.batch_manager.add_request(context, request_id, request)
            self.serve()
            self._read_ledger_if_needed()

    def serve(self) -> None:
        """Deliver the batches that are ready and close used slots in the journal."""
        self.batch_manager.serve(self._context, self.terms())
        closed = self._store.take_closed()
        if closed:
            self._context.add(self._journal.close(self.job.name, closed))

    def handle_commit_outcome(
        self, command_id: CommandId, consumer: str, outcome: AnyOutcome | None
    ) -> None:
        """Handle the outcome of a commit; None if the outcome is unknown."""
        self.changed = True
        self.batch_manager.handle_commit_outcome(
            self._context, self.terms(), command_id, consumer, outcome
        )
        self._read_ledger_if_needed()
        self.serve()

    # --- samples --------------------------------------------------------------------

    def _handle_generated(self, generation: Generation) -> None:
        """Submit a complete sample for scoring."""
        slot = generation.slot
        self._lengths.record(generation.prompt, generation.token_count)
        assert generation.finish_reason is not None
        sample = Sample(
            job=self.job.name,
            slot=slot.slot,
            sample_id=slot.sample_id,
            prompt_index=slot.prompt_index,
            attempt=slot.attempt,
            prompt=generation.prompt,
            text=generation.text(),
            token_count=generation.token_count,
            spans=generation.span_recorder.spans(),
            finish_reason=generation.finish_reason.value,
        )
        if not sample.spans:
            # No token was generated, so there is no version to record: generate it again.
            self._store.slots.set_state(slot.slot, SlotState.WANTED)
            return
        self._context.count("samples_generated_total", job=self.job.name)
        self._finalizing.add(slot.slot)
        self._handle_scored(self._scoring.submit(self._context, self.job.scorer, sample))

    def handle_scorer_response(self, slot: int, event: CallResponded | CallFailed) -> None:
        """Handle a response of the scorer."""
        self._handle_scored(self._scoring.handle_response(self._context, slot, event))

    def _handle_scored(self, samples: list[Sample]) -> None:
        """Journal samples whose scoring ended, with or without a score; drop those of weight 0."""
        terms = self.terms()
        kept = []
        for sample in samples:
            if terms.weight(self._context, sample, terms.clock.newest) > 0.0:
                kept.append(sample)
                continue
            self._finalizing.discard(sample.slot)
            self._context.count("samples_dropped_total", job=self.job.name)
            if self._store.drop(sample.slot):
                self._context.count("slots_given_up_total", job=self.job.name, reason="policy")
        if kept:
            self._context.add(self._journal.append(tuple(kept)))

    def handle_durable(self, sample: Sample) -> None:
        """Handle a sample that became durable; only the first one of each slot is kept."""
        self._finalizing.discard(sample.slot)
        self.changed = True
        if not self._store.put(sample, self._context.now):
            self._context.count("samples_late_total", job=self.job.name)
            return
        duplicate = self.generations.for_slot(sample.slot)
        if duplicate is not None:
            self.generations.cancel(self._context, duplicate)

    def handle_prompt_response(self, offset: int, event: CallResponded | CallFailed) -> None:
        """Handle a response of the prompt server."""
        self._prompts.handle_response(offset, event)

    # --- scheduling -----------------------------------------------------------------

    def tick(self) -> None:
        """Run the periodic work: ledger read, scoring and the checks of samples."""
        self._read_ledger_if_needed()
        self._handle_scored(self._scoring.tick(self._context, self.job.scorer))
        if self.batch_manager.loaded and self._context.now >= self._housekeeping_at:
            self._housekeeping_at = self._context.now + HOUSEKEEPING_INTERVAL_SECONDS
            self.generations.resume_stalled(self._context)
            self.generations.export_from_leaving_engines(self._context)
            self._expire_and_restart()
            self.serve()

    def streaming(self) -> int:
        """Return the number of open streams."""
        return self.generations.streaming_count

    def demands(self) -> list[Demand]:
        """Return the expected batches of all consumers, earliest first."""
        return self._planner.demands(self._context, self._terms)

    def stream_requests(self, context: Context, served_version: int) -> list[StreamRequest]:
        """Return the samples to start or resume now on engines of at most `served_version`."""
        if not self.batch_manager.loaded or self.job.phase is not JobPhase.RUNNING:
            return []
        may_start = self.accepting and context.session.may_take_new_work(context.now)
        return self._planner.stream_requests(
            context, self._terms, self._finalizing, served_version, may_start=may_start
        )

    def start_stream(self, context: Context, request: StreamRequest, engine: Engine) -> bool:
        """Start or resume a sample on an engine; returns False if it cannot start now."""
        return self._planner.start_stream(context, self._terms, request, engine)

    def _expire_and_restart(self) -> None:
        """Expire samples that are too old; with spare capacity, restart those that would be."""
        gave_up = self._expiry.expire_old_samples(
            self._context, self._terms, self.demands(), self.shortest_cycle_seconds()
        )
        self.changed = self.changed or gave_up
        demand = next(iter(self.demands()), None)
        if demand is None or demand.is_awaited or not self.accepting:
            return
        if self.job.phase is JobPhase.RUNNING:
            self._expiry.restart_on_newer_weights(
                self._context, self._terms, demand, self.stream_limit
            )

    def _cancel_slot(self, slot: int) -> None:
        generation = self.generations.for_slot(slot)
        if generation is not None:
            self.generations.cancel(self._context, generation)
        self._scoring.forget(slot)
        self._finalizing.discard(slot)

    def ready_count(self) -> int:
        """Return the number of finished samples that wait for a batch."""
        return self._store.slots.ready_count

    def shortest_cycle_seconds(self) -> float | None:
        """Return the shortest measured cycle of any consumer; None if none is known."""
        cycles = [forecast.cycle_seconds for forecast in self.batch_manager.forecasts.values()]
        return min((cycle for cycle in cycles if cycle is not None), default=None)

    def typical_sample_seconds(self) -> float:
        """Return the median time to generate a sample."""
        return self.generations.speed.seconds(self._lengths.quantile(0.5))

    def needed_tokens_per_second(self) -> float | None:
        """Return the rate that keeps all trainers busy; None before the first measured step."""
        steps = [forecast.step_seconds for forecast in self.batch_manager.forecasts.values()]
        rate = sum(self.job.batch_size / seconds for seconds in steps if seconds)
        return rate * self._lengths.mean() if rate else None

    def capacity_tokens_per_second(self) -> float:
        """Return the rate of the job's share of the serving engines."""
        return self.stream_limit * self.generations.speed.tokens_per_second

    def is_idle(self) -> bool:
        """Return whether no work is in progress; a planned stop waits for this."""
        return (
            not self.batch_manager.has_pending_commits
            and len(self.generations) == 0
            and not self._finalizing
        )

    def stop(self, reason: str) -> None:
        """Stop all work of the job, because its lease was lost or is to be released."""
        self.batch_manager.refuse_all(self._context, lease_lost(reason))
        self.generations.cancel_all(self._context)


def _compile_policy(job: Job) -> CompiledPolicy:
    """Compile an accepted policy; one that fails is replaced by the neutral policy.

    The control group rejects invalid policies, so compilation fails only if this process and the
    control group run different releases. The staleness bound applies in any case.
    """
    checked = check_policy(job.policy)
    if isinstance(checked, Err):
        return CompiledPolicy.neutral(job.policy)
    return checked.ok_value
