"""Settings of a batch keeper, which the platform's adapter creates from configuration files."""

import msgspec

from merlinstand.cluster.header_names import HeaderNames
from merlinstand.consensus.placement import PlacementRule


class KeeperSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one batch keeper."""

    node_id: str
    name: str
    """Machine name that operators use."""
    zone: str
    internal_address: str
    """Address of the internal protocol, `ip:port`."""
    http_address: str
    """Address of the HTTP interface for gateways, `ip:port`."""
    zones: dict[str, str] = {}
    """Region of each zone in the deployment."""
    seeds: tuple[str, ...]
    """Internal addresses of some control daemons."""
    may_found: bool = False
    """Whether this is the first start of the whole deployment, so that a group may be created."""
    header_names: HeaderNames = HeaderNames()
    order_lease_seconds: float = 3.0
    """Time after an order of an earlier leader to an engine during which a new leader sends no
    order to that engine."""
    result_retention_seconds: float = 120.0
    """Minimum time after the acceptance of a job during which its results stay readable. They stay
    readable for longer if the job has not ended by then."""
    tolerated_losses: int = 1
    """Number of machines with a disk that may fail at the same time."""
    tolerated_region_losses: int = 0
    """Number of regions that may fail at the same time; if 0, a group's replicas are placed in one
    region if possible."""
    election_timeout_seconds: float = 0.6
    """Minimum time without a message from the leader after which a replica starts an election."""
    repair_delay_seconds: float = 2.5
    """Time without a message from a replica after which a standby replaces it."""
    event_timeout_seconds: float = 3.0
    """A run ends if data arrives from its engine, but for this long no event of the text. Twice the
    time after which a silent run ends."""
    call_timeout_seconds: float = 2.0
    """Maximum time that a gateway's call waits for its command to be committed."""

    maximum_job_bytes: int = 0
    """Maximum size of the request bodies of all open jobs; further jobs are rejected. A job that is
    the only one is accepted even if it is larger. 0: no limit."""

    @property
    def placement(self) -> PlacementRule:
        """Preferred distribution of a group's replicas over zones and regions."""
        return PlacementRule(
            region_by_zone=self.zones, tolerated_region_losses=self.tolerated_region_losses
        )

    @property
    def group_size(self) -> int:
        """Number of replicas needed to tolerate the configured losses."""
        return 2 * self.tolerated_losses + 1
