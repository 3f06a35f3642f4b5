"""Orders for zones: their effect on the directory and on daemons."""

import random

import msgspec
import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.routes import RouteKind, RoutesDocument, Service
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.errors import InvalidInputError, MerlinstandError, NotFoundError
from merlinstand.common.ids import BackendId, NodeId
from merlinstand.directory.commands import (
    DirectoryCommand,
    ExpireBackend,
    PutBackend,
    PutDocument,
    decode_command,
    encode_command,
)
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.directory.heartbeat_rules import MAXIMUM_HEARTBEAT_DELAY_SECONDS
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.directory.subscribers import Subscriber, Subscribers
from merlinstand.directory.view import decode_changes
from merlinstand.evacuation.commands import (
    EndEvacuation,
    EvacuateZone,
    EvacuationDelete,
    EvacuationPost,
)
from merlinstand.evacuation.orders import order_events, validate_order
from merlinstand.kernel.effects import LogEvent, SendMessage
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate
from tests.directory.lone_control import LoneControl
from tests.routes import make_route

LEADER = NodeId("10.0.0.1")
PLACES = ZoneMap({"a": "r", "b": "r"})
COLD_SERVICE = Service(name="shop", cold_start_seconds=8.0, cold_requests_per_second=10.0)
OTHER_SERVICE = Service(name="other")
DOCUMENT = RoutesDocument(
    version=1,
    routes=tuple(
        make_route(RouteKind.REPEATABLE, name, f"/{name}/", name=name) for name in ("shop", "other")
    ),
    services=(COLD_SERVICE, OTHER_SERVICE),
)


def backend(number: int, zone: str, service: str = "shop", is_cold: bool = False) -> Backend:
    return Backend(
        backend_id=BackendId(f"i-{number}"),
        service=service,
        address=f"10.1.0.{number}:1",
        zone=zone,
        is_cold=is_cold,
    )


class Directory:
    """The replicated state and a daemon that follows it."""

    def __init__(self, role: str = "gateway", knows_zones: bool = True) -> None:
        self.state = DirectoryState()
        self.index = 0
        self.subscribers = Subscribers()
        self.report = DaemonReport(node_id="10.0.0.9", name="d", role=role)
        self.follower = DirectoryFollower(("10.0.0.1:1",), lambda _now: self.report)
        self.knows_zones = knows_zones
        self.apply(PutDocument(DOCUMENT, b""))
        for number, zone in enumerate(("a", "a", "b")):
            self.apply(PutBackend(backend(number, zone), 1))
        self.pull()

    def apply(self, command: DirectoryCommand, group_time: float = 0.0) -> None:
        self.index += 1
        self.state.apply(self.index, decode_command(encode_command(command)), group_time)

    def pull(self) -> bytes:
        """Let the daemon report what it holds and receive the rest."""
        self.subscriber = Subscriber(
            self.report,
            0.0,
            document_revision=self.follower.document_revision,
            backends_revision=self.follower.backends_revision,
            weights_revision=self.follower.weights_revision,
            keepers_mark=self.follower.keepers_mark,
            zones_revision=self.follower.evacuated.revision if self.knows_zones else None,
        )
        return self.push()

    def push(self, is_lost: bool = False) -> bytes:
        """Send the daemon what it is assumed to lack."""
        data = self.subscribers.encoded_changes_for(self.subscriber, self.state)
        update = DirectoryUpdate(
            from_leader=True, leader=LEADER, leader_address="", changes=data, term=1
        )
        if not is_lost:
            self.follower.apply_update(LEADER, update, 0.0)
        return data

    def usable(self, service: str = "shop") -> list[str]:
        """Return the backends that the daemon may use."""
        seen = self.follower.backends_of(service)
        return [backend.backend_id for backend in seen if not backend.is_draining]

    def is_cold(self, number: int = 0) -> bool:
        return self.state.table.backends[BackendId(f"i-{number}")].is_cold

    def restart(self) -> None:
        """Restore the state from a snapshot."""
        restored = DirectoryState()
        restored.restore(self.state.snapshot())
        self.state = restored


