"""Server load end to end: a gateway's pull, the control daemon, its reply."""

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


class ControlAndGateway:
    """One control daemon and one gateway, which sends all requests."""

    def __init__(self) -> None:
        self.control = LoneControl()
        self.control.daemon.state.restore(make_state().snapshot())
        report = DaemonReport(node_id=GATEWAY, name="g", role="gateway")
        self.follower = DirectoryFollower((ADDRESS,), lambda _now: report)
        self.interval_seconds = 0.0
        self.pulls: list[DirectoryPull] = []

    def exchange(self, effects: list[Effect]) -> None:
        """Let the control daemon reply to a pull."""
        now = self.control.now
        for effect in effects:
            if isinstance(effect, SetTimer) and effect.name == PULL_TIMER:
                self.interval_seconds = effect.delay_seconds
            if isinstance(effect, SendMessage) and isinstance(effect.message, DirectoryPull):
                self.pulls.append(effect.message)
                pulled = MessageReceived(GATEWAY, effect.message)
                for reply in self.control.daemon.reduce(pulled, now):
                    is_reply = isinstance(reply, SendMessage) and reply.receiver == GATEWAY
                    if is_reply and isinstance(reply.message, DirectoryUpdate):
                        self.follower.apply_update(CONTROL, reply.message, now)

    def run(self, seconds: float, unresponsive: BackendId | None = None) -> ServiceLoad | None:
        """Keep four requests of 50 ms at each backend for a while."""
        load = self.follower.load
        for _step in range(round(seconds / STEP_SECONDS)):
            started_at = self.control.now
            self.control.run_until(started_at + STEP_SECONDS)
            now = self.control.now
            for backend_id in IDS:
                for _request in range(8):
                    load.record_arrival(SERVICE, 5, "")
                    load.record_attempt_start(backend_id, started_at)
                    load.record_attempt_end(
                        backend_id, backend_id != unresponsive, started_at + 0.05
                    )
                if backend_id != unresponsive:
                    load.record_reported_load(backend_id, ReportedLoad(4, 0, 6, 1.0))
            self.exchange(self.follower.pull(now))
        return load.service_load(SERVICE, self.control.now)


def test_a_gateway_reports_counts_and_receives_the_summary() -> None:
    """Without load a pull carries no report; under load it does, more often."""
    pair = ControlAndGateway()
    for _pull in range(2):
        pair.exchange(pair.follower.pull(pair.control.now))
    assert [pull.server_load for pull in pair.pulls] == [None, None]
    assert pair.interval_seconds > 2 * STEP_SECONDS
    load = pair.run(2.0)
    assert load is not None
    assert [server.backend_id for server in load.servers] == list(IDS)
    assert 0.5 < load.demand < 0.9
    assert pair.interval_seconds == STEP_SECONDS
    now = pair.control.now
    assert pair.follower.pull_if_due(now + STEP_SECONDS / 2) == []
    assert pair.follower.pull_if_due(now + 1.1 * STEP_SECONDS)
    assert pair.follower.load.gateway_count(now) == 1


def test_a_backend_that_restarts_under_its_id_is_forgotten() -> None:
    """One backend is unresponsive, stops, and is back under its id."""
    pair = ControlAndGateway()

    def report_start(started_ms: int) -> None:
        batch = encode_heartbeats(HeartbeatBatch((), (), {IDS[0]: started_ms}))
        message = MessageReceived(NodeId("10.0.0.2"), BackendBeats(batch=batch))
        pair.control.daemon.reduce(message, pair.control.now)

    report_start(1_000)
    unresponsive = pair.run(3.0, unresponsive=IDS[0])
    assert unresponsive is not None
    assert unresponsive.servers[0].service_seconds > 5 * unresponsive.servers[1].service_seconds
    report_start(1_000)
    same = pair.run(STEP_SECONDS, unresponsive=IDS[0])
    assert same is not None
    assert same.servers[0].service_seconds > 5 * same.servers[1].service_seconds
    report_start(2_000)
    back = pair.run(STEP_SECONDS)
    assert back is not None
    assert back.servers[0].service_seconds < 1.5 * back.servers[1].service_seconds
