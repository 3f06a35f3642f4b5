"""Places and the latency between them."""

import msgspec

CLIENT_ZONE = "clients"
"""Zone of callers and operators."""


class Topology(msgspec.Struct, frozen=True, kw_only=True):
    """Zones of one deployment and one-way latencies in seconds."""

    zones: tuple[str, ...]
    zone_latency_seconds: float
    """Between two zones."""
    client_latency_seconds: float
    """Between clients and any zone."""
    local_latency_seconds: float = 0.0001
    """Within a zone."""
    jitter: float = 0.2
    """Largest relative extra latency of one packet."""

    def latency(self, source: str, destination: str) -> float:
        """Return the one-way latency between two zones in seconds."""
        if source == destination:
            return self.local_latency_seconds
        if CLIENT_ZONE in (source, destination):
            return self.client_latency_seconds
        return self.zone_latency_seconds


VITRINA = Topology(
    zones=("hall-a", "hall-b", "hall-c"),
    zone_latency_seconds=0.0005,
    client_latency_seconds=0.001,
)
TATRASOFT = Topology(
    zones=("ba-hall1", "ba-hall2", "tt-hall"),
    zone_latency_seconds=0.0015,
    client_latency_seconds=0.003,
)
