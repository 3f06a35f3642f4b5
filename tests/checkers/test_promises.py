"""Each checker passes a clean run and reports each kind of planted violation."""

from collections.abc import Callable

import msgspec
import pytest

from merlinstand_lab.checkers.limits import CheckLimits
from merlinstand_lab.checkers.report import PromiseResult
from merlinstand_lab.checkers.verify import verify_records
from merlinstand_lab.records.kinds import (
    CallerOutcome,
    GenerationOutcome,
    OperatorRecord,
    Record,
    StopRecord,
    StoreRecord,
)
from merlinstand_lab.records.record_set import RecordSet, UnreadableLine

from .clean_run import (
    CONSUMER,
    ENGINE,
    GATEWAY,
    INCARNATION,
    JOB,
    SAMPLE_TOKENS,
    SERVICE,
    caller_record,
    generation_record,
    operator_record,
    sample_record,
    start_record,
    step_record,
)

Plant = Callable[[RecordSet], None]


def adding(stream: str, record: Record) -> Plant:
    """Plant a further record."""
    return lambda records: records.add(stream, record)


def _both(first: Plant, second: Plant) -> Plant:
    def plant(records: RecordSet) -> None:
        first(records)
        second(records)

    return plant


def _fresh_sample(**changes: object) -> Plant:
    """Plant a sample of batch 3 with its own name and slot."""
    named = {"sample_id": "planted", "slot": 99} | changes
    return adding(f"trainer-{CONSUMER}", sample_record(3, 5, **named))


def _ask(version: int, **changes: object) -> list[tuple[str, int, int, int]]:
    """Origin of a sample in a request that the records know."""
    return [(f"r-{version}-0", version, 0, SAMPLE_TOKENS)]


def _command(kind: str, key: str, expected: int | None) -> dict[str, object]:
    return {"command": kind, "key": key, "object": {}, "expected_revision": expected}


def _two_done_creations() -> Plant:
    put = _command("put_object", "pool/p", 0)
    first = operator_record("w1", put, sent_at=40.0, ended_at=41.0, revision=41)
    second = operator_record("w2", put, sent_at=40.5, ended_at=41.5, revision=42)
    return _both(adding("operators", first), adding("operators", second))


def _paused() -> OperatorRecord:
    put = _command("put_object", f"job/{JOB}", 1)
    put["object"] = {"name": JOB, "model": "blurb", "phase": "paused"}
    return operator_record("pause", put, sent_at=36.0, ended_at=36.1, revision=36)


STOP_FAILED = StopRecord(
    node_id="gateway-a",
    role="gateway",
    http_address="10.0.0.2:80",
    requested_at=40.0,
    ended_at=60.0,
    exit_code=-1,
)

COORDINATOR_STOP = msgspec.structs.replace(
    STOP_FAILED, role="coordinator", requested_at=45.0, ended_at=45.5, exit_code=0
)

