"""Delayed heartbeats, and a newer incarnation at the same address."""

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


def backend(name: str, is_draining: bool = False, service: str = "llm") -> Backend:
    return Backend(
        backend_id=BackendId(name), service=service, address=ADDRESS, is_draining=is_draining
    )


def held(table: BackendTable) -> list[str]:
    return list(table.backends)


class TableScript:
    """Applies a script to a table: `a3` is backend a's heartbeat 3, `a3!` the same while draining,
    `-a` its expiry, `~a` its removal."""

    def __init__(self) -> None:
        self.table = BackendTable()

    def run(self, script: str) -> BackendTable:
        for step in script.split():
            match step[0]:
                case "-":
                    self.table.expire(BackendId(step[1:]))
                case "~":
                    self.table.remove(BackendId(step[1:]))
                case name:
                    number = int(step[1:].rstrip("!"))
                    self.table.put(backend(name, step.endswith("!")), number)
        return self.table


@pytest.mark.parametrize(
    ("script", "present"),
    [
        pytest.param("a1 b1", "b", id="next-incarnation-registers"),
        pytest.param("a1 b1 a2", "b", id="delayed-heartbeat-of-the-replaced-one"),
        pytest.param("a1 -a b1 a2", "b", id="delayed-heartbeat-of-an-expired-one"),
        pytest.param("a1 -a b1 a2 b2", "b", id="new-one-keeps-sending"),
        pytest.param("a1 -a a2", "a", id="expired-one-registers-again"),
        pytest.param("a3 -a a2", "", id="outdated-heartbeat-after-expiry"),
        pytest.param("a1 ~a a2", "", id="deregistered-one"),
        pytest.param("a1 b1 -b a2", "a", id="wrongly-replaced-one-registers-again"),
        pytest.param("a1 b1 -b a2 b2", "b", id="newer-of-two-former-ones-wins"),
        pytest.param("a1 b1 c1 -c b2 a2", "b", id="newest-that-sends-heartbeats-wins"),
        pytest.param("a1 b1 ~b a2", "a", id="new-one-removed-and-address-free"),
    ],
)
def test_registered_backend_at_an_address(script: str, present: str) -> None:
    assert held(TableScript().run(script)) == list(present)


@pytest.mark.parametrize(
    ("script", "draining"),
    [
        pytest.param("a1 a2! -a a3", True, id="draining-survives-expiry"),
        pytest.param("a1 -a a3", False, id="never-draining"),
    ],
)
def test_draining_is_never_undone(script: str, draining: bool) -> None:
    table = TableScript().run(script)
    assert table.backends[BackendId("a")].is_draining is draining


def test_returning_backend_keeps_its_service() -> None:
    table = TableScript().run("a1 -a")
    table.put(backend("a", service="other"), 2)
    assert table.backends[BackendId("a")].service == "llm"


@pytest.mark.parametrize("script", ["a1 -a b1", "a1 b1", "a1 b1 -b a2", "a1 b1 ~b"])
@pytest.mark.parametrize("later", ["a9", "b9", "c1", "-b a9 b9"])
def test_replica_restored_from_a_snapshot_decides_the_same(script: str, later: str) -> None:
    first = DirectoryState()
    runner = TableScript()
    runner.table = first.table
    runner.run(script)
    second = DirectoryState()
    second.restore(first.snapshot())
    again = TableScript()
    again.table = second.table
    assert held(runner.run(later)) == held(again.run(later))
    assert first.snapshot() == second.snapshot()


def test_snapshot_of_an_earlier_version_is_restored() -> None:
    state = DirectoryState()
    state.table.put(backend("a"), 1)
    fields = msgspec.msgpack.decode(state.snapshot())
    del fields["arrivals"]
    restored = DirectoryState()
    restored.restore(msgspec.msgpack.encode(fields))
    restored.table.put(backend("b"), 1)
    restored.table.put(backend("a"), 2)
    assert held(restored.table) == ["b"]


def test_number_of_former_backends_is_bounded() -> None:
    table = BackendTable()
    for number in range(RegistrationHistory.MAXIMUM_FORMER_BACKENDS + 10):
        table.put(backend(f"i{number}"), 1)
    assert len(table.registrations.former) == RegistrationHistory.MAXIMUM_FORMER_BACKENDS
    assert len(table.registrations.present) == 1


# Claims of backends whose registration order is unknown


