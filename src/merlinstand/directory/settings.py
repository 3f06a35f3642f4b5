"""Settings of a control daemon that serves the directory."""

import msgspec

from merlinstand.consensus.placement import PlacementRule


class DirectorySettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one control daemon, which finds the others by the seed addresses."""

    node_id: str
    name: str
    """Machine name, by which operators and the platform identify this daemon."""
    zone: str
    internal_address: str
    """Address of the internal protocol, `ip:port`."""
    http_port: int
    """Port of the HTTP interface; the same on every control daemon."""
    zones: dict[str, str] = {}
    """Region of each zone of the deployment."""
    seeds: tuple[str, ...]
    """Internal addresses of some control daemons, `ip:port`; at the deployment's first start, those
    of the initial members of the consensus group."""
    may_found: bool = False
    """Whether this is the first start of the deployment, so that the daemon may bootstrap the
    group."""
    tolerated_losses: int = 1
    """Number of machines with a disk that may fail at the same time without loss of data."""
    tolerated_region_losses: int = 0
    """Number of regions that may fail at the same time; with 0, a group's replicas are placed in
    one region if possible."""
    platform_address: str = ""
    """`ip:port` of the platform that receives usage reports; empty if there is none."""
    platform_lease_seconds: float = 3.0
    """Shortest time after which another leader may call the platform."""
    platform_calls_per_second: float = 10.0
    """The platform's rate limit for the calls of all daemons together."""
    usage_window_seconds: float = 0.0
    """Length of the windows in which the tenants' usage is reported; 0 if it isn't reported."""
    usage_due_seconds: float = 10.0
    """Time after the end of a window within which the window's usage must be reported."""
    cold_overshoot: float = 1.0
    """In any second a cold backend, such as one that has just started, gets at most this many times
    its service's `cold_requests_per_second`, plus `cold_slack_requests`."""
    cold_slack_requests: float = 0.0
    """Requests within any second in addition to `cold_overshoot` times the rate."""
    backend_silence_seconds: float = 15.0
    """A backend without heartbeats for this long expires."""
    election_timeout_seconds: float = 0.4
    """Shortest time without contact with the leader after which a replica starts an election."""
    repair_delay_seconds: float = 2.5
    """Time without contact with a replica after which a standby replaces it."""
    request_timeout_seconds: float = 3.0
    """Longest time that a request waits until its command is committed."""

    @property
    def placement(self) -> PlacementRule:
        """Placement rule for the replicas of a group."""
        return PlacementRule(
            region_by_zone=self.zones, tolerated_region_losses=self.tolerated_region_losses
        )

    @property
    def control_group_size(self) -> int:
        """Control replicas needed for `tolerated_losses`; the group grows to this size."""
        return 2 * self.tolerated_losses + 1

    @property
    def keeper_group_size(self) -> int:
        """Replicas of batch jobs needed for `tolerated_losses`."""
        return 2 * self.tolerated_losses + 1
