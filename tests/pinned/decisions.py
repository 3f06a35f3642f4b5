"""Digests of everything that the product's processes decide, over days in virtual time.

Each effect that a reducer returns is hashed with its time: messages as their bytes on the wire, log
lines by name and field names, everything else whole. A change that keeps these digests changes no
decision and no byte that leaves a process; the names of Python types and fields do not count.

    python -m tests.pinned.decisions              compare all cases, also those that CI leaves out
    python -m tests.pinned.decisions --write      write the digests anew
    python -m tests.pinned.decisions --text CASE  print the lines of one case, to find what differs

In a shell, with the folder `platform` on PYTHONPATH.
"""

import json
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
import xxhash

from merlinstand.consensus.settings import ReplicaSettings
from merlinstand.consensus.state import ReplicaState
from merlinstand.kernel import effects as fx
from merlinstand.protocol.codec import encode_message
from merlinstand_lab.simulator.runner import Run
from merlinstand_lab.simulator.scenario import all_scenarios
from merlinstand_lab.simulator.simulation import Simulation
from merlinstand_lab.simulator.trace import Trace
from tests.users_platform.callers import ZoneOrder
from tests.users_platform.servers import Engine
from tests.users_platform.test_drawn_crash_days import draw_scenario
from tests.users_platform.world import TENANT_KEYS, ZONES, SimulatedDeployment

PINNED_FILE = Path(__file__).with_name("decisions.json")
SCENARIO_SECONDS = 30.0
"""Of a scenario of the simulator; most faults strike in this time."""
DAY_SECONDS = 40.0
SNAPSHOT_ENTRIES = 20
"""Of a log, after which a snapshot is taken on days that have many."""
PRODUCT_MODULES = "merlinstand."
WORKERS = 4

Digests = dict[str, str]
"""Digest of its effects by process."""


class DecisionTrace(Trace):
    """Hashes the effects of each process of the product."""

    def __init__(self, simulation: Simulation, keeps_text: bool) -> None:
        super().__init__()
        self.enabled = True
        self._simulation = simulation
        self._keeps_text = keeps_text
        self._hashes: dict[str, Any] = {}

    def add(self, time: float, place: str, kind: str, payload: Any) -> None:
        if kind != "effect" or not self._is_product(place):
            return
        line = canonical(payload)
        self._hashes.setdefault(place, xxhash.xxh3_128()).update(b"%.9f " % time + line + b"\n")
        if self._keeps_text:
            self.lines.append(f"{time:.9f} {place} {line!r}")

    def _is_product(self, place: str) -> bool:
        process = self._simulation.processes.get(place)
        reducer = process.reducer if process is not None else None
        return type(reducer).__module__.startswith(PRODUCT_MODULES)

    def digests(self) -> Digests:
        """Give the digests so far, by process."""
        return {place: hashed.hexdigest() for place, hashed in sorted(self._hashes.items())}


def canonical(effect: fx.Effect) -> bytes:
    """Give the bytes of an effect: what it makes its host do, without texts of logs."""
    match effect:
        case fx.SendMessage(receiver=receiver, message=message):
            return f"SendMessage {receiver} ".encode() + encode_message(message)
        case fx.LogEvent(name=name, fields=fields, severity=severity):
            return f"LogEvent {name} {sorted(fields)} {severity}".encode()
        case _:
            fields = msgspec.to_builtins(effect, builtin_types=(bytes,))
            return f"{type(effect).__name__} {fields}".encode()


# Days of the users' machines


def calm(_monkeypatch: pytest.MonkeyPatch, world: SimulatedDeployment) -> None:
    """Nothing fails."""


def killed_leaders(_monkeypatch: pytest.MonkeyPatch, world: SimulatedDeployment) -> None:
    """The leading keeper and then the leading control daemon are killed."""
    world.at(10.2, lambda: world.process(world.leading_keeper()).kill())
    world.at(18.2, lambda: world.process(world.leading_control()).kill())
    for ip in (*world.keepers, *world.controls):
        for back_at in (13.5, 21.5):
            world.at(back_at, world.simulation.start_if_down, world.process(ip))


def slow_engines(monkeypatch: pytest.MonkeyPatch, world: SimulatedDeployment) -> None:
    """Items take long, so that their texts are kept and runs move; a leader dies among them."""
    monkeypatch.setattr(Engine, "event_interval_seconds", 0.2)
    killed_leaders(monkeypatch, world)
    world.kill(world.engines[0], 14.0, 3.0)


def small_snapshots(patches: pytest.MonkeyPatch, world: SimulatedDeployment) -> None:
    """Snapshots are taken of few entries; machines come back from them, one without its disk."""
    begin = ReplicaState.__init__

    def begin_small(state: ReplicaState, settings: ReplicaSettings) -> None:
        limits = msgspec.structs.replace(settings.limits, compaction_entries=SNAPSHOT_ENTRIES)
        begin(state, msgspec.structs.replace(settings, limits=limits))

    patches.setattr(ReplicaState, "__init__", begin_small)
    lost_power(patches, world)


