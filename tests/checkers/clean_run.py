"""A clean run's records, small but complete; tests plant one violation each."""

from merlinstand_lab.records.kinds import (
    ActivationRecord,
    BackendStateRecord,
    CallerOutcome,
    CallerRecord,
    FaultRecord,
    GenerationOutcome,
    GenerationRecord,
    MachineRecord,
    OperatorRecord,
    RunRecord,
    SampleRecord,
    ServiceRecord,
    StartRecord,
    StepRecord,
    StopRecord,
    StoreRecord,
)
from merlinstand_lab.records.record_set import RecordSet

JOB = "blurbs"
CONSUMER = "trainer-1"
ENGINE = "engine-a"
SERVICE = "service-a"
GATEWAY = "10.0.0.1:80"
INCARNATION = 7
SAMPLE_TOKENS = 20


def operator_record(
    command_id: str, command: dict[str, object], **changes: object
) -> OperatorRecord:
    """A command that was done."""
    fields: dict[str, object] = {
        "command_id": command_id,
        "command": command,
        "sent_at": 1.0,
        "ended_at": 1.1,
        "outcome": "done",
        "revision": 1,
        "operator": "operator",
    }
    return OperatorRecord(**(fields | changes))  # type: ignore[arg-type]


def sample_record(batch: int, number: int, **changes: object) -> SampleRecord:
    """A sample made by the version of its batch."""
    fields: dict[str, object] = {
        "sample_id": f"{JOB}/p{batch}/{number}",
        "job": JOB,
        "prompt_id": f"p{batch}",
        "attempt": number,
        "batch": batch,
        "trainer_version": batch,
        "weight_versions": [(batch, 0, SAMPLE_TOKENS)],
        "received_at": batch * 10.0 + 5,
        "newest_version": batch,
        "consumer": CONSUMER,
        "token_count": SAMPLE_TOKENS,
        "slot": batch * 2 + number,
        "produced": [(f"r-{batch}-{number}", batch, 0, SAMPLE_TOKENS)],
    }
    return SampleRecord(**(fields | changes))  # type: ignore[arg-type]


def step_record(batch: int, **changes: object) -> StepRecord:
    """The step on one batch."""
    fields: dict[str, object] = {
        "batch": batch,
        "asked_at": batch * 10.0 + 1,
        "received_at": batch * 10.0 + 5,
        "step_ended_at": batch * 10.0 + 9,
        "trainer_version": batch,
        "consumer": CONSUMER,
        "job": JOB,
        "samples": 2,
        "newest_version": batch,
    }
    return StepRecord(**(fields | changes))  # type: ignore[arg-type]


def generation_record(request_id: str, version: int, **changes: object) -> GenerationRecord:
    """A whole generation under one version."""
    fields: dict[str, object] = {
        "request_id": request_id,
        "spans": [(version, 0, SAMPLE_TOKENS)],
        "outcome": GenerationOutcome.STOP,
        "ended_at": version * 10.0 + 4,
        "incarnation": INCARNATION,
        "backend_id": ENGINE,
        "model": "blurb",
        "started_at": version * 10.0 + 2,
    }
    return GenerationRecord(**(fields | changes))  # type: ignore[arg-type]


def start_record(request_id: str, backend_id: str, at: float, **changes: object) -> StartRecord:
    """The start of a request at a back end."""
    fields: dict[str, object] = {
        "request_id": request_id,
        "backend_id": backend_id,
        "started_at": at,
        "incarnation": INCARNATION,
    }
    return StartRecord(**(fields | changes))  # type: ignore[arg-type]


def caller_record(request_id: str, at: float, **changes: object) -> CallerRecord:
    """An answered lookup."""
    fields: dict[str, object] = {
        "request_id": request_id,
        "sent_at": at,
        "ended_at": at + 0.1,
        "outcome": CallerOutcome.ANSWER,
        "answered_by": SERVICE,
        "digest_ok": True,
        "service": "shop",
        "idempotency_key": "",
        "repeatable": True,
        "gateway": GATEWAY,
        "status": 200,
    }
    return CallerRecord(**(fields | changes))  # type: ignore[arg-type]


def clean_records() -> RecordSet:
    """Records of a run in which every promise was tested and kept."""
    found = RecordSet()
    _add_operators(found)
    for batch in (1, 2, 3):
        _add_batch(found, batch)
    _add_callers(found)
    _add_incidents(found)
    return found


