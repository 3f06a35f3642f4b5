"""Settings of a control daemon that keeps the directory."""

import msgspec

from merlinstand.consensus.placement import PlacementRule


class DirectorySettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One control daemon, which learns of the others from a few seed addresses."""

    node_id: str
    name: str
    """The machine's name, as operators know it."""
    zone: str
    internal_address: str
    """`ip:port` of the internal protocol."""
    http_port: int
    """Port of the HTTP interface; the same on every control daemon."""
    zones: dict[str, str] = {}
    """Region of each zone of the deployment."""
    seeds: tuple[str, ...]
    """Internal addresses of some control daemons; at the first start, of the founders."""
    may_found: bool = False
    """Whether this is the very first start of the whole system."""
    tolerated_losses: int = 1
    """Machines with a disk that may be lost at once."""
    tolerated_region_losses: int = 0
    """Regions that may be lost at once; with 0, a group's replicas stand in one region if they
    can."""
    platform_address: str = ""
    """`ip:port` of the platform that takes reports of use; empty if there is none."""
    platform_lease_seconds: float = 3.0
    """Two leaders that call the platform never take turns within this time."""
    platform_calls_per_second: float = 10.0
    """Most calls that the platform takes from all daemons together."""
    usage_window_seconds: float = 0.0
    """Length of the windows by which the tenants' use is reported; 0 if it isn't."""
    usage_due_seconds: float = 10.0
    """A window's report is due this long after the window's end."""
    cold_overshoot: float = 1.0
    """In any second no more requests may reach a cold back end than this many times what it
    bears, and `cold_slack_requests`."""
    cold_slack_requests: float = 0.0
    """See `cold_overshoot`."""
    backend_silence_seconds: float = 15.0
    """A back end without heartbeats for this long is forgotten."""
    election_timeout_seconds: float = 0.4
    """Shortest silence of the leader after which a replica stands for election."""
    repair_delay_seconds: float = 2.5
    """Silence after which a lost replica is replaced from the standbys."""
    request_timeout_seconds: float = 3.0
    """Longest wait of a request for its decision."""

    @property
    def placement(self) -> PlacementRule:
        """Where the replicas of a group should stand."""
        return PlacementRule(
            region_by_zone=self.zones, tolerated_region_losses=self.tolerated_region_losses
        )

    @property
    def control_group_size(self) -> int:
        """Control replicas needed to tolerate the losses; grown to beyond the founders."""
        return 2 * self.tolerated_losses + 1

    @property
    def keeper_group_size(self) -> int:
        """Replicas of batch jobs needed to tolerate the losses."""
        return 2 * self.tolerated_losses + 1
