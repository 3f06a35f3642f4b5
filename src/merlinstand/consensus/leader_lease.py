"""The leader's lease and the group's clock.

Lease. A voter that hears from a leader grants nobody a vote for one election timeout on
its own clock. The leader counts from its own *send* time of a message that a quorum
acknowledged, for `leader_lease_seconds` on its own clock. With clock rates within
`1 ± MAXIMUM_CLOCK_DRIFT` the lease ends before any voter of that quorum is free:
lease / (1 - drift) <= election timeout / (1 + drift). Any electing quorum contains one of
those voters, so no other leader can be elected while the lease is held.

Clock. The group time advances by the leader's elapsed time while it holds its lease, and
stands still otherwise. Every log entry carries it. A new leader begins at the group time
of the newest entry in its log, so along any one log group time never goes back, and from
one entry to a later one it advances by no more than the real time between them (but for
drift): a duration that begins with an entry never ends too soon. What the clock showed
after the newest entry is forgotten in a failover; leases end that much later.
"""

from collections.abc import Iterable

from merlinstand.consensus.membership import Identity, Membership
from merlinstand.consensus.quorum import quorum_value

_NEVER = float("-inf")


class LeaderLease:
    """Lease and clock of one leadership."""

    def __init__(self, own: Identity, lease_seconds: float, group_time: float) -> None:
        """Begin without a lease, at a known group time."""
        self._own = own
        self._lease_seconds = lease_seconds
        self._acknowledged: dict[Identity, float] = {}
        self._lease_until = _NEVER
        self._clock_base = group_time
        self._clock_anchor = _NEVER
        self._surrendered = False

    @property
    def lease_until(self) -> float:
        """Local time at which the lease ends."""
        return self._lease_until

    @property
    def is_surrendered(self) -> bool:
        """Whether the lease was given up for good."""
        return self._surrendered

    def acknowledge(self, voter: Identity, sent_at: float) -> None:
        """A replica answered a message that was sent at this local time."""
        if sent_at > self._acknowledged.get(voter, _NEVER):
            self._acknowledged[voter] = sent_at

    def quorum_sent_at(self, membership: Membership, now: float) -> float:
        """Latest send time up to which a quorum of voters has answered."""
        identities: Iterable[Identity] = membership.voter_identities()
        values = [
            now if identity == self._own else self._acknowledged.get(identity, _NEVER)
            for identity in identities
        ]
        return quorum_value(values) if values else _NEVER

    def refresh(self, membership: Membership, now: float) -> float:
        """Take new acknowledgements into account; returns `quorum_sent_at`."""
        sent_at = self.quorum_sent_at(membership, now)
        lease_until = sent_at + self._lease_seconds
        if lease_until > now and not self._surrendered:
            if now >= self._lease_until:
                # The clock stood still since the lease was lost; go on from here.
                self._clock_base = self.group_time(now)
                self._clock_anchor = now
            # A membership change may bring the quorum's send time down. The lease taken
            # under the old membership stays good: neighbouring quorums overlap.
            self._lease_until = max(self._lease_until, lease_until)
        return sent_at

    def is_held(self, now: float) -> bool:
        """Whether no other replica can be leader at this moment."""
        return now < self._lease_until and not self._surrendered

    def surrender(self, now: float) -> None:
        """Give the lease up for good: a successor may be elected from now on."""
        self._clock_base = self.group_time(now)
        self._clock_anchor = _NEVER
        self._lease_until = min(self._lease_until, now)
        self._surrendered = True

    def group_time(self, now: float) -> float:
        """The group's time."""
        if self._clock_anchor == _NEVER:
            return self._clock_base
        elapsed = min(now, self._lease_until) - self._clock_anchor
        return self._clock_base + max(0.0, elapsed)