def lost_power(_monkeypatch: pytest.MonkeyPatch, world: SimulatedDeployment) -> None:
    """All machines of the system lose power, later one its disk."""
    for ip in (*world.controls, *world.keepers, *world.gateways):
        world.kill(ip, 12.2, 1.5, power_loss=True)
    world.kill(world.keepers[1], 20.0, 1.0, lose_disk=True)
    world.kill(world.controls[1], 24.0, 1.0, lose_disk=True)


def evacuation(_monkeypatch: pytest.MonkeyPatch, world: SimulatedDeployment) -> None:
    """A zone is evacuated and taken back; its machines freeze in the meantime."""
    orders = [(10.0, ZoneOrder(ZONES[1], True)), (19.0, ZoneOrder(ZONES[1], False))]
    world.add_zone_operator(orders)
    for ip in (world.controls[1], world.gateways[1]):
        world.at(12.0, world.process(ip).freeze)
        world.at(15.0, world.process(ip).thaw)


def returning_servers(_monkeypatch: pytest.MonkeyPatch, world: SimulatedDeployment) -> None:
    """Servers and engines end and come back, cold where the configuration says so."""
    for number in range(1, 4):
        world.kill(f"shop-{number}", 8.0, 3.0)
    for engine in world.engines:
        world.kill(engine, 15.0, 3.0)


def revoked_keys(_monkeypatch: pytest.MonkeyPatch, world: SimulatedDeployment) -> None:
    """Keys are taken away, and a gateway is stopped as planned."""
    world.add_operator([(12.0, world.make_config(9, {**TENANT_KEYS, "beta": ["beta-2"]}))], "op2")
    world.at(16.0, world.process(world.gateways[0]).request_stop)


def suspended(_monkeypatch: pytest.MonkeyPatch, world: SimulatedDeployment) -> None:
    """One machine of each role is suspended for seconds, one after the other."""
    names = (world.gateways[0], world.keepers[0], world.controls[0])
    for number, name in enumerate(names):
        world.at(9.0 + 7.0 * number, world.process(name).suspend, 2.5)


Faults = Callable[[pytest.MonkeyPatch, SimulatedDeployment], None]
Prepare = Callable[[Simulation], None]


class Case(msgspec.Struct, frozen=True):
    """Something that is played in virtual time."""

    seed: int

    def make(self, patches: pytest.MonkeyPatch) -> SimulatedDeployment | Run:
        """Set everything up; nothing happens yet."""
        raise NotImplementedError

    @property
    def seconds(self) -> float:
        """How long it is played."""
        return DAY_SECONDS

    def play(
        self, monkeypatch: pytest.MonkeyPatch, seconds: float, prepare: Prepare | None = None
    ) -> Simulation:
        """Play it for some time, after a preparation of the machines."""
        with monkeypatch.context() as patches:
            simulation = self.make(patches).simulation
            if prepare is not None:
                prepare(simulation)
            simulation.run_until(seconds)
            return simulation

    def trace(
        self,
        monkeypatch: pytest.MonkeyPatch,
        seconds: float,
        prepare: Prepare | None = None,
        keeps_text: bool = False,
    ) -> DecisionTrace:
        """Play it with its decisions hashed; a process takes its simulation's trace when added."""
        begin = Simulation.__init__

        def begin_traced(simulation: Simulation, *args: Any, **kwargs: Any) -> None:
            begin(simulation, *args, **kwargs)
            simulation.trace = DecisionTrace(simulation, keeps_text)

        with monkeypatch.context() as patches:
            patches.setattr(Simulation, "__init__", begin_traced)
            trace = self.play(patches, seconds, prepare).trace
        assert isinstance(trace, DecisionTrace)
        return trace


class Day(Case, frozen=True):
    """One day: how its world is made, and what befalls it."""

    faults: Faults
    options: dict[str, Any] = {}

    def make(self, patches: pytest.MonkeyPatch) -> SimulatedDeployment:
        """Set everything up."""
        world = SimulatedDeployment(self.seed, **self.options)
        self.faults(patches, world)
        return world


class DrawnDay(Case, frozen=True):
    """A day of the seeded hunt for requests that end servers."""

    def make(self, patches: pytest.MonkeyPatch) -> SimulatedDeployment:
        """Set everything up."""
        return draw_scenario(self.seed, patches)


class DrawnFaults(Case, frozen=True):
    """A day on which any process and server may be killed, frozen or suspended, drawn by seed."""

    def make(self, _patches: pytest.MonkeyPatch) -> SimulatedDeployment:
        """Set everything up."""
        draw = Random(self.seed)
        models = ("m0", "m1") if draw.random() < 0.5 else ("m0",)
        world = SimulatedDeployment(
            self.seed,
            models=models,
            has_tenants=draw.random() < 0.5,
            has_cold=draw.random() < 0.5,
            groups=draw.choice([4, 8, 20]),
        )
        world.add_lookup_clients(draw.choice([0, 4]))
        for _ in range(10):
            _draw_fault(world, draw)
        if draw.random() < 0.5:
            world.add_zone_operator([(draw.uniform(8.0, 20.0), ZoneOrder(ZONES[0], True))])
        return world


