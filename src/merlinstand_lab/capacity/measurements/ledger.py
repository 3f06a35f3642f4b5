"""Batches through the ledger: the state machine by itself, and through a whole group."""

import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from merlinstand.configuration.objects import encode_object
from merlinstand.control.commands import (
    AcquireLease,
    BatchCommitted,
    Command,
    CommitBatch,
    LeaseGranted,
    PublishWeights,
    PutObject,
    encode_command,
)
from merlinstand.control.state_machine import Applied, StateMachine, encode_logged_command
from merlinstand_lab.capacity.command_load import CommandLoadSettings, LoadKind, make_batch
from merlinstand_lab.capacity.job_objects import JOB, MODEL, make_job, make_job_pool, put_jobs
from merlinstand_lab.capacity.measurements.commits import measure_load
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.slopes import percentile
from merlinstand_lab.capacity.targets import TARGET
from merlinstand_lab.capacity.window import Subject

SAMPLES = (256, 512, 1_024, 2_048)
BATCHES = 40
GROUP_REPLICAS = 7
WINDOW_SECONDS = 10.0
BATCH_INTERVAL_SECONDS = 2.0


class LedgerPlan(msgspec.Struct, frozen=True, kw_only=True):
    """How the ledger is measured."""

    samples: Sequence[int] = SAMPLES
    batches: int = BATCHES
    replicas: int = GROUP_REPLICAS
    trainers: int = TARGET.trainers
    window_seconds: float = WINDOW_SECONDS


def measure_ledger(folder: Path, plan: LedgerPlan) -> Iterator[Measured]:
    """Measure both at each number of samples a batch."""
    for samples in plan.samples:
        subject = Subject("ledger", "samples", samples)
        yield from _measure_state_machine(subject, plan.batches)
        yield from _measure_group(subject, plan, folder / f"ledger-{samples}")


class _Bench:
    """A state machine alone, with a lease on the job."""

    def __init__(self) -> None:
        self._machine = StateMachine()
        self._index = 0
        for command in _job_commands():
            self.apply(command)
        lease = AcquireLease(
            resource=f"job/{JOB}", holder="c", holder_incarnation=1, duration_seconds=30.0
        )
        outcome = self.apply(lease).outcome
        assert isinstance(outcome, LeaseGranted), outcome
        self.lease_epoch = outcome.epoch

    def apply(self, command: Command) -> Applied:
        """Apply the next command of the log."""
        self._index += 1
        payload = encode_logged_command(f"c{self._index}", encode_command(command))
        return self._machine.apply(self._index, payload, self._index * 1e-3)


def _job_commands() -> list[Command]:
    """Return the commands that make the job and its first weights."""
    job = make_job(JOB)
    return [
        PutObject(key="pool/pool-0", value=encode_object(make_job_pool())),
        PutObject(key=f"job/{JOB}", value=encode_object(job)),
        PublishWeights(
            model=MODEL, version=1, digest="d1", source="127.0.0.1:1", size_bytes=2_000_000_000
        ),
    ]


def _measure_state_machine(subject: Subject, batches: int) -> list[Measured]:
    bench = _Bench()
    settings = CommandLoadSettings(
        kind=LoadKind.BATCH,
        samples=int(subject.size),
        job=JOB,
        consumer="trainer-0",
        lease_epoch=bench.lease_epoch,
    )
    commands = [make_batch(settings, number) for number in range(1, batches + 1)]
    seconds = [_apply_seconds(bench, command) for command in commands]
    return [
        subject.row("state-machine", "batch_apply_median_seconds", percentile(seconds, 0.5)),
        subject.row("state-machine", "batch_apply_max_seconds", max(seconds)),
    ]


def _apply_seconds(bench: _Bench, command: CommitBatch) -> float:
    begun = time.process_time_ns()
    outcome = bench.apply(command).outcome
    elapsed = (time.process_time_ns() - begun) / 1e9
    assert isinstance(outcome, BatchCommitted), outcome
    return elapsed


def _measure_group(subject: Subject, plan: LedgerPlan, folder: Path) -> list[Measured]:
    """Every trainer's coordinator commits a batch, waits for the answer and commits the next.

    Each trainer has a job of its own, as one coordinator holds one job's lease.
    """
    loads = [
        CommandLoadSettings(
            kind=LoadKind.BATCH,
            samples=int(subject.size),
            job=f"{JOB}-{number}",
            consumer="trainer-0",
            interval_seconds=BATCH_INTERVAL_SECONDS,
        )
        for number in range(plan.trainers)
    ]
    names = [load.job for load in loads]
    return measure_load(
        subject,
        plan.replicas,
        loads,
        folder,
        plan.window_seconds,
        prepare=lambda operator: put_jobs(operator, names),
    )
