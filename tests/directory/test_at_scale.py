"""Log entries and updates of a control daemon with 300 daemons and 3,000 backends, in virtual time.

Guards against a log entry and an update to each daemon for every changed backend.
"""

import random

import pytest

from merlinstand.common.ids import BackendId, NodeId
from merlinstand.directory.commands import PutBackend
from merlinstand.directory.heartbeat_intake import (
    MAXIMUM_BATCH_BACKENDS,
    HeartbeatBatch,
    HeartbeatIntake,
    decode_heartbeats,
    encode_heartbeats,
)
from merlinstand.directory.heartbeat_rules import choose_replica
from merlinstand.directory.requests import Heartbeat
from merlinstand.directory.state_machine import DirectoryState
from tests.directory.lone_control import LoneControl
from tests.directory.test_changes import backend
from tests.users_platform.callers import make_config

BACKENDS = 3_000
DAEMONS = 300
HEARTBEAT_SECONDS = 1.2
SERVICES: dict[str, list[str]] = {"shop": [], "llm": ["m0"]}


class LoadedDeployment:
    """A deployment whose backends load a new weight version within one heartbeat interval."""

    def __init__(self, backend_count: int, daemons: int, keepers_share: float = 0.1) -> None:
        self.control = LoneControl()
        self.random = random.Random(1)
        self.backend_count = backend_count
        self.control.request(2.0, "PUT", "/config", make_config(3, SERVICES))
        for number in range(backend_count):
            self.send_heartbeat(2.1 + self.random.random(), number, 1, 1)
        for number in range(daemons):
            role = "keeper" if number < keepers_share * daemons else "gateway"
            self.control.add_daemon(f"d{number}", role, 4.0 + 0.3 * self.random.random())
        self.control.run_until(5.0)
        self.control.updates.clear()
        self.control.update_bytes = 0
        self.control.writes = 0

    def send_heartbeat(
        self, when: float, number: int, version: int, sequence: int, state: str = "ready"
    ) -> str:
        """Schedule a heartbeat; every tenth backend isn't an engine."""
        is_engine = number % 10 != 0
        body = {
            "Service": "llm" if is_engine else "shop",
            "Address": f"10.1.{number // 250}.{number % 250}:80",
            "State": state,
            "Seq": sequence,
            "Models": [{"Name": "m0", "Version": version}] if is_engine else [],
        }
        return self.control.request(when, "PUT", f"/instances/i-{number}", body)

    def publish_weights(self) -> list[str]:
        """Schedule a heartbeat of each backend without changes, then one with a new version."""
        ids: list[str] = []
        for number in range(self.backend_count):
            first = 5.0 + HEARTBEAT_SECONDS * self.random.random()
            ids.append(self.send_heartbeat(first, number, 1, 2))
            ids.append(self.send_heartbeat(first + HEARTBEAT_SECONDS, number, 2, 3))
        return ids


def test_new_weights_on_all_backends_need_few_log_entries_and_updates() -> None:
    load = LoadedDeployment(BACKENDS, DAEMONS)
    heartbeats = load.publish_weights()
    document = load.control.request(6.5, "PUT", "/config", make_config(4, SERVICES))
    load.control.run_until(8.0)
    control = load.control
    assert all(control.responses[heartbeat][0] == 200 for heartbeat in heartbeats)
    status, answered_at = control.responses[document]
    assert (status, answered_at - 6.5 < 0.1) == (200, True)
    keepers = DAEMONS // 10
    assert sum(control.updates.values()) < 60 * keepers + 2 * DAEMONS
    assert max(control.updates[f"d{n}"] for n in range(keepers, DAEMONS)) <= 3
    assert control.update_bytes < 2_000_000
    assert control.writes < 80
    assert control.changes["d0"].backends_revision == control.daemon.state.backends_revision


def test_number_of_updates_does_not_grow_with_daemons_times_backends() -> None:
    updates = []
    for backend_count, daemons in ((300, 30), (1_200, 120)):
        load = LoadedDeployment(backend_count, daemons)
        load.publish_weights()
        load.control.run_until(8.0)
        updates.append(sum(load.control.updates.values()))
    assert updates[1] < 5 * updates[0]


@pytest.mark.parametrize("draining", [1, 40])
def test_draining_is_committed_and_pushed_at_once_during_other_changes(draining: int) -> None:
    load = LoadedDeployment(BACKENDS, DAEMONS)
    load.publish_weights()
    heartbeats = [
        load.send_heartbeat(6.6, 10 * number, 1, 9, state="draining") for number in range(draining)
    ]
    load.control.run_until(6.7)
    for heartbeat in heartbeats:
        status, answered_at = load.control.responses[heartbeat]
        assert status == 200
        assert answered_at - 6.6 < 0.05
    backends = load.control.daemon.state.table.backends
    assert sum(1 for held in backends.values() if held.is_draining) == draining
    assert all(load.control.updates[f"d{n}"] for n in range(DAEMONS))


