"""Orders of weights: what the leading keeper sends to engines, and when."""

import json

from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.weight_loader import OrderLeases, WeightLoader
from merlinstand.cluster.backends import Backend, LoadedModel
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.routes import RoutesDocument, RouteTable, Service
from merlinstand.common.ids import BackendId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.kernel.effects import Effect, StartCall
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from merlinstand_platform.engines import PlatformEngineInterface


class Loading:
    """A loader with some engines of one model."""

    def __init__(self, engines: int = 1) -> None:
        self.free_in = 0.0
        self.notes: list[BackendId] = []
        report = DaemonReport(node_id="k", name="k", role="keeper")
        self.follower = DirectoryFollower((), lambda _now: report)
        service = Service(name="llm", slots=4, models=("m0",))
        self.follower.routes = RouteTable(RoutesDocument(version=1, services=(service,)))
        self.follower.weights = {"m0": 2}
        self.states = EngineStates(self.follower)
        self.register(*(f"i-{number}" for number in range(engines)))
        self.loader = WeightLoader(
            self.follower,
            self.states,
            PlatformEngineInterface(),
            HeaderNames(),
            lambda _model: 1.0,
            OrderLeases("keeper-1", lambda _backend, _now: self.free_in, self._note),
        )
        self.loader.begin(fence=5)

    def register(self, *backend_ids: str) -> None:
        self.follower.set_backends(
            Backend(
                backend_id=BackendId(backend_id),
                service="llm",
                address=f"{backend_id}:1",
                models=(LoadedModel("m0", 1),),
            )
            for backend_id in backend_ids
        )
        self.follower.backends_revision += 1
        self.states.refresh()

    def _note(self, backend_id: BackendId, _now: float) -> list[Effect]:
        self.notes.append(backend_id)
        return []

    def reported(self, call: StartCall, body: bytes, now: float) -> list[Effect]:
        """An engine's report comes; an order that is to be noted is noted at once."""
        effects = self.loader.on_call(CallResponded(call.call_id, 200, {}, body), True, now)
        for backend_id in self.notes:
            effects = [*effects, *self.loader.on_order_committed(backend_id, True, now)]
        self.notes.clear()
        return effects

    def calls(self, now: float) -> list[StartCall]:
        return [e for e in self.loader.tick(now) if isinstance(e, StartCall)]


def report(sequence: int, version: int, in_flight: bool = False) -> bytes:
    models = [{"Name": "m0", "Version": version}]
    return json.dumps({"Seq": sequence, "InFlight": in_flight, "Models": models}).encode()


def test_an_engine_that_left_while_it_was_asked_ends_its_load() -> None:
    """Hunt 9c6c, vitrina-ro trouble-1 seed 100170021143: the keeper ended with a KeyError."""
    loading = Loading()
    [call] = loading.calls(0.0)
    loading.register("i-9")
    effects = loading.loader.on_call(CallResponded(call.call_id, 200, {}, report(0, 1)), True, 0.1)
    assert effects == []
    assert [c.address for c in loading.calls(0.2)] == ["i-9:1"]


def test_an_order_carries_holder_fence_and_the_sequence_reported() -> None:
    loading = Loading()
    [call] = loading.calls(0.0)
    [order] = loading.reported(call, report(3, 1), 0.1)
    assert isinstance(order, StartCall)
    body = json.loads(order.body)
    assert (body["Holder"], body["Fence"], body["ExpectedRev"]) == ("keeper-1", 5, 3)
    assert body["Version"] == 2


def test_no_order_without_the_right_to_act() -> None:
    loading = Loading()
    [call] = loading.calls(0.0)
    answer = CallResponded(call.call_id, 200, {}, report(3, 1))
    assert loading.loader.on_call(answer, False, 0.1) == []


def test_an_unanswered_order_is_repeated_only_under_the_sequence_seen_then() -> None:
    """The first may be carried out seconds later; the second can't come on top of it."""
    loading = Loading()
    [call] = loading.calls(0.0)
    [order] = loading.reported(call, report(0, 1), 0.1)
    assert isinstance(order, StartCall)
    lost = CallFailed(order.call_id, CallPhase.SENT, "timeout")
    assert not [e for e in loading.loader.on_call(lost, True, 1.1) if isinstance(e, StartCall)]
    [again] = loading.calls(1.7)
    [second] = loading.reported(again, report(0, 1), 1.8)
    assert isinstance(second, StartCall)
    assert json.loads(second.body)["ExpectedRev"] == 0


def test_only_a_share_of_the_engines_loads_at_once() -> None:
    loading = Loading(engines=5)
    assert len(loading.calls(0.0)) == 2


def test_no_order_while_another_holders_may_be_young() -> None:
    loading = Loading()
    [call] = loading.calls(0.0)
    loading.free_in = 2.0
    assert loading.reported(call, report(0, 1), 0.1) == []
    assert loading.calls(2.0) == []
    loading.free_in = 0.0
    [again] = loading.calls(2.2)
    assert len(loading.reported(again, report(0, 1), 2.3)) == 1


def test_an_engine_that_may_not_be_ordered_yet_takes_no_place() -> None:
    """tatravet-book, own day with freezes: engines that had to wait kept others from loading."""
    loading = Loading(engines=5)
    loading.free_in = 2.0
    assert loading.calls(0.0) == []
    loading.free_in = 0.0
    assert len(loading.calls(0.1)) == 2


def test_an_order_whose_note_came_late_is_not_given() -> None:
    """A later leader counts the lease from the note: an order must follow it closely."""
    loading = Loading()
    [call] = loading.calls(0.0)
    loading.loader.on_call(CallResponded(call.call_id, 200, {}, report(0, 1)), True, 0.1)
    assert loading.notes == ["i-0"]
    assert loading.loader.on_order_committed(BackendId("i-0"), True, 0.6) == []
    [again] = loading.calls(1.2)
    assert again.path == "/report"


def test_a_leader_that_lost_its_lease_gives_no_noted_order() -> None:
    loading = Loading()
    [call] = loading.calls(0.0)
    loading.loader.on_call(CallResponded(call.call_id, 200, {}, report(0, 1)), True, 0.1)
    assert loading.loader.on_order_committed(BackendId("i-0"), False, 0.2) == []
    loading.loader.end()
    assert loading.calls(9.0) == []


def test_an_engine_that_does_not_answer_gives_its_place_to_others() -> None:
    """tatravet-book, own day with crashes: two engines that were gone held both places for loads
    for 13 s; no step of any model got its weights."""
    loading = Loading(engines=5)
    first, second = loading.calls(0.0)
    for call in (first, second):
        lost = CallFailed(call.call_id, CallPhase.CONNECT, "timeout")
        loading.loader.on_call(lost, True, 0.3)
    others = loading.calls(0.35)
    assert len(others) == 2
    assert {call.address for call in others}.isdisjoint({first.address, second.address})
    # It is tried again later: it may have been the network.
    for call in others:
        loading.reported(call, report(1, 2), 0.4)
    assert first.address in {call.address for call in loading.calls(1.0)}
