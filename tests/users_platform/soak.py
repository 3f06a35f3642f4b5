"""Randomized fault soak of the real programs: `python -m tests.users_platform.soak SEED [SEED...]`.

With `--older CHECKOUT` before the seeds, each start of a machine draws whether it runs this build
or the one in CHECKOUT, on the same data folder: both builds run together, with upgrades and
downgrades.

Each seed injects kills, freezes, suspensions, planned stops, lost disks, partitioned or reset
servers, signals and zone evacuations for half a minute, while some requests crash the servers that
run them. The records of servers and callers are then checked. Clients keep their connections until
the peer process ends. Every fourth seed has many gateways. Bounded in time and load, loopback only.

Meanwhile flash crowds send many times the normal rate: servers fill up, refuse requests and slow
down, and some callers read large responses slowly. After the faults comes a last crowd; then all
requests must succeed again.
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
"""About 30 processes of 25 MB and the stubs need 1 GB."""
RECOVERY_LIMIT_SECONDS = 60.0
CROWD_SECONDS = (1.0, 3.0)
"""Minimum and maximum duration of a crowd."""
SLOW_PACES = (150, 300, 500)
SLOW_SECONDS = (0.5, 3.0)
SLOW_READERS = 6
SETTLE_SECONDS = 4.0
"""Time between the faults and the last crowd, for the last restarted processes to start."""
LAST_CROWD_SECONDS = 2.0
DRAIN_SECONDS = 3.0
"""Time after the last crowd; exceeds the duration of its requests."""


def main() -> int:
    """Run the seeds given on the command line; return 1 if any run had violations."""
    arguments = sys.argv[1:]
    older_checkout = Path(arguments[1]).resolve() if arguments[0] == "--older" else None
    seeds = [int(text) for text in (arguments[2:] if older_checkout else arguments)]
    failed = 0
    for seed in seeds:
        problems, summary = run_seed(seed, older_checkout=older_checkout)
        failed += bool(problems)
        print(
            f"seed {seed}: {summary}; "
            f"{'violations: ' + '; '.join(problems[:3]) if problems else 'no violations'}"
        )
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


def run_seed(
    seed: int,
    steps: int = STEPS,
    fault_seconds: float = FAULT_SECONDS,
    older_checkout: Path | None = None,
) -> tuple[list[str], str]:
    """Run one seed; return the violations and a summary."""
    with tempfile.TemporaryDirectory() as folder:
        gateways = FEW_GATEWAYS if seed % 4 else MANY_GATEWAYS
        deployment = ProcessDeployment(
            Path(folder), seed, steps, gateways, True, older_checkout, crowds=True
        )
        try:
            crowds = gevent.spawn(_send_crowds, deployment, random.Random(f"crowds {seed}"))
            faults = _inject_faults(deployment, random.Random(seed), fault_seconds)
            crowds.kill()
            last_ended_at = _send_last_crowd(deployment)
            _wait_for_steps(deployment, steps)
            deployment.wait_for_slow_readers()
            problems = violations(deployment) + _crashes(deployment)  # type: ignore[arg-type]
            problems += crowd_violations(deployment) + recovery_violations(
                deployment, last_ended_at
            )
            problems += [fault for fault in faults if "without a response" in fault]
            completed = complete_steps(deployment)  # type: ignore[arg-type]
            if completed < steps:
                problems.append(f"only {completed} of {steps} steps completed")
            share = lookup_success_rate(deployment)  # type: ignore[arg-type]
            arrivals = crash_arrivals(deployment).values()  # type: ignore[arg-type]
            ends = [len({arrival.server for _time, arrival in seen}) for seen in arrivals]
            summary = (
                f"{len(faults)} faults ({', '.join(faults)}), {share:.3f} lookups succeeded, "
                f"servers crashed by each request {ends}, crowds {crowd_summary(deployment)}"
            )
            if problems:
                _keep_logs(deployment, seed)
            return problems, summary
        finally:
            deployment.close()


def _inject_faults(
    deployment: ProcessDeployment, random_source: random.Random, fault_seconds: float
) -> list[str]:
    """Inject faults in sequence, on one machine with a disk at a time; return their names."""
    gevent.sleep(WARM_UP_SECONDS)
    injected: list[str] = []
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
        injected.append(random_source.choice(kinds)(deployment, random_source))
        pause = random_source.uniform(1.5, 3.5)
        gevent.sleep(pause)
        elapsed += pause + 1.5
    for machine in deployment.machines:
        machine.signal(signal.SIGCONT)
        machine.start()
    for proxy in deployment.proxies:
        proxy.heal()
    return injected


def _send_crowds(deployment: ProcessDeployment, random_source: random.Random) -> None:
    """Send crowds and slow down servers until this greenlet is killed."""
    gevent.sleep(WARM_UP_SECONDS)
    while True:
        slow = random_source.sample(sorted(deployment.loaded_servers), random_source.randint(0, 2))
        for ip in slow:
            gevent.spawn_later(
                random_source.uniform(0.0, 2.0),
                _slow_down,
                deployment,
                ip,
                random_source.choice(SLOW_PACES),
            )
            gevent.spawn_later(
                random_source.uniform(*SLOW_SECONDS) + 2.0, _slow_down, deployment, ip, NORMAL_PACE
            )
        rate = random_source.uniform(0.5, 1.0) * CROWD_RATE
        deployment.send_crowd(
            random_source.uniform(*CROWD_SECONDS), rate, random_source.randint(0, SLOW_READERS)
        )
        gevent.sleep(random_source.uniform(0.5, 3.0))


def _slow_down(deployment: ProcessDeployment, ip: str, pace: int) -> None:
    deployment.loaded_servers[ip].pace = pace


def _send_last_crowd(deployment: ProcessDeployment) -> float:
    """Send a crowd without faults; return its end on the clock of the records."""
    gevent.sleep(SETTLE_SECONDS)
    for ip in deployment.loaded_servers:
        _slow_down(deployment, ip, NORMAL_PACE)
    deployment.send_crowd(LAST_CROWD_SECONDS, CROWD_RATE, SLOW_READERS)
    ended_at = monotonic_seconds()
    gevent.sleep(max(DRAIN_SECONDS, RECOVERY_SECONDS + OBSERVATION_SECONDS + 2.0))
    return ended_at


def _draw_machine(deployment: ProcessDeployment, random_source: random.Random) -> Machine:
    return random_source.choice(deployment.machines)


def _kill(deployment: ProcessDeployment, random_source: random.Random) -> str:
    machine = _draw_machine(deployment, random_source)
    machine.kill()
    gevent.sleep(random_source.uniform(0.2, 1.5))
    machine.start()
    return f"kill {machine.role}"


def _freeze(deployment: ProcessDeployment, random_source: random.Random) -> str:
    machine = _draw_machine(deployment, random_source)
    machine.signal(signal.SIGSTOP)
    gevent.sleep(random_source.uniform(0.5, 3.0))
    machine.signal(signal.SIGCONT)
    return f"freeze {machine.role}"


def _suspend(deployment: ProcessDeployment, random_source: random.Random) -> str:
    """Suspend a machine once or twice in quick succession, and a gateway as well."""
    machine = _draw_machine(deployment, random_source)
    machine.signal(signal.SIGUSR1)
    gateway = random_source.choice(deployment.gateways)
    gevent.sleep(random_source.uniform(0.0, 0.6))
    gateway.signal(signal.SIGUSR1)
    if random_source.random() < 0.5:
        machine.signal(signal.SIGUSR1)
    return f"suspend {machine.role}"


def _signal_series(deployment: ProcessDeployment, random_source: random.Random) -> str:
    """Send overlapping signals to gateways: stop, freeze, suspension and settings reload."""
    chosen = random_source.sample(deployment.gateways, max(1, len(deployment.gateways) // 2))
    kinds = (signal.SIGHUP, signal.SIGUSR1, signal.SIGSTOP, signal.SIGCONT, signal.SIGTERM)
    for _ in range(4 * len(chosen)):
        random_source.choice(chosen).signal(random_source.choice(kinds))
        random_source.choice(deployment.machines).signal(signal.SIGHUP)
        gevent.sleep(random_source.uniform(0.0, 0.15))
    for machine in chosen:
        machine.signal(signal.SIGCONT)
    gevent.sleep(random_source.uniform(0.5, 2.0))
    for machine in chosen:
        machine.kill()
        machine.start()
    return f"signals to {len(chosen)} gateways"


def _stop(deployment: ProcessDeployment, random_source: random.Random) -> str:
    machine = _draw_machine(deployment, random_source)
    machine.signal(signal.SIGTERM)
    for _ in range(100):
        if machine.process is None or machine.process.poll() is not None:
            break
        gevent.sleep(0.1)
    machine.kill()
    machine.start()
    return f"stop {machine.role}"


def _wipe(deployment: ProcessDeployment, random_source: random.Random) -> str:
    machine = random_source.choice([*deployment.controls, *deployment.keepers])
    machine.kill()
    machine.wipe()
    gevent.sleep(random_source.uniform(0.2, 1.0))
    machine.start()
    # The machine must catch up before the next disk may be lost.
    gevent.sleep(5.0)
    return f"wipe {machine.role}"


def _cut_server(deployment: ProcessDeployment, random_source: random.Random) -> str:
    proxy = random_source.choice(deployment.proxies)
    proxy.cut()
    gevent.sleep(random_source.uniform(0.5, 3.0))
    proxy.heal()
    return "cut server"


def _reset_servers(deployment: ProcessDeployment, random_source: random.Random) -> str:
    for proxy in random_source.sample(deployment.proxies, 3):
        proxy.reset()
    return "reset servers"


def _reload(deployment: ProcessDeployment, random_source: random.Random) -> str:
    machine = _draw_machine(deployment, random_source)
    machine.signal(signal.SIGHUP)
    return f"reload {machine.role}"


def _evacuate(deployment: ProcessDeployment, random_source: random.Random) -> str:
    """Evacuate a zone for a while; no other fault is injected meanwhile, as only two are left."""
    zone = random_source.choice(ZONES)
    is_done = deployment.order_zone(ZoneOrder(zone, True))
    gevent.sleep(random_source.uniform(1.0, EFFECTIVE_AFTER_SECONDS + 2.0))
    is_back = deployment.order_zone(ZoneOrder(zone, False))
    return "evacuate" if is_done and is_back else "evacuate without a response"


def _wait_for_steps(deployment: ProcessDeployment, steps: int) -> None:
    waited = 0.0
    while complete_steps(deployment) < steps and waited < RECOVERY_LIMIT_SECONDS:  # type: ignore[arg-type]
        gevent.sleep(0.5)
        waited += 0.5


def _crashes(deployment: ProcessDeployment) -> list[str]:
    """Return log lines that report an exception in a reducer or an effect."""
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