# Orders


@pytest.mark.parametrize(
    ("zone", "error"),
    [
        pytest.param("c", NotFoundError, id="no such zone"),
        pytest.param("", InvalidInputError, id="no name"),
        pytest.param("a/b", InvalidInputError, id="contains a slash"),
        pytest.param("-a", InvalidInputError, id="begins with a hyphen"),
        pytest.param("a" * 64, InvalidInputError, id="too long"),
        pytest.param("a\n", InvalidInputError, id="contains a newline"),
    ],
)
@pytest.mark.parametrize("request_type", [EvacuationPost, EvacuationDelete])
def test_order_with_an_invalid_zone_is_rejected(
    request_type: type[EvacuationPost] | type[EvacuationDelete],
    zone: str,
    error: type[MerlinstandError],
) -> None:
    assert isinstance(validate_order(request_type(zone), PLACES).unwrap_err(), error)


def test_repeated_orders_change_nothing() -> None:
    directory = Directory()
    seen = []
    for command in (EvacuateZone("a"), EvacuateZone("a"), EndEvacuation("a"), EndEvacuation("a")):
        directory.apply(command)
        evacuations = directory.state.evacuations
        seen.append((evacuations.zones, directory.index - evacuations.revision))
    assert seen == [(("a",), 0), (("a",), 1), ((), 0), ((), 1)]


def test_delayed_repeat_evacuates_again_and_is_visible_in_the_log() -> None:
    """It looks like a new order, and ignoring a new one would send to an emptied zone."""
    directory = Directory()
    directory.apply(EvacuateZone("a"), 10.0)
    directory.apply(EndEvacuation("a"), 20.0)
    [event] = order_events(EvacuateZone("a"), directory.state.evacuations, 20.4)
    directory.apply(EvacuateZone("a"), 20.4)
    assert directory.state.evacuations.zones == ("a",)
    assert isinstance(event, LogEvent)
    assert event.name == "zone.evacuated"
    assert event.fields == {"zone": "a", "taken_back_seconds_ago": 0.4}


def test_snapshot_restores_the_evacuations() -> None:
    directory = Directory()
    directory.apply(EvacuateZone("a"), 10.0)
    directory.apply(EvacuateZone("b"), 11.0)
    directory.apply(EndEvacuation("b"), 12.0)
    before = directory.state.evacuations.stored()
    directory.restart()
    assert directory.state.evacuations.stored() == before
    assert directory.state.evacuations.zones == ("a",)


def test_snapshot_of_an_earlier_version_has_no_evacuations() -> None:
    directory = Directory()
    directory.apply(EvacuateZone("a"))
    content = msgspec.msgpack.decode(directory.state.snapshot())
    del content["evacuations"], content["returned"]
    state = DirectoryState()
    state.restore(msgspec.msgpack.encode(content))
    assert state.evacuations.zones == ()
    assert state.evacuations.revision == 0
    assert len(state.table.backends) == 3


# At the control daemon


def lone_control() -> LoneControl:
    return LoneControl(zones=PLACES.region_by_zone)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("POST", "/evacuations/a", 200),
        ("DELETE", "/evacuations/a", 200),
        ("POST", "/evacuations/c", 404),
        ("DELETE", "/evacuations/c", 404),
        ("POST", "/evacuations/", 400),
        ("POST", "/evacuations/%2e", 400),
        ("GET", "/evacuations/a", 405),
    ],
)
def test_http_status_of_orders(method: str, path: str, status: int) -> None:
    control = lone_control()
    request_id = control.request(3.0, method, path)
    control.run_until(4.0)
    assert control.responses[request_id][0] == status


def test_order_is_acknowledged_only_once_durable() -> None:
    control = lone_control()
    control.hold_writes = True
    request_id = control.request(3.0, "POST", "/evacuations/a")
    control.run_until(3.2)
    assert request_id not in control.responses
    assert control.daemon.state.evacuations.zones == ()


