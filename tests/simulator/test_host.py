"""The simulator's host: messages, timers, freeze, kill and disk."""

import pytest

from merlinstand.kernel.effects import AppendRecords
from merlinstand_lab.simulator.disk import DiskSettings, SimulatedDisk
from merlinstand_lab.simulator.network import LinkQuality
from merlinstand_lab.simulator.process import SimulatedProcess
from merlinstand_lab.simulator.process_spec import ProcessSpec
from merlinstand_lab.simulator.simulation import Simulation
from merlinstand_lab.simulator.topology import VITRINA
from merlinstand_lab.simulator.trace import TraceLevel
from tests.simulator.toys import Echo, Note, Pinger, Toy, Writer


def add(simulation: Simulation, node_id: str, toy: Toy, zone: str = "hall-a") -> SimulatedProcess:
    number = len(simulation.processes)
    return simulation.add_process(
        ProcessSpec(
            node_id=node_id,
            zone=zone,
            http_address=f"10.0.0.{number}:80",
            make_reducer=lambda: toy,
        )
    )


def notes(simulation: Simulation, node_id: str) -> list[Note]:
    return [note for note in simulation.records.get(node_id, []) if isinstance(note, Note)]


def ping_pair(seed: int = 1, **options: object) -> tuple[Simulation, Pinger, Echo]:
    simulation = Simulation(seed, VITRINA, **options)  # type: ignore[arg-type]
    pinger, echo = Pinger("echo"), Echo()
    add(simulation, "pinger", pinger)
    add(simulation, "echo", echo, "hall-b")
    return simulation, pinger, echo


def test_messages_arrive_in_order_and_are_answered() -> None:
    simulation, pinger, echo = ping_pair()
    simulation.run_until(1.05)
    assert echo.seen == list(range(1, pinger.sent + 1))
    answers = [note for note in notes(simulation, "pinger") if note.what == "MessageReceived"]
    assert len(answers) == pinger.sent == 10


def test_a_message_to_an_unlearned_address_is_lost() -> None:
    simulation = Simulation(1, VITRINA)
    toy = Pinger("nobody")
    add(simulation, "pinger", toy)
    simulation.run_until(1.05)
    assert simulation.undeliverable_count == 10


def test_a_one_way_cut_drops_one_direction_in_silence() -> None:
    simulation, _pinger, echo = ping_pair()
    both = frozenset({"echo"}), frozenset({"pinger"})
    simulation.clock.call_at(0.5, simulation.network.cut, *both)
    simulation.clock.call_at(0.75, simulation.network.heal, *both)
    simulation.run_until(1.05)
    assert len(echo.seen) == 10
    answers = [note for note in notes(simulation, "pinger") if note.what == "MessageReceived"]
    assert 6 <= len(answers) <= 8


def test_degraded_links_lose_double_and_reorder() -> None:
    simulation, pinger, echo = ping_pair()
    quality = LinkQuality(loss=0.2, duplicate=0.3, reorder=0.3, extra_delay_seconds=0.2)
    simulation.network.degrade(frozenset({"echo"}), quality)
    simulation.run_until(20.0)
    assert len(set(echo.seen)) < pinger.sent - 5
    assert len(echo.seen) > len(set(echo.seen))
    assert echo.seen != sorted(echo.seen)
    simulation.network.restore(frozenset({"echo"}), quality)
    before = len(echo.seen)
    simulation.run_until(30.0)
    assert len(echo.seen) >= before + 99


def test_a_frozen_process_gets_everything_at_once() -> None:
    simulation, _pinger, echo = ping_pair()
    process = simulation.processes["echo"]
    simulation.clock.call_at(0.35, process.freeze)
    simulation.clock.call_at(0.85, process.thaw)
    simulation.run_until(0.84)
    assert echo.seen == [1, 2, 3]
    simulation.run_until(0.86)
    assert echo.seen == [1, 2, 3, 4, 5, 6, 7, 8]


def test_timers_of_a_frozen_process_fire_at_the_thaw() -> None:
    simulation, pinger, _echo = ping_pair()
    process = simulation.processes["pinger"]
    simulation.clock.call_at(0.35, process.freeze)
    simulation.clock.call_at(0.85, process.thaw)
    simulation.run_until(0.86)
    assert pinger.sent == 4, "one late timer, not one for each missed interval"


