"""Replicas report the start times of backends to the control leader."""

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId, NodeId
from merlinstand.directory.commands import PutBackend
from merlinstand.directory.heartbeat_intake import HeartbeatIntake
from merlinstand.directory.requests import Heartbeat
from merlinstand.directory.state_machine import DirectoryState

BACKEND = Backend(backend_id=BackendId("s"), service="shop", address="10.0.0.1:1")
LEADER, NEXT = NodeId("l"), NodeId("n")


def intake_with(*started_ms: int) -> HeartbeatIntake:
    state = DirectoryState()
    state.apply(1, PutBackend(BACKEND, 1))
    intake = HeartbeatIntake(state)
    for number, at in enumerate(started_ms):
        intake.record_start(Heartbeat(BACKEND, 2 + number, at))
    return intake


def test_start_is_reported_once_to_each_leader() -> None:
    intake = intake_with(100)
    assert intake.has_changes, "a start is reported like a change"
    assert intake.take_unreported_starts(LEADER) == {BACKEND.backend_id: 100}
    assert not intake.has_changes
    assert intake.take_unreported_starts(LEADER) == {}
    assert intake.take_unreported_starts(NEXT) == {BACKEND.backend_id: 100}


def test_only_the_newest_start_is_reported() -> None:
    intake = intake_with(100, 200, 150)
    assert intake.take_unreported_starts(LEADER) == {BACKEND.backend_id: 200}
    intake.record_start(Heartbeat(BACKEND, 9, 200))
    assert not intake.has_changes


def test_replica_reports_known_starts_after_its_leadership() -> None:
    intake = intake_with(100)
    intake.begin_leading(1.0)
    assert not intake.has_changes
    assert intake.take_unreported_starts(NEXT) == {BACKEND.backend_id: 100}
