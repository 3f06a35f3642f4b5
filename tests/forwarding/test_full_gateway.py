"""A gateway near its bounds: what its balancer hears, and that it goes on serving."""

from merlinstand.common.ids import NodeId, RequestId
from merlinstand.decisions.readiness import MINIMUM_CHANGE_INTERVAL_SECONDS
from merlinstand.forwarding.daemon import ForwardingGateway
from merlinstand.kernel.effects import Effect, LogEvent, Respond, SetGauge, StartCall
from merlinstand.kernel.events import HostLoad, MessageReceived, RequestReceived, Started
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate
from merlinstand.server_load.reports import LoadSummary, encode_summary
from merlinstand_platform.batch import READY_PATH, PlatformGatewayInterface
from tests.forwarding.test_first_routes import SETTINGS, UPDATE, request

FULL = HostLoad(buffered_share=0.9, connection_share=0.1)
NAMED = LoadSummary(full_gateways=(NodeId(SETTINGS.node_id),))


def ready_status(daemon: ForwardingGateway, now: float) -> int:
    asked = RequestReceived(RequestId("ready"), "GET", READY_PATH, {"host": "h"}, b"")
    [status] = [e.status for e in daemon.reduce(asked, now) if isinstance(e, Respond)]
    return status


def logged(effects: list[Effect]) -> list[str]:
    return [effect.name for effect in effects if isinstance(effect, LogEvent)]


def test_a_full_gateway_is_not_ready_and_serves_what_comes() -> None:
    """Slow readers fill one gateway's memory; the connections that it has go on."""
    daemon = ForwardingGateway(SETTINGS, PlatformGatewayInterface())
    daemon.start(Started(NodeId("g"), 1, seed=0), 0.0)
    daemon.reduce(MessageReceived(NodeId("10.0.0.1"), UPDATE), 0.1)
    assert ready_status(daemon, 0.2) == 200
    assert daemon.reduce(FULL, 0.3) == []
    assert ready_status(daemon, 0.3) == 200
    summary = DirectoryUpdate(
        from_leader=True,
        leader=UPDATE.leader,
        leader_address=UPDATE.leader_address,
        term=UPDATE.term,
        changes=UPDATE.changes,
        load_summary=encode_summary(NAMED),
    )
    daemon.reduce(MessageReceived(NodeId("10.0.0.1"), summary), 0.3)
    effects = list(daemon.reduce(FULL, 0.3))
    assert logged(effects) == ["gateway.full"]
    assert SetGauge("merlinstand_gateway_full", 1.0) in effects
    assert ready_status(daemon, 0.4) == 503
    assert [e for e in daemon.reduce(request("q"), 0.5) if isinstance(e, StartCall)]
    # Told once more, within the shortest time; nothing is told after that.
    assert daemon.reduce(HostLoad(0.0, 0.0), 0.6) == []
    assert ready_status(daemon, 0.3 + MINIMUM_CHANGE_INTERVAL_SECONDS) == 200
