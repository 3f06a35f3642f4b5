"""Messages between gateways and the control leader about the load of backends.

A gateway sends a `GatewayLoad` with a pull if it had any arrivals or attempts since its previous
report, or is near its limits. The leader replies with a `LoadSummary` while a service is busy or a
gateway is full. Neither message is stored: a new leader starts without any counts, and gateways
choose backends by their own evidence meanwhile. Messages are encoded as MessagePack arrays, so the
fields must keep their order.
"""

import msgspec

from merlinstand.common.ids import BackendId, NodeId

MAXIMUM_COUNT = 100_000
"""Largest valid figure in a report, for requests, slots and seconds alike."""
MAXIMUM_SLOWDOWN = 100.0
"""Largest valid slowdown; the smallest valid slowdown is its inverse."""


class ReportedLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load that a backend reported about itself with a response.

    The report contains neither a timestamp nor the run of the backend: the newest report that a
    gateway received counts, and sums are dropped when the backend restarts. In contrast,
    `routing.load_reports.LoadReport` is requested explicitly and contains both.
    """

    running: int
    """Number of requests that the backend is running, of all senders."""
    waiting: int
    """Number of requests in the backend's queue."""
    slots: int
    """Number of requests that the backend runs at once."""
    slowdown: float
    """Present service time relative to the usual service time: 2.0 for twice as long."""


def is_plausible(load: ReportedLoad) -> bool:
    """Return whether all figures in a backend's report are valid; False for a slowdown of NaN."""
    counts = (load.running, load.waiting, load.slots)
    is_count_plausible = all(0 <= count <= MAXIMUM_COUNT for count in counts)
    return is_count_plausible and 1.0 / MAXIMUM_SLOWDOWN <= load.slowdown <= MAXIMUM_SLOWDOWN


class ServerTally(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway counted for one backend since its previous report."""

    backend_id: BackendId
    sent: int = 0
    responses: int = 0
    """Complete responses of requests that ran."""
    refused: int = 0
    """Responses that say that the backend has not run the request."""
    in_flight_seconds: float = 0.0
    """Time integral of the gateway's requests in flight at the backend, including those that are
    still in flight."""
    reported: ReportedLoad | None = None
    """The newest load that the backend reported; None if it did not report any."""


class Flow(msgspec.Struct, frozen=True, gc=False):
    """Requests that are counted and limited together."""

    service: str
    rank: int
    """Priority; 0 is the most urgent."""
    tenant: str
    """Empty if callers need no key."""


class FlowTally(msgspec.Struct, frozen=True, array_like=True):
    """Arrivals of one rank and tenant at one gateway."""

    service: str
    rank: int
    """Priority of the requests' route; 0 is the most urgent."""
    tenant: str
    """Empty if there are no tenants."""
    arrivals: int
    """Number of all requests, including rejected requests."""


class GatewayLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway counted since its previous report."""

    span_seconds: float
    """Time that the counts cover."""
    servers: tuple[ServerTally, ...] = ()
    flows: tuple[FlowTally, ...] = ()
    full_share: float | None = None
    """Used fraction of the gateway's nearest limit, if it asks to be listed as full."""


class ServerShare(msgspec.Struct, frozen=True, array_like=True):
    """The share of a service's requests that gateways should send to one backend."""

    backend_id: BackendId
    share: float
    """0 to 1; the shares of a service add up to 1."""
    service_seconds: float
    """Estimated time that a request takes at the backend once it runs."""


class FlowLimit(msgspec.Struct, frozen=True, array_like=True):
    """The fraction of one flow's requests that gateways may admit.

    A gateway looks up the limit for the flow's rank and tenant, then the limit for the rank without
    a tenant. If the rank has limits, but neither of these, the flow may be admitted completely. If
    the rank has no limits, the strictest limit of the nearest more urgent rank with limits applies,
    if there is such a rank.
    """

    rank: int
    tenant: str
    """Empty for requests without a tenant, and for all tenants of the rank that have no limit of
    their own."""
    admitted: float
    """Fraction of the flow's requests, 0 to 1."""


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a busy service."""

    service: str
    demand: float
    """Ratio of the arrival rate to the rate that the backends can serve; above 1 not all requests
    can be served in time."""
    servers: tuple[ServerShare, ...]
    """Empty if backends do not report their load; gateways then choose by their own evidence."""
    limits: tuple[FlowLimit, ...] = ()
    """Limits of flows; see `FlowLimit` for flows that are not listed."""


class LoadSummary(msgspec.Struct, frozen=True, array_like=True):
    """Load of busy services and settings for gateways, as published by the control leader."""

    services: tuple[ServiceLoad, ...] = ()
    """Busy services only."""
    gateways: int = 0
    """Number of gateways that the leader has recently heard from."""
    report_interval_seconds: float = 0.0
    """Time between two reports of a gateway while a service is busy."""
    full_gateways: tuple[NodeId, ...] = ()
    """Gateways that may report themselves as full."""


_LOAD_DECODER = msgspec.msgpack.Decoder(GatewayLoad)
_SUMMARY_DECODER = msgspec.msgpack.Decoder(LoadSummary)


def encode_gateway_load(load: GatewayLoad) -> bytes:
    """Encode for `DirectoryPull.server_load`."""
    return msgspec.msgpack.encode(load)


def decode_gateway_load(data: bytes) -> GatewayLoad:
    """Decode `DirectoryPull.server_load`.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _LOAD_DECODER.decode(data)


def encode_summary(summary: LoadSummary) -> bytes:
    """Encode for `DirectoryUpdate.load_summary`."""
    return msgspec.msgpack.encode(summary)


def decode_summary(data: bytes) -> LoadSummary:
    """Decode `DirectoryUpdate.load_summary`.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _SUMMARY_DECODER.decode(data)
