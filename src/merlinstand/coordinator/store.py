"""Durable samples of one job, and what becomes of their slots.

Owns the samples by slot, the state of every slot (`SlotTable`) and how often a slot was begun
again. A slot is given up after as many drops or expirations as the constants below allow; with
whole prompts, all slots of its prompt go with it.
"""

import math
from collections.abc import Iterable

from merlinstand.coordinator.samples import Sample
from merlinstand.coordinator.slots import SlotState, SlotTable

MAXIMUM_EXPIRATIONS = 2
"""A slot whose sample expired so often is given up: it runs longer than versions live."""

MAXIMUM_DROPS = 3
"""A slot that the policy dropped so often is given up."""


class SampleStore:
    """The first durable sample of a slot wins; later twins are refused."""

    def __init__(self, job: str, samples_per_prompt: int, unit_size: int) -> None:
        """Begin empty.

        Args:
            job: The job's name.
            samples_per_prompt: Attempts at each prompt.
            unit_size: Samples that leave together: a whole prompt's, or 1.
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
        """Take a durable sample in; returns False for a twin that lost.

        Args:
            sample: The sample.
            durable_at: When it became durable; unknown after a restart.
        """
        state = self.slots.state(sample.slot)
        if sample.slot in self.samples or state in (SlotState.USED, SlotState.DISCARDED):
            return False
        self.samples[sample.slot] = sample
        self._durable_at[sample.slot] = durable_at
        # A slot that an earlier attempt at a batch holds stays reserved: whether that attempt
        # counts is for its trainer to say.
        if state is not SlotState.RESERVED:
            self.slots.set_state(sample.slot, SlotState.READY)
        return True

    def unit(self, slot: int) -> Iterable[int]:
        """Return the slots that leave together with one."""
        return self.slots.group(slot) if self.whole_prompts else (slot,)

    def ready_units(self, own: Iterable[int] = ()) -> list[tuple[Sample, ...]]:
        """Return the whole units that a batch may take, in slot order.

        Args:
            own: Slots reserved by the asking consumer's own open batch, which it may take
                again.
        """
        attempt_slots = set(own)
        units = []
        seen: set[int] = set()
        for slot in sorted({*self.slots.ready(), *attempt_slots}):
            if slot in seen:
                continue
            members = tuple(self.unit(slot))
            seen.update(members)
            samples = self._whole_unit(members, attempt_slots)
            if samples:
                units.append(samples)
        return units

    def _whole_unit(self, members: tuple[int, ...], attempt_slots: set[int]) -> tuple[Sample, ...]:
        samples = []
        for slot in members:
            state = self.slots.state(slot)
            if state in (SlotState.USED, SlotState.DISCARDED):
                continue
            taken_back = state is SlotState.RESERVED and slot in attempt_slots
            if slot not in self.samples or not (state is SlotState.READY or taken_back):
                return ()
            samples.append(self.samples[slot])
        return tuple(samples)

    def load_used(self, used_below: int, used_above: Iterable[int]) -> None:
        """Take the ledger's word for which slots are used."""
        above = tuple(used_above)
        used = set(above)
        for slot in [known for known in self.samples if known < used_below or known in used]:
            self._close(slot, SlotState.USED)
        self.slots.load_used(used_below, above)

    def reserve(self, slots: Iterable[int]) -> None:
        """Hold slots for an attempt at a batch."""
        for slot in slots:
            self.slots.set_state(slot, SlotState.RESERVED)

    def release(self, slots: Iterable[int]) -> None:
        """Give slots of a voided attempt back; lost samples are generated again."""
        for slot in slots:
            if self.slots.state(slot) is SlotState.RESERVED:
                known = slot in self.samples
                self.slots.set_state(slot, SlotState.READY if known else SlotState.WANTED)

    def mark_used(self, slots: Iterable[int]) -> None:
        """Slots were delivered and acknowledged."""
        for slot in slots:
            self._close(slot, SlotState.USED)

    def durable_at(self, slot: int) -> float:
        """Return when a slot's sample became durable."""
        return self._durable_at.get(slot, -math.inf)

    def expire_finished(self, slot: int) -> None:
        """A finished sample became too old before a batch took it: generate it again."""
        self._remove(slot)
        self.slots.set_state(slot, SlotState.WANTED)

    def expire(self, slot: int, *, too_long: bool = False) -> bool:
        """A sample would be too old before it ends; its slot is begun again, or given up.

        Args:
            slot: The sample's slot.
            hopeless: Whether it would be too old again however soon it was begun.

        Returns:
            Whether the slot was given up.
        """
        return self._retry_or_discard(
            slot, self._expirations, 1 if too_long else MAXIMUM_EXPIRATIONS
        )

    def drop(self, slot: int) -> bool:
        """The policy dropped a sample; its slot is generated again, or given up.

        Returns:
            Whether the slot was given up.
        """
        return self._retry_or_discard(slot, self._drops, MAXIMUM_DROPS)

    def drop_count(self, slot: int) -> int:
        """Return how often the policy dropped a slot's samples (each takes a new seed)."""
        return self._drops.get(slot, 0)

    def restart(self, slot: int) -> None:
        """A sample, finished or in progress, gives way to a fresher one of the same slot."""
        self._restarted.add(slot)
        self._remove(slot)
        self.slots.set_state(slot, SlotState.WANTED)

    def was_restarted(self, slot: int) -> bool:
        """Tell whether a slot's sample gave way to a fresher one before."""
        return slot in self._restarted

    def restarts(self, slot: int) -> int:
        """Return how often a slot's sample expired or gave way to a fresher one."""
        return self._expirations.get(slot, 0) + (slot in self._restarted)

    def discarded(self) -> tuple[int, ...]:
        """Return given-up slots that the ledger does not know of."""
        return tuple(self.slots.with_state(SlotState.DISCARDED))

    def take_closed(self) -> tuple[int, ...]:
        """Return slots whose journalled samples are not needed any more, once."""
        closed, self._closed = tuple(self._closed), []
        return closed

    def _retry_or_discard(self, slot: int, counts: dict[int, int], maximum: int) -> bool:
        if self.slots.state(slot) in (SlotState.USED, SlotState.DISCARDED):
            # A closed slot stays closed: begun again, it would leave its prompt as a part.
            return True
        counts[slot] = counts.get(slot, 0) + 1
        if counts[slot] >= maximum:
            # A prompt with a hole would never be whole: all its slots go.
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
