"""A heartbeat that a cut held back, and a newer incarnation at the same address."""

import msgspec
import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId
from merlinstand.directory.address_contests import AddressConflicts
from merlinstand.directory.backend_table import BackendTable
from merlinstand.directory.commands import PutBackend
from merlinstand.directory.former_backends import RegistrationHistory
from merlinstand.directory.heartbeat_rules import ADDRESS_HOLD_SECONDS
from merlinstand.directory.state_machine import DirectoryState
from tests.directory.lone_control import LoneControl

ADDRESS = "10.1.0.1:8080"
HEARTBEAT_SECONDS = 1.2


def backend(name: str, is_leaving: bool = False, service: str = "llm") -> Backend:
    return Backend(
        backend_id=BackendId(name), service=service, address=ADDRESS, is_draining=is_leaving
    )


def held(table: BackendTable) -> list[str]:
    return list(table.backends)


class Steps:
    """A table that gets short words: `a3` is a's third heartbeat, `a3!` one that says it leaves,
    `-a` a's expiry, `~a` its end."""

    def __init__(self) -> None:
        self.table = BackendTable()

    def take(self, words: str) -> BackendTable:
        for word in words.split():
            match word[0]:
                case "-":
                    self.table.expire(BackendId(word[1:]))
                case "~":
                    self.table.remove(BackendId(word[1:]))
                case name:
                    number = int(word[1:].rstrip("!"))
                    self.table.put(backend(name, word.endswith("!")), number)
        return self.table


@pytest.mark.parametrize(
    ("words", "present"),
    [
        pytest.param("a1 b1", "b", id="the-next-incarnation-registers"),
        pytest.param("a1 b1 a2", "b", id="late-heartbeat-of-the-one-that-was-driven-out"),
        pytest.param("a1 -a b1 a2", "b", id="late-heartbeat-of-one-that-had-expired"),
        pytest.param("a1 -a b1 a2 b2", "b", id="the-new-one-goes-on"),
        pytest.param("a1 -a a2", "a", id="an-expired-one-comes-back"),
        pytest.param("a3 -a a2", "", id="late-heartbeat-after-expiry-is-no-coming-back"),
        pytest.param("a1 ~a a2", "", id="one-that-said-it-is-gone"),
        pytest.param("a1 b1 -b a2", "a", id="driven-out-wrongly-it-comes-back"),
        pytest.param("a1 b1 -b a2 b2", "b", id="the-newer-of-two-known-ones-wins"),
        pytest.param("a1 b1 c1 -c b2 a2", "b", id="the-newest-that-still-heartbeats"),
        pytest.param("a1 b1 ~b a2", "a", id="the-new-one-left-and-the-address-is-free"),
    ],
)
def test_who_is_registered_at_an_address(words: str, present: str) -> None:
    assert held(Steps().take(words)) == list(present)


@pytest.mark.parametrize(
    ("words", "leaving"),
    [
        pytest.param("a1 a2! -a a3", True, id="leaving-outlives-expiry"),
        pytest.param("a1 -a a3", False, id="it-never-said-so"),
    ],
)
def test_leaving_is_never_taken_back(words: str, leaving: bool) -> None:
    table = Steps().take(words)
    assert table.backends[BackendId("a")].is_draining is leaving


def test_one_that_comes_back_serves_its_service() -> None:
    table = Steps().take("a1 -a")
    table.put(backend("a", service="other"), 2)
    assert table.backends[BackendId("a")].service == "llm"


@pytest.mark.parametrize("words", ["a1 -a b1", "a1 b1", "a1 b1 -b a2", "a1 b1 ~b"])
@pytest.mark.parametrize("later", ["a9", "b9", "c1", "-b a9 b9"])
def test_a_replica_that_began_with_a_snapshot_decides_alike(words: str, later: str) -> None:
    first = DirectoryState()
    steps = Steps()
    steps.table = first.table
    steps.take(words)
    second = DirectoryState()
    second.restore(first.snapshot())
    again = Steps()
    again.table = second.table
    assert held(steps.take(later)) == held(again.take(later))
    assert first.snapshot() == second.snapshot()


def test_a_snapshot_of_earlier_daemons_is_understood() -> None:
    state = DirectoryState()
    state.table.put(backend("a"), 1)
    fields = msgspec.msgpack.decode(state.snapshot())
    del fields["arrivals"]
    restored = DirectoryState()
    restored.restore(msgspec.msgpack.encode(fields))
    restored.table.put(backend("b"), 1)
    restored.table.put(backend("a"), 2)
    assert held(restored.table) == ["b"]


def test_former_backends_are_bounded() -> None:
    table = BackendTable()
    for number in range(RegistrationHistory.MAXIMUM_FORMER_BACKENDS + 10):
        table.put(backend(f"i{number}"), 1)
    assert len(table.registrations.former) == RegistrationHistory.MAXIMUM_FORMER_BACKENDS
    assert len(table.registrations.present) == 1


# Claims of one whose place among the incarnations is not known