def test_repeated_order_is_acknowledged_by_its_own_log_entry() -> None:
    """The response must not depend on an earlier order that isn't committed yet."""
    control = lone_control()
    orders = [(3.0, "POST"), (3.1, "POST"), (3.1, "DELETE"), (3.1, "POST"), (3.3, "POST")]
    request_ids = [control.request(at, method, "/evacuations/a") for at, method in orders]
    before = control.daemon.replica.commit_index
    control.run_until(4.0)
    assert [control.responses[request_id][0] for request_id in request_ids] == [200] * 5
    assert control.daemon.replica.commit_index >= before + 5
    assert control.daemon.state.evacuations.zones == ("a",)


@pytest.mark.parametrize("method", ["POST", "DELETE"])
def test_orders_are_pushed_to_daemons_at_once(method: str) -> None:
    """Guards against a delay by the batching of preceding backend changes."""
    control = lone_control()
    if method == "DELETE":
        control.request(2.5, "POST", "/evacuations/a")
    control.add_daemon("10.0.0.9", "gateway", 2.1)
    body = {"Service": "shop", "Address": "10.1.0.1:1", "Zone": "a", "Seq": 1}
    control.request(3.0, "PUT", "/instances/i-1", body)
    control.request(3.003, method, "/evacuations/a")
    control.run_until(3.006)
    assert control.changes["10.0.0.9"].zones_revision == control.daemon.state.evacuations.revision
    assert control.changes["10.0.0.9"].evacuated == (("a",) if method == "POST" else ())


def test_control_sends_no_zones_to_a_daemon_whose_pulls_have_none() -> None:
    """It is of an earlier version; other daemons beside it receive them."""
    control = lone_control()
    control.add_daemon("10.0.0.8", "gateway", 2.1, supports_evacuations=False)
    control.add_daemon("10.0.0.9", "gateway", 2.1)
    control.request(3.0, "POST", "/evacuations/a")
    control.run_until(4.0)
    assert control.changes["10.0.0.9"].evacuated == ("a",)
    assert control.changes["10.0.0.8"].evacuated is None
    assert control.updates["10.0.0.8"] == 1


# At daemons


@pytest.mark.parametrize("role", ["gateway", "keeper"])
def test_backends_of_an_evacuated_zone_are_draining(role: str) -> None:
    directory = Directory(role)
    assert directory.usable() == ["i-0", "i-1", "i-2"]
    directory.apply(EvacuateZone("a"))
    directory.push()
    assert directory.usable() == ["i-2"]
    assert [b.backend_id for b in directory.follower.backends if not b.is_draining] == ["i-2"]
    directory.apply(EndEvacuation("a"))
    directory.push()
    assert directory.usable() == ["i-0", "i-1", "i-2"]


def test_backend_that_registers_in_an_evacuated_zone_is_draining() -> None:
    directory = Directory()
    directory.apply(EvacuateZone("a"))
    directory.push()
    directory.apply(PutBackend(backend(7, "a"), 1))
    directory.push()
    assert directory.usable() == ["i-2"]


def test_draining_backend_stays_draining_after_the_evacuation() -> None:
    directory = Directory()
    directory.apply(EvacuateZone("a"))
    draining = msgspec.structs.replace(backend(0, "a"), is_draining=True)
    directory.apply(PutBackend(draining, 2))
    directory.apply(EndEvacuation("a"))
    directory.push()
    assert directory.usable() == ["i-1", "i-2"]


@pytest.mark.parametrize(
    ("zones", "is_evacuated"),
    [((), False), (("a",), False), (("b",), False), (("a", "b"), True)],
)
def test_service_is_evacuated_with_the_last_of_its_zones(
    zones: tuple[str, ...], is_evacuated: bool
) -> None:
    directory = Directory()
    for zone in zones:
        directory.apply(EvacuateZone(zone))
    directory.push()
    assert directory.follower.is_evacuated("shop") is is_evacuated
    assert directory.follower.is_evacuated("other") is False