class ConflictCase:
    """Claims to one address, with the times of the last heartbeats."""

    def __init__(self) -> None:
        self.table = BackendTable()
        self.last_heartbeat_at: dict[BackendId, float] = {}
        self.conflicts = AddressConflicts(lambda: self.table, self.last_heartbeat_at.get)

    def heartbeats(self, now: float, *names: str) -> list[str]:
        """Process heartbeats; returns the registered backends."""
        for name in names:
            self.last_heartbeat_at[BackendId(name)] = now
        changes = [PutBackend(backend(name), 1 + int(now * 10)) for name in names]
        for change in self.conflicts.resolve(changes, now):
            self.table.put(change.backend, change.sequence)
        return held(self.table)


@pytest.mark.parametrize(
    ("heartbeats", "present"),
    [
        pytest.param(
            [(0.0, "n"), (1.2, "n"), (1.3, "o"), (2.4, "n"), (4.0, "")], "n", id="delayed-heartbeat"
        ),
        pytest.param([(0.0, "no"), (1.2, "n"), (2.4, "n"), (3.0, "")], "n", id="one-batch"),
        pytest.param([(0.0, "o"), (0.1, "n")], "o", id="newcomer-waits-for-the-holder"),
        pytest.param(
            [(0.0, "o"), (0.1, "n"), (1.3, "n"), (2.5, "n")],
            "n",
            id="newcomer-replaces-stopped-holder",
        ),
        pytest.param([(0.0, "o"), (1.0, "n"), (2.6, "")], "n", id="claim-valid-without-renewal"),
        pytest.param([(0.0, "o"), (5.0, "n")], "n", id="holder-stopped-before-the-claim"),
        pytest.param(
            [(0.0, "on"), (1.2, "n"), (2.4, "n"), (3.7, "n")], "n", id="old-one-registered-first"
        ),
    ],
)
def test_address_goes_to_the_claimant_that_keeps_sending_heartbeats(
    heartbeats: list[tuple[float, str]], present: str
) -> None:
    case = ConflictCase()
    registered: list[str] = []
    for now, names in heartbeats:
        registered = case.heartbeats(now, *names)
    assert registered == [present]


def test_claim_expires_without_renewal() -> None:
    case = ConflictCase()
    case.heartbeats(0.0, "n")
    case.heartbeats(0.1, "o")
    case.heartbeats(1.2, "n")
    # The holder is partitioned and sends no heartbeats, but nobody renewed the claim.
    assert case.heartbeats(0.2 + ADDRESS_HOLD_SECONDS) == ["n"]
    assert case.heartbeats(1.3 + ADDRESS_HOLD_SECONDS) == ["n"]


def test_uncommitted_proposal_holds_its_address() -> None:
    case = ConflictCase()
    [first] = case.conflicts.resolve([PutBackend(backend("n"), 1)], 0.0)
    assert first.backend.backend_id == "n"
    assert case.conflicts.resolve([PutBackend(backend("o"), 1)], 0.05) == ()


# Complete control daemon


def send_heartbeat(
    control: LoneControl, when: float, name: str, sequence: int, state: str = "ready"
) -> str:
    body = {"Service": "llm", "Address": ADDRESS, "State": state, "Seq": sequence}
    return control.request(when, "PUT", f"/instances/{name}", body)


@pytest.fixture
def control() -> LoneControl:
    """Return a control daemon with a backend `new` that keeps sending heartbeats."""
    created = LoneControl()
    for number in range(40):
        send_heartbeat(created, 3.0 + number * HEARTBEAT_SECONDS, "new", number + 1)
    return created


def registered(control: LoneControl) -> list[str]:
    return list(control.daemon.state.table.backends)


@pytest.mark.parametrize("state", ["ready", "draining"])
def test_delayed_heartbeat_of_an_unknown_backend_is_answered_and_changes_nothing(
    control: LoneControl, state: str
) -> None:
    late = send_heartbeat(control, 6.1, "old", 7, state)
    again = send_heartbeat(control, 6.2, "old", 8, state)
    for moment in (6.5, 9.0, 30.0):
        control.run_until(moment)
        assert registered(control) == ["new"]
    assert control.responses[late][0] == control.responses[again][0] == 200


def test_delayed_heartbeat_of_an_expired_backend_changes_nothing() -> None:
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


def test_new_incarnation_registers_once_its_predecessor_stops_sending_heartbeats() -> None:
    control = LoneControl()
    send_heartbeat(control, 3.0, "old", 9)
    for number in range(4):
        send_heartbeat(control, 3.5 + number * HEARTBEAT_SECONDS, "new", number + 1)
    control.run_until(3.0 + ADDRESS_HOLD_SECONDS + 0.5)
    assert registered(control) == ["new"]
    send_heartbeat(control, 7.0, "old", 10)
    control.run_until(8.0)
    assert registered(control) == ["new"]
