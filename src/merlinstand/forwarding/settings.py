"""Settings of a gateway that uses the directory."""

import msgspec

from merlinstand.cluster.header_names import HeaderNames


class ForwardingSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one gateway."""

    node_id: str
    name: str
    """Machine name as known to operators."""
    zone: str
    internal_address: str
    """`ip:port` of the internal protocol."""
    zones: dict[str, str] = {}
    """Region of each zone of the deployment."""
    seeds: tuple[str, ...]
    """Internal addresses of some control daemons."""
    header_names: HeaderNames = HeaderNames()
    usage_window_seconds: float = 0.0
    """Length of the windows in which tenants' requests are counted; 0 disables counting."""
    strict_revocation: bool = False
    """Accept API keys only while it is certain that none has been revoked without this gateway's
    knowledge: reject callers with keys once no control leader was heard from for
    `revocation_seconds`. If false, a partitioned gateway goes on with the keys it knows."""
    revocation_seconds: float = 5.0
    """With `strict_revocation`, a revoked key is accepted nowhere after this long."""
    drain_seconds: float = 2.5
    """How long new connections are accepted after a stop request, since load balancers notice a
    failed health check late."""
    stop_limit_seconds: float = 7.0
    """Maximum time from the stop request to the exit of the process."""
    keeper_call_seconds: float = 1.2
    """Timeout of a keeper's reply, on top of the wait that a reader asks for."""
    batch_call_seconds: float = 3.0
    """Total time for which a batch call is retried at the keepers."""
