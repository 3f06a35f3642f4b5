"""Settings of a gateway that forwards by the directory's routes."""

import msgspec

from merlinstand.cluster.header_names import HeaderNames


class ForwardingSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One gateway."""

    node_id: str
    name: str
    """The machine's name, as operators know it."""
    zone: str
    internal_address: str
    """`ip:port` of the internal protocol."""
    zones: dict[str, str] = {}
    """Region of each zone of the deployment."""
    seeds: tuple[str, ...]
    """Internal addresses of some control daemons."""
    header_names: HeaderNames = HeaderNames()
    usage_window_seconds: float = 0.0
    """Length of the windows by which the tenants' requests are counted; 0 if nobody asks."""
    strict_revocation: bool = False
    """Serve callers with keys only while it is certain that no key was taken away unnoticed: refuse
    them once no leading control daemon was heard for `revocation_seconds`. Otherwise a gateway that
    is cut off goes on by the keys it knows."""
    revocation_seconds: float = 5.0
    """With `strict_revocation`, a key that was taken away works nowhere after this long."""
    drain_seconds: float = 2.5
    """After a stop was asked for, new connections are taken for this long: balancers notice
    a failed health check late."""
    stop_limit_seconds: float = 7.0
    """Longest time from the stop's begin to the process's end."""
    keeper_call_seconds: float = 1.2
    """Longest wait for a keeper's answer, besides a reader's own wait."""
    batch_call_seconds: float = 3.0
    """Longest time in which a batch call is tried at one keeper after the other."""
