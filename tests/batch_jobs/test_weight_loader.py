"""When the leading keeper requests reports and sends weight orders, and what they contain."""

import json

from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.weight_loader import OrderIntents, WeightLoader
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
    """A loader with some engines of one model, which are behind by one version."""

    def __init__(self, engines: int = 1) -> None:
        self.seconds_until_free = 0.0
        self.proposed_intents: list[BackendId] = []
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
            OrderIntents(
                "keeper-1", lambda _backend, _now: self.seconds_until_free, self._propose_intent
            ),
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

    def _propose_intent(self, backend_id: BackendId, _now: float) -> list[Effect]:
        self.proposed_intents.append(backend_id)
        return []

    def reported(self, call: StartCall, body: bytes, now: float) -> list[Effect]:
        """Deliver an engine's report and commit the intents proposed on it immediately."""
        effects = self.loader.on_call(CallResponded(call.call_id, 200, {}, body), True, now)
        for backend_id in self.proposed_intents:
            effects = [*effects, *self.loader.on_intent_committed(backend_id, True, now)]
        self.proposed_intents.clear()
        return effects

    def calls(self, now: float) -> list[StartCall]:
        return [e for e in self.loader.tick(now) if isinstance(e, StartCall)]


def report(sequence: int, version: int, in_flight: bool = False) -> bytes:
    models = [{"Name": "m0", "Version": version}]
    return json.dumps({"Seq": sequence, "InFlight": in_flight, "Models": models}).encode()


def test_load_ends_if_the_engine_left_during_a_report() -> None:
    """The response must not raise a KeyError."""
    loading = Loading()
    [call] = loading.calls(0.0)
    loading.register("i-9")
    effects = loading.loader.on_call(CallResponded(call.call_id, 200, {}, report(0, 1)), True, 0.1)
    assert effects == []
    assert [c.address for c in loading.calls(0.2)] == ["i-9:1"]


def test_order_carries_holder_fence_and_reported_sequence() -> None:
    loading = Loading()
    [call] = loading.calls(0.0)
    [order] = loading.reported(call, report(3, 1), 0.1)
    assert isinstance(order, StartCall)
    body = json.loads(order.body)
    assert (body["Holder"], body["Fence"], body["ExpectedRev"]) == ("keeper-1", 5, 3)
    assert body["Version"] == 2


def test_no_order_unless_allowed_to_act() -> None:
    loading = Loading()
    [call] = loading.calls(0.0)
    response = CallResponded(call.call_id, 200, {}, report(3, 1))
    assert loading.loader.on_call(response, False, 0.1) == []


def test_unanswered_order_is_retried_with_the_reported_sequence() -> None:
    """If the engine executes the first order late, it must reject the second by its sequence."""
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


def test_no_order_within_another_holders_lease() -> None:
    loading = Loading()
    [call] = loading.calls(0.0)
    loading.seconds_until_free = 2.0
    assert loading.reported(call, report(0, 1), 0.1) == []
    assert loading.calls(2.0) == []
    loading.seconds_until_free = 0.0
    [again] = loading.calls(2.2)
    assert len(loading.reported(again, report(0, 1), 2.3)) == 1


def test_engine_within_another_holders_lease_does_not_count_as_loading() -> None:
    """Engines that may not be ordered yet must not keep others from loading."""
    loading = Loading(engines=5)
    loading.seconds_until_free = 2.0
    assert loading.calls(0.0) == []
    loading.seconds_until_free = 0.0
    assert len(loading.calls(0.1)) == 2


def test_order_is_not_sent_if_its_intent_was_committed_late() -> None:
    """A later leader counts from the intent, so the order must follow it closely."""
    loading = Loading()
    [call] = loading.calls(0.0)
    loading.loader.on_call(CallResponded(call.call_id, 200, {}, report(0, 1)), True, 0.1)
    assert loading.proposed_intents == ["i-0"]
    assert loading.loader.on_intent_committed(BackendId("i-0"), True, 0.6) == []
    [again] = loading.calls(1.2)
    assert again.path == "/report"


def test_former_leader_sends_no_order_of_a_committed_intent() -> None:
    loading = Loading()
    [call] = loading.calls(0.0)
    loading.loader.on_call(CallResponded(call.call_id, 200, {}, report(0, 1)), True, 0.1)
    assert loading.loader.on_intent_committed(BackendId("i-0"), False, 0.2) == []
    loading.loader.end()
    assert loading.calls(9.0) == []


def test_unresponsive_engine_does_not_block_loads_of_others() -> None:
    """Crashed engines that occupy all parallel loads would delay the weights of every model."""
    loading = Loading(engines=5)
    first, second = loading.calls(0.0)
    for call in (first, second):
        lost = CallFailed(call.call_id, CallPhase.CONNECT, "timeout")
        loading.loader.on_call(lost, True, 0.3)
    others = loading.calls(0.35)
    assert len(others) == 2
    assert {call.address for call in others}.isdisjoint({first.address, second.address})
    # It is retried later, because only the network may have failed.
    for call in others:
        loading.reported(call, report(1, 2), 0.4)
    assert first.address in {call.address for call in loading.calls(1.0)}