def _draw_fault(world: SimulatedDeployment, draw: Random) -> None:
    machines = [*world.controls, *world.keepers, *world.gateways]
    servers = [*world.engines, "shop-1", "shop-2", "shop-3"]
    name = draw.choice(machines if draw.random() < 0.6 else servers)
    at = draw.uniform(6.0, 30.0)
    how = draw.randrange(4)
    if how == 0:
        world.kill(name, at, draw.uniform(0.5, 4.0))
    elif how == 1:
        world.at(at, world.process(name).freeze)
        world.at(at + draw.uniform(0.3, 4.0), world.process(name).thaw)
    elif how == 2:
        world.at(at, world.process(name).suspend, draw.uniform(0.3, 3.0))
    else:
        world.kill(name, at, draw.uniform(0.5, 4.0), power_loss=True)


class Scenario(Case, frozen=True):
    """A seed of one of the simulator's scenarios, cut short."""

    name: str

    @property
    def seconds(self) -> float:
        """How long it is played."""
        return SCENARIO_SECONDS

    def make(self, _patches: pytest.MonkeyPatch) -> Run:
        """Set everything up."""
        return Run(all_scenarios()[self.name].plan(self.seed), self.seed)


SHORT_CASES: dict[str, Case] = {
    "calm": Day(0, calm),
    "killed leaders, three models": Day(1, killed_leaders, {"models": ("m0", "m1", "m2")}),
    "slow engines": Day(2, slow_engines),
    "lost power": Day(3, lost_power),
    "small snapshots": Day(8, small_snapshots, {"has_tenants": True}),
    "evacuation": Day(4, evacuation),
    "revoked keys": Day(6, revoked_keys, {"has_tenants": True}),
    "suspended machines": Day(7, suspended, {"has_tenants": True, "groups": 8}),
    "cold servers return": Day(5, returning_servers, {"has_cold": True, "groups": 20}),
    "crash day 5001": DrawnDay(5001),
    "crash day 5044": DrawnDay(5044),
    "faults 9001": DrawnFaults(9001),
    "everything-at-once 3": Scenario(3, "everything-at-once"),
    "drain-at-cut 2": Scenario(2, "drain-at-cut"),
    "control-chaos 5": Scenario(5, "control-chaos"),
}
"""Cases that every run of the tests compares."""

LONG_CASES: dict[str, Case] = {
    **{f"crash day {seed}": DrawnDay(seed) for seed in range(5100, 5112)},
    **{f"faults {seed}": DrawnFaults(seed) for seed in range(9100, 9124)},
    **{
        f"{name} {seed}": Scenario(seed, name)
        for name in (
            "fleet-chaos",
            "version-race",
            "leave-under-faults",
            "whole-zone-cut",
            "swap-fails-partway",
            "engine-crash-mid-stream",
            "planned-stop",
            "gateway-kill-during-booking",
            "coordinator-kill",
            "trainer-resend",
            "lost-disk",
            "kill-at-heal",
        )
        for seed in (11,)
    },
}
"""Cases that are compared by hand, before a change of decisions lands."""

ALL_CASES = {**SHORT_CASES, **LONG_CASES}


def run_case(name: str, keeps_text: bool = False) -> DecisionTrace:
    """Play a case."""
    case = ALL_CASES[name]
    return case.trace(pytest.MonkeyPatch(), case.seconds, keeps_text=keeps_text)


def digests_of(name: str) -> Digests:
    """Play a case and give its digests."""
    return run_case(name).digests()


def pinned() -> dict[str, Digests]:
    """Give the digests that are kept in the repository."""
    digests: dict[str, Digests] = json.loads(PINNED_FILE.read_text())
    return digests


def main(arguments: list[str]) -> int:
    """Compare, write or print; 1 if a digest differs."""
    if arguments[:1] == ["--text"]:
        print("\n".join(run_case(arguments[1], keeps_text=True).lines))
        return 0
    with ProcessPoolExecutor(WORKERS) as pool:
        found = dict(zip(ALL_CASES, pool.map(digests_of, ALL_CASES), strict=True))
    if arguments == ["--write"]:
        PINNED_FILE.write_text(json.dumps(found, indent=1) + "\n")
        return 0
    kept = pinned()
    different = [name for name, digests in found.items() if digests != kept.get(name)]
    print(f"{len(found) - len(different)} cases the same, {len(different)} differ")
    for name in different:
        nodes = [node for node, value in found[name].items() if kept[name].get(node) != value]
        print(f"  {name}: {', '.join(nodes)}")
    return 1 if different else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