VIOLATIONS: list[tuple[str, str, Plant]] = [
    (
        "versions-true",
        "names another version than its text proves",
        _fresh_sample(produced=_ask(3), weight_versions=[(2, 0, SAMPLE_TOKENS)]),
    ),
    (
        "versions-true",
        "the engine's record has another version",
        _fresh_sample(
            produced=[("r-2-0", 3, 0, SAMPLE_TOKENS)], weight_versions=[(3, 0, SAMPLE_TOKENS)]
        ),
    ),
    (
        "versions-true",
        "nobody began the request",
        _fresh_sample(
            produced=[("ghost", 3, 0, SAMPLE_TOKENS)], weight_versions=[(3, 0, SAMPLE_TOKENS)]
        ),
    ),
    (
        "versions-true",
        "a killed engine never served the version",
        _both(
            adding("started-x", start_record("killed", "engine-x", 30.0)),
            _fresh_sample(
                produced=[("killed", 3, 0, SAMPLE_TOKENS)], weight_versions=[(3, 0, SAMPLE_TOKENS)]
            ),
        ),
    ),
    ("versions-true", "a text without origin", _fresh_sample(produced=[])),
    (
        "versions-true",
        "a gap between spans",
        _fresh_sample(
            produced=[("r-3-0", 3, 0, 5), ("r-3-0", 3, 10, SAMPLE_TOKENS)],
            weight_versions=[(3, 0, 5), (3, 10, SAMPLE_TOKENS)],
        ),
    ),
    (
        "staleness-bound",
        "two versions old at a bound of one",
        _fresh_sample(produced=_ask(1), weight_versions=[(1, 0, SAMPLE_TOKENS)]),
    ),
    (
        "staleness-bound",
        "only its oldest part is too old",
        _fresh_sample(weight_versions=[(1, 0, 2), (3, 2, SAMPLE_TOKENS)]),
    ),
    ("staleness-bound", "a job that nobody asked for", _fresh_sample(job="other")),
    ("exactly-once", "a sample twice", adding(f"trainer-{CONSUMER}", sample_record(3, 1))),
    (
        "exactly-once",
        "a slot under two names",
        adding(f"trainer-{CONSUMER}", sample_record(3, 1, sample_id="renamed")),
    ),
    ("batches-in-order", "a gap", adding(f"idle-{CONSUMER}", step_record(5, samples=0))),
    ("batches-in-order", "a batch twice", adding(f"idle-{CONSUMER}", step_record(3))),
    (
        "batches-in-order",
        "a sample of the batch is missing",
        adding(f"idle-{CONSUMER}", step_record(4, samples=1)),
    ),
    (
        "whole-answers",
        "another's answer",
        adding("callers", caller_record("lookup-9", 40.0, digest_ok=False)),
    ),
    (
        "whole-answers",
        "the named back end did not run it",
        adding("callers", caller_record("lookup-9", 40.0)),
    ),
    ("whole-answers", "a request ends twice", adding("callers", caller_record("lookup-1", 15.0))),
    ("whole-answers", "a sample's text is cut", _fresh_sample(token_count=SAMPLE_TOKENS + 4)),
    (
        "not-run-is-true",
        "a refused request ran",
        adding(f"started-{SERVICE}", start_record("refused", SERVICE, 13.0)),
    ),
    (
        "at-most-once",
        "a twin ran too, under its own request id",
        adding("started-b", start_record("booking-1-twin", "service-b", 12.0)),
    ),
    (
        "at-most-once",
        "the key ran again under an unknown request id",
        adding("started-b", start_record("resent", "service-b", 12.0, idempotency_key="k1")),
    ),
    (
        "leaving-gets-no-work",
        "work for a drained back end",
        adding(f"started-{SERVICE}", start_record("late", SERVICE, 26.0)),
    ),
    (
        "leaving-gets-no-work",
        "work for a back end that said it leaves",
        adding("started-c", start_record("late", "engine-c", 16.0)),
    ),
    (
        "leaving-gets-no-work",
        "work for a machine listed as leaving",
        adding("started-d", start_record("late", "engine-d", 19.0)),
    ),
    (
        "planned-stop-cuts-nothing",
        "a request in flight is cut",
        adding(
            "callers",
            caller_record("cut", 14.9, ended_at=15.5, outcome=CallerOutcome.UNKNOWN),
        ),
    ),
    (
        "planned-stop-cuts-nothing",
        "a coordinator abandons a generation",
        _both(
            adding("stops", COORDINATOR_STOP),
            adding(
                f"engine-{ENGINE}",
                generation_record(
                    "abandoned", 3, started_at=44, ended_at=46, outcome=GenerationOutcome.ABORTED
                ),
            ),
        ),
    ),
    ("planned-stop-cuts-nothing", "a stop that had to be forced", adding("stops", STOP_FAILED)),
    (
        "configuration-in-force",
        "a drained back end gets work again before it was taken back",
        adding(f"started-{SERVICE}", start_record("late", SERVICE, 29.0)),
    ),
    (
        "configuration-in-force",
        "the newest version goes back",
        adding(f"idle-{CONSUMER}", step_record(4, newest_version=2, samples=0)),
    ),
    (
        "configuration-in-force",
        "a publication is not known after a while",
        _both(
            adding(
                "operators",
                operator_record(
                    "publish-9",
                    {"command": "publish_weights", "model": "blurb", "version": 4},
                    sent_at=34.0,
                    ended_at=34.1,
                    revision=34,
                    operator=CONSUMER,
                ),
            ),
            adding(f"idle-{CONSUMER}", step_record(4, newest_version=3, received_at=50.0)),
        ),
    ),
    (
        "configuration-in-force",
        "a paused job delivers",
        _both(
            adding("operators", _paused()),
            adding(f"idle-{CONSUMER}", step_record(4, samples=0, received_at=48.0)),
        ),
    ),
    ("commands-linearizable", "two creations of one key", _two_done_creations()),
    (
        "commands-linearizable",
        "a resend answered differently",
        adding(
            "operators",
            operator_record("c1", _command("put_object", "pool/p", 0), revision=2),
        ),
    ),
    (
        "commands-linearizable",
        "a revision that runs against time",
        adding(
            "operators",
            operator_record(
                "w9", _command("put_object", "pool/q", 0), sent_at=50.0, ended_at=51.0, revision=3
            ),
        ),
    ),
    (
        "works-again",
        "an unknown outcome in calm times",
        adding(
            "callers",
            caller_record("calm", 55.0, ended_at=56.0, outcome=CallerOutcome.UNKNOWN),
        ),
    ),
    (
        "records-complete",
        "an unreadable line",
        lambda records: records.unreadable.append(UnreadableLine("callers", 3, "cut off")),
    ),
]


