"""Passing leadership on: wait until a successor has the whole log, then let it stand.

The leader drives the attempt and gives its lease up before it names the successor (`leader`).
"""

from collections.abc import Iterable

from merlinstand.consensus.membership import Identity
from merlinstand.consensus.progress import Progress
from merlinstand.consensus.state import ReplicaState


class HandOver:
    """One attempt of a leader to pass its leadership on."""

    def __init__(self, state: ReplicaState) -> None:
        """Begin an attempt; from now on the leader takes no proposals."""
        self._state = state
        self.successor: Identity | None = None
        """The replica told to stand; None while waiting."""

    def choose(self, followers: Iterable[Progress], now: float) -> Identity | None:
        """A voter that can succeed now: it holds every entry and answers."""
        state = self._state
        limit_seconds = state.settings.timings.election_timeout_seconds
        ready = [
            progress
            for progress in followers
            if progress.has_answered
            and not progress.is_silent(now, limit_seconds)
            and progress.match_index == state.log.last_index
            and state.membership.is_voter(progress.identity)
        ]
        leaving = state.membership.leaving
        ready.sort(key=lambda p: (p.identity.node_id in leaving, -p.last_heard_at, p.identity))
        return ready[0].identity if ready else None


def has_possible_successor(state: ReplicaState) -> bool:
    """Whether there is any other voter."""
    return any(member.identity != state.identity for member in state.membership.voters)
