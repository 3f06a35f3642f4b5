"""Randomized fault soak of the real programs: `python -m tests.users_platform.soak SEED [SEED...]`.

Each seed draws kills, freezes, planned stops, lost disks, cut or reset servers and evacuations of
zones for half a minute; whatever outsiders saw is then checked. Bounded in time and load, loopback
only.
"""

import random
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import gevent

from tests.users_platform.callers import ZoneOrder
from tests.users_platform.checks import answered_share, violations, whole_steps
from tests.users_platform.evacuation_check import IN_FORCE_SECONDS
from tests.users_platform.real_world import ZONES, Machine, RealWorld

STEPS = 6
QUIET_SECONDS = 6.0
FAULT_SECONDS = 20.0
RECOVERY_LIMIT_SECONDS = 60.0


def main() -> int:
    """Run the seeds given on the command line; 1 if any showed a broken promise."""
    seeds = [int(text) for text in sys.argv[1:]]
    broken = 0
    for seed in seeds:
        found, summary = run_seed(seed)
        broken += bool(found)
        print(f"seed {seed}: {summary}; {'broken: ' + '; '.join(found[:3]) if found else 'kept'}")
    print(f"{len(seeds) - broken} passed, {broken} failed")
    return 1 if broken else 0


def run_seed(seed: int) -> tuple[list[str], str]:
    """Run one seed; broken promises and a summary."""
    with tempfile.TemporaryDirectory() as folder:
        world = RealWorld(Path(folder), seed, steps=STEPS)
        try:
            faults = _strike(world, random.Random(seed))
            _wait_for_steps(world)
            found = violations(world) + _crashes(world)  # type: ignore[arg-type]
            found += [fault for fault in faults if "without an answer" in fault]
            steps = whole_steps(world)  # type: ignore[arg-type]
            if steps < STEPS:
                found.append(f"only {steps} of {STEPS} steps whole")
            share = answered_share(world)  # type: ignore[arg-type]
            summary = f"{len(faults)} faults ({', '.join(faults)}), {share:.3f} lookups answered"
            if found:
                _keep_logs(world, seed)
            return found, summary
        finally:
            world.close()


def _strike(world: RealWorld, draw: random.Random) -> list[str]:
    """Faults one after the other: never more than one machine with a disk at a time."""
    gevent.sleep(QUIET_SECONDS)
    done: list[str] = []
    kinds: list[Callable[[RealWorld, random.Random], str]] = [
        _kill,
        _freeze,
        _stop,
        _wipe,
        _cut_server,
        _reset_servers,
        _reload,
        _evacuate,
    ]
    spent = 0.0
    while spent < FAULT_SECONDS:
        done.append(draw.choice(kinds)(world, draw))
        pause = draw.uniform(1.5, 3.5)
        gevent.sleep(pause)
        spent += pause + 1.5
    for machine in world.machines:
        machine.signal(signal.SIGCONT)
        machine.start()
    for proxy in world.proxies:
        proxy.heal()
    return done


def _any(world: RealWorld, draw: random.Random) -> Machine:
    return draw.choice(world.machines)


def _kill(world: RealWorld, draw: random.Random) -> str:
    machine = _any(world, draw)
    machine.kill()
    gevent.sleep(draw.uniform(0.2, 1.5))
    machine.start()
    return f"kill {machine.role}"


def _freeze(world: RealWorld, draw: random.Random) -> str:
    machine = _any(world, draw)
    machine.signal(signal.SIGSTOP)
    gevent.sleep(draw.uniform(0.5, 3.0))
    machine.signal(signal.SIGCONT)
    return f"freeze {machine.role}"


def _stop(world: RealWorld, draw: random.Random) -> str:
    machine = _any(world, draw)
    machine.signal(signal.SIGTERM)
    for _ in range(100):
        if machine.process is None or machine.process.poll() is not None:
            break
        gevent.sleep(0.1)
    machine.kill()
    machine.start()
    return f"stop {machine.role}"


def _wipe(world: RealWorld, draw: random.Random) -> str:
    machine = draw.choice([*world.controls, *world.keepers])
    machine.kill()
    machine.wipe()
    gevent.sleep(draw.uniform(0.2, 1.0))
    machine.start()
    # Caught up before the next disk may go.
    gevent.sleep(5.0)
    return f"wipe {machine.role}"


def _cut_server(world: RealWorld, draw: random.Random) -> str:
    proxy = draw.choice(world.proxies)
    proxy.cut()
    gevent.sleep(draw.uniform(0.5, 3.0))
    proxy.heal()
    return "cut server"


def _reset_servers(world: RealWorld, draw: random.Random) -> str:
    for proxy in draw.sample(world.proxies, 3):
        proxy.reset()
    return "reset servers"


def _reload(world: RealWorld, draw: random.Random) -> str:
    machine = _any(world, draw)
    machine.signal(signal.SIGHUP)
    return f"reload {machine.role}"


def _evacuate(world: RealWorld, draw: random.Random) -> str:
    """Empty a zone for a while: two are left, and no other fault strikes meanwhile."""
    zone = draw.choice(ZONES)
    is_done = world.order_zone(ZoneOrder(zone, True))
    gevent.sleep(draw.uniform(1.0, IN_FORCE_SECONDS + 2.0))
    is_back = world.order_zone(ZoneOrder(zone, False))
    return "evacuate" if is_done and is_back else "evacuate without an answer"


def _wait_for_steps(world: RealWorld) -> None:
    waited = 0.0
    while whole_steps(world) < STEPS and waited < RECOVERY_LIMIT_SECONDS:  # type: ignore[arg-type]
        gevent.sleep(0.5)
        waited += 0.5


def _crashes(world: RealWorld) -> list[str]:
    """Processes that ended by a fault of the program."""
    return [
        f"{machine.role} {machine.ip}: {line}"
        for machine in world.machines
        for line in machine.log.splitlines()
        if "event=host.reducer_failed" in line or "event=host.effect_failed" in line
    ]


def _keep_logs(world: RealWorld, seed: int) -> None:
    folder = Path("out") / "soak" / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    for machine in world.machines:
        (folder / f"{machine.role}-{machine.ip}.log").write_text(machine.log)


if __name__ == "__main__":
    sys.exit(main())
