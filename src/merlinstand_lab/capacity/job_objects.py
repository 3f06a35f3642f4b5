"""Jobs and weights on hollow pools, as operators put them."""

import msgspec

from merlinstand.configuration.objects import Job, Pool
from merlinstand_lab.capacity.measurements.codecs import make_pool
from merlinstand_lab.capacity.operator_client import OperatorClient

MODEL = "hollow"
JOB = "hollow-job"
JOB_POOL = "pool-0"
JOB_POOL_SERVERS = 4
WEIGHT_BYTES = 2_000_000_000


def make_job_pool() -> Pool:
    """Return the pool of the jobs."""
    return msgspec.structs.replace(make_pool(JOB_POOL, JOB_POOL_SERVERS), model=MODEL)


def make_job(name: str) -> Job:
    """Return a job with one trainer."""
    return Job(
        name=name, model=MODEL, pool=JOB_POOL, consumers=("trainer-0",), prompts=("a prompt",)
    )


def put_jobs(operator: OperatorClient, names: list[str]) -> None:
    """Put the pool, publish a first version and put the jobs."""
    operator.put(f"pool/{JOB_POOL}", make_job_pool())
    publish(operator, 1, "127.0.0.1:1")
    for name in names:
        operator.put(f"job/{name}", make_job(name))


def publish(operator: OperatorClient, version: int, source: str, digest: str = "") -> float:
    """Publish a version and return when it was accepted (`CLOCK_MONOTONIC`)."""
    command = {
        "command": "publish_weights",
        "model": MODEL,
        "version": version,
        "digest": digest or f"d{version}",
        "source": source,
        "size_bytes": WEIGHT_BYTES,
    }
    return operator.submit(command).accepted_at
