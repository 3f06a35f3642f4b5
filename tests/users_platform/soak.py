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
    complete_steps,
    crash_arrivals,
    lookup_success_rate,
    violations,
)
from tests.users_platform.crowds import (
    CROWD_RATE,
    NORMAL_PACE,
    OBSERVATION_SECONDS,
    RECOVERY_SECONDS,
    crowd_summary,
    crowd_violations,
    recovery_violations,
)
from tests.users_platform.evacuation_check import EFFECTIVE_AFTER_SECONDS
from tests.users_platform.real_world import ZONES, Machine, ProcessDeployment

STEPS = 6
WARM_UP_SECONDS = 6.0
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
SETTLE_SECONDS = 4.0
"""After the faults, before the last crowd: the processes that were started last have begun."""
LAST_CROWD_SECONDS = 2.0
DRAIN_SECONDS = 3.0
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
        deployment = ProcessDeployment(
            Path(folder), seed, steps, gateways, True, older, crowds=True
        )
        try:
            crowds = gevent.spawn(_send_crowds, deployment, random.Random(f"crowds {seed}"))
            faults = _inject_faults(deployment, random.Random(seed), fault_seconds)
            crowds.kill()
            last_ended_at = _send_last_crowd(deployment)
            _wait_for_steps(deployment, steps)
            deployment.wait_for_slow_readers()
            found = violations(deployment) + _crashes(deployment)  # type: ignore[arg-type]
            found += crowd_violations(deployment) + recovery_violations(deployment, last_ended_at)
            found += [fault for fault in faults if "without an answer" in fault]
            completed = complete_steps(deployment)  # type: ignore[arg-type]
            if completed < steps:
                found.append(f"only {completed} of {steps} steps whole")
            share = lookup_success_rate(deployment)  # type: ignore[arg-type]
            arrivals = crash_arrivals(deployment).values()  # type: ignore[arg-type]
            ends = [len({arrival.server for _time, arrival in seen}) for seen in arrivals]
            summary = (
                f"{len(faults)} faults ({', '.join(faults)}), {share:.3f} lookups answered, "
                f"servers ended under each request {ends}, crowds {crowd_summary(deployment)}"
            )
            if found:
                _keep_logs(deployment, seed)
            return found, summary
        finally:
            deployment.close()


def _inject_faults(
    deployment: ProcessDeployment, draw: random.Random, fault_seconds: float
) -> list[str]:
    """Faults one after the other: never more than one machine with a disk at a time."""
    gevent.sleep(WARM_UP_SECONDS)
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
    elapsed = 0.0
    while elapsed < fault_seconds:
        done.append(draw.choice(kinds)(deployment, draw))
        pause = draw.uniform(1.5, 3.5)
        gevent.sleep(pause)
        elapsed += pause + 1.5
    for machine in deployment.machines:
        machine.signal(signal.SIGCONT)
        machine.start()
    for proxy in deployment.proxies:
        proxy.heal()
    return done


def _send_crowds(deployment: ProcessDeployment, draw: random.Random) -> None:
    """Let crowds come and servers become slow, until this greenlet is ended."""
    gevent.sleep(WARM_UP_SECONDS)
    while True:
        slow = draw.sample(sorted(deployment.loaded), draw.randint(0, 2))
        for ip in slow:
            gevent.spawn_later(
                draw.uniform(0.0, 2.0), _slow_down, deployment, ip, draw.choice(SLOW_PACES)
            )
            gevent.spawn_later(
                draw.uniform(*SLOW_SECONDS) + 2.0, _slow_down, deployment, ip, NORMAL_PACE
            )
        rate = draw.uniform(0.5, 1.0) * CROWD_RATE
        deployment.send_crowd(draw.uniform(*CROWD_SECONDS), rate, draw.randint(0, SLOW_READERS))
        gevent.sleep(draw.uniform(0.5, 3.0))


def _slow_down(deployment: ProcessDeployment, ip: str, pace: int) -> None:
    deployment.loaded[ip].pace = pace


def _send_last_crowd(deployment: ProcessDeployment) -> float:
    """Let a crowd come that no fault strikes; gives when it had gone, by the records' time."""
    gevent.sleep(SETTLE_SECONDS)
    for ip in deployment.loaded:
        _slow_down(deployment, ip, NORMAL_PACE)
    deployment.send_crowd(LAST_CROWD_SECONDS, CROWD_RATE, SLOW_READERS)
    ended_at = monotonic_seconds()
    gevent.sleep(max(DRAIN_SECONDS, RECOVERY_SECONDS + OBSERVATION_SECONDS + 2.0))
    return ended_at


def _draw_machine(deployment: ProcessDeployment, draw: random.Random) -> Machine:
    return draw.choice(deployment.machines)


