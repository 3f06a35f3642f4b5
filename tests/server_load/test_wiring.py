"""Server load on its way: a gateway's pull, the control daemon, its answer."""

from merlinstand.cluster.daemons import DaemonReport
from merlinstand.common.ids import BackendId, NodeId
from merlinstand.directory.follower import PULL_TIMER, DirectoryFollower
from merlinstand.directory.heartbeat_intake import HeartbeatBatch, encode_heartbeats
from merlinstand.kernel.effects import Effect, SendMessage, SetTimer
from merlinstand.kernel.events import MessageReceived
from merlinstand.protocol.generated.directory.ttypes import (
    BackendBeats,
    DirectoryPull,
    DirectoryUpdate,
)
from merlinstand.server_load.reports import ReportedLoad, ServiceLoad
from tests.directory.lone_control import ADDRESS, LoneControl
from tests.server_load.test_messages import IDS, SERVICE, make_state

GATEWAY = NodeId("10.0.0.7")
CONTROL = NodeId("10.0.0.1")
STEP_SECONDS = 0.05


class Fleet:
    """One control daemon and one gateway, which sends all there is."""

    def __init__(self) -> None:
        self.control = LoneControl()
        self.control.daemon.state.restore(make_state().snapshot())
        report = DaemonReport(node_id=GATEWAY, name="g", role="gateway")
        self.follower = DirectoryFollower((ADDRESS,), lambda _now: report)
        self.interval_seconds = 0.0
        self.pulls: list[DirectoryPull] = []

    def exchange(self, effects: list[Effect]) -> None:
        """Let the control daemon answer a pull."""
        now = self.control.now
        for effect in effects:
            if isinstance(effect, SetTimer) and effect.name == PULL_TIMER:
                self.interval_seconds = effect.delay_seconds
            if isinstance(effect, SendMessage) and isinstance(effect.message, DirectoryPull):
                self.pulls.append(effect.message)
                pulled = MessageReceived(GATEWAY, effect.message)
                for answer in self.control.daemon.reduce(pulled, now):
                    is_answer = isinstance(answer, SendMessage) and answer.receiver == GATEWAY
                    if is_answer and isinstance(answer.message, DirectoryUpdate):
                        self.follower.apply_update(CONTROL, answer.message, now)

    def play(self, seconds: float, dark: BackendId | None = None) -> ServiceLoad | None:
        """Keep four requests at each server for a while, which take 50 ms."""
        load = self.follower.load
        for _step in range(round(seconds / STEP_SECONDS)):
            begun = self.control.now
            self.control.run_until(begun + STEP_SECONDS)
            now = self.control.now
            for backend_id in IDS:
                for _request in range(8):
                    load.record_arrival(SERVICE, 5, "")
                    load.record_attempt_start(backend_id, begun)
                    load.record_attempt_end(backend_id, backend_id != dark, begun + 0.05)
                if backend_id != dark:
                    load.record_reported_load(backend_id, ReportedLoad(4, 0, 6, 1.0))
            self.exchange(self.follower.pull(now))
        return load.service_load(SERVICE, self.control.now)


def test_a_gateway_tells_and_learns() -> None:
    """A crowd that fits; before it nothing is sent that was not sent before."""
    fleet = Fleet()
    for _pull in range(2):
        fleet.exchange(fleet.follower.pull(fleet.control.now))
    assert [pull.server_load for pull in fleet.pulls] == [None, None]
    assert fleet.interval_seconds > 2 * STEP_SECONDS
    load = fleet.play(2.0)
    assert load is not None
    assert [server.backend_id for server in load.servers] == list(IDS)
    assert 0.5 < load.demand < 0.9
    assert fleet.interval_seconds == STEP_SECONDS
    now = fleet.control.now
    assert fleet.follower.pull_if_due(now + STEP_SECONDS / 2) == []
    assert fleet.follower.pull_if_due(now + 1.1 * STEP_SECONDS)
    assert fleet.follower.load.gateway_count(now) == 1


def test_a_server_that_starts_again_under_its_id_is_forgotten() -> None:
    """A crowd; one server is dark, ends, and is back under its id."""
    fleet = Fleet()

    def tell_start(born_ms: int) -> None:
        batch = encode_heartbeats(HeartbeatBatch((), (), {IDS[0]: born_ms}))
        message = MessageReceived(NodeId("10.0.0.2"), BackendBeats(batch=batch))
        fleet.control.daemon.reduce(message, fleet.control.now)

    tell_start(1_000)
    dark = fleet.play(3.0, dark=IDS[0])
    assert dark is not None
    assert dark.servers[0].service_seconds > 5 * dark.servers[1].service_seconds
    tell_start(1_000)
    same = fleet.play(STEP_SECONDS, dark=IDS[0])
    assert same is not None
    assert same.servers[0].service_seconds > 5 * same.servers[1].service_seconds
    tell_start(2_000)
    back = fleet.play(STEP_SECONDS)
    assert back is not None
    assert back.servers[0].service_seconds < 1.5 * back.servers[1].service_seconds
