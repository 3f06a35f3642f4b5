"""Randomized fault soak of the real programs: `python -m tests.users_platform.soak SEED [SEED...]`.

With `--older CHECKOUT` before the seeds each start of a machine draws whether it runs this build or
that one, on the same data folder: both builds run beside each other, and are replaced both ways.

Each seed draws kills, freezes, suspensions, planned stops, lost disks, cut or reset servers,
series of signals and evacuations of zones for half a minute, while requests come that end the
servers which run them; whatever outsiders saw is then checked. Clients keep their connections until
the process at the other end is gone. Every fourth seed has many gateways. Bounded in time and load,
loopback only.

Beside the faults crowds come, of many times the usual rate: servers fill up, turn requests away and
become slow for a while, and some callers read large answers slowly. After the faults one more crowd
comes and goes, and everything is served again.
"""

import random
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import gevent

from merlinstand.common.boot_clock import monotonic_seconds
from tests.users_platform.callers import ZoneOrder
from tests.users_platform.checks import (
    answered_share,
    crash_arrivals,
    violations,
    whole_steps,
)
from tests.users_platform.crowds import (
    AGAIN_SECONDS,
    CALM_SECONDS,
    CROWD_RATE,
    USUAL_PACE,
    crowd_summary,
    crowd_violations,
    served_again_violations,
)
from tests.users_platform.evacuation_check import IN_FORCE_SECONDS
from tests.users_platform.real_world import ZONES, Machine, ProcessDeployment

STEPS = 6
QUIET_SECONDS = 6.0
FAULT_SECONDS = 20.0
FEW_GATEWAYS = 3
MANY_GATEWAYS = 24
"""Some 30 processes of 25 MB and the stand-ins: 1 GB."""
RECOVERY_LIMIT_SECONDS = 60.0
CROWD_SECONDS = (1.0, 3.0)
"""Shortest and longest time for which a crowd comes."""
SLOW_PACES = (150, 300, 500)
SLOW_SECONDS = (0.5, 3.0)
SLOW_READERS = 6
SETTLED_SECONDS = 4.0
"""After the faults, before the last crowd: the processes that were started last have begun."""
LAST_CROWD_SECONDS = 2.0
ANSWERS_SECONDS = 3.0
"""After it: longer than a request of a crowd takes."""


def main() -> int:
    """Run the seeds given on the command line; 1 if any showed a broken promise."""
    arguments = sys.argv[1:]
    older = Path(arguments[1]).resolve() if arguments[0] == "--older" else None
    seeds = [int(text) for text in (arguments[2:] if older else arguments)]
    broken = 0
    for seed in seeds:
        found, summary = run_seed(seed, older=older)
        broken += bool(found)
        print(f"seed {seed}: {summary}; {'broken: ' + '; '.join(found[:3]) if found else 'kept'}")
    print(f"{len(seeds) - broken} passed, {broken} failed")
    return 1 if broken else 0


def run_seed(
    seed: int,
    steps: int = STEPS,
    fault_seconds: float = FAULT_SECONDS,
    older: Path | None = None,
) -> tuple[list[str], str]:
    """Run one seed; broken promises and a summary."""
    with tempfile.TemporaryDirectory() as folder:
        gateways = FEW_GATEWAYS if seed % 4 else MANY_GATEWAYS
        world = ProcessDeployment(Path(folder), seed, steps, gateways, True, older, crowds=True)
        try:
            crowds = gevent.spawn(_send_crowds, world, random.Random(f"crowds {seed}"))
            faults = _strike(world, random.Random(seed), fault_seconds)
            crowds.kill()
            last_ended_at = _send_last_crowd(world)
            _wait_for_steps(world, steps)
            world.wait_for_slow_readers()
            found = violations(world) + _crashes(world)  # type: ignore[arg-type]
            found += crowd_violations(world) + served_again_violations(world, last_ended_at)
            found += [fault for fault in faults if "without an answer" in fault]
            whole = whole_steps(world)  # type: ignore[arg-type]
            if whole < steps:
                found.append(f"only {whole} of {steps} steps whole")
            share = answered_share(world)  # type: ignore[arg-type]
            arrivals = crash_arrivals(world).values()  # type: ignore[arg-type]
            ends = [len({arrival.server for _time, arrival in seen}) for seen in arrivals]
            summary = (
                f"{len(faults)} faults ({', '.join(faults)}), {share:.3f} lookups answered, "
                f"servers ended under each request {ends}, crowds {crowd_summary(world)}"
            )
            if found:
                _keep_logs(world, seed)
            return found, summary
        finally:
            world.close()


def _strike(world: ProcessDeployment, draw: random.Random, fault_seconds: float) -> list[str]:
    """Faults one after the other: never more than one machine with a disk at a time."""
    gevent.sleep(QUIET_SECONDS)
    done: list[str] = []
    kinds: list[Callable[[ProcessDeployment, random.Random], str]] = [
        _kill,
        _freeze,
        _suspend,
        _signal_series,
        _stop,
        _wipe,
        _cut_server,
        _reset_servers,
        _reload,
        _evacuate,
    ]
    spent = 0.0
    while spent < fault_seconds:
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


def _send_crowds(world: ProcessDeployment, draw: random.Random) -> None:
    """Let crowds come and servers become slow, until this greenlet is ended."""
    gevent.sleep(QUIET_SECONDS)
    while True:
        slow = draw.sample(sorted(world.loaded), draw.randint(0, 2))
        for ip in slow:
            gevent.spawn_later(
                draw.uniform(0.0, 2.0), _slow_down, world, ip, draw.choice(SLOW_PACES)
            )
            gevent.spawn_later(draw.uniform(*SLOW_SECONDS) + 2.0, _slow_down, world, ip, USUAL_PACE)
        rate = draw.uniform(0.5, 1.0) * CROWD_RATE
        world.send_crowd(draw.uniform(*CROWD_SECONDS), rate, draw.randint(0, SLOW_READERS))
        gevent.sleep(draw.uniform(0.5, 3.0))


