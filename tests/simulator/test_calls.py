"""HTTP calls of the simulator and how far a failed one had come."""

import msgspec

from merlinstand.kernel import effects as fx
from merlinstand.kernel import events as ev
from merlinstand.kernel.events import CallPhase
from merlinstand_lab.simulator.process_spec import ProcessSpec
from merlinstand_lab.simulator.simulation import Simulation
from merlinstand_lab.simulator.topology import CLIENT_ZONE, VITRINA
from tests.simulator.toys import Client, Note, Server

SERVER = "10.0.0.1:80"


def call(path: str, stream: bool = False, address: str = SERVER, name: str = "c") -> fx.StartCall:
    return fx.StartCall(name, address, "GET", path, {"X-Request-Id": "r"}, b"", 2.0, stream)


def fleet(calls: dict[float, fx.StartCall]) -> tuple[Simulation, Client]:
    simulation = Simulation(1, VITRINA)
    client = Client(calls)
    simulation.add_process(
        ProcessSpec(
            node_id="client",
            zone=CLIENT_ZONE,
            http_address="10.0.0.2:80",
            make_reducer=lambda: client,
        )
    )
    simulation.add_process(
        ProcessSpec(node_id="server", zone="hall-a", http_address=SERVER, make_reducer=Server)
    )
    return simulation, client


def events_at_server(simulation: Simulation) -> list[str]:
    notes = [note for note in simulation.records["server"] if isinstance(note, Note)]
    return [note.what for note in notes if note.what != "started"]


def test_a_whole_answer() -> None:
    simulation, client = fleet({0.5: call("/whole")})
    simulation.run_until(1.0)
    assert client.events == [ev.CallResponded("c", 200, {"x-place": "server"}, b"hello")]


def test_a_stream_ends_at_its_declared_end() -> None:
    simulation, client = fleet({0.5: call("/stream", stream=True)})
    simulation.run_until(1.0)
    assert client.events == [
        ev.CallHeaders("c", 200, {}),
        ev.CallChunk("c", b"a"),
        ev.CallChunk("c", b"b"),
        ev.CallEnded("c"),
    ]


def test_a_stream_read_whole() -> None:
    simulation, client = fleet({0.5: call("/stream")})
    simulation.run_until(1.0)
    assert client.events == [ev.CallResponded("c", 200, {}, b"ab")]


def test_a_broken_stream_is_a_truncation() -> None:
    simulation, client = fleet({0.5: call("/break"), 1.0: call("/break", stream=True, name="d")})
    simulation.run_until(2.0)
    assert client.events[0] == ev.CallFailed("c", CallPhase.BODY, "truncated")
    assert client.events[-1] == ev.CallFailed("d", CallPhase.BODY, "truncated")


def test_a_connection_that_a_cut_holds_back_is_given_up_in_time() -> None:
    limited = msgspec.structs.replace(call("/whole"), connect_seconds=0.1)
    simulation, client = fleet({0.5: limited})
    simulation.network.cut(frozenset(["client"]), frozenset(["server"]))
    simulation.run_until(0.65)
    assert client.events == [ev.CallFailed("c", CallPhase.CONNECT, "timeout")]


def test_a_connection_that_came_up_outlasts_its_limit() -> None:
    limited = msgspec.structs.replace(call("/whole"), connect_seconds=0.1)
    simulation, client = fleet({0.5: limited})
    simulation.run_until(1.0)
    assert client.events == [ev.CallResponded("c", 200, {"x-place": "server"}, b"hello")]


def test_a_process_that_is_down_refuses_the_connection() -> None:
    simulation, client = fleet({0.5: call("/whole")})
    simulation.clock.call_at(0.4, simulation.processes["server"].kill)
    simulation.run_until(1.0)
    assert client.events == [ev.CallFailed("c", CallPhase.CONNECT, "refused")]


def test_an_unknown_address_refuses_the_connection() -> None:
    simulation, client = fleet({0.5: call("/whole", address="10.9.9.9:1")})
    simulation.run_until(1.0)
    assert client.events == [ev.CallFailed("c", CallPhase.CONNECT, "refused")]


