"""One Struct for each kind of record line (see `docs/INTERFACES.md`, "Records").

All times are seconds of one clock: the machine's monotonic clock in a real run, the
virtual clock in a simulation.
"""

import enum

import msgspec

Span = tuple[int, int, int]
"""`[version, first_token, end_token]`: one weight version's share of a sample."""

ProducedSpan = tuple[str, int, int, int]
"""`[request_id, version, first_token, end_token]` as the engine stamped it into the text."""


class CallerOutcome(enum.Enum):
    """How a caller's request ended, in the caller's eyes."""

    ANSWER = "answer"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    ERROR = "error"


class GenerationOutcome(enum.Enum):
    """How a generation ended at its engine."""

    STOP = "stop"
    LENGTH = "length"
    CANCELLED = "cancelled"
    EXPORTED = "exported"
    SWAPPED = "swapped"
    ABORTED = "aborted"
    """The client closed the stream without cancelling."""
    CRASHED = "crashed"


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all records."""


class SampleRecord(Record, frozen=True, kw_only=True):
    """`trainer-*.jsonl`: one sample received by a trainer."""

    sample_id: str
    job: str
    prompt_id: str
    attempt: int
    batch: int
    trainer_version: int
    weight_versions: list[Span]
    received_at: float
    newest_version: int = 0
    consumer: str = ""
    token_count: int = 0
    slot: int = -1
    produced: list[ProducedSpan] = []
    """What the sample's text itself proves about its origin."""


class StepRecord(Record, frozen=True, kw_only=True):
    """`idle-*.jsonl`: one step of a trainer."""

    batch: int
    asked_at: float
    received_at: float
    step_ended_at: float
    trainer_version: int
    consumer: str = ""
    job: str = ""
    samples: int = 0
    newest_version: int = 0


class GenerationRecord(Record, frozen=True, kw_only=True):
    """`engine-*.jsonl`: one generation that ended."""

    request_id: str
    spans: list[Span]
    outcome: GenerationOutcome
    ended_at: float
    incarnation: int
    backend_id: str = ""
    model: str = ""
    started_at: float = 0.0
    first_token: int = 0
    """Position of the first token made here (more than 0 after a resume)."""
    prompt_tokens: int = 0


class StartRecord(Record, frozen=True, kw_only=True):
    """`started-*.jsonl`: a back end began a request (it survives a crash before the end)."""

    request_id: str
    backend_id: str
    started_at: float
    incarnation: int
    idempotency_key: str = ""
    repeatable: bool = True


class ActivationRecord(Record, frozen=True, kw_only=True):
    """`versions-*.jsonl`: an engine began to serve a version."""

    backend_id: str
    model: str
    version: int
    digest: str
    activated_at: float
    incarnation: int


class ServiceRecord(Record, frozen=True, kw_only=True):
    """`service-*.jsonl`: one request run by a service server, written as soon as it runs."""

    request_id: str
    idempotency_key: str
    repeatable: bool
    started_at: float
    backend_id: str = ""
    path: str = ""
    incarnation: int = 0


class CallerRecord(Record, frozen=True, kw_only=True):
    """`callers.jsonl`: one request sent by a caller."""

    request_id: str
    sent_at: float
    ended_at: float
    outcome: CallerOutcome
    answered_by: str
    digest_ok: bool
    service: str
    idempotency_key: str
    repeatable: bool
    gateway: str = ""
    status: int = 0
    kind: str = ""
    """`lookup`, `booking` or `completion`."""
    caller: str = ""
    reason: str = ""
    """Why there is no answer, for people."""


class StoreRecord(Record, frozen=True, kw_only=True):
    """`store.jsonl`: a version put into the weight store."""

    model: str
    version: int
    digest: str
    published_at: float


class OperatorRecord(Record, frozen=True, kw_only=True):
    """`operators*.jsonl`: one command of an operator (or of a trainer's publishing step)."""

    command_id: str
    command: dict[str, object]
    """JSON form of the command."""
    sent_at: float
    ended_at: float | None
    """None if no answer ever came."""
    outcome: str
    """Tag of the outcome (`done`, `refused`, …), `unknown` if no answer came."""
    revision: int
    operator: str = ""
    code: str = ""
    """Code of a refusal."""


class BackendStateRecord(Record, frozen=True, kw_only=True):
    """`state-*.jsonl`: a back end said itself what state it is in."""

    backend_id: str
    state: str
    """`ready`, `leaving` or `failed`."""
    at: float
    incarnation: int


class MachineRecord(Record, frozen=True, kw_only=True):
    """`machines.jsonl`: the platform's list showed a machine in a new state."""

    address: str
    state: str
    changed_at: float
    visible_at: float


class StopRecord(Record, frozen=True, kw_only=True):
    """`stops.jsonl`: a planned stop of one of the system's processes."""

    node_id: str
    role: str
    http_address: str
    requested_at: float
    ended_at: float
    exit_code: int


class FaultRecord(Record, frozen=True, kw_only=True):
    """`faults.jsonl`: a fault that the laboratory brought about."""

    kind: str
    """`kill`, `freeze`, `cut`, `swap_failure`, …"""
    target: str
    started_at: float
    healed_at: float | None


class MemoryRecord(Record, frozen=True, kw_only=True):
    """`memory.jsonl`: resident memory of one of the system's processes at a moment."""

    node_id: str
    process_id: int
    resident_bytes: int
    at: float


class RunRecord(Record, frozen=True, kw_only=True):
    """`run.jsonl`: what the laboratory set out to do."""

    name: str
    started_at: float
    ended_at: float
    minimum_steps: int
    consumers: list[str]
    backend_addresses: dict[str, str] = {}
    """Address of each back end."""


STREAM_TYPES: dict[str, type[Record]] = {
    "trainer": SampleRecord,
    "idle": StepRecord,
    "engine": GenerationRecord,
    "started": StartRecord,
    "versions": ActivationRecord,
    "service": ServiceRecord,
    "callers": CallerRecord,
    "store": StoreRecord,
    "operators": OperatorRecord,
    "state": BackendStateRecord,
    "machines": MachineRecord,
    "stops": StopRecord,
    "faults": FaultRecord,
    "memory": MemoryRecord,
    "run": RunRecord,
}
"""Record type of a stream: the part of its name before the first hyphen."""
