"""The leader's lease and the group time.

Lease: a voter that receives a message from a leader grants no vote for one election timeout on
its own clock. The leader's lease starts at the *send* time of a message that a quorum acknowledged
and lasts for `leader_lease_seconds` on the leader's clock. With clock rates within
`1 ± MAXIMUM_CLOCK_DRIFT` the lease ends before any voter of that quorum may vote again:
lease / (1 - drift) <= election timeout / (1 + drift). Any electing quorum contains one of those
voters, so no other leader can be elected while the lease is held.

Group time: it advances by the leader's elapsed time while the lease is held, and stops otherwise.
Every log entry carries it. A new leader starts at the group time of the newest entry in its log.
So within one log group time never decreases, and between two entries it advances by at most the
real time between them (except for drift): a duration that starts with an entry never ends too
early. Group time that passed after the newest entry is lost in a failover, which makes durations
end later by that much.
"""

from collections.abc import Iterable

from merlinstand.consensus.membership import Identity, Membership
from merlinstand.consensus.quorum import quorum_value

_NEVER = float("-inf")


class LeaderLease:
    """Lease and group time of one leader during its term."""

    def __init__(self, own_identity: Identity, lease_seconds: float, group_time: float) -> None:
        """No lease is held until a quorum acknowledged a message; group time starts as given."""
        self._own_identity = own_identity
        self._lease_seconds = lease_seconds
        self._acknowledged: dict[Identity, float] = {}
        self._lease_until = _NEVER
        self._base_group_time = group_time
        self._base_local_time = _NEVER
        self._surrendered = False

    @property
    def lease_until(self) -> float:
        """Local time at which the lease ends."""
        return self._lease_until

    @property
    def is_surrendered(self) -> bool:
        """Whether the lease was given up permanently."""
        return self._surrendered

    def acknowledge(self, voter: Identity, sent_at: float) -> None:
        """Record that a replica acknowledged a message sent at this local time."""
        if sent_at > self._acknowledged.get(voter, _NEVER):
            self._acknowledged[voter] = sent_at

    def quorum_sent_at(self, membership: Membership, now: float) -> float:
        """Latest local send time for which a quorum of voters has acknowledged a message."""
        identities: Iterable[Identity] = membership.voter_identities()
        values = [
            now if identity == self._own_identity else self._acknowledged.get(identity, _NEVER)
            for identity in identities
        ]
        return quorum_value(values) if values else _NEVER

    def refresh(self, membership: Membership, now: float) -> float:
        """Extend the lease by new acknowledgements; returns `quorum_sent_at`."""
        sent_at = self.quorum_sent_at(membership, now)
        lease_until = sent_at + self._lease_seconds
        if lease_until > now and not self._surrendered:
            if now >= self._lease_until:
                # Group time stopped when the lease expired; it continues from now.
                self._base_group_time = self.group_time(now)
                self._base_local_time = now
            # A membership change may lower the quorum's send time. The lease acquired under the
            # previous membership remains valid, since quorums of successive memberships
            # overlap.
            self._lease_until = max(self._lease_until, lease_until)
        return sent_at

    def is_held(self, now: float) -> bool:
        """Whether no other replica can be leader at this moment."""
        return now < self._lease_until and not self._surrendered

    def surrender(self, now: float) -> None:
        """Give up the lease permanently, so that a successor may be elected from now on."""
        self._base_group_time = self.group_time(now)
        self._base_local_time = _NEVER
        self._lease_until = min(self._lease_until, now)
        self._surrendered = True

    def group_time(self, now: float) -> float:
        """Return the group time in seconds."""
        if self._base_local_time == _NEVER:
            return self._base_group_time
        elapsed = min(now, self._lease_until) - self._base_local_time
        return self._base_group_time + max(0.0, elapsed)
