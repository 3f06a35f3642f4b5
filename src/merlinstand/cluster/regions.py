"""Regions in which a request may be served and its data stored.

A route and a tenant may each restrict the regions; both restrictions apply to a request. A missing
or empty list restricts nothing. A backend in a zone that is not configured lies in no region, so it
cannot serve a restricted request.
"""

from collections.abc import Collection, Iterable

import msgspec
from result import Err, Ok, Result

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.errors import ExitCode, MerlinstandError

UNRESTRICTED: frozenset[str] = frozenset()
"""Allowed regions of a request without restrictions."""
_EMPTY_NAME_ERROR = "empty region name"


class NoCommonRegionError(MerlinstandError, frozen=True, kw_only=True):
    """The configuration allows no region for the request; retrying does not help."""

    code = "no_common_region"
    http_status = 403
    exit_code = ExitCode.INVALID


RegionsResult = Result[frozenset[str], NoCommonRegionError]
"""The allowed regions or `UNRESTRICTED`; an error if no region is allowed."""


class StorageNode(msgspec.Struct, frozen=True):
    """A machine that stores the data of requests, or may be chosen to."""

    name: str
    zone: str


def find_region_error(regions: Collection[str]) -> str:
    """Return why a list of regions is invalid; empty if it is valid.

    A region without zones is valid: zones are configured in the settings of the machines, which are
    not known when a document is validated.
    """
    return _EMPTY_NAME_ERROR if "" in regions else ""


def common_regions(*restrictions: Collection[str]) -> RegionsResult:
    """Return the regions that all restrictions allow.

    Args:
        *restrictions: Allowed regions of routes and tenants; an empty one restricts nothing.

    Returns:
        `UNRESTRICTED` without restrictions; an error if they have no region in common.
    """
    region_sets = [frozenset(regions) for regions in restrictions if regions]
    if not region_sets:
        return Ok(UNRESTRICTED)
    common = frozenset.intersection(*region_sets)
    if common:
        return Ok(common)
    listed = " and ".join(
        sorted("[" + ", ".join(sorted(regions)) + "]" for regions in set(region_sets))
    )
    return Err(NoCommonRegionError(detail=f"no region is common to {listed}"))


def backends_in_regions(
    backends: tuple[Backend, ...], regions: frozenset[str], zone_map: ZoneMap
) -> tuple[Backend, ...]:
    """Return the backends in the allowed regions; all backends if `regions` is empty."""
    if not regions:
        return backends
    return tuple(backend for backend in backends if zone_map.is_in_regions(backend.zone, regions))


def find_node_outside(
    nodes: Iterable[StorageNode], regions: frozenset[str], zone_map: ZoneMap
) -> StorageNode | None:
    """Return the first node outside the allowed regions; None if there is none."""
    outside = (machine for machine in nodes if not zone_map.is_in_regions(machine.zone, regions))
    return next(outside, None)
