"""Settings of a control daemon, and of the control group as clients see it."""

import msgspec

from merlinstand.common import constants


class ControlMember(msgspec.Struct, frozen=True):
    """Addresses and zone of one control replica."""

    node_id: str
    address: str
    """Internal protocol address, `ip:port`."""
    zone: str = ""
    http_address: str = ""
    """Operators' API, `ip:port`; used to redirect a write to the leader."""


class ControlTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Timings (in seconds) and limits of a control daemon."""

    election_timeout_seconds: float = constants.ELECTION_TIMEOUT_SECONDS
    """Shortest time without a message from the leader after which a replica starts an election; the
    leader's lease is derived from it. Reduce it only while all control replicas are stopped."""
    election_timeout_spread_seconds: float = constants.ELECTION_TIMEOUT_SPREAD_SECONDS
    """Longest random addition to the election timeout; reduces split votes."""
    heartbeat_interval_seconds: float = constants.HEARTBEAT_INTERVAL_SECONDS
    """Interval of the leader's heartbeats to each replica."""
    replacement_delay_seconds: float = 30.0
    """Time without a message after which a voter counts as lost and a standby replaces it."""
    ready_proof_age_seconds: float = 3.0
    """`/readyz` fails when the newest freshness proof is older than this."""
    operator_timeout_seconds: float = 10.0
    """Maximum time until an operator's request gets its response."""
    snapshot_every_entries: int = 20_000
    """Log entries between two snapshots."""
    maximum_pending_commands: int = 4_096
    """Pending commands beyond which new ones are refused as busy."""


class ControlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one control daemon."""

    node_id: str
    zone: str
    members: tuple[ControlMember, ...]
    """Initial voters of the group; the same list on every initial replica."""
    standbys: tuple[ControlMember, ...] = ()
    """Replicas that may replace a lost voter."""
    http_address: str = "127.0.0.1:0"
    """Address that the operators' API binds; a token is required unless it is loopback."""
    operator_token: str = ""
    """Bearer token of the operators; empty on a non-loopback address refuses all requests."""
    timings: ControlTimings = ControlTimings()

    def token_required(self) -> bool:
        """Return whether requests must carry the bearer token."""
        host = self.http_address.rsplit(":", 1)[0]
        return bool(self.operator_token) or not (host.startswith("127.") or host == "[::1]")

    def own_member(self) -> ControlMember:
        """Return this daemon's own entry of `members` or `standbys`.

        Raises:
            KeyError: The node is in neither list.
        """
        for member in self.members + self.standbys:
            if member.node_id == self.node_id:
                return member
        raise KeyError(self.node_id)
