"""The target size of the system as typed constants; see `docs/CAPACITY.md`."""

import msgspec


class TargetSize(msgspec.Struct, frozen=True, kw_only=True):
    """What the system has to carry."""

    daemons: int = 630
    servers: int = 3_400
    regions: int = 3
    zones: int = 9
    control_machines: int = 7
    requests_per_second: int = 47_000
    tokens_per_second: int = 14_000_000
    trainers: int = 9
    samples_per_step: int = 2_048


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """What the target size may cost, and how long it may take."""

    control_core_share_per_daemon: float = 0.013
    control_bytes_per_second_per_daemon: float = 10_000.0
    resident_bytes_per_daemon: int = 64 * 1024 * 1024
    configuration_in_force_seconds: float = 13.0
    weights_on_all_servers_seconds: float = 11.0


TARGET = TargetSize()
BOUNDS = Bounds()

COORDINATORS_AT_TARGET = 30
"""Assumed split of daemons: the rest, but for the control replicas, are gateways."""


def gateways_at_target() -> int:
    """Number of gateways among the daemons of the target size."""
    return TARGET.daemons - COORDINATORS_AT_TARGET - TARGET.control_machines


def tokens_per_second_per_gateway() -> float:
    """Generated tokens that one gateway relays at the peak, spread evenly."""
    return TARGET.tokens_per_second / gateways_at_target()


def requests_per_second_per_gateway() -> float:
    """Requests that one gateway takes at the peak, spread evenly."""
    return TARGET.requests_per_second / gateways_at_target()
