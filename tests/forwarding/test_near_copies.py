"""Results are read from a copy in the gateway's own zone; the leader is asked for what it lacks."""

import pytest

from merlinstand.batch_calls.calls import (
    BatchCall,
    BatchReply,
    EndJob,
    JobEnded,
    NotFound,
    NotLeader,
    ReadResults,
    ResultsPage,
    encode,
)
from merlinstand.batch_calls.jobs import ItemResult, ResultState
from merlinstand.cluster.daemons import DaemonReport, Keeper
from merlinstand.common.ids import NodeId, RequestId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.directory.view import DirectoryChanges, encode_changes
from merlinstand.forwarding.batch_relay import COPY_CALL_SECONDS, BatchRelay
from merlinstand.forwarding.near_copies import AVOID_SECONDS
from merlinstand.forwarding.settings import ForwardingSettings
from merlinstand.kernel.effects import Effect, StartCall
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate

SETTINGS = ForwardingSettings(
    node_id="g",
    name="gateway-1",
    zone="a",
    zones={"a": "north", "b": "north", "c": "north", "d": "south", "e": "south"},
    internal_address="10.0.0.9:1",
    seeds=("10.0.0.1:1",),
)
PAGE = ResultsPage(4, 0, (ItemResult(item_id="i", state=ResultState.TERMINATED),))
READ = ReadResults("j", 0, wait_seconds=1.0)
LEADER = "leader:1"
COPY = "copy:1"


def keeper(name: str, zone: str, has_copy: bool = False, is_leader: bool = False) -> Keeper:
    return Keeper(
        node_id=name,
        name=name,
        zone=zone,
        address="",
        http_address=f"{name}:1",
        is_leader=is_leader,
        term=3,
        has_replica=has_copy,
    )


AWAY_LEADER = keeper("leader", "b", has_copy=True, is_leader=True)
NEAR_COPY = keeper("copy", "a", has_copy=True)


def relay_among(*keepers: Keeper) -> BatchRelay:
    follower = DirectoryFollower(
        SETTINGS.seeds, lambda _now: DaemonReport(node_id="g", name="g", role="gateway")
    )
    changes = DirectoryChanges(keepers_mark="m", keepers=keepers)
    update = DirectoryUpdate(
        from_leader=True,
        leader="10.0.0.1",
        leader_address="10.0.0.1:1",
        term=2,
        changes=encode_changes(changes),
    )
    follower.take(NodeId("10.0.0.1"), update, 0.0)
    return BatchRelay(SETTINGS, follower)


def asked(effects: list[Effect]) -> list[StartCall]:
    return [effect for effect in effects if isinstance(effect, StartCall)]


def begin(relay: BatchRelay, call: BatchCall, now: float = 0.0) -> StartCall:
    [started] = asked(relay.begin(RequestId(f"r{now}"), call, now))
    return started


def answer(call: StartCall, reply: BatchReply) -> CallResponded:
    return CallResponded(call.call_id, 200, {}, encode(reply))


@pytest.mark.parametrize(
    ("keepers", "call", "address"),
    [
        ((AWAY_LEADER, NEAR_COPY), READ, COPY),
        ((AWAY_LEADER, NEAR_COPY), EndJob("j"), LEADER),
        ((AWAY_LEADER, keeper("standby", "a")), READ, LEADER),
        ((AWAY_LEADER, keeper("far", "c", has_copy=True)), READ, LEADER),
        ((keeper("leader", "a", True, True), NEAR_COPY), READ, LEADER),
        ((keeper("leader", "d", True, True), keeper("copy", "c", True)), READ, COPY),
        ((keeper("leader", "d", True, True), keeper("far", "e", True)), READ, LEADER),
    ],
    ids=[
        "copy near",
        "no read",
        "near one is a standby",
        "copy far",
        "leader near",
        "copy in the own region, leader in another",
        "all in another region",
    ],
)
def test_who_is_asked_first(keepers: tuple[Keeper, ...], call: BatchCall, address: str) -> None:
    assert begin(relay_among(*keepers), call).address == address


def test_a_page_of_a_copy_is_the_answer_and_makes_it_no_leader() -> None:
    relay = relay_among(AWAY_LEADER, NEAR_COPY)
    first = begin(relay, READ)
    assert first.timeout_seconds == COPY_CALL_SECONDS
    relay.on_call(answer(first, PAGE), 0.01)
    assert [finished.reply for finished in relay.take_finished()] == [PAGE]
    assert begin(relay, EndJob("j"), 0.1).address == LEADER


@pytest.mark.parametrize(
    "reply", [NotLeader(), NotLeader(LEADER), NotFound(), JobEnded()], ids=lambda r: repr(r)
)
def test_whatever_else_a_copy_answers_the_leader_decides(reply: BatchReply) -> None:
    relay = relay_among(AWAY_LEADER, NEAR_COPY)
    [second] = asked(relay.on_call(answer(begin(relay, READ), reply), 0.01))
    assert second.address == LEADER
    assert second.timeout_seconds > READ.wait_seconds
    relay.on_call(answer(second, NotFound()), 0.02)
    assert [finished.reply for finished in relay.take_finished()] == [NotFound()]


def test_a_silent_or_garbled_copy_is_passed_over_for_a_while() -> None:
    relay = relay_among(AWAY_LEADER, NEAR_COPY)
    first = begin(relay, READ)
    failed = CallFailed(first.call_id, CallPhase.CONNECT, "timeout")
    [second] = asked(relay.on_call(failed, 0.3))
    assert second.address == LEADER
    relay.on_call(answer(second, PAGE), 0.31)
    assert begin(relay, READ, 0.4).address == LEADER
    again = begin(relay, READ, 0.3 + AVOID_SECONDS)
    assert again.address == COPY
    garbled = CallResponded(again.call_id, 200, {}, b"\xc1 no reply")
    assert asked(relay.on_call(garbled, 3.4))[0].address == LEADER
    assert begin(relay, READ, 3.5).address == LEADER


def test_a_caller_that_left_is_asked_for_no_more() -> None:
    relay = relay_among(AWAY_LEADER, NEAR_COPY)
    first = begin(relay, READ)
    relay.abort(RequestId("r0.0"))
    assert relay.on_call(answer(first, NotLeader()), 0.01) == []
    assert len(relay) == 0
