"""What a coordinator spends on the samples of one trainer's step."""

import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec
from result import Err

from merlinstand.client import TrainerClient
from merlinstand.configuration.objects import Job
from merlinstand_lab.capacity.control_group import ControlGroup
from merlinstand_lab.capacity.fleet import HollowFleet
from merlinstand_lab.capacity.job_objects import JOB, MODEL, publish
from merlinstand_lab.capacity.measurements.coordinators import coordinator_specs
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.server_park import ParkPlan, ServerPark
from merlinstand_lab.capacity.window import Subject, between, mark

SAMPLES = (128, 256, 512, 1_024)
ENGINES = 16
TOKENS_PER_SAMPLE = 256
TOKENS_PER_CHUNK = 8
CHUNK_INTERVAL_SECONDS = 0.2
JOIN_TIMEOUT_SECONDS = 60.0
BATCH_DEADLINE_SECONDS = 240.0
CONSUMER = "trainer-0"
SETTLE_SECONDS = 8.0
"""The coordinator gets the leases and reads the engines' status."""


class StepPlan(msgspec.Struct, frozen=True, kw_only=True):
    """How large a step is and how its samples come."""

    samples: Sequence[int] = SAMPLES
    engines: int = ENGINES
    tokens_per_sample: int = TOKENS_PER_SAMPLE
    tokens_per_chunk: int = TOKENS_PER_CHUNK


def measure_steps(folder: Path, plan: StepPlan) -> Iterator[Measured]:
    """Let one trainer pull its first batch, at each number of samples."""
    for samples in plan.samples:
        run = folder / f"steps-{samples}"
        control = ControlGroup(1, run)
        park = ServerPark(_park_plan(plan), run)
        fleet = HollowFleet([], run)
        try:
            control.wait_ready()
            park.wait_started()
            publish(control.operator, 1, "127.0.0.1:1")
            revision = park.put_pools(control.operator)
            fleet = HollowFleet(coordinator_specs(1, control, run), run, "coordinator")
            fleet.wait_started()
            if not fleet.wait_revision(revision, JOIN_TIMEOUT_SECONDS):
                raise TimeoutError("the coordinator did not join")
            time.sleep(SETTLE_SECONDS)
            yield from _measure_step(Subject("steps", "samples", samples), control, fleet, plan)
        finally:
            fleet.stop()
            park.stop()
            control.stop()


def _park_plan(plan: StepPlan) -> ParkPlan:
    return ParkPlan(
        servers=plan.engines,
        servers_per_pool=plan.engines,
        model=MODEL,
        tokens_per_chunk=plan.tokens_per_chunk,
        chunk_interval_seconds=CHUNK_INTERVAL_SECONDS,
    )


def _measure_step(
    subject: Subject, control: ControlGroup, fleet: HollowFleet, plan: StepPlan
) -> Iterator[Measured]:
    """From the job's acceptance until its first batch is received."""
    (worker,) = fleet.workers
    (address,) = worker.report().http_addresses.values()
    before = mark(worker)
    begun = time.monotonic()
    job = Job(
        name=JOB,
        model=MODEL,
        pool="pool-0",
        consumers=(CONSUMER,),
        batch_size=int(subject.size),
        prompts=("a prompt",),
        maximum_tokens=plan.tokens_per_sample,
    )
    revision = control.operator.put(f"job/{JOB}", job).revision
    if not fleet.wait_revision(revision, JOIN_TIMEOUT_SECONDS):
        raise TimeoutError("the coordinator does not know the job")
    received = TrainerClient([address], JOB, CONSUMER).next_batch(
        1, deadline_seconds=BATCH_DEADLINE_SECONDS
    )
    elapsed = time.monotonic() - begun
    if isinstance(received, Err):
        raise TimeoutError(f"no batch: {received.err_value.detail}")
    window = between(before, mark(worker))
    tokens = sum(sample.token_count for sample in received.ok_value.samples)
    yield subject.row("trainer", "step_seconds", elapsed, elapsed)
    yield subject.row("trainer", "samples_received", float(len(received.ok_value.samples)))
    yield subject.row("trainer", "tokens_received", float(tokens))
    # The coordinator generates ahead meanwhile; that is counted here too.
    yield subject.row("coordinator", "cpu_seconds", window.cost.cpu_seconds, elapsed)
    yield subject.row("coordinator", "core_share", window.cost.core_share, elapsed)
    yield subject.row("coordinator", "resident_bytes", window.cost.resident_bytes, elapsed)
