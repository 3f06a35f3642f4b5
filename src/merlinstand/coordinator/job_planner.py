"""Decides which streams a job requests now, and sends them to engines.

Interrupted samples are always requested again. New samples are requested only while new work is
allowed, as many as `planning.plan_starts` finds missing, and only for batches for which some engine
serves a new enough version.
"""

from collections.abc import Collection

from merlinstand.coordinator.batches import BatchManager
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.dispatch import StreamRequest
from merlinstand.coordinator.engines import Engine
from merlinstand.coordinator.forecast import Demand
from merlinstand.coordinator.generation import Generation
from merlinstand.coordinator.generations import GenerationManager
from merlinstand.coordinator.lengths import LengthStatistics
from merlinstand.coordinator.planning import PlannedStart, plan_starts
from merlinstand.coordinator.prompts import PromptCache
from merlinstand.coordinator.slots import SlotState
from merlinstand.coordinator.store import SampleStore
from merlinstand.coordinator.supply import SupplyView
from merlinstand.coordinator.terms import JobTerms
from merlinstand.policy.records import RequestRecord

PRIORITY_STEP = 4
"""An engine priority is the policy's value times this scale, plus the batch's urgency, which is
less than the scale and greater for earlier batches."""


class JobPlanner:
    """Plans the generations of one job for its `JobRunner`."""

    def __init__(
        self,
        store: SampleStore,
        batch_manager: BatchManager,
        generations: GenerationManager,
        prompts: PromptCache,
        lengths: LengthStatistics,
        supply: SupplyView,
    ) -> None:
        """Create for the components of one job."""
        self._store = store
        self._batch_manager = batch_manager
        self._generations = generations
        self._prompts = prompts
        self._lengths = lengths
        self._supply = supply

    def demands(self, context: Context, terms: JobTerms) -> list[Demand]:
        """Return the expected batches of all consumers, earliest first."""
        look_ahead = context.settings.generation.look_ahead_batches
        demands = [
            demand
            for consumer in terms.job.consumers
            for demand in self._batch_manager.forecast(consumer).demands(
                context.now, terms.clock.newest, terms.job.batch_size, look_ahead
            )
        ]
        return sorted(demands, key=lambda demand: demand.due_at)

    def stream_requests(
        self,
        context: Context,
        terms: JobTerms,
        finalizing: Collection[int],
        served_version: int,
        *,
        may_start: bool,
    ) -> list[StreamRequest]:
        """Return the samples to start or resume now.

        Args:
            context: State shared by the coordinator's components.
            terms: The job's terms.
            finalizing: Slots whose finished samples wait for a score or the journal.
            served_version: Newest version that any engine serves; samples that need a newer one
                are not requested yet.
            may_start: Whether new samples may be started; interrupted ones are always resumed.
        """
        usual = terms.bound.usual_versions
        requests = [
            self._resume_request(generation, terms.clock.newest - usual)
            for generation in self._generations.waiting()
        ]
        if not may_start:
            return requests
        delivered_at = self._batch_manager.last_delivered_at()
        starts = plan_starts(
            self.demands(context, terms),
            self._supply.supplies(context, terms, finalizing, delivered_at),
            usual_staleness=usual,
            over_commit_factor=context.settings.generation.over_commit_factor,
        )
        possible = [start for start in starts if start.minimum_version <= served_version]
        return requests + self._start_requests(context, possible)

    def _resume_request(self, generation: Generation, minimum_version: int) -> StreamRequest:
        oldest = generation.span_recorder.oldest_version or 0
        return StreamRequest(
            batches_ahead=0,
            minimum_version=max(oldest, minimum_version),
            expected_tokens=self._supply.remaining_tokens(generation),
            restarts=self._store.restarts(generation.slot.slot),
            slot=generation.slot.slot,
            generation=generation,
        )

    def _start_requests(self, context: Context, starts: list[PlannedStart]) -> list[StreamRequest]:
        total = sum(start.count for start in starts)
        slots = self._store.slots.wanted()
        while len(slots) < total:
            slots.extend(self._store.slots.open_group())
        # Slots that are to be generated again go first, since the rest of their prompt may wait.
        requests: list[StreamRequest] = []
        taken = 0
        for start in starts:
            chosen = slots[taken : taken + start.count]
            taken += start.count
            requests.extend(self._start_request(context, start, slot) for slot in chosen)
        return requests

    def _start_request(self, context: Context, start: PlannedStart, slot: int) -> StreamRequest:
        return StreamRequest(
            batches_ahead=start.batches_ahead,
            minimum_version=start.minimum_version,
            expected_tokens=self._expected_tokens(context, slot),
            restarts=self._store.restarts(slot),
            slot=slot,
        )

    def _expected_tokens(self, context: Context, slot: int) -> float:
        prompt_index = self._store.slots.name(slot).prompt_index
        prompt = self._prompts.text(context, prompt_index)
        return self._lengths.expected(prompt) if prompt is not None else 0.0

    def start_stream(
        self, context: Context, terms: JobTerms, request: StreamRequest, engine: Engine
    ) -> bool:
        """Start or resume a sample on an engine.

        Returns:
            False if the prompt has not been fetched yet.
        """
        name = self._store.slots.name(request.slot)
        generation = request.generation
        if generation is None:
            prompt = self._prompts.text(context, name.prompt_index)
            if prompt is None:
                return False
            self._store.slots.set_state(request.slot, SlotState.ACTIVE)
            drop_count = self._store.drop_count(request.slot)
            generation = self._generations.create(
                context, name, prompt, terms.job.maximum_tokens, drop_count
            )
        priority = _priority(context, terms, generation, request)
        self._generations.send(context, generation, engine, terms.job.model, priority)
        return True


def _priority(
    context: Context, terms: JobTerms, generation: Generation, request: StreamRequest
) -> int:
    record = RequestRecord(
        prompt_id=generation.slot.prompt_index,
        attempt=generation.slot.attempt,
        prompt=generation.prompt,
        expected_tokens=int(request.expected_tokens),
        done_tokens=generation.token_count,
        waiting_seconds=context.now - generation.waiting_since,
    )
    urgency = max(0, PRIORITY_STEP - 1 - request.batches_ahead)
    return terms.priority(context, record) * PRIORITY_STEP + urgency
