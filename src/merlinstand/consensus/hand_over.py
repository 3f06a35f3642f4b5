"""Hand-over (leadership transfer): wait until a successor holds the whole log.

The leader (`leader`) then surrenders its lease and asks the successor to start an election.
"""

from collections.abc import Iterable

from merlinstand.consensus.membership import Identity
from merlinstand.consensus.progress import FollowerProgress
from merlinstand.consensus.state import ReplicaState


class HandOver:
    """One attempt of a leader to hand over."""

    def __init__(self, state: ReplicaState) -> None:
        """Create an attempt; the leader refuses proposals while it exists."""
        self._state = state
        self.successor: Identity | None = None
        """The replica asked to start an election; None until one holds the whole log."""

    def choose(self, followers: Iterable[FollowerProgress], now: float) -> Identity | None:
        """Return a voter that holds every entry and replied recently, if any.

        Nodes that are about to leave the group come last.
        """
        state = self._state
        limit_seconds = state.settings.timings.election_timeout_seconds
        ready = [
            progress
            for progress in followers
            if progress.has_replied
            and not progress.is_silent(now, limit_seconds)
            and progress.match_index == state.log.last_index
            and state.membership.is_voter(progress.identity)
        ]
        leaving = state.membership.leaving
        ready.sort(key=lambda p: (p.identity.node_id in leaving, -p.last_reply_at, p.identity))
        return ready[0].identity if ready else None


def has_possible_successor(state: ReplicaState) -> bool:
    """Whether the group has another voter."""
    return any(member.identity != state.identity for member in state.membership.voters)
