"""Settings of a batch keeper, as the platform's adapter makes them from a machine's files."""

import msgspec

from merlinstand.cluster.header_names import HeaderNames
from merlinstand.consensus.placement import PlacementRule


class KeeperSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One batch keeper."""

    node_id: str
    name: str
    """The machine's name, as operators know it."""
    zone: str
    internal_address: str
    """`ip:port` of the internal protocol."""
    http_address: str
    """`ip:port` of the HTTP interface for gateways."""
    zones: dict[str, str] = {}
    """Region of each zone of the deployment."""
    seeds: tuple[str, ...]
    """Internal addresses of some control daemons."""
    may_found: bool = False
    """Whether this is the very first start of the whole system."""
    header_names: HeaderNames = HeaderNames()
    order_lease_seconds: float = 3.0
    """A new leader gives engines no orders for this long: the one before may have just done so."""
    result_retention_seconds: float = 120.0
    """Results stay readable for this long after their job was accepted, and while it is open."""
    tolerated_losses: int = 1
    """Machines with a disk that may be lost at once."""
    tolerated_region_losses: int = 0
    """Regions that may be lost at once; with 0, a group's replicas stand in one region if they
    can."""
    election_timeout_seconds: float = 0.6
    """Shortest silence of the leader after which a replica stands for election."""
    repair_delay_seconds: float = 2.5
    """Silence after which a lost replica is replaced from the standbys."""
    call_timeout_seconds: float = 2.0
    """Longest wait of a call for its decision."""

    @property
    def placement(self) -> PlacementRule:
        """Where the replicas of a group should stand."""
        return PlacementRule(
            region_by_zone=self.zones, tolerated_region_losses=self.tolerated_region_losses
        )

    @property
    def group_size(self) -> int:
        """Replicas of batch jobs needed to tolerate the losses."""
        return 2 * self.tolerated_losses + 1
