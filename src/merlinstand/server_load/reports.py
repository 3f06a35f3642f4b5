"""Messages between gateways and the control leader about the load of backends.

A gateway sends a `GatewayLoad` with a pull if it sent any request since the one before, or is near
its limits. The leader replies with a `LoadSummary` while a service is busy or a gateway full.
Neither is durable: a new leader starts without any, and gateways choose backends by their own
evidence meanwhile. All are encoded by msgpack as arrays, so fields must keep their order.
"""

import msgspec

from merlinstand.common.ids import BackendId, NodeId

MAXIMUM_COUNT = 100_000
"""Requests, slots or seconds above which a reported figure is invalid."""
MAXIMUM_SLOWDOWN = 100.0
"""Largest valid slowdown; its inverse is the smallest."""


class ReportedLoad(msgspec.Struct, frozen=True, array_like=True):
    """What a backend reported about itself with a response.

    It has no timestamp or run of its own: the newest one that a gateway received counts, and sums
    are dropped when the backend restarts. `routing.load_reports.LoadReport` is requested explicitly
    and has both.
    """

    running: int
    """Requests that it is running, of all senders."""
    waiting: int
    """Requests in its queue."""
    slots: int
    """Requests that it runs at once."""
    slowdown: float
    """Present service time relative to its usual one: 2.0 for twice as long."""


def is_plausible(load: ReportedLoad) -> bool:
    """Return whether a backend's report is within valid bounds; False for a slowdown of NaN."""
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
    """Time integral of the gateway's requests in flight there, including those that still are."""
    reported: ReportedLoad | None = None
    """The newest load that the backend reported; None if none."""


class Flow(msgspec.Struct, frozen=True, gc=False):
    """Requests that are counted and limited together."""

    service: str
    rank: int
    """Priority; 0 is the most urgent."""
    tenant: str
    """Empty where callers need no key."""


class FlowTally(msgspec.Struct, frozen=True, array_like=True):
    """Arrivals of one rank and tenant at one gateway."""

    service: str
    rank: int
    """Priority of its route; 0 is the most urgent."""
    tenant: str
    """Empty where there are no tenants."""
    arrivals: int
    """All requests, including rejected ones."""


class GatewayLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway counted since its previous report."""

    span_seconds: float
    """Time that the counts cover."""
    servers: tuple[ServerTally, ...] = ()
    flows: tuple[FlowTally, ...] = ()
    full_share: float | None = None
    """Used fraction of the gateway's nearest limit, if it asks to be listed as full."""


class ServerShare(msgspec.Struct, frozen=True, array_like=True):
    """The recommended share of one backend in a service's requests."""

    backend_id: BackendId
    share: float
    """0 to 1; the shares of a service add up to 1."""
    service_seconds: float
    """Estimated time that a request takes there once it runs."""


class FlowLimit(msgspec.Struct, frozen=True, array_like=True):
    """Which fraction of one flow's requests gateways may admit.

    A gateway looks up the flow's rank and tenant, then its rank without a tenant. A flow with
    neither may be admitted completely; a rank without any limit gets as much as the nearest limited
    rank before it.
    """

    rank: int
    tenant: str
    """Empty for all tenants of the rank without a limit of their own, and requests without a
    tenant."""
    admitted: float
    """Fraction of its requests, 0 to 1."""


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a busy service."""

    service: str
    demand: float
    """Arrivals relative to what the backends can serve in the same time: above 1 not all can be
    served in time."""
    servers: tuple[ServerShare, ...]
    """Empty where backends do not report their load; gateways then choose by their own evidence."""
    limits: tuple[FlowLimit, ...] = ()
    """Limited flows; all others may be admitted completely."""


class LoadSummary(msgspec.Struct, frozen=True, array_like=True):
    """What the control leader publishes."""

    services: tuple[ServiceLoad, ...] = ()
    """Busy services only."""
    gateways: int = 0
    """Number of gateways that the leader heard recently."""
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
