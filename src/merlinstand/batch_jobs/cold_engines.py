"""Requests grants for attempts at cold engines on behalf of waiting items.

A cold engine bears only a few requests a second, as after a start. Each request to it, called an
attempt, needs a grant from the control leader (see `cold_servers`). The leading keeper's runner
calls this module at the end of a scheduling pass that found cold engines with free slots but no
grants.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

from merlinstand.batch_jobs.engines import EngineState
from merlinstand.batch_jobs.placement import ItemRequirements
from merlinstand.cold_servers.follower import ColdBackendBudget


def request_grants_for_items(
    cold: ColdBackendBudget, ungranted: Sequence[EngineState], waiting: Iterable[ItemRequirements]
) -> None:
    """Request attempts for items for which no engine was available.

    Args:
        cold: Receives the requests.
        ungranted: Cold engines with free slots, but without granted attempts.
        waiting: Requirements of each waiting item.
    """
    if not ungranted:
        return
    for demand, count in Counter(_placement_requirements(demand) for demand in waiting).items():
        candidates = [state for state in ungranted if demand.fits(state)]
        slots = sum(state.free_slots for state in candidates)
        if slots:
            backends = [state.backend for state in candidates]
            cold.request_grants(_request_kind(demand), min(count, slots), backends)


def _placement_requirements(requirements: ItemRequirements) -> ItemRequirements:
    """Return only the requirements that determine which engines fit."""
    return ItemRequirements(
        model=requirements.model,
        minimum_version=requirements.minimum_version,
        allowed_zones=requirements.allowed_zones,
    )


def _request_kind(requirements: ItemRequirements) -> str:
    """Return a key for equal requirements; a request replaces the previous one with its key."""
    zones = requirements.allowed_zones
    zone_suffix = "" if zones is None else f"@{','.join(sorted(zones))}"
    return f"{requirements.model}/{requirements.minimum_version}{zone_suffix}"
