"""Which target size and which bound belong to a series."""

import msgspec

from merlinstand_lab.capacity.results import Series
from merlinstand_lab.capacity.targets import (
    BOUNDS,
    COORDINATORS_AT_TARGET,
    TARGET,
    requests_per_second_per_gateway,
    tokens_per_second_per_gateway,
)


class Mark(msgspec.Struct, frozen=True):
    """What to hold a series against."""

    target_size: float | None = None
    bound: float | None = None


TARGET_SIZES: dict[str, float] = {
    "daemons": TARGET.daemons,
    "servers": TARGET.servers,
    "samples": TARGET.samples_per_step,
    "trainers": TARGET.trainers,
    "replicas": TARGET.control_machines,
    "coordinators": COORDINATORS_AT_TARGET,
    "engines_of_one_coordinator": TARGET.servers / COORDINATORS_AT_TARGET,
    "requests_per_second": requests_per_second_per_gateway(),
    "tokens_per_second_in_chunks_of_1": tokens_per_second_per_gateway(),
    "tokens_per_second_in_chunks_of_4": tokens_per_second_per_gateway(),
    "tokens_per_second_in_chunks_of_16": tokens_per_second_per_gateway(),
    "tokens_per_second_in_chunks_of_64": tokens_per_second_per_gateway(),
}
"""Target of each varied size; sizes without one are absent."""

METRIC_BOUNDS: dict[str, float] = {
    "control_cpu_share_per_daemon": BOUNDS.control_core_share_per_daemon,
    "control_bytes_per_second_per_daemon": BOUNDS.control_bytes_per_second_per_daemon,
    "resident_bytes_real_process": BOUNDS.resident_bytes_per_daemon,
    "in_force_max_seconds": BOUNDS.configuration_in_force_seconds,
    "in_force_follower_frozen_max_seconds": BOUNDS.configuration_in_force_seconds,
    "in_force_leader_frozen_max_seconds": BOUNDS.configuration_in_force_seconds,
    "rollout_seconds": BOUNDS.weights_on_all_servers_seconds,
}
"""Bound of each metric; metrics without one are absent."""


def mark_of(series: Series) -> Mark:
    """Return the target size and the bound of a series."""
    return Mark(TARGET_SIZES.get(series.size_name), METRIC_BOUNDS.get(series.metric))
