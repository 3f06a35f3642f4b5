"""Settings of hollow servers and callers."""

import msgspec


class HollowServerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """One hollow engine or service server."""

    node_id: str
    model: str = "hollow"
    tokens_per_chunk: int = 1
    chunk_interval_seconds: float = 0.02
    """Interval between two chunks of a stream, alike for all streams."""
    tokens_per_second: float = 2_000.0
    first_version: int = 1
    """Weight version active at the start; gateways send nothing to an engine without one."""
    load_seconds: float = 0.0
    """Time from an order to load until it is done, if no store is asked."""
    asks_store: bool = False
    """Ask the order's source for the weights, as a real engine does."""


class HollowCallerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """One process of callers that loads one address."""

    node_id: str
    address: str
    """`ip:port` of a gateway, or of a server for a direct call."""
    path: str = "/shop-api/stock"
    requests_per_second: float = 0.0
    """Open load of short requests."""
    streams: int = 0
    """Completions kept under way."""
    tokens_per_stream: int = 400
    tick_seconds: float = 0.02
    timeout_seconds: float = 10.0
