"""Typed objects of the configuration, one Struct per kind.

Key prefixes: `pool/`, `job/`, `weights/`, `drain/`, `limits/`, `daemon/`.
"""

import enum

import msgspec


class PoolKind(enum.Enum):
    """Kind of server in a pool: inference engine or other HTTP service."""

    ENGINE = "engine"
    SERVICE = "service"


class Backend(msgspec.Struct, frozen=True):
    """One server of a pool."""

    backend_id: str
    """Name of the server, unique in a deployment."""
    address: str
    """`ip:port`."""
    zone: str
    """Availability zone."""


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """`pool/NAME`: a set of interchangeable servers."""

    name: str
    """Name of the pool; first part of the path at a gateway."""
    kind: PoolKind
    """`engine` or `service`."""
    backends: tuple[Backend, ...]
    """Servers of the pool."""
    model: str = ""
    """Model name served by an engine pool."""
    repeatable: bool = True
    """Whether requests are repeatable by default; a request may override it."""
    not_repeatable_paths: tuple[str, ...] = ()
    """Path prefixes of a service whose requests are not repeatable (POST only)."""
    request_timeout_seconds: float = 5.0
    """Timeout of a request without its own deadline."""
    maximum_concurrency: int = 64
    """Maximum number of requests in flight from one gateway to one backend."""


class JobPhase(enum.Enum):
    """State of a job requested by an operator."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"


class JobMode(enum.Enum):
    """Whether merlinstand (active) or the team's own scripts (mirror) control the rollouts."""

    ACTIVE = "active"
    MIRROR = "mirror"


class PolicySource(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's policy program, in CEL. See `merlinstand.policy`."""

    weight: str = "1.0"
    """Expression giving a sample's training weight; 0 or less drops the sample."""
    priority: str = "0"
    """Expression giving a request's priority; higher goes first."""
    maximum_staleness_versions: int = 2
    """Maximum number of versions by which a sample's oldest span may be behind the newest one."""
    maximum_staleness_seconds: float | None = None
    """Largest age of a sample that a trainer may receive, from its first token; None: no limit."""


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """`job/NAME`: a rollout job."""

    name: str
    """Name of the job; it cannot be reused, even after the job was cancelled."""
    model: str
    """Model that generates the samples; must be the one that the pool serves."""
    pool: str
    """Engine pool that generates the samples."""
    consumers: tuple[str, ...] = ("trainer-1",)
    """Trainers that pull batches; each receives its own batches."""
    batch_size: int = 32
    """Samples in a batch; a multiple of `samples_per_prompt`."""
    samples_per_prompt: int = 1
    """Samples generated for each prompt; fixed once the job exists."""
    prompts: tuple[str, ...] = ()
    """Prompt texts, used round robin when no prompt source is given."""
    prompt_source: str = ""
    """Optional `ip:port` of a prompt server (`GET /v1/prompts?offset=&limit=`)."""
    maximum_tokens: int = 512
    """Maximum number of tokens in a sample."""
    scorer: str = ""
    """Optional `ip:port` of a scoring service."""
    share: float = 1.0
    """Weight of this job relative to the other jobs on the same pool."""
    phase: JobPhase = JobPhase.RUNNING
    """`running`, `paused` or `cancelled` (permanent)."""
    mode: JobMode = JobMode.ACTIVE
    """`active`, or `mirror` while the team's own scripts control the rollouts."""
    policy: PolicySource = PolicySource()
    """Sample weights, request priority and staleness limits."""


class WeightVersion(msgspec.Struct, frozen=True):
    """One published version of a model's weights."""

    version: int
    digest: str
    source: str
    """`ip:port` of the weight store."""
    size_bytes: int
    published_at: float
    """Group time of the commit, in seconds."""


class Weights(msgspec.Struct, frozen=True):
    """`weights/MODEL`: published versions, oldest first; the last one is the newest."""

    model: str
    versions: tuple[WeightVersion, ...]


class Drain(msgspec.Struct, frozen=True):
    """`drain/BACKEND_ID`: an operator requested that this backend is drained."""

    backend_id: str
    """Name of the server, unique in a deployment."""
    reason: str = ""


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """`limits/CALLER`: what one caller may use at each gateway."""

    caller: str
    """Value of the `X-Caller` header."""
    weight: float = 1.0
    """Weight in the queues, relative to other callers."""
    requests_per_second: float = 200.0
    """Requests admitted per second, averaged over `burst_seconds`."""
    tokens_per_second: float = 20_000.0
    """Generated tokens admitted per second."""


class Daemon(msgspec.Struct, frozen=True):
    """`daemon/NODE_ID`: a gateway or coordinator that registered."""

    node_id: str
    role: str
    address: str
    """Internal protocol address."""
    http_address: str
    zone: str
    """Availability zone."""


ConfigurationObject = Pool | Job | Weights | Drain | Limits | Daemon

OBJECT_TYPES: dict[str, type] = {
    "pool": Pool,
    "job": Job,
    "weights": Weights,
    "drain": Drain,
    "limits": Limits,
    "daemon": Daemon,
}
"""Object type of each key prefix."""


def encode_object(value: ConfigurationObject) -> bytes:
    """Encode an object for the log and the wire (msgpack)."""
    return msgspec.msgpack.encode(value)


def decode_object(key: str, payload: bytes) -> ConfigurationObject:
    """Decode an object by its key's prefix.

    Raises:
        msgspec.ValidationError: The payload does not fit the key's type.
        KeyError: The prefix is unknown.
    """
    prefix = key.split("/", 1)[0]
    return msgspec.msgpack.decode(payload, type=OBJECT_TYPES[prefix])
