"""Typed objects of the configuration, one Struct a kind.

Key prefixes: `pool/`, `job/`, `weights/`, `drain/`, `limits/`, `daemon/`.
"""

import enum

import msgspec


class PoolKind(enum.Enum):
    """What the servers of a pool speak."""

    ENGINE = "engine"
    SERVICE = "service"


class Backend(msgspec.Struct, frozen=True):
    """One server of a pool."""

    backend_id: str
    """Name of the server, unique in a deployment."""
    address: str
    """`ip:port`."""
    zone: str
    """Zone it stands in."""


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """`pool/NAME`: a set of interchangeable servers."""

    name: str
    """Name of the pool; first part of the path at a gateway."""
    kind: PoolKind
    """`engine` or `service`."""
    backends: tuple[Backend, ...]
    """Its servers."""
    model: str = ""
    """Model name served by an engine pool."""
    repeatable: bool = True
    """Whether requests are repeatable unless they say otherwise."""
    not_repeatable_paths: tuple[str, ...] = ()
    """Path prefixes of a service whose requests are not repeatable (POST only)."""
    request_timeout_seconds: float = 5.0
    """Time for a request that named no deadline."""
    maximum_concurrency: int = 64
    """Most requests in flight to one backend from one gateway."""


class JobPhase(enum.Enum):
    """What an operator wants of a job."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"


class JobMode(enum.Enum):
    """Who leads: merlinstand (active) or the team's own scripts (mirror)."""

    ACTIVE = "active"
    MIRROR = "mirror"


class PolicySource(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's policy program, in CEL. See `merlinstand.policy`."""

    weight: str = "1.0"
    """Expression giving a sample's training weight; 0 or less drops the sample."""
    priority: str = "0"
    """Expression giving a request's priority; higher goes first."""
    maximum_staleness_versions: int = 2
    """Oldest sample a trainer may receive: newest version less that of its oldest span."""
    maximum_staleness_seconds: float | None = None
    """Oldest sample a trainer may receive, from its first token; none if absent."""


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """`job/NAME`: a rollout job."""

    name: str
    """Name of the job; it can't be given again, even after the job was cancelled."""
    model: str
    """Model whose samples the job wants; the one that the pool serves."""
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
    """Most tokens of a sample."""
    scorer: str = ""
    """Optional `ip:port` of a scoring service."""
    share: float = 1.0
    """Weight of this job against others on the same pool."""
    phase: JobPhase = JobPhase.RUNNING
    """`running`, `paused` or `cancelled` (for good)."""
    mode: JobMode = JobMode.ACTIVE
    """`active`, or `mirror` while the old scripts lead."""
    policy: PolicySource = PolicySource()
    """Which samples matter, how fresh, and who goes first."""


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
    """`drain/BACKEND_ID`: an operator asked this backend to leave."""

    backend_id: str
    """Name of the server, unique in a deployment."""
    reason: str = ""


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """`limits/CALLER`: what one caller may use at each gateway."""

    caller: str
    """Value of the `X-Caller` header."""
    weight: float = 1.0
    """Share of the queues, against other callers."""
    requests_per_second: float = 200.0
    """Requests let through, averaged over `burst_seconds`."""
    tokens_per_second: float = 20_000.0
    """Tokens of generations let through."""


class Daemon(msgspec.Struct, frozen=True):
    """`daemon/NODE_ID`: a gateway or coordinator that registered."""

    node_id: str
    role: str
    address: str
    """Internal protocol address."""
    http_address: str
    zone: str
    """Zone it stands in."""


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
