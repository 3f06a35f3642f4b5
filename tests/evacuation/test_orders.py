"""Orders for zones: what they change in the directory, and what daemons make of them."""

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


def server(number: int, zone: str, service: str = "shop", is_cold: bool = False) -> Backend:
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
            self.apply(PutBackend(server(number, zone), 1))
        self.pull()

    def apply(self, command: DirectoryCommand, group_time: float = 0.0) -> None:
        self.index += 1
        self.state.apply(self.index, decode_command(encode_command(command)), group_time)

    def pull(self) -> bytes:
        """The daemon tells what it holds, and gets the rest."""
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
        """The daemon is sent what it is thought to lack."""
        data = self.subscribers.encoded_changes_for(self.subscriber, self.state)
        update = DirectoryUpdate(
            from_leader=True, leader=LEADER, leader_address="", changes=data, term=1
        )
        if not is_lost:
            self.follower.apply_update(LEADER, update, 0.0)
        return data

    def usable(self, service: str = "shop") -> list[str]:
        """Servers that the daemon may send to."""
        seen = self.follower.backends_of(service)
        return [backend.backend_id for backend in seen if not backend.is_draining]

    def is_cold(self, number: int = 0) -> bool:
        return self.state.table.backends[BackendId(f"i-{number}")].is_cold

    def restart(self) -> None:
        """Everybody goes on from a snapshot."""
        restored = DirectoryState()
        restored.restore(self.state.snapshot())
        self.state = restored


# Orders


@pytest.mark.parametrize(
    ("zone", "error"),
    [
        pytest.param("c", NotFoundError, id="no such zone"),
        pytest.param("", InvalidInputError, id="no name"),
        pytest.param("a/b", InvalidInputError, id="two names"),
        pytest.param("-a", InvalidInputError, id="begins with a hyphen"),
        pytest.param("a" * 64, InvalidInputError, id="too long"),
        pytest.param("a\n", InvalidInputError, id="line end"),
    ],
)
@pytest.mark.parametrize("request_type", [EvacuationPost, EvacuationDelete])
def test_an_order_for_no_zone_is_refused(
    request_type: type[EvacuationPost] | type[EvacuationDelete],
    zone: str,
    error: type[MerlinstandError],
) -> None:
    assert isinstance(validate_order(request_type(zone), PLACES).unwrap_err(), error)


def test_orders_change_the_state_once() -> None:
    directory = Directory()
    seen = []
    for command in (EvacuateZone("a"), EvacuateZone("a"), EndEvacuation("a"), EndEvacuation("a")):
        directory.apply(command)
        evacuations = directory.state.evacuations
        seen.append((evacuations.zones, directory.index - evacuations.revision))
    assert seen == [(("a",), 0), (("a",), 1), ((), 0), ((), 1)]


def test_a_late_repeat_evacuates_again_and_shows_in_the_log() -> None:
    """It looks like a new order; to pass a new one over would send to an emptied zone."""
    directory = Directory()
    directory.apply(EvacuateZone("a"), 10.0)
    directory.apply(EndEvacuation("a"), 20.0)
    [event] = order_events(EvacuateZone("a"), directory.state.evacuations, 20.4)
    directory.apply(EvacuateZone("a"), 20.4)
    assert directory.state.evacuations.zones == ("a",)
    assert isinstance(event, LogEvent)
    assert event.name == "zone.evacuated"
    assert event.fields == {"zone": "a", "taken_back_seconds_ago": 0.4}


def test_a_snapshot_holds_the_orders() -> None:
    directory = Directory()
    directory.apply(EvacuateZone("a"), 10.0)
    directory.apply(EvacuateZone("b"), 11.0)
    directory.apply(EndEvacuation("b"), 12.0)
    before = directory.state.evacuations.stored()
    directory.restart()
    assert directory.state.evacuations.stored() == before
    assert directory.state.evacuations.zones == ("a",)


def test_a_snapshot_of_an_earlier_version_holds_none() -> None:
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
def test_orders_are_answered(method: str, path: str, status: int) -> None:
    control = lone_control()
    request_id = control.request(3.0, method, path)
    control.run_until(4.0)
    assert control.responses[request_id][0] == status


def test_an_order_is_acknowledged_only_once_it_is_durable() -> None:
    control = lone_control()
    control.hold_writes = True
    request_id = control.request(3.0, "POST", "/evacuations/a")
    control.run_until(3.2)
    assert request_id not in control.responses
    assert control.daemon.state.evacuations.zones == ()


def test_a_repeated_order_is_acknowledged_again_by_an_entry_of_its_own() -> None:
    """An order in between that is undecided yet must not be answered past."""
    control = lone_control()
    orders = [(3.0, "POST"), (3.1, "POST"), (3.1, "DELETE"), (3.1, "POST"), (3.3, "POST")]
    request_ids = [control.request(at, method, "/evacuations/a") for at, method in orders]
    before = control.daemon.replica.commit_index
    control.run_until(4.0)
    assert [control.responses[request_id][0] for request_id in request_ids] == [200] * 5
    assert control.daemon.replica.commit_index >= before + 5
    assert control.daemon.state.evacuations.zones == ("a",)