def test_a_machine_without_power_hangs_the_connection() -> None:
    simulation, client = fleet({0.5: call("/whole")})
    simulation.clock.call_at(0.4, simulation.processes["server"].kill, True)
    simulation.run_until(2.4)
    assert client.events == []
    simulation.run_until(2.6)
    assert client.events == [ev.CallFailed("c", CallPhase.CONNECT, "timeout")]


def test_a_kill_after_the_request_left_may_have_run() -> None:
    simulation, client = fleet({0.5: call("/silent")})
    simulation.clock.call_at(1.0, simulation.processes["server"].kill)
    simulation.run_until(1.5)
    assert client.events == [ev.CallFailed("c", CallPhase.SENT, "reset")]
    assert events_at_server(simulation) == ["RequestReceived"]


def test_a_cut_hangs_and_the_request_never_arrives_once_the_client_gave_up() -> None:
    """The runtime resets the connection; fleet-chaos 920001 saw work for an engine that left."""
    simulation, client = fleet({0.1: call("/whole"), 0.5: call("/whole", name="d")})
    ends = frozenset({"client"}), frozenset({"server"})
    simulation.clock.call_at(0.4, simulation.network.cut, *ends)
    simulation.clock.call_at(5.0, simulation.network.heal, *ends)
    simulation.run_until(4.9)
    assert client.events[1:] == [ev.CallFailed("d", CallPhase.SENT, "timeout")]
    assert events_at_server(simulation) == ["RequestReceived"]
    simulation.run_until(20.0)
    assert events_at_server(simulation) == ["RequestReceived"]
    assert len(client.events) == 2


def test_a_request_that_a_short_cut_held_back_arrives_while_it_is_waited_for() -> None:
    simulation, client = fleet({0.1: call("/whole"), 0.5: call("/whole", name="d")})
    ends = frozenset({"client"}), frozenset({"server"})
    simulation.clock.call_at(0.4, simulation.network.cut, *ends)
    simulation.clock.call_at(0.7, simulation.network.heal, *ends)
    simulation.run_until(20.0)
    assert events_at_server(simulation) == ["RequestReceived", "RequestReceived"]
    assert isinstance(client.events[1], ev.CallResponded)


def test_a_cut_during_the_handshake_sent_no_byte() -> None:
    simulation, client = fleet({0.5: call("/whole")})
    ends = frozenset({"server"}), frozenset({"client"})
    simulation.clock.call_at(0.4, simulation.network.cut, *ends)
    simulation.run_until(3.0)
    assert client.events == [ev.CallFailed("c", CallPhase.CONNECT, "timeout")]


def test_a_stale_kept_connection_fails_after_the_request_left() -> None:
    simulation, client = fleet({0.1: call("/whole"), 0.5: call("/whole", name="d")})
    server = simulation.processes["server"]
    simulation.clock.call_at(0.4998, server.kill)
    simulation.clock.call_at(0.4999, server.start)
    simulation.run_until(1.0)
    assert client.events[1] == ev.CallFailed("d", CallPhase.SENT, "reset")


def test_a_client_that_goes_away_aborts_the_request() -> None:
    simulation, _client = fleet({0.1: call("/silent")})
    simulation.clock.call_at(0.5, simulation.processes["client"].kill)
    simulation.run_until(1.0)
    assert events_at_server(simulation) == ["RequestReceived", "RequestAborted"]


def test_a_frozen_server_hangs_the_call_and_runs_it_late() -> None:
    simulation, client = fleet({0.5: call("/whole")})
    server = simulation.processes["server"]
    simulation.clock.call_at(0.4, server.freeze)
    simulation.clock.call_at(5.0, server.thaw)
    simulation.run_until(4.9)
    assert client.events == [ev.CallFailed("c", CallPhase.SENT, "timeout")]
    simulation.run_until(5.1)
    assert events_at_server(simulation) == ["RequestReceived", "RequestAborted"]