def test_daemon_of_an_earlier_version_is_sent_no_zones() -> None:
    directory = Directory(knows_zones=False)
    directory.apply(EvacuateZone("a"))
    assert directory.push() == b""
    directory.apply(PutBackend(backend(7, "b"), 1))
    changes = decode_changes(directory.push())
    assert changes.evacuated is None
    assert changes.zones_revision == -1
    assert directory.push() == b""


def test_pull_contains_the_revision_of_the_zones() -> None:
    directory = Directory()
    directory.apply(EvacuateZone("a"))
    directory.push()
    [pull] = [e for e in directory.follower.pull(0.0) if isinstance(e, SendMessage)]
    assert pull.message.zones_revision == directory.state.evacuations.revision


def test_older_update_does_not_replace_a_newer_one() -> None:
    directory = Directory()
    directory.apply(EvacuateZone("a"))
    older = directory.push(is_lost=True)
    directory.apply(EndEvacuation("a"))
    directory.pull()
    late = DirectoryUpdate(
        from_leader=True, leader=LEADER, leader_address="", changes=older, term=1
    )
    directory.follower.apply_update(LEADER, late, 0.0)
    assert directory.usable() == ["i-0", "i-1", "i-2"]


def test_evacuation_ends_only_with_an_update_of_the_backends() -> None:
    """An update was lost, so the next pull brings which backends are cold."""
    directory = Directory()
    directory.apply(EvacuateZone("a"))
    directory.push()
    directory.apply(PutBackend(backend(7, "b"), 1))
    directory.push(is_lost=True)
    directory.apply(EndEvacuation("a"))
    directory.push()
    assert directory.usable() == ["i-2"]
    directory.pull()
    assert directory.usable() == ["i-0", "i-1", "i-2", "i-7"]
    assert [b.is_cold for b in directory.follower.backends_of("shop")] == [True, True, False, False]


def test_evacuation_begins_even_if_updates_of_backends_were_lost() -> None:
    directory = Directory()
    directory.apply(PutBackend(backend(7, "b"), 1))
    directory.push(is_lost=True)
    directory.apply(PutBackend(backend(8, "b"), 1))
    directory.apply(EvacuateZone("a"))
    directory.push()
    assert directory.usable() == ["i-2"]


@pytest.mark.parametrize("role", ["gateway", "keeper"])
@pytest.mark.parametrize("seed", range(10))
def test_daemon_state_equals_the_leaders_after_each_pull(seed: int, role: str) -> None:
    """Random orders, changes and losses; no returned backend is used by its old state."""
    generator = random.Random(seed)
    directory = Directory(role)
    for step in range(200):
        zone = generator.choice("ab")
        number = generator.randrange(6)
        orders = [EvacuateZone(zone), EndEvacuation(zone)]
        changes = [PutBackend(backend(number, "ab"[number % 2]), step), ExpireBackend(name(number))]
        directory.apply(generator.choice(orders + changes), step / 10)
        if generator.random() < 0.5:
            directory.push(is_lost=generator.random() < 0.3)
        if generator.random() < 0.1:
            directory.restart()
        if generator.random() < 0.3:
            directory.pull()
            assert directory.follower.evacuated.zones == {*directory.state.evacuations.zones}
        assert_returned_backends_are_cold(directory)


def name(number: int) -> BackendId:
    return BackendId(f"i-{number}")


def assert_returned_backends_are_cold(directory: Directory) -> None:
    """Check that a daemon with the newest order knows which backends are cold because of it."""
    follower = directory.follower
    if follower.evacuated.revision == directory.state.evacuations.revision:
        marked = directory.state.table.unconfirmed.backends
        usable = [backend for backend in follower.backends if not backend.is_draining]
        assert all(backend.is_cold for backend in usable if backend.backend_id in marked)


# Cold backends after an evacuation


def after_evacuation(at: float = 20.0) -> Directory:
    """Return a directory in which the evacuation of zone `a` has ended."""
    directory = Directory()
    directory.apply(EvacuateZone("a"), 10.0)
    directory.apply(EndEvacuation("a"), at)
    return directory