@pytest.mark.parametrize("method", ["POST", "DELETE"])
def test_daemons_are_told_at_once(method: str) -> None:
    """News of servers just before put off what nobody waits for."""
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


def test_a_daemon_whose_pulls_tell_no_zones_is_told_none() -> None:
    """It is of an earlier version; others beside it are sent them."""
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
def test_servers_of_an_evacuated_zone_are_seen_as_leaving(role: str) -> None:
    directory = Directory(role)
    assert directory.usable() == ["i-0", "i-1", "i-2"]
    directory.apply(EvacuateZone("a"))
    directory.push()
    assert directory.usable() == ["i-2"]
    assert [b.backend_id for b in directory.follower.backends if not b.is_draining] == ["i-2"]
    directory.apply(EndEvacuation("a"))
    directory.push()
    assert directory.usable() == ["i-0", "i-1", "i-2"]


def test_a_server_that_registers_in_an_evacuated_zone_is_seen_as_leaving() -> None:
    directory = Directory()
    directory.apply(EvacuateZone("a"))
    directory.push()
    directory.apply(PutBackend(server(7, "a"), 1))
    directory.push()
    assert directory.usable() == ["i-2"]


def test_a_server_that_really_leaves_is_not_brought_back() -> None:
    directory = Directory()
    directory.apply(EvacuateZone("a"))
    leaving = msgspec.structs.replace(server(0, "a"), is_draining=True)
    directory.apply(PutBackend(leaving, 2))
    directory.apply(EndEvacuation("a"))
    directory.push()
    assert directory.usable() == ["i-1", "i-2"]


@pytest.mark.parametrize(
    ("zones", "is_evacuated"),
    [((), False), (("a",), False), (("b",), False), (("a", "b"), True)],
)
def test_a_service_is_evacuated_with_the_last_of_its_zones(
    zones: tuple[str, ...], is_evacuated: bool
) -> None:
    directory = Directory()
    for zone in zones:
        directory.apply(EvacuateZone(zone))
    directory.push()
    assert directory.follower.is_evacuated("shop") is is_evacuated
    assert directory.follower.is_evacuated("other") is False


def test_a_daemon_of_an_earlier_version_is_told_no_zones() -> None:
    directory = Directory(knows_zones=False)
    directory.apply(EvacuateZone("a"))
    assert directory.push() == b""
    directory.apply(PutBackend(server(7, "b"), 1))
    changes = decode_changes(directory.push())
    assert changes.evacuated is None
    assert changes.zones_revision == -1
    assert directory.push() == b""


def test_a_daemon_tells_what_zones_it_holds() -> None:
    directory = Directory()
    directory.apply(EvacuateZone("a"))
    directory.push()
    [pull] = [e for e in directory.follower.pull(0.0) if isinstance(e, SendMessage)]
    assert pull.message.zones_revision == directory.state.evacuations.revision


def test_an_older_section_never_replaces_a_newer_one() -> None:
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


def test_a_zone_comes_back_only_with_the_news_of_its_servers() -> None:
    """An update was lost: which servers are cold comes with the next pull."""
    directory = Directory()
    directory.apply(EvacuateZone("a"))
    directory.push()
    directory.apply(PutBackend(server(7, "b"), 1))
    directory.push(is_lost=True)
    directory.apply(EndEvacuation("a"))
    directory.push()
    assert directory.usable() == ["i-2"]
    directory.pull()
    assert directory.usable() == ["i-0", "i-1", "i-2", "i-7"]
    assert [b.is_cold for b in directory.follower.backends_of("shop")] == [True, True, False, False]


def test_a_zone_is_emptied_even_if_news_of_servers_were_lost() -> None:
    directory = Directory()
    directory.apply(PutBackend(server(7, "b"), 1))
    directory.push(is_lost=True)
    directory.apply(PutBackend(server(8, "b"), 1))
    directory.apply(EvacuateZone("a"))
    directory.push()
    assert directory.usable() == ["i-2"]


@pytest.mark.parametrize("role", ["gateway", "keeper"])
@pytest.mark.parametrize("seed", range(10))
def test_a_daemon_holds_what_the_leader_holds_after_each_pull(seed: int, role: str) -> None:
    """Whatever was ordered, changed or lost; and in between no server of a zone that came back is
    used by what was known of it before."""
    chance = random.Random(seed)
    directory = Directory(role)
    for step in range(200):
        zone = chance.choice("ab")
        number = chance.randrange(6)
        orders = [EvacuateZone(zone), EndEvacuation(zone)]
        changes = [PutBackend(server(number, "ab"[number % 2]), step), ExpireBackend(name(number))]
        directory.apply(chance.choice(orders + changes), step / 10)
        if chance.random() < 0.5:
            directory.push(is_lost=chance.random() < 0.3)
        if chance.random() < 0.1:
            directory.restart()
        if chance.random() < 0.3:
            directory.pull()
            assert directory.follower.evacuated.zones == {*directory.state.evacuations.zones}
        assert_no_server_is_used_too_soon(directory)


