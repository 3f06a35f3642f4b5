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
    address: str
    """`ip:port`."""
    zone: str


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """`pool/NAME`: a set of interchangeable servers."""

    name: str
    kind: PoolKind
    backends: tuple[Backend, ...]
    model: str = ""
    """Model name served by an engine pool."""
    repeatable: bool = True
    """Whether requests are repeatable unless they say otherwise."""
    not_repeatable_paths: tuple[str, ...] = ()
    """Path prefixes of a service whose requests are not repeatable (POST only)."""
    request_timeout_seconds: float = 5.0
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
    maximum_staleness_seconds: float | None = None


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """`job/NAME`: a rollout job."""

    name: str
    model: str
    pool: str
    consumers: tuple[str, ...] = ("trainer-1",)
    """Trainers that pull batches; each receives its own batches."""
    batch_size: int = 32
    samples_per_prompt: int = 1
    prompts: tuple[str, ...] = ()
    """Prompt texts, used round robin when no prompt source is given."""
    prompt_source: str = ""
    """Optional `ip:port` of a prompt server (`GET /v1/prompts?offset=&limit=`)."""
    maximum_tokens: int = 512
    scorer: str = ""
    """Optional `ip:port` of a scoring service."""
    share: float = 1.0
    """Weight of this job against others on the same pool."""
    phase: JobPhase = JobPhase.RUNNING
    mode: JobMode = JobMode.ACTIVE
    policy: PolicySource = PolicySource()


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
    reason: str = ""


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """`limits/CALLER`: what one caller may use at each gateway."""

    caller: str
    weight: float = 1.0
    requests_per_second: float = 200.0
    tokens_per_second: float = 20_000.0


class Daemon(msgspec.Struct, frozen=True):
    """`daemon/NODE_ID`: a gateway or coordinator that registered."""

    node_id: str
    role: str
    address: str
    """Internal protocol address."""
    http_address: str
    zone: str


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