def _add_operators(found: RecordSet) -> None:
    job = {"name": JOB, "model": "blurb", "policy": {"maximum_staleness_versions": 1}}
    put = {"command": "put_object", "key": f"job/{JOB}", "object": job, "expected_revision": 0}
    found.add("operators", operator_record("c1", put))
    drain = {"command": "put_object", "key": f"drain/{SERVICE}", "object": {}}
    drained = operator_record(
        "c2", drain | {"expected_revision": 0}, sent_at=20.0, ended_at=20.1, revision=20
    )
    found.add("operators", drained)
    back = {"command": "delete_object", "key": f"drain/{SERVICE}", "expected_revision": 20}
    found.add("operators", operator_record("c3", back, sent_at=30.0, ended_at=30.1, revision=30))


def _add_batch(found: RecordSet, batch: int) -> None:
    published_at = batch * 10.0
    digest = f"digest-{batch}"
    found.add(
        "store", StoreRecord(model="blurb", version=batch, digest=digest, published_at=published_at)
    )
    publish = {"command": "publish_weights", "model": "blurb", "version": batch}
    published = operator_record(
        f"publish-{batch}",
        publish,
        sent_at=published_at,
        ended_at=published_at + 0.1,
        revision=batch * 10 + 1,
        operator=CONSUMER,
    )
    found.add(f"operators-{CONSUMER}", published)
    activation = ActivationRecord(
        backend_id=ENGINE,
        model="blurb",
        version=batch,
        digest=digest,
        activated_at=published_at + 1,
        incarnation=INCARNATION,
    )
    found.add(f"versions-{ENGINE}", activation)
    for number in (0, 1):
        request_id = f"r-{batch}-{number}"
        found.add(f"started-{ENGINE}", start_record(request_id, ENGINE, published_at + 2))
        found.add(f"engine-{ENGINE}", generation_record(request_id, batch))
        found.add(f"trainer-{CONSUMER}", sample_record(batch, number))
    found.add(f"idle-{CONSUMER}", step_record(batch))


def _add_callers(found: RecordSet) -> None:
    for number, at in enumerate((10.0, 15.0, 35.0)):
        request_id = f"lookup-{number}"
        found.add("callers", caller_record(request_id, at))
        found.add(f"started-{SERVICE}", start_record(request_id, SERVICE, at))
        _add_service_run(found, request_id, at)
    booking = {"idempotency_key": "k1", "repeatable": False}
    found.add("callers", caller_record("booking-1", 12.0, **booking))
    found.add("callers", caller_record("booking-1-twin", 12.0, **booking))
    found.add(f"started-{SERVICE}", start_record("booking-1", SERVICE, 12.0, **booking))
    _add_service_run(found, "booking-1", 12.0, **booking)
    refused = caller_record(
        "refused", 13.0, outcome=CallerOutcome.NOT_RUN, answered_by="", status=503
    )
    found.add("callers", refused)


def _add_service_run(
    found: RecordSet,
    request_id: str,
    at: float,
    idempotency_key: str = "",
    repeatable: bool = True,
) -> None:
    run = ServiceRecord(
        request_id=request_id,
        idempotency_key=idempotency_key,
        repeatable=repeatable,
        started_at=at,
        backend_id=SERVICE,
        incarnation=INCARNATION,
    )
    found.add(f"service-{SERVICE}", run)


def _add_incidents(found: RecordSet) -> None:
    stop = StopRecord(
        node_id="gateway-a",
        role="gateway",
        http_address=GATEWAY,
        requested_at=15.05,
        ended_at=16.0,
        exit_code=0,
    )
    found.add("stops", stop)
    fault = FaultRecord(kind="kill", target="engine-b", started_at=21.0, healed_at=22.0)
    found.add("faults", fault)
    leaving = BackendStateRecord(
        backend_id="engine-c", state="leaving", at=10.0, incarnation=INCARNATION
    )
    found.add("state-engine-c", leaving)
    machine = MachineRecord(address="10.0.0.9:1", state="leaving", changed_at=10.0, visible_at=13.0)
    found.add("machines", machine)
    run = RunRecord(
        name="clean",
        started_at=0.0,
        ended_at=60.0,
        minimum_steps=3,
        consumers=[CONSUMER],
        backend_addresses={ENGINE: "10.0.0.8:1", "engine-d": "10.0.0.9:1"},
    )
    found.add("run", run)