def _result(records: RecordSet, name: str) -> PromiseResult:
    results = {one.name: one for one in verify_records(records).promises}
    return results[name]


def test_a_clean_run_keeps_every_promise(records: RecordSet) -> None:
    report = verify_records(records)
    broken = [(one.name, [str(v) for v in one.violations]) for one in report.promises]
    assert report.passed, broken
    assert all(one.checked > 0 for one in report.promises)


@pytest.mark.parametrize(
    ("name", "plant"),
    [(name, plant) for name, _, plant in VIOLATIONS],
    ids=[f"{name}: {title}" for name, title, _ in VIOLATIONS],
)
def test_a_planted_violation_is_reported(records: RecordSet, name: str, plant: Plant) -> None:
    assert _result(records, name).violations == []
    plant(records)
    assert _result(records, name).violations != []


def test_nothing_checked_is_no_pass() -> None:
    report = verify_records(RecordSet())
    untested = {one.name for one in report.promises if one.checked == 0}
    assert "exactly-once" in untested
    assert not any(one.passed for one in report.promises if one.required)


def test_a_checker_may_be_excused_from_finding_cases() -> None:
    limits = CheckLimits(not_required=frozenset({"leaving-gets-no-work"}))
    results = {one.name: one for one in verify_records(RecordSet(), limits).promises}
    assert results["leaving-gets-no-work"].passed


def test_a_sample_of_a_killed_engine_is_true_if_its_start_and_version_are_known(
    records: RecordSet,
) -> None:
    records.add(f"started-{ENGINE}", start_record("killed", ENGINE, 32.0))
    _fresh_sample(
        produced=[("killed", 3, 0, SAMPLE_TOKENS)], weight_versions=[(3, 0, SAMPLE_TOKENS)]
    )(records)
    assert _result(records, "versions-true").violations == []


def test_a_sample_across_a_swap_and_a_resume_is_true(records: RecordSet) -> None:
    first = generation_record(
        "first", 2, spans=[(2, 0, 5), (3, 5, 8)], outcome=GenerationOutcome.EXPORTED
    )
    records.add(f"engine-{ENGINE}", first)
    second = generation_record("second", 3, spans=[(3, 8, SAMPLE_TOKENS)], first_token=8)
    records.add(f"engine-{ENGINE}", second)
    _fresh_sample(
        produced=[("first", 2, 0, 5), ("first", 3, 5, 8), ("second", 3, 8, SAMPLE_TOKENS)],
        weight_versions=[(2, 0, 5), (3, 5, SAMPLE_TOKENS)],
    )(records)
    assert _result(records, "versions-true").violations == []


def test_weights_of_another_digest_are_reported(records: RecordSet) -> None:
    wrong = StoreRecord(model="blurb", version=3, digest="other", published_at=30.0)
    records.add("store", wrong)
    assert _result(records, "versions-true").violations != []


