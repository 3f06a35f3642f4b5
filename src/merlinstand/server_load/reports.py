"""What gateways tell of the servers that they send to, and what the control leader publishes of it.

Plain data with its encoding. A gateway sends a `GatewayLoad` with a pull if it sent anything since
the one before, or is near its bounds; the leader answers with a `LoadSummary` while a service is
busy or a gateway full. Neither is durable: a new leader begins with none, and gateways choose
servers by their own evidence meanwhile.
"""

import msgspec

from merlinstand.common.ids import BackendId, NodeId

MAXIMUM_COUNT = 100_000
"""Requests, slots or seconds above which a server's or a gateway's figure means nothing."""
MAXIMUM_SLOWDOWN = 100.0
"""Pace above which a server's own figure means nothing; likewise below its inverse."""


class ReportedLoad(msgspec.Struct, frozen=True, array_like=True):
    """What a server said of itself with an answer.

    It has no time or start of its own: the newest that a gateway read counts, and what is added up
    is dropped with the server's start. `routing.load_reports.LoadReport` is asked for and has both.
    """

    running: int
    """Requests that it worked on, of all senders."""
    waiting: int
    """Requests in its queue."""
    slots: int
    """Requests that it works on at once."""
    slowdown: float
    """How long work takes there now, against usual: 2.0 for twice as long."""


def is_plausible(load: ReportedLoad) -> bool:
    """Whether what a server says of itself can be so; also false for a pace that is no number."""
    counts = (load.running, load.waiting, load.slots)
    is_count_plausible = all(0 <= count <= MAXIMUM_COUNT for count in counts)
    return is_count_plausible and 1.0 / MAXIMUM_SLOWDOWN <= load.slowdown <= MAXIMUM_SLOWDOWN


class ServerTally(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway saw of one server since its report before."""

    backend_id: BackendId
    sent: int = 0
    answered: int = 0
    """Whole answers of requests that ran."""
    refused: int = 0
    """Answers that say that the server has not run the request."""
    in_flight_seconds: float = 0.0
    """Time integral of the gateway's requests in flight there, those that still are among them."""
    reported: ReportedLoad | None = None
    """The newest that the server said of itself; None if it says nothing."""


class Flow(msgspec.Struct, frozen=True, gc=False):
    """Requests that are counted and limited together."""

    service: str
    rank: int
    """Priority; 0 is the most urgent."""
    tenant: str
    """Empty where callers need no key."""


class FlowTally(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one rank and tenant that callers brought to one gateway."""

    service: str
    rank: int
    """Priority of its route; 0 is the most urgent."""
    tenant: str
    """Empty where there are no tenants."""
    arrivals: int
    """All of them, also those that were refused."""


class GatewayLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway saw since its report before."""

    span_seconds: float
    """Time that it covers."""
    servers: tuple[ServerTally, ...] = ()
    flows: tuple[FlowTally, ...] = ()
    full_share: float | None = None
    """How much of the gateway's nearest bound is used, if it asks for no new connections."""


class ServerShare(msgspec.Struct, frozen=True, array_like=True):
    """How much of a service's requests one server had better get."""

    backend_id: BackendId
    share: float
    """0 to 1; those of a service add up to 1."""
    service_seconds: float
    """Estimated time that a request takes there once it runs."""


class FlowLimit(msgspec.Struct, frozen=True, array_like=True):
    """How much of one flow's requests gateways may admit.

    A gateway looks for the flow's rank and tenant, then for its rank without a tenant. What has
    neither may be admitted whole; a rank without any limit, as much as the nearest limited one
    before it.
    """

    rank: int
    tenant: str
    """Empty: all tenants of the rank that have no limit of their own, and requests without one."""
    admitted: float
    """Share of its requests, 0 to 1."""


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """A service that is busy."""

    service: str
    demand: float
    """Requests a second that callers bring, against those that the servers can do: above 1 they
    can't all be served in time."""
    servers: tuple[ServerShare, ...]
    """Empty where servers don't tell their load themselves: gateways then choose by their own
    evidence."""
    limits: tuple[FlowLimit, ...] = ()
    """Flows of which not everything may be admitted; all others may be."""


class LoadSummary(msgspec.Struct, frozen=True, array_like=True):
    """What the control leader publishes."""

    services: tuple[ServiceLoad, ...] = ()
    """Busy ones; of the others nothing is said."""
    gateways: int = 0
    """Those that the leader heard lately."""
    report_interval_seconds: float = 0.0
    """How long a gateway waits between two reports while a service is busy."""
    full_gateways: tuple[NodeId, ...] = ()
    """Those that may ask for no new connections."""


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
