"""Durable samples of one job, and the states of their slots.

Holds the samples by slot, the slot states (`SlotTable`) and the restart counts. A slot is discarded
after the number of drops or expirations given below; if whole prompts are delivered together, all
slots of its prompt are discarded with it.
"""

import math
from collections.abc import Iterable

from merlinstand.coordinator.samples import Sample
from merlinstand.coordinator.slots import SlotState, SlotTable

MAXIMUM_EXPIRATIONS = 2
"""A slot is discarded after this many expirations, since its sample evidently takes longer to
generate than its weights stay fresh enough."""

MAXIMUM_DROPS = 3
"""A slot is discarded after the policy dropped this many of its samples."""


class SampleStore:
    """Keeps the first durable sample of each slot; later duplicates are rejected."""

    def __init__(self, job: str, samples_per_prompt: int, unit_size: int) -> None:
        """Create an empty store.

        Args:
            job: The job's name.
            samples_per_prompt: Number of samples for each prompt.
            unit_size: Samples that are delivered together: all of a prompt, or 1.
        """
        self.slots = SlotTable(job, samples_per_prompt)
        self.samples: dict[int, Sample] = {}
        self._durable_at: dict[int, float] = {}
        self.whole_prompts = unit_size > 1
        self._expirations: dict[int, int] = {}
        self._drops: dict[int, int] = {}
        self._restarted: set[int] = set()
        self._closed: list[int] = []

    def put(self, sample: Sample, durable_at: float = -math.inf) -> bool:
        """Add a durable sample; returns False if the slot needs none (any more).

        Args:
            sample: The sample.
            durable_at: When it became durable; minus infinity if unknown, after a restart.
        """
        state = self.slots.state(sample.slot)
        if sample.slot in self.samples or state in (SlotState.USED, SlotState.DISCARDED):
            return False
        self.samples[sample.slot] = sample
        self._durable_at[sample.slot] = durable_at
        # A slot of an earlier attempt at a batch stays reserved: the trainer's acknowledgement
        # decides whether that attempt counts.
        if state is not SlotState.RESERVED:
            self.slots.set_state(sample.slot, SlotState.READY)
        return True

    def unit(self, slot: int) -> Iterable[int]:
        """Return the slots that are delivered together with a slot, including itself."""
        return self.slots.group(slot) if self.whole_prompts else (slot,)

    def ready_units(self, reusable_slots: Iterable[int] = ()) -> list[tuple[Sample, ...]]:
        """Return the units (slots delivered together) whose samples are all ready, in slot order.

        Used and discarded slots of a unit are omitted.

        Args:
            reusable_slots: Slots reserved by the requesting consumer's open batch, which may be
                used again.
        """
        reusable = set(reusable_slots)
        units = []
        seen: set[int] = set()
        for slot in sorted({*self.slots.ready(), *reusable}):
            if slot in seen:
                continue
            members = tuple(self.unit(slot))
            seen.update(members)
            samples = self._whole_unit(members, reusable)
            if samples:
                units.append(samples)
        return units

    def _whole_unit(self, members: tuple[int, ...], reusable: set[int]) -> tuple[Sample, ...]:
        samples = []
        for slot in members:
            state = self.slots.state(slot)
            if state in (SlotState.USED, SlotState.DISCARDED):
                continue
            is_reusable = state is SlotState.RESERVED and slot in reusable
            if slot not in self.samples or not (state is SlotState.READY or is_reusable):
                return ()
            samples.append(self.samples[slot])
        return tuple(samples)

    def load_used(self, used_below: int, used_above: Iterable[int]) -> None:
        """Mark the slots that the ledger lists as used."""
        above = tuple(used_above)
        used = set(above)
        for slot in [known for known in self.samples if known < used_below or known in used]:
            self._close(slot, SlotState.USED)
        self.slots.load_used(used_below, above)

    def reserve(self, slots: Iterable[int]) -> None:
        """Reserve slots for an attempt at a batch."""
        for slot in slots:
            self.slots.set_state(slot, SlotState.RESERVED)

    def release(self, slots: Iterable[int]) -> None:
        """Release the slots of a void attempt; those without a sample are generated again."""
        for slot in slots:
            if self.slots.state(slot) is SlotState.RESERVED:
                known = slot in self.samples
                self.slots.set_state(slot, SlotState.READY if known else SlotState.WANTED)

    def mark_used(self, slots: Iterable[int]) -> None:
        """Mark slots as delivered and acknowledged."""
        for slot in slots:
            self._close(slot, SlotState.USED)

    def durable_at(self, slot: int) -> float:
        """Return when a slot's sample became durable; minus infinity if unknown."""
        return self._durable_at.get(slot, -math.inf)

    def expire_finished(self, slot: int) -> None:
        """Remove a finished sample that became too old; its slot is generated again."""
        self._remove(slot)
        self.slots.set_state(slot, SlotState.WANTED)

    def expire(self, slot: int, *, too_long: bool = False) -> bool:
        """Expire a sample that would be too old when finished; its slot is retried or discarded.

        Args:
            slot: The sample's slot.
            too_long: Whether the sample would be too old again even if restarted right after a
                publication.

        Returns:
            Whether the slot is discarded.
        """
        return self._retry_or_discard(
            slot, self._expirations, 1 if too_long else MAXIMUM_EXPIRATIONS
        )

    def drop(self, slot: int) -> bool:
        """Drop a sample because of the policy; its slot is generated again or discarded.

        Returns:
            Whether the slot is discarded.
        """
        return self._retry_or_discard(slot, self._drops, MAXIMUM_DROPS)

    def drop_count(self, slot: int) -> int:
        """Return how often the policy dropped a slot's samples; each drop changes the seed."""
        return self._drops.get(slot, 0)

    def restart(self, slot: int) -> None:
        """Remove a slot's finished or unfinished sample, to generate it again on newer weights."""
        self._restarted.add(slot)
        self._remove(slot)
        self.slots.set_state(slot, SlotState.WANTED)

    def was_restarted(self, slot: int) -> bool:
        """Return whether a slot's sample was restarted by `restart`."""
        return slot in self._restarted

    def restarts(self, slot: int) -> int:
        """Return how often a slot's sample expired or was restarted."""
        return self._expirations.get(slot, 0) + (slot in self._restarted)

    def discarded(self) -> tuple[int, ...]:
        """Return the discarded slots that were not yet reported to the ledger."""
        return tuple(self.slots.with_state(SlotState.DISCARDED))

    def take_closed(self) -> tuple[int, ...]:
        """Return and clear the slots whose journalled samples are no longer needed."""
        closed, self._closed = tuple(self._closed), []
        return closed

    def _retry_or_discard(self, slot: int, counts: dict[int, int], maximum: int) -> bool:
        if self.slots.state(slot) in (SlotState.USED, SlotState.DISCARDED):
            # A used or discarded slot keeps its state: generating it again would leave its prompt
            # incomplete.
            return True
        counts[slot] = counts.get(slot, 0) + 1
        if counts[slot] >= maximum:
            # A prompt with a missing sample can never be delivered completely, so all its slots are
            # discarded.
            for member in self.unit(slot):
                if self.slots.state(member) not in (SlotState.USED, SlotState.RESERVED):
                    self._close(member, SlotState.DISCARDED)
            return True
        self._remove(slot)
        self.slots.set_state(slot, SlotState.WANTED)
        return False

    def _close(self, slot: int, state: SlotState) -> None:
        self.slots.set_state(slot, state)
        self._expirations.pop(slot, None)
        self._drops.pop(slot, None)
        self._restarted.discard(slot)
        self._remove(slot)

    def _remove(self, slot: int) -> None:
        self._durable_at.pop(slot, None)
        if self.samples.pop(slot, None) is not None:
            self._closed.append(slot)
