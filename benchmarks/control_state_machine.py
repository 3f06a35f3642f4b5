"""Cost of the control state machine at its target size (DEVELOPERS.md).

Usage: python benchmarks/control_state_machine.py [--profile KIND]
Prints, for each kind of command, applied commands per second on one core, and for the
full state the snapshot's size and the time to encode and to restore it.
"""

import cProfile
import pstats
import resource
import sys
import time
from collections.abc import Callable, Iterator

from merlinstand.configuration.objects import (
    Backend,
    Daemon,
    Job,
    Pool,
    PoolKind,
    encode_object,
)
from merlinstand.control.commands import (
    AcquireLease,
    BatchSample,
    ClaimRequest,
    Command,
    CommitBatch,
    LeaseRenewal,
    PublishWeights,
    PutObject,
    RecordOutcome,
    RenewLeases,
    encode_command,
)
from merlinstand.control.state_machine import StateMachine, encode_logged_command

DAEMONS = 630
BACKENDS = 3_400
POOLS = 34
TRAINERS = 9
SAMPLES_PER_BATCH = 2_048
CLAIMS = 40_000
COORDINATORS = 60


class Runner:
    """Applies commands to one state machine and times them."""

    def __init__(self) -> None:
        self.state = StateMachine()
        self.index = 0
        self.time = 0.0

    def apply(self, command: Command) -> None:
        """Apply one command untimed."""
        self.apply_payload(self.encode(command))

    def encode(self, command: Command) -> bytes:
        """Encode a command under a fresh id."""
        self.index += 1
        return encode_logged_command(f"gateway-1/3f/{self.index}", encode_command(command))

    def apply_payload(self, payload: bytes) -> None:
        """Apply one log payload."""
        self.index += 1
        self.time += 0.001
        self.state.apply(self.index, payload, self.time)

    def measure(self, name: str, commands: Iterator[Command]) -> None:
        """Time the application of commands that were encoded before."""
        payloads = [self.encode(command) for command in commands]
        began = time.perf_counter()
        for payload in payloads:
            self.apply_payload(payload)
        seconds = time.perf_counter() - began
        rate = len(payloads) / seconds
        print(f"{name:28} {rate:12,.0f} commands/s {seconds / len(payloads) * 1e6:10.1f} us each")


def _configuration() -> Iterator[Command]:
    for number in range(DAEMONS):
        daemon = Daemon(
            f"gateway-hall-a-{number}",
            "gateway",
            f"10.0.{number // 250}.{number % 250}:7100",
            f"10.0.{number // 250}.{number % 250}:8100",
            f"zone-{number % 9}",
        )
        yield PutObject(key=f"daemon/{daemon.node_id}", value=encode_object(daemon))
    for number in range(POOLS):
        backends = tuple(
            Backend(f"server-{number}-{server}", f"10.1.{number}.{server}:9000", "zone-1")
            for server in range(BACKENDS // POOLS)
        )
        pool = Pool(name=f"pool-{number}", kind=PoolKind.ENGINE, backends=backends, model="m")
        yield PutObject(key=f"pool/{pool.name}", value=encode_object(pool))
    for number in range(TRAINERS):
        job = Job(
            name=f"job-{number}",
            model="m",
            pool=f"pool-{number}",
            batch_size=SAMPLES_PER_BATCH,
            prompts=("prompt",) * 100,
        )
        yield PutObject(key=f"job/{job.name}", value=encode_object(job))
    yield PublishWeights(model="m", version=1, digest="d", source="10.2.0.1:1", size_bytes=1)


def _batches(runner: Runner, first: int, count: int) -> Iterator[Command]:
    for batch in range(first, first + count):
        for number in range(TRAINERS):
            start = batch * SAMPLES_PER_BATCH
            samples = tuple(
                BatchSample(slot, f"job-{number}/{slot}/0", 1)
                for slot in range(start, start + SAMPLES_PER_BATCH)
            )
            epoch = runner.state.leases.leases[f"job/job-{number}"].epoch
            yield CommitBatch(
                job=f"job-{number}",
                consumer="trainer-1",
                batch=batch,
                nonce=f"nonce-{batch}",
                trainer_version=1,
                samples=samples,
                lease_epoch=epoch,
            )


def _claims(first: int, count: int) -> Iterator[Command]:
    for number in range(first, first + count):
        yield ClaimRequest(
            idempotency_key=f"book-app/{number:032x}",
            request_digest=f"{number:016x}",
            owner="gateway-hall-a-1",
            owner_incarnation=number,
        )


def _outcomes(count: int) -> Iterator[Command]:
    for number in range(count):
        yield RecordOutcome(
            idempotency_key=f"book-app/{number:032x}",
            owner="gateway-hall-a-1",
            owner_incarnation=number,
            outcome="answer",
            status=200,
            body=b"x" * 150,
        )


def _renewals(runner: Runner, count: int) -> Iterator[Command]:
    leases = tuple(
        LeaseRenewal(f"job/job-{number}", runner.state.leases.leases[f"job/job-{number}"].epoch)
        for number in range(TRAINERS)
    )
    for _ in range(count):
        yield RenewLeases(
            holder="coordinator-1", holder_incarnation=1, duration_seconds=60.0, leases=leases
        )


def _acquire_all(runner: Runner) -> None:
    for number in range(TRAINERS):
        runner.apply(
            AcquireLease(
                resource=f"job/job-{number}",
                holder="coordinator-1",
                holder_incarnation=1,
                duration_seconds=60.0,
            )
        )


def _measure_snapshot(runner: Runner) -> None:
    began = time.perf_counter()
    data = runner.state.snapshot()
    encoded = time.perf_counter()
    StateMachine().restore(data)
    restored = time.perf_counter()
    print(
        f"snapshot {len(data) / 1e6:.2f} MB, encode {(encoded - began) * 1e3:.1f} ms, "
        f"restore {(restored - encoded) * 1e3:.1f} ms"
    )


def _measure_pulls(runner: Runner) -> None:
    table = runner.state.objects.table
    for name, have in (("empty delta", table.revision), ("full state", 1)):
        began = time.perf_counter()
        rounds = 2_000 if have > 1 else 50
        for _ in range(rounds):
            delta = table.delta_since(have if have > 1 else 0)
        microseconds = (time.perf_counter() - began) / rounds * 1e6
        print(f"pull, {name:20} {microseconds:10.1f} us, {len(delta.entries)} entries")


def run() -> None:
    """Run every measurement."""
    runner = Runner()
    runner.measure("configuration objects", _configuration())
    _acquire_all(runner)
    runner.measure("lease renewals (9 leases)", _renewals(runner, 5_000))
    runner.measure("claims", _claims(0, CLAIMS))
    runner.measure("outcomes with 150 bytes", _outcomes(CLAIMS))
    runner.measure("batches of 2,048 samples", _batches(runner, 1, 10))
    _measure_snapshot(runner)
    _measure_pulls(runner)
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"peak resident memory {memory:.0f} MB (inputs of the benchmark included)")


def _profiled(function: Callable[[], None]) -> None:
    profiler = cProfile.Profile()
    profiler.runcall(function)
    pstats.Stats(profiler).sort_stats("tottime").print_stats(25)


if __name__ == "__main__":
    if "--profile" in sys.argv:
        _profiled(run)
    else:
        run()
