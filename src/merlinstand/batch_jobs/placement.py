"""Chooses the engine on which an item runs (pure functions).

Engines are compared by the item's expected completion time, so faster engines get more items
without configured weights. See docs/DECIDING.md.
"""

from collections.abc import Callable, Iterable

import msgspec

from merlinstand.batch_jobs.engines import EngineState
from merlinstand.common.ids import BackendId

DEFAULT_PREFILL_SECONDS = 0.1
"""Prefill time assumed of an engine until its first measurement."""
REMOTE_REGION_PENALTY_SECONDS = 0.15
"""Time that an item must save to run in another region, because its text returns over the link
between regions, which is narrow and billed by the byte. Half the time of an item of mean length: a
free local engine is preferred, but not a local queue. See docs/design/two-regions.md."""


class ItemRequirements(msgspec.Struct, frozen=True, kw_only=True):
    """What an item requires of an engine."""

    model: str
    """Empty if any model is acceptable."""
    minimum_version: int
    """Minimum weight version."""
    remaining_events: float = 1.0
    """Expected number of events until the item's text is complete."""
    preferred_backend_id: BackendId | None = None
    """Engine that has its group's shared prompt cached."""
    allowed_zones: frozenset[str] | None = None
    """Zones whose engines may run it; None for all zones."""
    was_interrupted: bool = False
    """Whether an earlier run was interrupted. Such an item runs on the engine with the fewest
    interrupted items, so that one crash does not interrupt them all."""

    def fits(self, state: EngineState) -> bool:
        """Whether an engine's weights are recent enough and its zone is allowed."""
        is_new_enough = not self.model or state.version_of(self.model) >= self.minimum_version
        return is_new_enough and (
            self.allowed_zones is None or state.backend.zone in self.allowed_zones
        )


def choose_engine(
    engines: Iterable[EngineState],
    requirements: ItemRequirements,
    is_assigned: Callable[[BackendId, str], bool],
    now: float,
    median_event_seconds: float,
) -> EngineState | None:
    """Choose an engine with a free slot that fits the item; None if there is none.

    Engines that are assigned the item's model are preferred; then, for an interrupted item, those
    with the fewest interrupted runs; then the one with the earliest expected completion.

    Args:
        engines: Engines of the item's service.
        requirements: What the item requires of an engine.
        is_assigned: Whether an engine is assigned a model, and so keeps its weights current.
        now: Local time in seconds.
        median_event_seconds: Median time per event over the service's engines.
    """
    candidates = [
        state
        for state in engines
        if state.is_usable(now) and state.free_slots > 0 and requirements.fits(state)
    ]
    return min(
        candidates,
        key=lambda state: (
            not is_assigned(state.backend.backend_id, requirements.model),
            state.interrupted_runs if requirements.was_interrupted else 0,
            expected_seconds(state, requirements, median_event_seconds, now),
        ),
        default=None,
    )


def expected_seconds(
    state: EngineState, requirements: ItemRequirements, median_event_seconds: float, now: float
) -> float:
    """Return the expected time from now until an item would complete at an engine.

    This is the sum of the generation time, the prefill time (unless the engine has the group's
    prompt cached) and the penalty for another region.
    """
    generating = requirements.remaining_events * state.event_seconds_with_new_run(
        median_event_seconds, now
    )
    holds_prompt = state.backend.backend_id == requirements.preferred_backend_id
    prefill = 0.0 if holds_prompt else state.first_event_seconds or DEFAULT_PREFILL_SECONDS
    return generating + prefill + remote_penalty_seconds(state)


def remote_penalty_seconds(state: EngineState) -> float:
    """Return the time that an engine in another region must save; 0 in this keeper's region."""
    return REMOTE_REGION_PENALTY_SECONDS if state.is_remote else 0.0