class Contest:
    """Claims at one address, with when the holder was heard."""

    def __init__(self) -> None:
        self.table = BackendTable()
        self.heard: dict[BackendId, float] = {}
        self.contests = AddressConflicts(lambda: self.table, self.heard.get)

    def heartbeats(self, now: float, *names: str) -> list[str]:
        """Heartbeats come; gives who is registered then."""
        for name in names:
            self.heard[BackendId(name)] = now
        changes = [PutBackend(backend(name), 1 + int(now * 10)) for name in names]
        for change in self.contests.resolve(changes, now):
            self.table.put(change.backend, change.sequence)
        return held(self.table)


@pytest.mark.parametrize(
    ("heartbeats", "present"),
    [
        pytest.param([(0.0, "n"), (1.2, "n"), (1.3, "o"), (2.4, "n"), (4.0, "")], "n", id="late"),
        pytest.param([(0.0, "no"), (1.2, "n"), (2.4, "n"), (3.0, "")], "n", id="one-batch"),
        pytest.param([(0.0, "o"), (0.1, "n")], "o", id="newcomer-waits"),
        pytest.param([(0.0, "o"), (0.1, "n"), (1.3, "n"), (2.5, "n")], "n", id="then-it-is-taken"),
        pytest.param([(0.0, "o"), (1.0, "n"), (2.6, "")], "n", id="without-another-heartbeat"),
        pytest.param([(0.0, "o"), (5.0, "n")], "n", id="holder-silent-already"),
        pytest.param([(0.0, "on"), (1.2, "n"), (2.4, "n"), (3.7, "n")], "n", id="old-one-first"),
    ],
)
def test_who_gets_an_address_that_two_claim(
    heartbeats: list[tuple[float, str]], present: str
) -> None:
    contest = Contest()
    registered: list[str] = []
    for now, names in heartbeats:
        registered = contest.heartbeats(now, *names)
    assert registered == [present]


def test_a_claim_that_is_not_renewed_is_dropped() -> None:
    contest = Contest()
    contest.heartbeats(0.0, "n")
    contest.heartbeats(0.1, "o")
    contest.heartbeats(1.2, "n")
    # Cut off for a while, the holder is silent: nobody has renewed the claim.
    assert contest.heartbeats(0.2 + ADDRESS_HOLD_SECONDS) == ["n"]
    assert contest.heartbeats(1.3 + ADDRESS_HOLD_SECONDS) == ["n"]


def test_what_is_proposed_and_not_agreed_on_yet_holds_its_address() -> None:
    contest = Contest()
    [first] = contest.contests.resolve([PutBackend(backend("n"), 1)], 0.0)
    assert first.backend.backend_id == "n"
    assert contest.contests.resolve([PutBackend(backend("o"), 1)], 0.05) == ()


# The whole daemon


def send_heartbeat(
    control: LoneControl, when: float, name: str, sequence: int, state: str = "ready"
) -> str:
    body = {"Service": "llm", "Address": ADDRESS, "State": state, "Seq": sequence}
    return control.request(when, "PUT", f"/instances/{name}", body)


@pytest.fixture
def control() -> LoneControl:
    """Control with a server `new` that goes on."""
    made = LoneControl()
    for number in range(40):
        send_heartbeat(made, 3.0 + number * HEARTBEAT_SECONDS, "new", number + 1)
    return made


def registered(control: LoneControl) -> list[str]:
    return list(control.daemon.state.table.backends)


@pytest.mark.parametrize("state", ["ready", "draining"])
def test_a_late_heartbeat_of_one_that_was_never_known_is_answered_and_changes_nothing(
    control: LoneControl, state: str
) -> None:
    late = send_heartbeat(control, 6.1, "old", 7, state)
    again = send_heartbeat(control, 6.2, "old", 8, state)
    for moment in (6.5, 9.0, 30.0):
        control.run_until(moment)
        assert registered(control) == ["new"]
    assert control.responses[late][0] == control.responses[again][0] == 200


def test_a_late_heartbeat_of_one_that_had_expired_changes_nothing() -> None:
    control = LoneControl()
    send_heartbeat(control, 3.0, "old", 1)
    control.run_until(25.0)
    assert registered(control) == []
    for number in range(10):
        send_heartbeat(control, 25.0 + number * HEARTBEAT_SECONDS, "new", number + 1)
    send_heartbeat(control, 28.0, "old", 2)
    send_heartbeat(control, 33.0, "old", 3)
    for moment in (28.5, 34.0):
        control.run_until(moment)
        assert registered(control) == ["new"]


def test_a_newcomer_is_used_once_its_predecessor_is_silent() -> None:
    control = LoneControl()
    send_heartbeat(control, 3.0, "old", 9)
    for number in range(4):
        send_heartbeat(control, 3.5 + number * HEARTBEAT_SECONDS, "new", number + 1)
    control.run_until(3.0 + ADDRESS_HOLD_SECONDS + 0.5)
    assert registered(control) == ["new"]
    send_heartbeat(control, 7.0, "old", 10)
    control.run_until(8.0)
    assert registered(control) == ["new"]