def _kill(deployment: ProcessDeployment, draw: random.Random) -> str:
    machine = _draw_machine(deployment, draw)
    machine.kill()
    gevent.sleep(draw.uniform(0.2, 1.5))
    machine.start()
    return f"kill {machine.role}"


def _freeze(deployment: ProcessDeployment, draw: random.Random) -> str:
    machine = _draw_machine(deployment, draw)
    machine.signal(signal.SIGSTOP)
    gevent.sleep(draw.uniform(0.5, 3.0))
    machine.signal(signal.SIGCONT)
    return f"freeze {machine.role}"


def _suspend(deployment: ProcessDeployment, draw: random.Random) -> str:
    """One machine, once or twice shortly after each other, and a gateway beside it."""
    machine = _draw_machine(deployment, draw)
    machine.signal(signal.SIGUSR1)
    beside = draw.choice(deployment.gateways)
    gevent.sleep(draw.uniform(0.0, 0.6))
    beside.signal(signal.SIGUSR1)
    if draw.random() < 0.5:
        machine.signal(signal.SIGUSR1)
    return f"suspend {machine.role}"


def _signal_series(deployment: ProcessDeployment, draw: random.Random) -> str:
    """Signals that overlap: gateways stop, stand still, are suspended and read settings at once."""
    chosen = draw.sample(deployment.gateways, max(1, len(deployment.gateways) // 2))
    kinds = (signal.SIGHUP, signal.SIGUSR1, signal.SIGSTOP, signal.SIGCONT, signal.SIGTERM)
    for _ in range(4 * len(chosen)):
        draw.choice(chosen).signal(draw.choice(kinds))
        draw.choice(deployment.machines).signal(signal.SIGHUP)
        gevent.sleep(draw.uniform(0.0, 0.15))
    for machine in chosen:
        machine.signal(signal.SIGCONT)
    gevent.sleep(draw.uniform(0.5, 2.0))
    for machine in chosen:
        machine.kill()
        machine.start()
    return f"signals to {len(chosen)} gateways"


def _stop(deployment: ProcessDeployment, draw: random.Random) -> str:
    machine = _draw_machine(deployment, draw)
    machine.signal(signal.SIGTERM)
    for _ in range(100):
        if machine.process is None or machine.process.poll() is not None:
            break
        gevent.sleep(0.1)
    machine.kill()
    machine.start()
    return f"stop {machine.role}"


def _wipe(deployment: ProcessDeployment, draw: random.Random) -> str:
    machine = draw.choice([*deployment.controls, *deployment.keepers])
    machine.kill()
    machine.wipe()
    gevent.sleep(draw.uniform(0.2, 1.0))
    machine.start()
    # Caught up before the next disk may go.
    gevent.sleep(5.0)
    return f"wipe {machine.role}"


def _cut_server(deployment: ProcessDeployment, draw: random.Random) -> str:
    proxy = draw.choice(deployment.proxies)
    proxy.cut()
    gevent.sleep(draw.uniform(0.5, 3.0))
    proxy.heal()
    return "cut server"


def _reset_servers(deployment: ProcessDeployment, draw: random.Random) -> str:
    for proxy in draw.sample(deployment.proxies, 3):
        proxy.reset()
    return "reset servers"


def _reload(deployment: ProcessDeployment, draw: random.Random) -> str:
    machine = _draw_machine(deployment, draw)
    machine.signal(signal.SIGHUP)
    return f"reload {machine.role}"


def _evacuate(deployment: ProcessDeployment, draw: random.Random) -> str:
    """Empty a zone for a while: two are left, and no other fault strikes meanwhile."""
    zone = draw.choice(ZONES)
    is_done = deployment.order_zone(ZoneOrder(zone, True))
    gevent.sleep(draw.uniform(1.0, EFFECTIVE_AFTER_SECONDS + 2.0))
    is_back = deployment.order_zone(ZoneOrder(zone, False))
    return "evacuate" if is_done and is_back else "evacuate without an answer"


def _wait_for_steps(deployment: ProcessDeployment, steps: int) -> None:
    waited = 0.0
    while complete_steps(deployment) < steps and waited < RECOVERY_LIMIT_SECONDS:  # type: ignore[arg-type]
        gevent.sleep(0.5)
        waited += 0.5


def _crashes(deployment: ProcessDeployment) -> list[str]:
    """Processes that ended by a fault of the program."""
    return [
        f"{machine.role} {machine.ip}: {line}"
        for machine in deployment.machines
        for line in machine.log.splitlines()
        if "event=host.reducer_failed" in line or "event=host.effect_failed" in line
    ]


def _keep_logs(deployment: ProcessDeployment, seed: int) -> None:
    folder = Path("out") / "soak" / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    for machine in deployment.machines:
        (folder / f"{machine.role}-{machine.ip}.log").write_text(machine.log)


if __name__ == "__main__":
    sys.exit(main())
