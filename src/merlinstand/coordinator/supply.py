"""What a job has finished and in progress, and what of it can no longer be delivered."""

import math
from collections.abc import Iterable, Sequence

import msgspec

from merlinstand.coordinator.context import Context
from merlinstand.coordinator.forecast import Demand
from merlinstand.coordinator.generation import Generation
from merlinstand.coordinator.generations import GenerationDesk
from merlinstand.coordinator.lengths import LengthStatistics
from merlinstand.coordinator.planning import Supply
from merlinstand.coordinator.slots import SlotState
from merlinstand.coordinator.store import SampleStore
from merlinstand.coordinator.terms import JobTerms

OPTIMISM = 0.5
"""Share of the expected rest of a sample that is surely left: cancelling one early that
would have made it costs more than letting one run on in vain for a while."""


class Member(msgspec.Struct, frozen=True):
    """One sample of a unit, for planning."""

    oldest_version: int
    finish_at: float
    passed_over: bool = False


class SupplyBook:
    """Describes a job's samples to the planner."""

    def __init__(
        self,
        store: SampleStore,
        generations: GenerationDesk,
        lengths: LengthStatistics,
    ) -> None:
        """Read from a job's parts."""
        self._store = store
        self._generations = generations
        self._lengths = lengths
        self._delivered_at = -math.inf

    def remaining_tokens(self, generation: Generation) -> float:
        """Return the tokens that a generation is expected to make yet."""
        if generation.token_count > 0:
            return self._lengths.expected_remaining(generation.token_count)
        return self._lengths.expected(generation.prompt)

    def finish_at(self, generation: Generation, now: float) -> float:
        """Return when a generation is expected to be finished."""
        seconds = self._generations.speed.seconds(self.remaining_tokens(generation))
        return now + max(seconds, 1e-3)

    def supplies(
        self, context: Context, terms: JobTerms, settling: Iterable[int], delivered_at: float
    ) -> list[Supply]:
        """Return the units that are finished or wholly in progress.

        Args:
            context: Shared state.
            terms: The job's terms.
            settling: Slots whose finished samples wait for a score or the journal.
            delivered_at: When the last batch left.
        """
        self._delivered_at = delivered_at
        settling_slots = set(settling)
        supplies = []
        seen: set[int] = set()
        slots = [*self._store.samples, *settling_slots]
        slots.extend(generation.slot.slot for generation in self._generations.all())
        for slot in slots:
            if slot in seen:
                continue
            unit = tuple(self._store.unit(slot))
            seen.update(unit)
            supply = self._unit(context, terms, unit, settling_slots)
            if supply is not None:
                supplies.append(supply)
        return supplies

    def _unit(
        self, context: Context, terms: JobTerms, unit: Sequence[int], settling: set[int]
    ) -> Supply | None:
        members = []
        for slot in unit:
            if self._store.slots.state(slot) in (SlotState.USED, SlotState.DISCARDED):
                continue
            member = self._member(context, terms, slot, settling)
            if member is None:
                return None
            members.append(member)
        if not members:
            return None
        oldest = min(member.oldest_version for member in members)
        finish_at = max(member.finish_at for member in members)
        # A sample that no batch could take sooner may leave at the bound itself.
        to_the_bound = terms.sole_consumer and not any(member.passed_over for member in members)
        bound = terms.bound
        allowed = bound.maximum_versions if to_the_bound else bound.usual_versions
        return Supply(oldest, finish_at, len(members), allowed)

    def _member(
        self, context: Context, terms: JobTerms, slot: int, settling: set[int]
    ) -> Member | None:
        state = self._store.slots.state(slot)
        sample = self._store.samples.get(slot)
        if sample is not None:
            ready = state is SlotState.READY
            passed_over = self._store.durable_at(slot) <= self._delivered_at
            return Member(sample.oldest_version, -math.inf, passed_over) if ready else None
        if slot in settling:
            return Member(terms.clock.newest, context.now + 1e-3)
        generation = self._generations.of_slot(slot)
        if generation is None:
            return None
        version = self.oldest_version(generation, terms)
        return Member(version, self.finish_at(generation, context.now))

    def oldest_version(self, generation: Generation, terms: JobTerms) -> int:
        """Return the oldest version of a generation, or the one that will make its first token."""
        recorded = generation.recorder.oldest_version
        if recorded is not None:
            return recorded
        return generation.engine_version if generation.streaming else terms.clock.newest

    # --- expiry ---------------------------------------------------------------------

    def expired_samples(self, context: Context, terms: JobTerms) -> list[int]:
        """Return the slots of finished samples that no batch may hold any more."""
        return [
            slot
            for slot, sample in self._store.samples.items()
            if self._store.slots.state(slot) is SlotState.READY
            and not terms.allows(context, sample.oldest_version, terms.clock.newest, at_bound=True)
        ]

    def doomed_generations(
        self, context: Context, terms: JobTerms, demands: Sequence[Demand]
    ) -> list[Generation]:
        """Return the generations that will be too old when they could be received."""
        doomed = []
        for generation in self._generations.all():
            oldest = generation.recorder.oldest_version
            if oldest is None:
                continue
            newest = self._newest_at_receipt(context, generation, demands, terms)
            if not terms.allows(context, oldest, newest, at_bound=True):
                doomed.append(generation)
        return doomed

    def _newest_at_receipt(
        self, context: Context, generation: Generation, demands: Sequence[Demand], terms: JobTerms
    ) -> int:
        seconds = self._generations.speed.seconds(self.remaining_tokens(generation)) * OPTIMISM
        finish_at = context.now + seconds
        for demand in demands:
            # A waiting trainer takes it when it is finished, at the version of that time.
            if demand.due_at >= finish_at or demand is demands[-1]:
                return max(demand.newest_version, terms.clock.newest)
        return terms.clock.newest
