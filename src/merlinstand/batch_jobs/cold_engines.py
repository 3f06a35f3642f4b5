"""Which sends to cold engines the waiting items need (pure decision).

Used by the leading keeper's runner at the end of a turn in which cold engines had free slots. The
sends are requested of the control leader, which grants them; see `cold_servers`.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

from merlinstand.batch_jobs.engines import EngineState
from merlinstand.batch_jobs.placement import ItemRequirements
from merlinstand.cold_servers.follower import ColdBackendBudget


def request_grants_for_items(
    cold: ColdBackendBudget, ungranted: Sequence[EngineState], waiting: Iterable[ItemRequirements]
) -> None:
    """Request sends for items that found no engine.

    Args:
        cold: Takes the requests.
        closed: Cold engines with free slots to which nothing may be sent just now.
        waiting: What each item that waits needs of an engine.
    """
    if not ungranted:
        return
    for demand, count in Counter(_alike(demand) for demand in waiting).items():
        fitting = [state for state in ungranted if demand.fits(state)]
        slots = sum(state.free_slots for state in fitting)
        if slots:
            backends = [state.backend for state in fitting]
            cold.request_grants(_kind_of(demand), min(count, slots), backends)


def _alike(demand: ItemRequirements) -> ItemRequirements:
    """Leave out what makes no difference to which engines will do."""
    return ItemRequirements(
        model=demand.model,
        minimum_version=demand.minimum_version,
        allowed_zones=demand.allowed_zones,
    )


def _kind_of(demand: ItemRequirements) -> str:
    """Name of items for which the same engines will do; requests of one kind replace each other."""
    zones = demand.allowed_zones
    within = "" if zones is None else f"@{','.join(sorted(zones))}"
    return f"{demand.model}/{demand.minimum_version}{within}"
