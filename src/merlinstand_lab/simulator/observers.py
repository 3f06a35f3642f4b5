"""Observers of the wire: they see messages between processes, never their state."""

from typing import Any

import msgspec
import xxhash

from merlinstand.protocol.generated.consensus.ttypes import AppendRequest, SnapshotChunk
from merlinstand.protocol.generated.control.ttypes import ConfigurationPull, ConfigurationUpdate
from merlinstand_lab.simulator.machine import Machine
from merlinstand_lab.simulator.network import MessageObserver


class Violation(msgspec.Struct, frozen=True):
    """One broken promise."""

    checker: str
    time: float
    detail: str


class Observer(MessageObserver):
    """Base of the observers: collects violations."""

    name = ""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.checked = 0

    def report(self, time: float, detail: str) -> None:
        """Add a violation."""
        self.violations.append(Violation(self.name, time, detail))


class ElectionSafety(Observer):
    """At most one replica leads in a term."""

    name = "election-safety"

    def __init__(self) -> None:
        super().__init__()
        self._leaders: dict[int, tuple[str, int]] = {}
        self.leader = ""
        """Node that led the newest term when last heard."""
        self.term = 0

    def message_sent(self, time: float, sender: Machine, message: Any) -> None:
        """Look at who speaks as leader."""
        kind = type(message)
        if kind is not AppendRequest and kind is not SnapshotChunk:
            return
        self.checked += 1
        identity = (message.leader.node_id, message.leader.incarnation)
        known = self._leaders.setdefault(message.term, identity)
        if known != identity:
            self.report(time, f"term {message.term} is led by {known} and by {identity}")
        if message.term > self.term:
            self.term, self.leader = message.term, message.leader.node_id


class LogMatching(Observer):
    """Entries of one index and term are equal, and so is everything before them."""

    name = "log-matching"

    def __init__(self) -> None:
        super().__init__()
        self._entries: dict[tuple[int, int], tuple[int, int]] = {}
        """By index and term: term of the entry before, and a digest of kind and payload."""

    def message_sent(self, time: float, sender: Machine, message: Any) -> None:
        """Compare the entries of an append with those seen before."""
        if type(message) is not AppendRequest or not message.entries:
            return
        previous_term = message.previous_term
        for entry in message.entries:
            self.checked += 1
            digest = xxhash.xxh3_64_intdigest(entry.payload) ^ entry.kind
            seen = self._entries.setdefault((entry.index, entry.term), (previous_term, digest))
            if seen != (previous_term, digest):
                self.report(time, f"two entries at index {entry.index} of term {entry.term}")
            previous_term = entry.term


class StateMachineSafety(Observer):
    """No two replicas ever take different entries of one index for committed."""

    name = "state-machine-safety"

    def __init__(self) -> None:
        super().__init__()
        self._committed: dict[int, int] = {}
        """Term of the committed entry by index."""
        self._logs: dict[int, dict[int, int]] = {}
        """By leader's term: term of the entry at each index that this leader sent."""
        self._commit_seen: dict[int, int] = {}

    def message_sent(self, time: float, sender: Machine, message: Any) -> None:
        """Note which entries a leader calls committed."""
        if type(message) is not AppendRequest:
            return
        log = self._logs.setdefault(message.term, {})
        seen = self._commit_seen.get(message.term, 0)
        for entry in message.entries:
            log[entry.index] = entry.term
            # A repeated send of an entry that is known to be committed is checked too.
            if entry.index <= seen:
                self._check(time, entry.index, entry.term)
        if message.previous_index and message.previous_index not in log:
            log[message.previous_index] = message.previous_term
        if message.commit_index > seen:
            for index in range(seen + 1, message.commit_index + 1):
                if index in log:
                    self._check(time, index, log[index])
            self._commit_seen[message.term] = message.commit_index

    def _check(self, time: float, index: int, term: int) -> None:
        self.checked += 1
        committed = self._committed.setdefault(index, term)
        if committed != term:
            self.report(time, f"index {index} is committed from terms {committed} and {term}")


class ConfigurationMonotone(Observer):
    """A daemon's revision never goes down, also across restarts on the same disk.

    A daemon keeps the highest revision on its disk but not the objects: after a start it
    has nothing in force and says 0 until it was given the whole configuration once.
    """

    name = "configuration-monotone"

    def __init__(self) -> None:
        super().__init__()
        self._revisions: dict[tuple[str, int], int] = {}
        self._lives_in_force: dict[str, int] = {}
        """By node: the life of its process that was last seen with a configuration."""
        self._entries: dict[tuple[str, int], int] = {}
        self._latest_revisions: list[tuple[float, int]] = [(0.0, 0)]
        """Newest revision of a changed object seen on the wire, with when it was first seen."""
        self.latest_by_node: dict[str, int] = {}

    def message_sent(self, time: float, sender: Machine, message: Any) -> None:
        """Look at what daemons say they have and what they are given."""
        kind = type(message)
        if kind is ConfigurationPull:
            self._check_pull(time, sender, message)
        elif kind is ConfigurationUpdate and message.entries:
            self._check_update(time, message)

    def _check_pull(self, time: float, sender: Machine, message: Any) -> None:
        self.checked += 1
        if message.have_revision:
            self._lives_in_force[sender.node_id] = sender.life
        elif self._lives_in_force.get(sender.node_id) != sender.life:
            return
        key = (sender.node_id, sender.disk.incarnation)
        before = self._revisions.get(key, 0)
        if message.have_revision < before:
            self.report(
                time, f"{sender.node_id} went from revision {before} to {message.have_revision}"
            )
        self._revisions[key] = max(before, message.have_revision)
        self.latest_by_node[sender.node_id] = message.have_revision

    def _check_update(self, time: float, message: Any) -> None:
        for entry in message.entries:
            digest = xxhash.xxh3_64_intdigest(entry.payload) ^ entry.deleted
            seen = self._entries.setdefault((entry.key, entry.revision), digest)
            if seen != digest:
                self.report(time, f"two values of {entry.key} at revision {entry.revision}")
            if entry.revision > self._latest_revisions[-1][1]:
                self._latest_revisions.append((time, entry.revision))

    def latest_revision(self, time: float) -> int:
        """Return the newest revision that had been seen by a time."""
        return max(revision for seen_at, revision in self._latest_revisions if seen_at <= time)


class ProtocolObservers:
    """All observers of one simulation."""

    def __init__(self) -> None:
        self.election = ElectionSafety()
        self.configuration = ConfigurationMonotone()
        self.all: tuple[Observer, ...] = (
            self.election,
            LogMatching(),
            StateMachineSafety(),
            self.configuration,
        )

    def violations(self) -> list[Violation]:
        """Return everything that was seen to be broken."""
        return [violation for observer in self.all for violation in observer.violations]
