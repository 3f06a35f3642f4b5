"""Elections right after many replicas restarted, without waiting for promises they forgot.

A replica that restarts may have promised a living leader to elect nobody else, and has
forgotten it; so for one election timeout it votes for nobody. After a power failure of the
whole group that wait is needless: the leader to whom the promises were made is gone, too.

The census proves it. A candidate asks every voter twice. Each that neither leads nor has heard a
leader since it started answers with the number of its start. When all voters have
answered two successive rounds with the same numbers, then at some moment after the first round
(when its own second answer left) each of them did not lead, and no promise that a restart has
cut short is younger than the first round. So whoever held a lease by such a promise has lost it,
and the voters may set their restart's promise aside, each for the very start that was counted.

.. note:: One round is not enough: an answer may be old. A leader could have been elected after
   it said that it doesn't lead, by a voter that restarted before it was asked.
.. note:: A leader that the candidate doesn't know as a voter has its own entry, and with it the
   membership that names it, in a quorum's log; one of those asked then holds a newer log
   than the candidate's and refuses.
"""

from collections.abc import Iterable

from merlinstand.common.ids import NodeId
from merlinstand.consensus.membership import Identity


class RestartCensus:
    """Answers of all voters to one candidate's rounds of questions; owned by its election."""

    def __init__(self) -> None:
        """Begin before the first round."""
        self.round = 0
        """Number of the present round; 0 before the first."""
        self.starts: dict[NodeId, int] = {}
        """Starts of the voters, as told in the round before; empty if it was not complete."""
        self._present: dict[Identity, int] = {}

    def open_round(self, number: int) -> None:
        """Ask anew; answers to earlier rounds count no more.

        Args:
            number: Never used before, not even before a restart.
        """
        self.round = number
        self._present = {}

    def note(self, voter: Identity, answered_round: int, start: int) -> None:
        """Take in an answer.

        Args:
            voter: Who answered.
            answered_round: The round it answers.
            start: Number of the voter's start; 0 if it leads or has promised a leader.
        """
        if start and answered_round == self.round:
            self._present[voter] = start

    def is_complete(self, others: Iterable[Identity]) -> bool:
        """Whether all these voters have answered the present round."""
        return all(voter in self._present for voter in others)

    def is_confirmed(self) -> bool:
        """Whether the present round, once complete, says the same as the one before."""
        return bool(self.starts) and self.starts == self._by_node()

    def close_round(self) -> None:
        """Keep the answers of the complete round for comparison with the next."""
        self.starts = self._by_node()

    def forget(self) -> None:
        """Drop all answers: something has happened that they don't cover."""
        self.starts = {}
        self._present = {}
        self.round = 0

    def _by_node(self) -> dict[NodeId, int]:
        return {voter.node_id: start for voter, start in self._present.items()}
