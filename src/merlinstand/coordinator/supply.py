"""Describes a job's samples to the planner, and finds those that are too old to deliver."""

import math
from collections.abc import Iterable, Sequence

from merlinstand.coordinator.context import Context
from merlinstand.coordinator.forecast import Demand
from merlinstand.coordinator.generation import Generation
from merlinstand.coordinator.generations import GenerationManager
from merlinstand.coordinator.lengths import LengthStatistics
from merlinstand.coordinator.planning import Supply
from merlinstand.coordinator.refresh import Restartable
from merlinstand.coordinator.slots import SlotState
from merlinstand.coordinator.store import SampleStore
from merlinstand.coordinator.terms import JobTerms

MINIMUM_REMAINING_SHARE = 0.5
"""Decisions on expiry assume only this part of a sample's expected remaining time, because
cancelling a sample that would finish in time costs more than continuing one that does not."""

FINALIZING_SECONDS = 1e-3
"""Expected time for scoring and journalling, and the minimum for a generation. More than 0, so that
finished samples are ordered first."""


class SupplyView:
    """Read-only view of a job's samples."""

    def __init__(
        self,
        store: SampleStore,
        generations: GenerationManager,
        lengths: LengthStatistics,
    ) -> None:
        """Create for the components of one job."""
        self._store = store
        self._generations = generations
        self._lengths = lengths

    def remaining_tokens(self, generation: Generation) -> float:
        """Return the expected number of remaining tokens of a generation."""
        if generation.token_count > 0:
            return self._lengths.expected_remaining(generation.token_count)
        return self._lengths.expected(generation.prompt)

    def finish_at(self, generation: Generation, now: float) -> float:
        """Return the time at which a generation is expected to finish."""
        seconds = self._generations.speed.seconds(self.remaining_tokens(generation))
        return now + max(seconds, FINALIZING_SECONDS)

    def supplies(
        self, context: Context, terms: JobTerms, finalizing: Iterable[int], delivered_at: float
    ) -> list[Supply]:
        """Return the units whose samples are all finished or in progress.

        Args:
            context: State shared by the coordinator's components.
            terms: The job's terms.
            finalizing: Slots whose finished samples wait for a score or the journal.
            delivered_at: When the last batch was committed.
        """
        slot_supplies = self._slot_supplies(context, terms, finalizing, delivered_at)
        if not self._store.whole_prompts:
            return list(slot_supplies.values())
        supplies = []
        seen: set[int] = set()
        for slot in slot_supplies:
            if slot in seen:
                continue
            unit = tuple(self._store.unit(slot))
            seen.update(unit)
            supply = self._unit(unit, slot_supplies)
            if supply is not None:
                supplies.append(supply)
        return supplies

    def _slot_supplies(
        self, context: Context, terms: JobTerms, finalizing: Iterable[int], delivered_at: float
    ) -> dict[int, Supply]:
        """Return the supply of each slot. Planning runs often, so each slot is read only once."""
        bound = terms.bound
        now = context.now
        usual = bound.usual_versions
        # A sample that no earlier batch could include may be delivered at the full bound.
        full_bound = bound.maximum_versions if bound.sole_consumer else usual
        slot_supplies: dict[int, Supply] = {}
        for slot in self._store.slots.ready():
            sample = self._store.samples[slot]
            passed_over = self._store.durable_at(slot) <= delivered_at
            allowed = usual if passed_over else full_bound
            slot_supplies[slot] = Supply(sample.oldest_version, -math.inf, 1, allowed)
        for slot in finalizing:
            slot_supplies.setdefault(
                slot, Supply(terms.clock.newest, now + FINALIZING_SECONDS, 1, full_bound)
            )
        for generation in self._generations.all():
            slot = generation.slot.slot
            if slot not in slot_supplies and self._store.slots.state(slot) is SlotState.ACTIVE:
                version = self.oldest_version(generation, terms)
                slot_supplies[slot] = Supply(
                    version, self.finish_at(generation, now), 1, full_bound
                )
        return slot_supplies

    def _unit(self, unit: Sequence[int], slot_supplies: dict[int, Supply]) -> Supply | None:
        members = []
        for slot in unit:
            if self._store.slots.state(slot) in (SlotState.USED, SlotState.DISCARDED):
                continue
            member = slot_supplies.get(slot)
            if member is None:
                return None
            members.append(member)
        if not members:
            return None
        return Supply(
            min(member.oldest_version for member in members),
            max(member.finish_at for member in members),
            len(members),
            min(member.allowed_staleness for member in members),
        )

    # --- samples to restart ---------------------------------------------------------

    def old_units(self, version: int) -> list[Restartable]:
        """Return units with tokens of older versions that can be restarted on `version` now."""
        seen: set[int] = set()
        units = []
        for slot in self._slots_of_older_weights(version):
            if slot in seen:
                continue
            unit = tuple(self._store.unit(slot))
            seen.update(unit)
            old = self._old_members(unit, version)
            if old is not None:
                units.append(old)
        return units

    def _slots_of_older_weights(self, version: int) -> list[int]:
        slots = [
            generation.slot.slot
            for generation in self._generations.streams_on_older_weights(version)
        ]
        slots.extend(
            slot
            for slot in self._store.slots.ready()
            if self._store.samples[slot].oldest_version < version
        )
        return slots

    def _old_members(self, unit: Sequence[int], version: int) -> Restartable | None:
        """Return a unit's old members; None if one of them cannot be restarted now."""
        old, done_tokens, expected_tokens = [], 0, 0.0
        for slot in unit:
            sample = self._store.samples.get(slot)
            generation = self._generations.for_slot(slot)
            if sample is not None:
                if sample.oldest_version >= version:
                    continue
                if self._store.slots.state(slot) is not SlotState.READY:
                    return None
                tokens, expected = sample.token_count, float(sample.token_count)
            elif generation is not None and generation.is_older_than(version):
                if not self._generations.serves(generation, version):
                    return None
                tokens = generation.token_count
                expected = tokens + self.remaining_tokens(generation)
            else:
                continue
            if self._store.was_restarted(slot):
                return None
            old.append(slot)
            done_tokens += tokens
            expected_tokens = max(expected_tokens, expected)
        return Restartable(tuple(old), done_tokens, expected_tokens)

    def oldest_version(self, generation: Generation, terms: JobTerms) -> int:
        """Return a generation's oldest version, or the one that will generate its first token."""
        recorded = generation.span_recorder.oldest_version
        if recorded is not None:
            return recorded
        return generation.engine_version if generation.streaming else terms.clock.newest

    # --- expiry ---------------------------------------------------------------------

    def expired_samples(self, context: Context, terms: JobTerms) -> list[int]:
        """Return the slots of finished samples that no batch may include any more."""
        return [
            slot
            for slot, sample in self._store.samples.items()
            if self._store.slots.state(slot) is SlotState.READY
            and not terms.allows(context, sample.oldest_version, terms.clock.newest, at_bound=True)
        ]

    def generations_to_expire(
        self, context: Context, terms: JobTerms, demands: Sequence[Demand]
    ) -> list[Generation]:
        """Return the generations that will be too old at the earliest time of receipt."""
        expiring = []
        last_newest = max((demand.newest_version for demand in demands), default=terms.clock.newest)
        last_newest = max(last_newest, terms.clock.newest)
        surely_allowed = last_newest - terms.bound.maximum_versions
        for generation in self._generations.all():
            oldest = generation.span_recorder.oldest_version
            if oldest is None:
                continue
            if oldest >= surely_allowed and terms.bound.maximum_seconds is None:
                continue
            newest = self._newest_at_receipt(context, generation, demands, terms)
            if not terms.allows(context, oldest, newest, at_bound=True):
                expiring.append(generation)
        return expiring

    def _newest_at_receipt(
        self, context: Context, generation: Generation, demands: Sequence[Demand], terms: JobTerms
    ) -> int:
        seconds = (
            self._generations.speed.seconds(self.remaining_tokens(generation))
            * MINIMUM_REMAINING_SHARE
        )
        finish_at = context.now + seconds
        for demand in demands:
            # A waiting trainer receives the sample when it finishes, so the sample's staleness is
            # measured against the newest version at that time.
            if demand.due_at >= finish_at or demand is demands[-1]:
                return max(demand.newest_version, terms.clock.newest)
        return terms.clock.newest
