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
    `revocation_seconds`. If false, a partitioned gateway continues to accept the keys that it
    knows."""
    revocation_seconds: float = 5.0
    """With `strict_revocation`, the time after which no gateway accepts a revoked key any more."""
    drain_seconds: float = 2.5
    """Time after a stop request during which new connections are still accepted, since load
    balancers take a while to notice a failed health check."""
    stop_limit_seconds: float = 7.0
    """Time from a stop request until every request must have ended, so that the process exits
    before the platform kills it. Late requests that might take longer are rejected."""
    keeper_call_seconds: float = 1.2
    """Timeout of a keeper's reply; for a read, the wait that the reader requested is added."""
    batch_call_seconds: float = 3.0
    """Time from the arrival of a batch call until it is no longer retried; for a read, the wait
    that the reader requested is added."""