def test_published_weights_are_pushed_at_once_after_a_recent_push() -> None:
    load = LoadedDeployment(300, 30)
    load.publish_weights()
    published = load.control.request(6.5, "POST", "/version-put", {"Model": "m0", "Version": 2})
    load.control.run_until(6.505)
    assert load.control.responses[published][0] == 200
    revision = load.control.daemon.state.weights_revision
    assert all(load.control.changes[f"d{n}"].weights_revision == revision for n in range(30))


def test_first_change_after_an_idle_period_is_pushed_at_once() -> None:
    load = LoadedDeployment(300, 30)
    load.control.run_until(5.5)
    heartbeat = load.send_heartbeat(5.6, 7, 2, 5)
    load.control.run_until(5.605)
    assert load.control.responses[heartbeat][0] == 200
    state = load.control.daemon.state
    assert state.table.backends[BackendId("i-7")].version_of("m0") == 2
    assert load.control.changes["d0"].backends_revision == state.backends_revision


# Heartbeats at one replica


def heartbeat(number: int, sequence: int, version: int = 1) -> Heartbeat:
    return Heartbeat(backend(number, version=version), sequence)


def test_replica_reports_heartbeats_and_changes_to_the_leader() -> None:
    state = DirectoryState()
    follower, leader = HeartbeatIntake(state), HeartbeatIntake(state)
    leader.begin_leading(0.0)
    state.apply(1, PutBackend(backend(1), 1))
    state.apply(2, PutBackend(backend(2), 1))
    follower.add(heartbeat(1, 2), is_leader=False, now=14.0)
    follower.add(heartbeat(3, 1), is_leader=False, now=14.0)
    data = encode_heartbeats(HeartbeatBatch(follower.take_alive(), follower.take_changes()))
    leader.take_expired(15.0, 1.0)
    leader.add_batch(decode_heartbeats(data), 14.1)
    assert [late.backend_id for late in leader.take_expired(15.0, 17.0)] == ["i-2"]
    assert [late.backend_id for late in leader.take_expired(15.0, 17.3)] == []
    assert [change.backend.backend_id for change in leader.take_changes()] == ["i-3"]
    assert follower.take_alive() == ()


@pytest.mark.parametrize(
    ("heartbeats", "taken"),
    [
        pytest.param([(1, 2, 1)], [], id="no-change"),
        pytest.param([(1, 2, 2)], [2], id="new-version"),
        pytest.param([(1, 2, 2), (1, 3, 3)], [3], id="newest-of-two-changes"),
        pytest.param([(1, 3, 3), (1, 2, 2)], [3], id="older-heartbeat-arrives-last"),
        pytest.param([(1, 1, 2)], [], id="known-sequence-number"),
    ],
)
def test_replica_reports_only_the_newest_change(
    heartbeats: list[tuple[int, int, int]], taken: list[int]
) -> None:
    state = DirectoryState()
    state.apply(1, PutBackend(backend(1), 1))
    intake = HeartbeatIntake(state)
    for number, sequence, version in heartbeats:
        intake.add(heartbeat(number, sequence, version), is_leader=True, now=1.0)
    changes = intake.take_changes()
    assert [change.backend.version_of("m") for change in changes] == taken


def test_simultaneous_registrations_are_split_into_batches() -> None:
    intake = HeartbeatIntake(DirectoryState())
    for number in range(3 * MAXIMUM_BATCH_BACKENDS // 2):
        intake.add(heartbeat(number, 1), is_leader=True, now=1.0)
    assert len(intake.take_changes()) == MAXIMUM_BATCH_BACKENDS
    assert intake.has_changes
    assert len(intake.take_changes()) == MAXIMUM_BATCH_BACKENDS // 2
    assert not intake.has_changes


def test_heartbeats_are_distributed_over_all_replicas_but_the_leader() -> None:
    members = [NodeId(f"10.0.0.{number}") for number in range(1, 6)]
    backend_ids = [BackendId(f"i-{number}") for number in range(2_000)]
    assigned = {
        backend_id: choose_replica(backend_id, members, members[0]) for backend_id in backend_ids
    }
    counts = [list(assigned.values()).count(member) for member in members]
    assert counts[0] == 0
    assert min(counts[1:]) > 400
    fewer = {
        backend_id: choose_replica(backend_id, members[:4], members[0])
        for backend_id in backend_ids
    }
    moved = [backend_id for backend_id in backend_ids if fewer[backend_id] != assigned[backend_id]]
    assert {assigned[backend_id] for backend_id in moved} == {members[4]}
    assert choose_replica(backend_ids[0], members[:2], members[0]) == members[0]
