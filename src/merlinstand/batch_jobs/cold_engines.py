"""Which sends to cold engines the waiting items need (pure decision).

Used by the leading keeper's runner at the end of a turn in which cold engines had free slots. The
sends are requested of the control leader, which grants them; see `cold_servers`.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from merlinstand.batch_jobs.engines import EngineState
from merlinstand.batch_jobs.placement import ItemDemand
from merlinstand.cold_servers.follower import ColdBudget


class _Demand(msgspec.Struct, frozen=True):
    """What tells items apart for which other engines will do."""

    model: str
    oldest: int
    zones: frozenset[str] | None

    def fits(self, state: EngineState) -> bool:
        if self.zones is not None and state.backend.zone not in self.zones:
            return False
        return not self.model or state.version_of(self.model) >= self.oldest

    @property
    def kind(self) -> str:
        within = "" if self.zones is None else f"@{','.join(sorted(self.zones))}"
        return f"{self.model}/{self.oldest}{within}"


def request_grants_for_items(
    cold: ColdBudget, closed: Sequence[EngineState], waiting: Iterable[ItemDemand]
) -> None:
    """Request sends for items that found no engine.

    Args:
        cold: Takes the requests.
        closed: Cold engines with free slots to which nothing may be sent just now.
        waiting: What each item that waits needs of an engine.
    """
    if not closed:
        return
    for need, count in Counter(_needed(demand) for demand in waiting).items():
        fitting = [state for state in closed if need.fits(state)]
        slots = sum(state.free_slots for state in fitting)
        if slots:
            backends = [state.backend for state in fitting]
            cold.request_grants(need.kind, min(count, slots), backends)


def _needed(demand: ItemDemand) -> _Demand:
    return _Demand(demand.model, demand.minimum_version, demand.allowed_zones)
