"""Daemons are told what they lack of the directory, and no more."""

import random

import pytest

from merlinstand.common.ids import BackendId, NodeId
from merlinstand.directory import backend_history
from merlinstand.directory.backends import Backend, HeldModel
from merlinstand.directory.commands import (
    DirectoryCommand,
    ExpireBackend,
    PutBackend,
    PutDocument,
    RemoveBackend,
)
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.directory.routes import (
    RouteKind,
    RoutesDocument,
    Service,
)
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.directory.subscribers import Subscriber, Subscribers
from merlinstand.directory.view import DaemonReport
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate
from tests.routes import make_route

SERVERS = 24
LEADER = NodeId("10.0.0.1")


def report(_now: float = 0.0) -> DaemonReport:
    return DaemonReport(node_id="10.0.0.9", name="g", role="gateway")


def backend(number: int, version: int = 1) -> Backend:
    return Backend(
        backend_id=BackendId(f"i-{number}"),
        service="llm",
        address=f"10.1.0.{number}:8080",
        models=(HeldModel("m", version),),
    )


def document(version: int) -> RoutesDocument:
    routes = tuple(
        make_route(RouteKind.REPEATABLE, "llm", f"/p{number}/", name=f"r{number}")
        for number in range(40)
    )
    return RoutesDocument(version=version, routes=routes, services=(Service(name="llm"),))


class Pair:
    """A control leader's state and one daemon that follows it."""

    def __init__(self) -> None:
        self.state = DirectoryState()
        self.subscribers = Subscribers()
        self.follower = DirectoryFollower((), report)
        self.index = 0
        self.subscriber = Subscriber(report(), 0.0)

    def apply(self, command: DirectoryCommand) -> None:
        self.index += 1
        self.state.apply(self.index, command)

    def push(self, is_lost: bool = False) -> int:
        """Send what the daemon is thought to lack; gives the size in bytes."""
        data = self.subscribers.encoded_changes_for(self.subscriber, self.state)
        update = DirectoryUpdate(
            from_leader=True, leader=LEADER, leader_address="", changes=data, term=1
        )
        if not is_lost:
            self.follower.take(LEADER, update, 0.0)
        return len(data)

    def pull(self) -> int:
        """The daemon tells what it holds, and gets the rest."""
        self.subscriber = Subscriber(
            report(),
            0.0,
            document_revision=self.follower.document_revision,
            backends_revision=self.follower.backends_revision,
            weights_revision=self.follower.weights_revision,
            keepers_mark=self.follower.keepers_mark,
        )
        return self.push()

    def holds_all(self) -> bool:
        held = {backend.backend_id: backend for backend in self.follower.backends}
        return held == self.state.table.backends


@pytest.fixture
def pair() -> Pair:
    made = Pair()
    for number in range(SERVERS):
        made.apply(PutBackend(backend(number), 1))
    made.pull()
    return made


def test_a_new_daemon_is_told_everything(pair: Pair) -> None:
    assert len(pair.follower.backends) == SERVERS
    assert pair.holds_all()
    assert pair.push() == 0


def test_one_changed_back_end_costs_no_more_than_itself(pair: Pair) -> None:
    """vitrina-ro-large: each load of weights sent all back ends to 196 daemons, 288 MB a day."""
    whole = pair.state.table.backends
    pair.apply(PutBackend(backend(3, version=2), 2))
    size = pair.push()
    assert pair.holds_all()
    assert size * 4 < len(whole) * 60


def test_a_document_is_sent_compressed(pair: Pair) -> None:
    """40 routes alike take a tenth of their plain size."""
    pair.apply(PutDocument(document(7), b""))
    size = pair.push()
    assert pair.follower.routes.document == document(7)
    assert size < 1_500


@pytest.mark.parametrize("seed", range(20))
def test_a_daemon_holds_what_the_leader_holds_after_each_pull(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whatever came, changed, went or was lost on its way, and however short the history."""
    monkeypatch.setattr(backend_history, "HISTORY_LIMIT", 6)
    chance = random.Random(seed)
    pair = Pair()
    for step in range(200):
        number = chance.randrange(8)
        name = BackendId(f"i-{number}")
        pair.apply(
            chance.choice(
                [
                    PutBackend(backend(number, version=step), step),
                    PutBackend(backend(number, version=step), step),
                    ExpireBackend(name),
                    RemoveBackend(BackendId(f"i-{chance.randrange(200, 202)}")),
                ]
            )
        )
        if chance.random() < 0.4:
            pair.push(is_lost=chance.random() < 0.3)
        if chance.random() < 0.1:
            restored = DirectoryState()
            restored.restore(pair.state.snapshot())
            pair.state = restored
        if chance.random() < 0.3:
            pair.pull()
            assert pair.holds_all()


def test_a_back_end_at_a_taken_address_replaces_the_one_before(pair: Pair) -> None:
    newer = Backend(backend_id=BackendId("i-new"), service="llm", address="10.1.0.3:8080")
    pair.apply(PutBackend(newer, 1))
    pair.push()
    assert pair.holds_all()
    assert BackendId("i-3") not in {backend.backend_id for backend in pair.follower.backends}


def test_daemons_that_lack_the_same_are_told_the_same_bytes(pair: Pair) -> None:
    pair.apply(PutBackend(backend(3, version=2), 2))
    others = [Subscriber(report(), 0.0, backends_revision=SERVERS) for _ in range(2)]
    first, second = (pair.subscribers.encoded_changes_for(other, pair.state) for other in others)
    assert first is second