def test_local_clocks_drift_within_their_rate() -> None:
    simulation = Simulation(1, VITRINA)
    process = simulation.add_process(
        ProcessSpec(
            node_id="pinger",
            zone="hall-a",
            http_address="10.0.0.1:80",
            make_reducer=lambda: Pinger("echo"),
            clock_offset_seconds=1000.0,
            clock_drift=0.01,
        )
    )
    simulation.run_until(100.0)
    assert process.local_clock.now() == pytest.approx(1101.0)
    assert notes(simulation, "pinger")[0].time == 1000.0
    assert len(notes(simulation, "pinger")) == pytest.approx(1011, abs=2)


@pytest.mark.parametrize("effects", range(4))
def test_a_kill_strikes_between_two_effects(effects: int) -> None:
    simulation, _pinger, echo = ping_pair()
    process = simulation.processes["echo"]
    simulation.clock.call_at(0.05, process.kill_within_reduce, effects, process.kill)
    simulation.run_until(1.05)
    written = [note for note in notes(simulation, "echo") if note.what == "MessageReceived"]
    answers = [note for note in notes(simulation, "pinger") if note.what == "MessageReceived"]
    # Each message makes two effects: a record, then an answer.
    assert len(written) == (effects + 1) // 2
    assert len(answers) == effects // 2
    assert len(echo.seen) == effects // 2 + 1


def test_a_crash_keeps_all_that_was_synced() -> None:
    for seed in range(40):
        simulation = Simulation(seed, VITRINA)
        process = add(simulation, "writer", Writer())
        simulation.clock.call_at(0.05 + seed * 0.0007, process.kill)
        simulation.run_until(0.2)
        durable = [note for note in notes(simulation, "writer") if "durable" in note.what]
        recovered = process.disk.records
        assert len(recovered) >= len(durable)
        assert recovered == [f"record {n + 1}".encode() for n in range(len(recovered))]
        process.start()
        simulation.run_until(0.3)
        assert process.disk.records[: len(recovered)] == recovered


def test_a_lost_disk_has_a_new_incarnation() -> None:
    simulation = Simulation(1, VITRINA)
    process = add(simulation, "writer", Writer())
    simulation.run_until(0.1)
    before = process.disk.incarnation
    process.kill()
    assert process.disk.incarnation == before
    process.start()
    simulation.run_until(0.2)
    process.kill(lose_disk=True)
    assert process.disk.incarnation != before
    assert process.disk.records == []


def test_a_reducer_that_raises_is_reported() -> None:
    class Raising(Toy):
        def react(self, event: object, now: float) -> list[object]:  # type: ignore[override]
            raise ValueError("a bug")

    simulation = Simulation(1, VITRINA)
    add(simulation, "pinger", Pinger("bad"))
    add(simulation, "bad", Raising())
    simulation.run_until(1.0)
    assert len(simulation.failures) == 1
    assert "a bug" in simulation.failures[0].description


def test_the_codec_changes_nothing() -> None:
    digests = set()
    for encode in (False, True):
        simulation, _pinger, _echo = ping_pair(
            seed=3, trace_level=TraceLevel.DIGEST, encode_messages=encode
        )
        simulation.run_until(5.0)
        digests.add(simulation.trace.digest())
    assert len(digests) == 1


def test_the_same_seed_gives_the_same_trace_and_others_differ() -> None:
    digests = []
    for seed in (3, 3, 4):
        simulation, _pinger, _echo = ping_pair(seed=seed, trace_level=TraceLevel.DIGEST)
        simulation.run_until(5.0)
        digests.append(simulation.trace.digest())
    assert digests[0] == digests[1] != digests[2]


def test_of_two_slow_disk_faults_the_slower_one_counts() -> None:
    simulation = Simulation(1, VITRINA)
    disk = SimulatedDisk(
        simulation.clock, DiskSettings(sync_jitter=0.0), simulation.random_for("d")
    )
    synced: list[float] = []
    disk.attach(lambda event: synced.append(simulation.clock.now))
    for factor in (100.0, 10.0):
        disk.slow_down(factor)
    disk.write(AppendRecords((b"first",), 1))
    simulation.run_until(1.0)
    disk.speed_up(100.0)
    disk.write(AppendRecords((b"second",), 2))
    simulation.run_until(2.0)
    assert synced == pytest.approx([0.2, 1.02])
