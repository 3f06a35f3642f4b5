"""Results are read from a nearby replica; the leader is called for what the replica lacks."""

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
from merlinstand.forwarding.batch_relay import REPLICA_TIMEOUT_SECONDS, BatchRelay
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
LEADER_ADDRESS = "leader:1"
REPLICA_ADDRESS = "copy:1"


def keeper(name: str, zone: str, has_replica: bool = False, is_leader: bool = False) -> Keeper:
    return Keeper(
        node_id=name,
        name=name,
        zone=zone,
        address="",
        http_address=f"{name}:1",
        is_leader=is_leader,
        term=3,
        has_replica=has_replica,
    )


REMOTE_LEADER = keeper("leader", "b", has_replica=True, is_leader=True)
NEARBY_REPLICA = keeper("copy", "a", has_replica=True)


def make_relay(*keepers: Keeper) -> BatchRelay:
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
    follower.apply_update(NodeId("10.0.0.1"), update, 0.0)
    return BatchRelay(SETTINGS, follower)


def started_calls(effects: list[Effect]) -> list[StartCall]:
    return [effect for effect in effects if isinstance(effect, StartCall)]


def begin(relay: BatchRelay, call: BatchCall, now: float = 0.0) -> StartCall:
    [started] = started_calls(relay.begin(RequestId(f"r{now}"), call, now))
    return started


def reply_event(call: StartCall, reply: BatchReply) -> CallResponded:
    return CallResponded(call.call_id, 200, {}, encode(reply))


@pytest.mark.parametrize(
    ("keepers", "call", "address"),
    [
        ((REMOTE_LEADER, NEARBY_REPLICA), READ, REPLICA_ADDRESS),
        ((REMOTE_LEADER, NEARBY_REPLICA), EndJob("j"), LEADER_ADDRESS),
        ((REMOTE_LEADER, keeper("standby", "a")), READ, LEADER_ADDRESS),
        ((REMOTE_LEADER, keeper("far", "c", has_replica=True)), READ, LEADER_ADDRESS),
        ((keeper("leader", "a", True, True), NEARBY_REPLICA), READ, LEADER_ADDRESS),
        ((keeper("leader", "d", True, True), keeper("copy", "c", True)), READ, REPLICA_ADDRESS),
        ((keeper("leader", "d", True, True), keeper("far", "e", True)), READ, LEADER_ADDRESS),
    ],
    ids=[
        "replica near",
        "not a read",
        "nearby keeper without a replica",
        "replica far",
        "leader near",
        "replica in the own region, leader in another",
        "all in another region",
    ],
)
def test_which_keeper_is_called_first(
    keepers: tuple[Keeper, ...], call: BatchCall, address: str
) -> None:
    assert begin(make_relay(*keepers), call).address == address


def test_a_page_from_a_replica_is_final_and_is_no_leader_hint() -> None:
    relay = make_relay(REMOTE_LEADER, NEARBY_REPLICA)
    first = begin(relay, READ)
    assert first.timeout_seconds == REPLICA_TIMEOUT_SECONDS
    relay.on_call(reply_event(first, PAGE), 0.01)
    assert [finished.reply for finished in relay.take_finished()] == [PAGE]
    assert begin(relay, EndJob("j"), 0.1).address == LEADER_ADDRESS


@pytest.mark.parametrize(
    "reply", [NotLeader(), NotLeader(LEADER_ADDRESS), NotFound(), JobEnded()], ids=lambda r: repr(r)
)
def test_other_replies_of_a_replica_are_left_to_the_leader(reply: BatchReply) -> None:
    relay = make_relay(REMOTE_LEADER, NEARBY_REPLICA)
    [second] = started_calls(relay.on_call(reply_event(begin(relay, READ), reply), 0.01))
    assert second.address == LEADER_ADDRESS
    assert second.timeout_seconds > READ.wait_seconds
    relay.on_call(reply_event(second, NotFound()), 0.02)
    assert [finished.reply for finished in relay.take_finished()] == [NotFound()]


def test_a_failing_or_malformed_replica_is_avoided_for_a_while() -> None:
    relay = make_relay(REMOTE_LEADER, NEARBY_REPLICA)
    first = begin(relay, READ)
    failed = CallFailed(first.call_id, CallPhase.CONNECT, "timeout")
    [second] = started_calls(relay.on_call(failed, 0.3))
    assert second.address == LEADER_ADDRESS
    relay.on_call(reply_event(second, PAGE), 0.31)
    assert begin(relay, READ, 0.4).address == LEADER_ADDRESS
    again = begin(relay, READ, 0.3 + AVOID_SECONDS)
    assert again.address == REPLICA_ADDRESS
    malformed = CallResponded(again.call_id, 200, {}, b"\xc1 no reply")
    assert started_calls(relay.on_call(malformed, 3.4))[0].address == LEADER_ADDRESS
    assert begin(relay, READ, 3.5).address == LEADER_ADDRESS


def test_an_aborted_read_starts_no_further_call() -> None:
    relay = make_relay(REMOTE_LEADER, NEARBY_REPLICA)
    first = begin(relay, READ)
    relay.abort(RequestId("r0.0"))
    assert relay.on_call(reply_event(first, NotLeader()), 0.01) == []
    assert len(relay) == 0
