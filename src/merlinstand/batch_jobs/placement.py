"""Which engine an item goes to (pure decisions).

Used by one turn of the leading keeper's scheduling. Reads the states of engines and changes none.
Engines are compared by when an item is expected to end there, so a fast one takes more items than
a slow one without any share being set. What this is worth: docs/DECIDING.md.
"""

from collections.abc import Callable, Iterable

import msgspec

from merlinstand.batch_jobs.engines import EngineState
from merlinstand.common.ids import BackendId

FIRST_READ_SECONDS = 0.1
"""Assumed time in seconds to read a prompt at an engine where none was measured. Chosen, not
measured; the first prompt that is read takes its place."""
REMOTE_REGION_SECONDS = 0.15
"""An item goes to an engine in another region only if it ends this many seconds sooner there: its
text comes back over the link between regions, which is narrow and paid by the byte. Half of what an
item of the mean length takes, so that a free engine at home is preferred and a queue at home isn't.
Weighed in docs/design/two-regions.md."""


class ItemRequirements(msgspec.Struct, frozen=True, kw_only=True):
    """What an item needs of an engine."""

    model: str
    """Empty if any will do."""
    minimum_version: int
    """Oldest weight version allowed."""
    remaining_events: float = 1.0
    """Events that it is expected to have yet."""
    preferred: BackendId | None = None
    """Engine that holds its group's shared prompt."""
    allowed_zones: frozenset[str] | None = None
    """Zones whose engines may run it; None for all of them."""
    is_suspect: bool = False
    """Whether engines have crashed under it: it goes where fewest such items run, so that the next
    crash sets the guilty one apart from the others."""

    def fits(self, state: EngineState) -> bool:
        """Whether an engine's weights are new enough, and its zone may run the item."""
        is_new_enough = not self.model or state.version_of(self.model) >= self.minimum_version
        return is_new_enough and (
            self.allowed_zones is None or state.backend.zone in self.allowed_zones
        )


def choose_engine(
    engines: Iterable[EngineState],
    demand: ItemRequirements,
    follows: Callable[[BackendId, str], bool],
    now: float,
    typical_seconds: float,
) -> EngineState | None:
    """Choose an engine with a free slot whose weights are new enough; None if there is none.

    Engines that follow the item's model go first, then for a suspect those with fewest suspects,
    then the one where the item is expected to end first.

    Args:
        engines: Engines of the item's service.
        demand: What the item needs.
        follows: Whether an engine is there for a model in the first place.
        now: Local time.
        typical_seconds: Median time of one event over the service's engines.
    """
    fitting = [
        state
        for state in engines
        if state.is_usable(now) and state.free_slots > 0 and demand.fits(state)
    ]
    return min(
        fitting,
        key=lambda state: (
            not follows(state.backend.backend_id, demand.model),
            state.suspect_runs if demand.is_suspect else 0,
            expected_seconds(state, demand, typical_seconds, now),
        ),
        default=None,
    )


def expected_seconds(
    state: EngineState, demand: ItemRequirements, typical_seconds: float, now: float
) -> float:
    """Seconds that an item would take at an engine from now on.

    Its events one after the other, the prompt before them unless the engine holds that of its
    group, and what an engine in another region must win.
    """
    generating = demand.remaining_events * state.event_cost(typical_seconds, now)
    holds_prompt = state.backend.backend_id == demand.preferred
    reading = 0.0 if holds_prompt else state.first_event_seconds or FIRST_READ_SECONDS
    return generating + reading + remote_seconds(state)


def remote_seconds(state: EngineState) -> float:
    """Seconds that an engine in another region must win to be chosen; 0 for one of the own."""
    return REMOTE_REGION_SECONDS if state.is_remote else 0.0
