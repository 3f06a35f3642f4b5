"""Observers of the wire report each kind of wrong behaviour."""

from typing import Any

from merlinstand.protocol.generated.consensus.ttypes import (
    AppendRequest,
    LogEntry,
    ReplicaIdentity,
)
from merlinstand.protocol.generated.control.ttypes import (
    ConfigurationEntry,
    ConfigurationPull,
    ConfigurationUpdate,
)
from merlinstand_lab.simulator.observers import (
    ConfigurationMonotone,
    ElectionSafety,
    LogMatching,
    Observer,
    StateMachineSafety,
)
from merlinstand_lab.simulator.process import SimulatedProcess
from merlinstand_lab.simulator.process_spec import ProcessSpec
from merlinstand_lab.simulator.simulation import Simulation
from merlinstand_lab.simulator.topology import VITRINA
from tests.simulator.toys import Toy


def process(node_id: str) -> SimulatedProcess:
    simulation = Simulation(1, VITRINA)
    spec = ProcessSpec(node_id=node_id, zone="hall-a", http_address="a:1", make_reducer=Toy)
    return simulation.add_process(spec)


def append(
    term: int,
    leader: str,
    entries: list[LogEntry] | None = None,
    previous: tuple[int, int] = (0, 0),
    commit: int = 0,
) -> AppendRequest:
    return AppendRequest(
        term=term,
        leader=ReplicaIdentity(leader, 1),
        previous_index=previous[0],
        previous_term=previous[1],
        entries=entries or [],
        commit_index=commit,
    )


def entry(index: int, term: int, payload: bytes = b"x") -> LogEntry:
    return LogEntry(index=index, term=term, kind=0, payload=payload)


def feed(observer: Observer, *messages: Any, node_id: str = "control-1") -> Observer:
    sender = process(node_id)
    for message in messages:
        observer.message_sent(0.0, sender, message)
    return observer


def test_two_leaders_in_a_term() -> None:
    good = feed(ElectionSafety(), append(1, "a"), append(1, "a"), append(2, "b"))
    assert good.checked == 3
    assert not good.violations
    assert feed(ElectionSafety(), append(1, "a"), append(1, "b")).violations


def test_the_newest_leader_is_known() -> None:
    observer = ElectionSafety()
    feed(observer, append(1, "a"), append(3, "b"), append(2, "c"))
    assert observer.leader == "b"


def test_different_entries_of_one_index_and_term() -> None:
    same = append(1, "a", [entry(1, 1), entry(2, 1)])
    assert not feed(LogMatching(), same, same).violations
    assert feed(LogMatching(), same, append(1, "a", [entry(2, 1, b"y")], (1, 1))).violations


def test_different_entries_before_one_index_and_term() -> None:
    first = append(3, "a", [entry(2, 3)], (1, 1))
    assert feed(LogMatching(), first, append(3, "a", [entry(2, 3)], (1, 2))).violations


def test_two_committed_entries_of_one_index() -> None:
    committed = append(1, "a", [entry(1, 1)], commit=1)
    assert not feed(StateMachineSafety(), committed, append(2, "b", [entry(1, 1)])).violations
    other = append(2, "b", [entry(1, 2)])
    assert not feed(StateMachineSafety(), committed, other).violations
    later = append(2, "b", commit=1, previous=(1, 2))
    assert feed(StateMachineSafety(), committed, other, later).violations


def test_a_revision_that_goes_down() -> None:
    pulls = [ConfigurationPull("daemon", revision, 0.0) for revision in (3, 5, 4)]
    assert not feed(ConfigurationMonotone(), *pulls[:2]).violations
    assert feed(ConfigurationMonotone(), *pulls).violations
    assert feed(ConfigurationMonotone(), pulls[0], ConfigurationPull("daemon", 0, 0.0)).violations


def test_a_restarted_daemon_has_nothing_in_force_until_it_was_given_the_whole() -> None:
    observer = ConfigurationMonotone()
    sender = process("daemon")
    for life, revision in ((1, 0), (1, 5), (3, 0), (3, 6)):
        sender.life = life
        observer.message_sent(0.0, sender, ConfigurationPull("daemon", revision, 0.0))
    assert not observer.violations
    sender.life = 5
    observer.message_sent(0.0, sender, ConfigurationPull("daemon", 5, 0.0))
    assert observer.violations


def test_two_values_of_one_revision() -> None:
    updates = [
        ConfigurationUpdate(0, 5, [ConfigurationEntry("job/a", 5, False, payload)], 0.0, 0.0, True)
        for payload in (b"x", b"y")
    ]
    assert not feed(ConfigurationMonotone(), updates[0], updates[0]).violations
    assert feed(ConfigurationMonotone(), *updates).violations
