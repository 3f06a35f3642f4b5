"""Settings of a control daemon, and of the control group as clients see it."""

import msgspec

from merlinstand.common import constants


class ControlMember(msgspec.Struct, frozen=True):
    """Where one control replica listens."""

    node_id: str
    address: str
    """Internal protocol address, `ip:port`."""
    zone: str = ""
    http_address: str = ""
    """Operators' API, `ip:port`; used to redirect a write to the leader."""


class ControlTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Tunables of a control daemon."""

    election_timeout_seconds: float = constants.ELECTION_TIMEOUT_SECONDS
    """Shortest silence of the leader after which a replica stands for election; the leader's
    lease follows from it. Make it shorter only while all control replicas are stopped."""
    election_timeout_spread_seconds: float = constants.ELECTION_TIMEOUT_SPREAD_SECONDS
    """Random extra silence that keeps candidates apart."""
    heartbeat_interval_seconds: float = constants.HEARTBEAT_INTERVAL_SECONDS
    """Interval of the leader's messages to each replica."""
    replacement_delay_seconds: float = 30.0
    """Silence after which a lost voter is replaced from the standbys."""
    ready_proof_age_seconds: float = 3.0
    """`/readyz` fails when the newest proof of a leader is older than this."""
    operator_timeout_seconds: float = 10.0
    """Longest wait of an operator's request for its answer."""
    snapshot_every_entries: int = 20_000
    """A snapshot is taken after this many log entries."""
    maximum_pending_commands: int = 4_096
    """Commands proposed or waiting, beyond which new ones are refused as busy."""


class ControlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """One control daemon."""

    node_id: str
    zone: str
    members: tuple[ControlMember, ...]
    """Founding voters of the group; the same list on every founding replica."""
    standbys: tuple[ControlMember, ...] = ()
    """Replicas that may be taken in when a voter is lost."""
    http_address: str = "127.0.0.1:0"
    """Where the operators' API is bound; a token is needed unless this is loopback."""
    operator_token: str = ""
    """Bearer token of the operators; empty on a non-loopback address refuses everybody."""
    timings: ControlTimings = ControlTimings()

    def token_required(self) -> bool:
        """Tell whether operators must show the token."""
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
