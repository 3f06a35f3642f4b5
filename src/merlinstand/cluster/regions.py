"""Regions in which a request may be served and kept (pure decisions).

A route and a tenant may each name regions; a request is bound by all that concern it. No regions
named, or an empty list of them, bind nothing. Whatever stands in a zone that the settings don't
know stands in no region: it serves no request that is bound.
"""

from collections.abc import Collection, Iterable

import msgspec
from result import Err, Ok, Result

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.places import ZoneMap
from merlinstand.common.errors import ExitCode, MerlinstandError

UNRESTRICTED: frozenset[str] = frozenset()
"""Of a request that nothing binds."""
_NAMELESS = "a region without a name"


class NoCommonRegionError(MerlinstandError, frozen=True, kw_only=True):
    """By the document no region may serve the request; trying again will not help."""

    code = "no_common_region"
    http_status = 403
    exit_code = ExitCode.INVALID


RegionsResult = Result[frozenset[str], NoCommonRegionError]
"""`UNRESTRICTED`, or the regions that are allowed; an error if there are none."""


class StorageNode(msgspec.Struct, frozen=True):
    """A machine that keeps, or may come to keep, what it is sent."""

    name: str
    zone: str


def find_region_error(regions: Collection[str]) -> str:
    """Give what makes a list of regions invalid; empty if nothing does.

    A region that no zone has is none: zones come with the settings of the machines, of which a
    document knows nothing.
    """
    return _NAMELESS if "" in regions else ""


def common_regions(*bounds: Collection[str]) -> RegionsResult:
    """Give the regions that all bounds allow.

    Args:
        *bounds: Regions that routes and tenants name; an empty one binds nothing.

    Returns:
        `UNRESTRICTED` if nothing binds; an error if the bounds leave no region.
    """
    named = [frozenset(bound) for bound in bounds if bound]
    if not named:
        return Ok(UNRESTRICTED)
    common = frozenset.intersection(*named)
    if common:
        return Ok(common)
    listed = " and ".join(sorted("[" + ", ".join(sorted(bound)) + "]" for bound in set(named)))
    return Err(NoCommonRegionError(detail=f"no region is common to {listed}"))


def servers_in_regions(
    servers: tuple[Backend, ...], regions: frozenset[str], zone_map: ZoneMap
) -> tuple[Backend, ...]:
    """Give the servers that a request may go to, as they are if nothing binds it."""
    if not regions:
        return servers
    return tuple(server for server in servers if zone_map.is_in_regions(server.zone, regions))


def find_node_outside(
    nodes: Iterable[StorageNode], regions: frozenset[str], zone_map: ZoneMap
) -> StorageNode | None:
    """Give a machine that stands outside the allowed regions; None if none does."""
    outside = (machine for machine in nodes if not zone_map.is_in_regions(machine.zone, regions))
    return next(outside, None)