def name(number: int) -> BackendId:
    return BackendId(f"i-{number}")


def assert_no_server_is_used_too_soon(directory: Directory) -> None:
    """Whoever knows the newest order knows which servers are cold for it."""
    follower = directory.follower
    if follower.evacuated.revision == directory.state.evacuations.revision:
        marked = directory.state.table.unconfirmed.backends
        usable = [backend for backend in follower.backends if not backend.is_draining]
        assert all(backend.is_cold for backend in usable if backend.backend_id in marked)


# Cold servers after a return


def taken_back(at: float = 20.0) -> Directory:
    """A directory whose zone `a` was taken back."""
    directory = Directory()
    directory.apply(EvacuateZone("a"), 10.0)
    directory.apply(EndEvacuation("a"), at)
    return directory


def test_only_servers_that_bear_little_while_cold_are_marked() -> None:
    directory = Directory()
    directory.apply(PutBackend(server(5, "a", "other"), 1))
    directory.apply(EvacuateZone("a"), 10.0)
    directory.apply(EndEvacuation("a"), 20.0)
    marked = [b.backend_id for b in directory.state.table.backends.values() if b.is_cold]
    assert marked == ["i-0", "i-1"]


def test_a_repeated_return_marks_nothing() -> None:
    directory = Directory()
    directory.apply(EndEvacuation("a"), 20.0)
    assert not directory.is_cold()


LATE_AT = 20.0 + MAXIMUM_HEARTBEAT_DELAY_SECONDS


@pytest.mark.parametrize(
    ("heartbeats", "is_cold"),
    [
        pytest.param([], True, id="nothing heard"),
        pytest.param([(2, 20.3, False)], True, id="one that may be late"),
        pytest.param([(2, 20.3, False), (3, 21.5, False)], True, id="two that may be late"),
        pytest.param([(2, LATE_AT + 4.0, False)], True, id="the first since, as after a cut"),
        pytest.param([(2, 21.0, False), (3, LATE_AT, False)], False, id="sent after the return"),
        pytest.param([(3, 21.0, False), (2, LATE_AT, False)], True, id="older than the first"),
        pytest.param([(2, 21.0, False), (2, LATE_AT, False)], True, id="a repeat of the first"),
        pytest.param([(2, 21.0, False), (3, LATE_AT, True)], True, id="cold by its own word"),
        pytest.param(
            [(2, 21.0, True), (3, 22.0, False), (4, LATE_AT, False)], False, id="warm in the end"
        ),
        pytest.param(
            [(2, 21.0, False), (3, LATE_AT, True), (4, LATE_AT + 1.2, False)],
            False,
            id="cold, then warm, by its own word",
        ),
        pytest.param(
            [(2, 21.0, False), (4, LATE_AT, True), (3, LATE_AT + 0.1, False)],
            True,
            id="a late one after its own word",
        ),
    ],
)
@pytest.mark.parametrize("has_restarted", [False, True])
def test_a_returned_server_is_cold_until_it_surely_says_otherwise(
    heartbeats: list[tuple[int, float, bool]], is_cold: bool, has_restarted: bool
) -> None:
    directory = taken_back()
    for sequence, at, says_cold in heartbeats:
        heartbeat = server(0, "a", is_cold=says_cold)
        if directory.state.table.would_change(heartbeat, sequence):
            directory.apply(PutBackend(heartbeat, sequence), at)
        if has_restarted:
            directory.restart()
    assert directory.is_cold() is is_cold


def test_a_settled_server_costs_no_more_entries() -> None:
    directory = taken_back()
    directory.apply(PutBackend(server(0, "a"), 2), 21.0)
    directory.apply(PutBackend(server(0, "a"), 3), LATE_AT)
    assert not directory.state.table.would_change(server(0, "a"), 4)


def test_a_beat_that_changes_nothing_is_no_news_for_daemons() -> None:
    directory = taken_back()
    directory.pull()
    directory.apply(PutBackend(server(0, "a"), 2), 21.0)
    assert directory.push() == b""


def test_other_news_of_a_returned_server_are_taken_in() -> None:
    directory = taken_back()
    moved = msgspec.structs.replace(server(0, "a"), address="10.1.0.77:1")
    directory.apply(PutBackend(moved, 2), 21.0)
    held = directory.state.table.backends[BackendId("i-0")]
    assert (held.address, held.is_cold) == ("10.1.0.77:1", True)


def test_a_server_that_is_gone_leaves_no_mark() -> None:
    directory = taken_back()
    directory.apply(ExpireBackend(BackendId("i-0")), 21.0)
    assert list(directory.state.table.unconfirmed.backends) == ["i-1"]
