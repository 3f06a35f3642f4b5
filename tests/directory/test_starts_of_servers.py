"""How the control leader learns when servers started."""

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId, NodeId
from merlinstand.directory.commands import PutBackend
from merlinstand.directory.heartbeat_intake import HeartbeatIntake
from merlinstand.directory.requests import Heartbeat
from merlinstand.directory.state_machine import DirectoryState

SERVER = Backend(backend_id=BackendId("s"), service="shop", address="10.0.0.1:1")
LEADER, NEXT = NodeId("l"), NodeId("n")


def intake_with(*born_ms: int) -> HeartbeatIntake:
    state = DirectoryState()
    state.apply(1, PutBackend(SERVER, 1))
    intake = HeartbeatIntake(state)
    for number, at in enumerate(born_ms):
        intake.record_start(Heartbeat(SERVER, 2 + number, at))
    return intake


def test_a_leader_is_told_once_and_the_next_one_again() -> None:
    intake = intake_with(100)
    assert intake.has_changes, "it goes to the leader like a change"
    assert intake.take_unreported_starts(LEADER) == {SERVER.backend_id: 100}
    assert not intake.has_changes
    assert intake.take_unreported_starts(LEADER) == {}
    assert intake.take_unreported_starts(NEXT) == {SERVER.backend_id: 100}


def test_only_the_newest_start_is_told() -> None:
    intake = intake_with(100, 200, 150)
    assert intake.take_unreported_starts(LEADER) == {SERVER.backend_id: 200}
    intake.record_start(Heartbeat(SERVER, 9, 200))
    assert not intake.has_changes


def test_a_replica_that_leads_has_nobody_to_tell() -> None:
    intake = intake_with(100)
    intake.begin_leading(1.0)
    assert not intake.has_changes
    assert intake.take_unreported_starts(NEXT) == {SERVER.backend_id: 100}
