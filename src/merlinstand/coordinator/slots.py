"""States of a job's slots: used, reserved, in progress or still to be generated.

A slot is `prompt_index * samples_per_prompt + attempt`. Slots below the frontier have a state; all
others are untouched. Every slot ends as used (delivered and acknowledged) or discarded (reported to
the ledger). States below the lowest unused slot are removed, so the table stays small.
"""

import enum
from collections.abc import Iterable

import msgspec


class SlotState(enum.Enum):
    """State of a slot below the frontier."""

    WANTED = "wanted"
    """To be generated, possibly again."""
    ACTIVE = "active"
    """Being generated, scored or written to the journal."""
    READY = "ready"
    """The slot's sample is durable and waits for a batch."""
    RESERVED = "reserved"
    """Contained in a composition of a batch that the trainer has not acknowledged."""
    DISCARDED = "discarded"
    """The slot will get no sample, and this was not yet reported to the ledger."""
    USED = "used"


class SlotName(msgspec.Struct, frozen=True):
    """The parts of a slot number and its sample id."""

    slot: int
    prompt_index: int
    attempt: int
    sample_id: str


class SlotTable:
    """State of every slot of one job."""

    def __init__(self, job: str, samples_per_prompt: int) -> None:
        """All slots are untouched at first."""
        self._job = job
        self._samples_per_prompt = max(1, samples_per_prompt)
        self._states: dict[int, SlotState] = {}
        self._wanted: set[int] = set()
        self._ready: set[int] = set()
        self._used_below = 0
        self._frontier = 0
        """Lowest untouched slot."""

    def name(self, slot: int) -> SlotName:
        """Return the parts and the sample id of a slot."""
        prompt_index, attempt = divmod(slot, self._samples_per_prompt)
        return SlotName(slot, prompt_index, attempt, f"{self._job}/{prompt_index}/{attempt}")

    def group(self, slot: int) -> range:
        """Return the slots of the same prompt."""
        first = slot - slot % self._samples_per_prompt
        return range(first, first + self._samples_per_prompt)

    def load_used(self, used_below: int, used_above: Iterable[int]) -> None:
        """Mark the slots that the ledger lists as used, keeping other states."""
        if used_below > self._used_below:
            self._used_below = used_below
            self._frontier = max(self._frontier, used_below)
            self._states = {
                slot: state for slot, state in self._states.items() if slot >= used_below
            }
            self._wanted = {slot for slot in self._wanted if slot >= used_below}
            self._ready = {slot for slot in self._ready if slot >= used_below}
        for slot in used_above:
            self._set(slot, SlotState.USED)
        self._compact()

    def state(self, slot: int) -> SlotState | None:
        """Return a slot's state; None if it is untouched."""
        if slot < self._used_below:
            return SlotState.USED
        return self._states.get(slot)

    def set_state(self, slot: int, state: SlotState) -> None:
        """Set a slot's state. A used slot stays used."""
        if self.state(slot) is not SlotState.USED:
            self._set(slot, state)
            self._compact()

    @property
    def ready_count(self) -> int:
        """Number of slots whose durable sample waits for a batch."""
        return len(self._ready)

    def ready(self) -> list[int]:
        """Return the slots whose durable sample waits for a batch, lowest first."""
        return sorted(self._ready)

    def with_state(self, state: SlotState) -> list[int]:
        """Return the slots in a state, lowest first."""
        return sorted(slot for slot, known in self._states.items() if known is state)

    def wanted(self) -> list[int]:
        """Return the slots to be generated again, lowest first."""
        return sorted(self._wanted)

    def open_group(self) -> list[int]:
        """Move the frontier past the next untouched prompt and mark its slots as wanted.

        Returns:
            The prompt's slots that are not used already.
        """
        opened = []
        for slot in self.group(self._frontier):
            if slot >= self._frontier:
                self._set(slot, SlotState.WANTED)
                opened.append(slot)
        return opened

    def _set(self, slot: int, state: SlotState) -> None:
        while self._frontier <= slot:
            # Slots below an already used one may be skipped here; they become wanted unless they
            # have a state.
            if self._frontier not in self._states and self._frontier >= self._used_below:
                self._states[self._frontier] = SlotState.WANTED
                self._wanted.add(self._frontier)
            self._frontier += 1
        self._states[slot] = state
        if state is SlotState.WANTED:
            self._wanted.add(slot)
        else:
            self._wanted.discard(slot)
        if state is SlotState.READY:
            self._ready.add(slot)
        else:
            self._ready.discard(slot)

    def _compact(self) -> None:
        while self._states.get(self._used_below) is SlotState.USED:
            del self._states[self._used_below]
            self._used_below += 1
