"""Safety invariants, checked after every step of a replica."""

import bisect
from typing import TYPE_CHECKING

from merlinstand.common import constants
from merlinstand.consensus.step import CommittedEntry, Step

if TYPE_CHECKING:
    from .network import Network, Node

_TOLERANCE_SECONDS = 1e-6


class Observer:
    """Checks invariants with a global view of all nodes."""

    def __init__(self, network: "Network") -> None:
        self._network = network
        self.committed: dict[int, CommittedEntry] = {}
        self._committed_in_term: dict[int, int] = {}
        self.leaders: dict[int, tuple[str, int]] = {}
        self._commit_times: list[float] = []
        self._commit_indexes: list[int] = []
        self._proposed_at: dict[tuple[int, int], float] = {}
        self._reads: dict[str, int] = {}
        self.answered_reads: set[str] = set()

    @property
    def highest(self) -> int:
        return self._commit_indexes[-1] if self._commit_indexes else 0

    def proposed(self, index: int, term: int, now: float) -> None:
        self._proposed_at[index, term] = now

    def on_read_requested(self, read_id: str) -> None:
        self._reads[read_id] = self.highest

    def elected(self, node: "Node") -> None:
        replica = node.replica
        assert replica is not None
        winner = (node.name, node.run)
        assert self.leaders.setdefault(replica.term, winner) == winner, "one leader per term"
        log = replica._state.log
        for index in range(log.base_index + 1, log.last_index + 1):
            if log.term_at(index) == replica.term:
                self.proposed(index, replica.term, self._network.now)
        for index, entry in self.committed.items():
            # A leader of an earlier term that is elected late need not hold the entry.
            if index > log.base_index and self._committed_in_term[index] < replica.term:
                held = log.entry_at(index)
                assert held is not None, f"leader does not hold committed entry {index}"
                assert held.term == entry.term, f"leader holds a different entry {index}"

    def check(self, node: "Node", step: Step) -> None:
        assert node.replica is not None
        for entry in step.committed:
            self._committed_in_term.setdefault(entry.index, node.replica.term)
            self._check_committed(entry)
        for read_id in step.reads_ready:
            assert node.applied_index >= self._reads[read_id], f"stale read {read_id}"
            self.answered_reads.add(read_id)
        if step.restored is not None:
            self._check_terms(node)
        self._check_lease()
        self._check_proof(node)

    @staticmethod
    def _check_terms(node: "Node") -> None:
        """Terms must not decrease along a log: installing a snapshot drops conflicting entries."""
        assert node.replica is not None
        log = node.replica._state.log
        terms = [log.term_at(index) for index in range(log.base_index, log.last_index + 1)]
        assert terms == sorted(terms), f"terms decrease in the log of {node.name}: {terms}"

    def _check_committed(self, entry: CommittedEntry) -> None:
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, f"two different entries committed at {entry.index}"
        if entry.index > self.highest:
            self._commit_times.append(self._network.now)
            self._commit_indexes.append(entry.index)
            self._check_group_time(entry)

    def _check_group_time(self, entry: CommittedEntry) -> None:
        before = self.committed.get(entry.index - 1)
        if before is None:
            return
        assert entry.group_time >= before.group_time, "group time decreases"
        begin = self._proposed_at.get((before.index, before.term))
        end = self._proposed_at.get((entry.index, entry.term))
        if begin is not None and end is not None:
            longest = (end - begin) * (1 + constants.MAXIMUM_CLOCK_DRIFT) + _TOLERANCE_SECONDS
            assert entry.group_time - before.group_time <= longest, (
                f"group time exceeds real time: {before} {begin} {entry} {end}"
            )

    def _check_lease(self) -> None:
        acting = [
            node.name
            for node in self._network.nodes.values()
            if node.replica is not None and node.replica.may_act(node.local_time(self._network.now))
        ]
        assert len(acting) <= 1, f"two leaders may act: {acting}"

    def _check_proof(self, node: "Node") -> None:
        assert node.replica is not None
        age = node.replica.proof_age_seconds(node.local_time(self._network.now))
        if age is None:
            return
        moment = self._network.now - age / node.clock_rate - _TOLERANCE_SECONDS
        position = bisect.bisect_right(self._commit_times, moment)
        needed = self._commit_indexes[position - 1] if position > 0 else 0
        assert node.applied_index >= needed, f"{node.name} has a wrong freshness proof"

    def check_logs_match(self) -> None:
        """Two logs with the same index and term must be equal up to that index."""
        logs = [n.replica._state.log for n in self._network.nodes.values() if n.replica is not None]
        for position, first in enumerate(logs):
            for second in logs[position + 1 :]:
                self._check_pair(first, second)

    @staticmethod
    def _check_pair(first, second) -> None:  # type: ignore[no-untyped-def]
        low = max(first.base_index, second.base_index)
        agreed = False
        for index in range(min(first.last_index, second.last_index), low, -1):
            agreed = agreed or first.term_at(index) == second.term_at(index)
            if agreed:
                assert first.entry_at(index) == second.entry_at(index), f"logs differ at {index}"