def test_only_backends_of_services_with_a_cold_limit_become_cold() -> None:
    directory = Directory()
    directory.apply(PutBackend(backend(5, "a", "other"), 1))
    directory.apply(EvacuateZone("a"), 10.0)
    directory.apply(EndEvacuation("a"), 20.0)
    marked = [b.backend_id for b in directory.state.table.backends.values() if b.is_cold]
    assert marked == ["i-0", "i-1"]


def test_end_without_evacuation_makes_no_backend_cold() -> None:
    directory = Directory()
    directory.apply(EndEvacuation("a"), 20.0)
    assert not directory.is_cold()


LATE_AT = 20.0 + MAXIMUM_HEARTBEAT_DELAY_SECONDS


@pytest.mark.parametrize(
    ("heartbeats", "is_cold"),
    [
        pytest.param([], True, id="no heartbeat"),
        pytest.param([(2, 20.3, False)], True, id="one possibly delayed heartbeat"),
        pytest.param(
            [(2, 20.3, False), (3, 21.5, False)], True, id="two possibly delayed heartbeats"
        ),
        pytest.param(
            [(2, LATE_AT + 4.0, False)],
            True,
            id="first heartbeat since the return, as after a partition",
        ),
        pytest.param(
            [(2, 21.0, False), (3, LATE_AT, False)], False, id="heartbeat sent after the return"
        ),
        pytest.param(
            [(3, 21.0, False), (2, LATE_AT, False)], True, id="sequence number below the first"
        ),
        pytest.param([(2, 21.0, False), (2, LATE_AT, False)], True, id="repeat of the first"),
        pytest.param([(2, 21.0, False), (3, LATE_AT, True)], True, id="reports cold"),
        pytest.param(
            [(2, 21.0, True), (3, 22.0, False), (4, LATE_AT, False)],
            False,
            id="reports cold, warm, warm",
        ),
        pytest.param(
            [(2, 21.0, False), (3, LATE_AT, True), (4, LATE_AT + 1.2, False)],
            False,
            id="reports warm, cold, warm",
        ),
        pytest.param(
            [(2, 21.0, False), (4, LATE_AT, True), (3, LATE_AT + 0.1, False)],
            True,
            id="delayed warm heartbeat after reporting cold",
        ),
    ],
)
@pytest.mark.parametrize("has_restarted", [False, True])
def test_returned_backend_is_cold_until_a_reliable_warm_heartbeat(
    heartbeats: list[tuple[int, float, bool]], is_cold: bool, has_restarted: bool
) -> None:
    directory = after_evacuation()
    for sequence, at, reports_cold in heartbeats:
        heartbeat = backend(0, "a", is_cold=reports_cold)
        if directory.state.table.would_change(heartbeat, sequence):
            directory.apply(PutBackend(heartbeat, sequence), at)
        if has_restarted:
            directory.restart()
    assert directory.is_cold() is is_cold


def test_heartbeats_of_a_warm_backend_need_no_more_log_entries() -> None:
    directory = after_evacuation()
    directory.apply(PutBackend(backend(0, "a"), 2), 21.0)
    directory.apply(PutBackend(backend(0, "a"), 3), LATE_AT)
    assert not directory.state.table.would_change(backend(0, "a"), 4)


def test_heartbeat_without_a_change_is_not_pushed() -> None:
    directory = after_evacuation()
    directory.pull()
    directory.apply(PutBackend(backend(0, "a"), 2), 21.0)
    assert directory.push() == b""


def test_other_changes_of_a_returned_backend_are_applied() -> None:
    directory = after_evacuation()
    moved = msgspec.structs.replace(backend(0, "a"), address="10.1.0.77:1")
    directory.apply(PutBackend(moved, 2), 21.0)
    held = directory.state.table.backends[BackendId("i-0")]
    assert (held.address, held.is_cold) == ("10.1.0.77:1", True)


def test_removed_backend_is_no_longer_awaited() -> None:
    directory = after_evacuation()
    directory.apply(ExpireBackend(BackendId("i-0")), 21.0)
    assert list(directory.state.table.unconfirmed.backends) == ["i-1"]