def test_a_bound_in_seconds_is_checked(records: RecordSet) -> None:
    policy = {"maximum_staleness_versions": 5, "maximum_staleness_seconds": 4.0}
    job = {"name": "timed", "model": "blurb", "policy": policy}
    put = {"command": "put_object", "key": "job/timed", "object": job, "expected_revision": 0}
    records.add("operators", operator_record("c9", put, sent_at=5.0, ended_at=5.1, revision=5))
    _fresh_sample(job="timed", weight_versions=[(3, 0, SAMPLE_TOKENS)])(records)
    assert _result(records, "staleness-bound").violations == []
    _fresh_sample(job="timed", weight_versions=[(2, 0, SAMPLE_TOKENS)])(records)
    assert _result(records, "staleness-bound").violations != []


def test_a_rewind_by_an_operator_allows_a_batch_number_but_no_sample_again(
    records: RecordSet,
) -> None:
    rewind = {"command": "rewind_job", "job": JOB, "consumer": CONSUMER, "batch": 3}
    records.add("operators", operator_record("c9", rewind, sent_at=40, ended_at=41, revision=41))
    for number in (7, 8):
        fresh = sample_record(3, number, received_at=45.0, slot=90 + number)
        records.add(f"trainer-{CONSUMER}", fresh)
    records.add(f"idle-{CONSUMER}", step_record(3, received_at=45.0))
    assert _result(records, "exactly-once").violations == []
    assert _result(records, "batches-in-order").violations == []
    records.add(f"trainer-{CONSUMER}", sample_record(3, 0, received_at=45.0))
    assert _result(records, "exactly-once").violations != []
    assert _result(records, "batches-in-order").violations != []


def test_a_paused_job_may_deliver_after_it_was_resumed(records: RecordSet) -> None:
    records.add("operators", _paused())
    resume = _command("put_object", f"job/{JOB}", 36)
    resume["object"] = {"name": JOB, "model": "blurb", "phase": "running"}
    records.add("operators", operator_record("go", resume, sent_at=46, ended_at=47, revision=46))
    records.add(f"idle-{CONSUMER}", step_record(4, samples=0, received_at=48.0))
    assert _result(records, "configuration-in-force").violations == []


def test_a_command_that_finds_its_object_as_wanted_may_repeat_the_revision(
    records: RecordSet,
) -> None:
    put = _command("put_object", "pool/p", 0)
    records.add("operators", operator_record("w1", put, sent_at=40, ended_at=41, revision=41))
    again = _command("put_object", "pool/p", 41)
    records.add("operators", operator_record("w2", again, sent_at=50, ended_at=51, revision=41))
    assert _result(records, "commands-linearizable").violations == []
    other = again | {"object": {"changed": True}}
    records.add("operators", operator_record("w3", other, sent_at=52, ended_at=53, revision=41))
    assert _result(records, "commands-linearizable").violations != []


def test_a_request_cut_while_a_fault_lasts_is_not_blamed_on_the_stop(records: RecordSet) -> None:
    stop = msgspec.structs.replace(STOP_FAILED, exit_code=0, http_address=GATEWAY)
    records.add("stops", msgspec.structs.replace(stop, requested_at=21.5, ended_at=23.0))
    cut = caller_record("cut", 21.2, ended_at=21.9, outcome=CallerOutcome.UNKNOWN)
    records.add("callers", cut)
    assert _result(records, "planned-stop-cuts-nothing").violations == []


def test_work_of_a_new_process_does_not_count_as_work_of_the_leaving_one(
    records: RecordSet,
) -> None:
    start = start_record("new", "engine-c", 17.0, incarnation=INCARNATION + 1)
    records.add("started-c", start)
    assert _result(records, "leaving-gets-no-work").violations == []


def test_a_trainer_that_gets_no_batch_after_the_last_fault_is_reported(
    records: RecordSet,
) -> None:
    limits = CheckLimits(liveness_seconds=2.0)
    results = {one.name: one for one in verify_records(records, limits).promises}
    assert results["works-again"].violations != []