def _slow_down(world: ProcessDeployment, ip: str, pace: int) -> None:
    world.loaded[ip].pace = pace


def _send_last_crowd(world: ProcessDeployment) -> float:
    """Let a crowd come that no fault strikes; gives when it had gone, by the records' time."""
    gevent.sleep(SETTLED_SECONDS)
    for ip in world.loaded:
        _slow_down(world, ip, USUAL_PACE)
    world.send_crowd(LAST_CROWD_SECONDS, CROWD_RATE, SLOW_READERS)
    ended_at = monotonic_seconds()
    gevent.sleep(max(ANSWERS_SECONDS, AGAIN_SECONDS + CALM_SECONDS + 2.0))
    return ended_at


def _any(world: ProcessDeployment, draw: random.Random) -> Machine:
    return draw.choice(world.machines)


def _kill(world: ProcessDeployment, draw: random.Random) -> str:
    machine = _any(world, draw)
    machine.kill()
    gevent.sleep(draw.uniform(0.2, 1.5))
    machine.start()
    return f"kill {machine.role}"


def _freeze(world: ProcessDeployment, draw: random.Random) -> str:
    machine = _any(world, draw)
    machine.signal(signal.SIGSTOP)
    gevent.sleep(draw.uniform(0.5, 3.0))
    machine.signal(signal.SIGCONT)
    return f"freeze {machine.role}"


def _suspend(world: ProcessDeployment, draw: random.Random) -> str:
    """One machine, once or twice shortly after each other, and a gateway beside it."""
    machine = _any(world, draw)
    machine.signal(signal.SIGUSR1)
    beside = draw.choice(world.gateways)
    gevent.sleep(draw.uniform(0.0, 0.6))
    beside.signal(signal.SIGUSR1)
    if draw.random() < 0.5:
        machine.signal(signal.SIGUSR1)
    return f"suspend {machine.role}"


def _signal_series(world: ProcessDeployment, draw: random.Random) -> str:
    """Signals that overlap: gateways stop, stand still, are suspended and read settings at once."""
    chosen = draw.sample(world.gateways, max(1, len(world.gateways) // 2))
    kinds = (signal.SIGHUP, signal.SIGUSR1, signal.SIGSTOP, signal.SIGCONT, signal.SIGTERM)
    for _ in range(4 * len(chosen)):
        draw.choice(chosen).signal(draw.choice(kinds))
        draw.choice(world.machines).signal(signal.SIGHUP)
        gevent.sleep(draw.uniform(0.0, 0.15))
    for machine in chosen:
        machine.signal(signal.SIGCONT)
    gevent.sleep(draw.uniform(0.5, 2.0))
    for machine in chosen:
        machine.kill()
        machine.start()
    return f"signals to {len(chosen)} gateways"


def _stop(world: ProcessDeployment, draw: random.Random) -> str:
    machine = _any(world, draw)
    machine.signal(signal.SIGTERM)
    for _ in range(100):
        if machine.process is None or machine.process.poll() is not None:
            break
        gevent.sleep(0.1)
    machine.kill()
    machine.start()
    return f"stop {machine.role}"


def _wipe(world: ProcessDeployment, draw: random.Random) -> str:
    machine = draw.choice([*world.controls, *world.keepers])
    machine.kill()
    machine.wipe()
    gevent.sleep(draw.uniform(0.2, 1.0))
    machine.start()
    # Caught up before the next disk may go.
    gevent.sleep(5.0)
    return f"wipe {machine.role}"


def _cut_server(world: ProcessDeployment, draw: random.Random) -> str:
    proxy = draw.choice(world.proxies)
    proxy.cut()
    gevent.sleep(draw.uniform(0.5, 3.0))
    proxy.heal()
    return "cut server"


def _reset_servers(world: ProcessDeployment, draw: random.Random) -> str:
    for proxy in draw.sample(world.proxies, 3):
        proxy.reset()
    return "reset servers"


def _reload(world: ProcessDeployment, draw: random.Random) -> str:
    machine = _any(world, draw)
    machine.signal(signal.SIGHUP)
    return f"reload {machine.role}"


def _evacuate(world: ProcessDeployment, draw: random.Random) -> str:
    """Empty a zone for a while: two are left, and no other fault strikes meanwhile."""
    zone = draw.choice(ZONES)
    is_done = world.order_zone(ZoneOrder(zone, True))
    gevent.sleep(draw.uniform(1.0, IN_FORCE_SECONDS + 2.0))
    is_back = world.order_zone(ZoneOrder(zone, False))
    return "evacuate" if is_done and is_back else "evacuate without an answer"


def _wait_for_steps(world: ProcessDeployment, steps: int) -> None:
    waited = 0.0
    while whole_steps(world) < steps and waited < RECOVERY_LIMIT_SECONDS:  # type: ignore[arg-type]
        gevent.sleep(0.5)
        waited += 0.5


def _crashes(world: ProcessDeployment) -> list[str]:
    """Processes that ended by a fault of the program."""
    return [
        f"{machine.role} {machine.ip}: {line}"
        for machine in world.machines
        for line in machine.log.splitlines()
        if "event=host.reducer_failed" in line or "event=host.effect_failed" in line
    ]


def _keep_logs(world: ProcessDeployment, seed: int) -> None:
    folder = Path("out") / "soak" / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    for machine in world.machines:
        (folder / f"{machine.role}-{machine.ip}.log").write_text(machine.log)


if __name__ == "__main__":
    sys.exit(main())
