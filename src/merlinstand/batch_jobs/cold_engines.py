"""Which sends to cold engines the waiting items need (pure decision)."""

from collections import Counter
from collections.abc import Iterable, Sequence

from merlinstand.batch_jobs.engines import EngineState
from merlinstand.directory.cold_budget import ColdBudget


def wish_for_items(
    cold: ColdBudget, closed: Sequence[EngineState], waiting: Iterable[tuple[str, int]]
) -> None:
    """Wish sends for items that found no engine.

    Args:
        cold: Takes the wishes.
        closed: Cold engines with free slots to which nothing may be sent just now.
        waiting: Model and oldest weight version allowed of each item that waits.
    """
    if not closed:
        return
    for (model, oldest), count in Counter(waiting).items():
        fitting = [state for state in closed if not model or state.version_of(model) >= oldest]
        slots = sum(state.free_slots for state in fitting)
        if slots:
            backends = [state.backend for state in fitting]
            cold.wish(f"{model}/{oldest}", min(count, slots), backends)
