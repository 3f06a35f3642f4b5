"""Elections after a restart of all voters, without waiting for promises lost in the restart.

A voter that restarts may have promised a leader not to elect another one. The promise is lost, so
the voter refuses to vote for one election timeout. After a power failure of the whole group this
wait is unnecessary, because the leader has stopped too.

The census proves that. A candidate asks every voter twice. A voter that does not lead and has
received no message from a leader since it started replies with its start number. Suppose that all
voters reply to two successive rounds with the same numbers. Then each of them was not leading at
some time after the first round, when it sent its second reply, and no promise lost in a restart is
younger than the first round. So any leader whose lease relied on such a promise has lost the lease.
Each voter may ignore the promise assumed after its restart, for the start that was counted.

.. note:: One round is not enough, because a reply may be old: after a replica replied that it does
   not lead, it could have been elected by a voter that restarted before it was asked.
.. note:: A leader that is not a voter in the candidate's membership has committed an entry of its
   term, and with it the membership that lists it, at a quorum. One of the voters asked then holds
   a newer log than the candidate and refuses.
"""

from collections.abc import Iterable

from merlinstand.common.ids import NodeId
from merlinstand.consensus.membership import Identity


class RestartCensus:
    """Voters' replies to the rounds of one candidate."""

    def __init__(self) -> None:
        self.round = 0
        """Number of the current round; 0 before the first."""
        self.starts: dict[NodeId, int] = {}
        """Start numbers of the voters in the previous round; empty if it was not complete."""
        self._replies: dict[Identity, int] = {}

    def open_round(self, number: int) -> None:
        """Start a round; replies to earlier rounds no longer count.

        Args:
            number: Number of the round; must never have been used before, not even before a
                restart.
        """
        self.round = number
        self._replies = {}

    def record_reply(self, voter: Identity, answered_round: int, start: int) -> None:
        """Record a reply; replies to other rounds are ignored.

        Args:
            voter: Sender of the reply.
            answered_round: Number of the round to which the voter replied.
            start: Start number of the voter; 0 if it leads or made a promise to a leader.
        """
        if start and answered_round == self.round:
            self._replies[voter] = start

    def is_complete(self, others: Iterable[Identity]) -> bool:
        """Whether all these voters have replied to the current round."""
        return all(voter in self._replies for voter in others)

    def is_confirmed(self) -> bool:
        """Whether the current round, if complete, has the same replies as the previous one."""
        return bool(self.starts) and self.starts == self._by_node()

    def close_round(self) -> None:
        """Store the replies of the complete round for comparison with the next one."""
        self.starts = self._by_node()

    def reset(self) -> None:
        """Discard all replies, because contact with a leader invalidates them."""
        self.starts = {}
        self._replies = {}
        self.round = 0

    def _by_node(self) -> dict[NodeId, int]:
        return {voter.node_id: start for voter, start in self._replies.items()}
