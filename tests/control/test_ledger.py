"""Rules of the ledger, slot ranges, staleness bounds and claims."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinstand.configuration.objects import PolicySource
from merlinstand.control import claims
from merlinstand.control.commands import (
    AcknowledgeBatch,
    BatchCommitted,
    BatchSample,
    ClaimGranted,
    ClaimRequest,
    ClaimTaken,
    Command,
    CommitBatch,
    Done,
    RecordOutcome,
    Refused,
    RewindJob,
)
from merlinstand.control.slot_ranges import SlotRanges
from merlinstand.control.weights import staleness_bound
from tests.control.models import Log, acquire, commit, job_log, publish


def _samples(*slots: int, version: int = 1) -> tuple[BatchSample, ...]:
    return tuple(BatchSample(slot, f"blurbs/{slot}/0", version) for slot in slots)


def _code(log: Log, command: Command) -> str:
    outcome = log.apply(command).outcome
    return outcome.code if isinstance(outcome, Refused) else type(outcome).__name__


def _acknowledge(epoch: int, batch: int, nonce: str) -> AcknowledgeBatch:
    return AcknowledgeBatch(
        job="blurbs", consumer="trainer-1", batch=batch, nonce=nonce, lease_epoch=epoch
    )


def _position(log: Log) -> tuple[int, str]:
    answer = log.state.ledger("blurbs")
    assert answer is not None
    return answer.consumers[0].next_batch, answer.consumers[0].nonce


def test_batches_must_be_committed_in_order() -> None:
    log, epoch = job_log()
    assert _code(log, commit(epoch, "trainer-1", 2, "a", _samples(1))) == "ahead"
    assert _code(log, commit(epoch, "trainer-1", 1, "b", _samples(1))) == "BatchCommitted"
    assert _code(log, commit(epoch, "trainer-1", 3, "c", _samples(2))) == "ahead"
    assert _code(log, commit(epoch, "trainer-1", 2, "d", _samples(2))) == "BatchCommitted"
    assert _code(log, commit(epoch, "trainer-1", 1, "e", _samples(3))) == "behind"
    assert _position(log) == (2, "d")


def test_redelivery_under_a_new_nonce_may_reuse_its_slots() -> None:
    log, epoch = job_log()
    log.done(commit(epoch, "trainer-1", 1, "a", _samples(0, 1)))
    assert _code(log, commit(epoch, "trainer-2", 1, "x", _samples(1, 2))) == "already"
    log.done(commit(epoch, "trainer-1", 1, "b", _samples(1, 3)))
    # Slot 0 stays reserved, because attempt a may be the delivered one.
    assert _code(log, commit(epoch, "trainer-2", 1, "y", _samples(0))) == "already"
    log.done(commit(epoch, "trainer-1", 2, "c", _samples(4), "b"))
    assert _code(log, commit(epoch, "trainer-2", 1, "z", _samples(1))) == "already"
    assert _code(log, commit(epoch, "trainer-2", 1, "w", _samples(0))) == "BatchCommitted"


def test_delayed_request_does_not_replace_the_delivered_attempt() -> None:
    log, epoch = job_log()
    log.done(commit(epoch, "trainer-1", 1, "new", _samples(0)))
    log.done(commit(epoch, "trainer-1", 1, "late", _samples(1)))
    log.done(commit(epoch, "trainer-1", 2, "next", _samples(2), "new"))
    assert _code(log, commit(epoch, "trainer-2", 1, "x", _samples(0))) == "already"
    assert _code(log, commit(epoch, "trainer-2", 1, "y", _samples(1))) == "BatchCommitted"


def test_next_batch_cannot_contain_a_slot_of_the_acknowledged_one() -> None:
    log, epoch = job_log()
    log.done(commit(epoch, "trainer-1", 1, "a", _samples(0, 1)))
    assert _code(log, commit(epoch, "trainer-1", 2, "b", _samples(1, 2), "a")) == "already"
    assert _position(log) == (1, "a"), "a refused commit acknowledged the batch"


def test_staleness_is_checked_again_at_redelivery() -> None:
    log, epoch = job_log()
    log.done(commit(epoch, "trainer-1", 1, "a", _samples(0, version=1)))
    for version in (2, 3):
        log.done(publish(version))
    assert _code(log, commit(epoch, "trainer-1", 1, "b", _samples(0, version=1))) == (
        "BatchCommitted"
    )
    log.done(publish(4))
    assert _code(log, commit(epoch, "trainer-1", 1, "c", _samples(0, version=1))) == "stale"
    assert _code(log, commit(epoch, "trainer-1", 1, "b", _samples(0, version=1))) == "stale"
    assert _code(log, commit(epoch, "trainer-1", 1, "d", _samples(5, version=9))) == "stale"


def test_coordinator_with_an_old_lease_epoch_is_fenced() -> None:
    log, epoch = job_log()
    log.apply(acquire("job/blurbs", "coordinator-2"), seconds=30.0)
    assert _code(log, commit(epoch, "trainer-1", 1, "a", _samples(0))) == "fenced"
    assert _code(log, _acknowledge(epoch, 1, "a")) == "fenced"


def test_same_nonce_gets_the_same_outcome_or_a_conflict() -> None:
    log, epoch = job_log()
    command = commit(epoch, "trainer-1", 1, "a", _samples(0, 1))
    first = log.apply(command).outcome
    assert (
        log.apply(command).outcome == first == BatchCommitted(batch=1, nonce="a", newest_version=1)
    )
    assert _code(log, commit(epoch, "trainer-1", 1, "a", _samples(0, 2))) == "conflict"


def test_acknowledgement_requires_a_known_attempt() -> None:
    log, epoch = job_log()
    assert _code(log, _acknowledge(epoch, 1, "a")) == "not_found"
    log.done(commit(epoch, "trainer-1", 1, "a", _samples(0)))
    assert _code(log, _acknowledge(epoch, 1, "b")) == "conflict"
    assert _code(log, _acknowledge(epoch, 1, "a")) == "Done"
    assert _code(log, _acknowledge(epoch, 1, "a")) == "Done"
    assert _code(log, _acknowledge(epoch, 1, "b")) == "already"
    assert _code(log, commit(epoch, "trainer-1", 2, "c", _samples(1), "b")) == "conflict"
    assert _code(log, commit(epoch, "trainer-1", 2, "c", _samples(1), "a")) == "BatchCommitted"


def test_rewind_checks_the_position_and_keeps_used_slots() -> None:
    log, epoch = job_log()
    log.done(commit(epoch, "trainer-1", 1, "a", _samples(0)))
    log.done(commit(epoch, "trainer-1", 2, "b", _samples(1)))
    rewind = RewindJob(job="blurbs", consumer="trainer-1", batch=1, expected_batch=2)
    wrong = msgspec.structs.replace(rewind, expected_batch=3)
    assert _code(log, wrong) == "conflict"
    assert _code(log, msgspec.structs.replace(rewind, batch=3)) == "invalid_input"
    assert _code(log, rewind) == "Done"
    assert _position(log) == (1, "")
    for slot in (0, 1):
        assert _code(log, commit(epoch, "trainer-1", 1, f"c{slot}", _samples(slot))) == "already"
    assert _code(log, commit(epoch, "trainer-1", 1, "d", _samples(2))) == "BatchCommitted"


def test_discarded_slots_count_as_used() -> None:
    log, epoch = job_log()
    command = commit(epoch, "trainer-1", 1, "a", _samples(0, 3))
    log.done(msgspec.structs.replace(command, discarded_slots=(1, 2)))
    log.done(commit(epoch, "trainer-1", 2, "b", _samples(5)))
    answer = log.state.ledger("blurbs")
    assert answer is not None
    assert (answer.used_below, answer.used_above) == (4, ())
    assert _code(log, commit(epoch, "trainer-1", 3, "c", _samples(2))) == "already"


@pytest.mark.parametrize(
    "change",
    [
        {"samples": ()},
        {"samples": _samples(1, 1)},
        {"samples": _samples(-1)},
        {"nonce": ""},
        {"discarded_slots": (0,)},
        {"samples": _samples(1 << 62)},
    ],
)
def test_malformed_batches_are_refused(change: dict[str, object]) -> None:
    log, epoch = job_log()
    command: CommitBatch = commit(epoch, "trainer-1", 1, "a", _samples(0))
    assert _code(log, msgspec.structs.replace(command, **change)) == "invalid_input"


def test_unknown_job_or_consumer_is_refused() -> None:
    log, epoch = job_log()
    assert _code(log, commit(epoch, "trainer-9", 1, "a", _samples(0))) == "not_found"
    other = msgspec.structs.replace(commit(epoch, "t", 1, "a", _samples(0)), job="none")
    assert _code(log, other) == "not_found"


def test_staleness_in_seconds_counts_from_the_successor() -> None:
    log = Log()
    for version in (1, 2, 3):
        log.done(publish(version))
        log.time += 100.0
    weights = log.state.objects.find_weights("blurb")
    policy = PolicySource(maximum_staleness_versions=9, maximum_staleness_seconds=150.0)
    # Versions 2 and 3 were published at about 100 and 200 seconds; 1 has been outdated since 100.
    assert staleness_bound(weights, policy, 249.0).oldest_allowed == 1
    assert staleness_bound(weights, policy, 260.0).oldest_allowed == 2
    assert staleness_bound(weights, policy, 9999.0).oldest_allowed == 3


@settings(max_examples=200, deadline=None, derandomize=True)
@given(batches=st.lists(st.lists(st.integers(0, 40), max_size=8), max_size=12))
def test_slot_ranges_behave_as_a_set(batches: list[list[int]]) -> None:
    ranges, model = SlotRanges(), set[int]()
    for batch in batches:
        ranges.add(batch)
        model.update(batch)
    below = ranges.contiguous_end()
    assert {slot for slot in range(45) if slot in ranges} == model
    assert set(range(below)) <= model
    assert below not in model
    assert set(ranges.slots_above_contiguous()) == {slot for slot in model if slot >= below}
    assert all(a.end < b.first for a, b in zip(ranges.ranges(), ranges.ranges()[1:], strict=False))
    assert SlotRanges(ranges.ranges()).ranges() == ranges.ranges()
    ranges.close_lowest_gaps(2)
    assert len(ranges) <= 2
    assert all(slot in ranges for slot in model)


def _claim(key: str) -> ClaimRequest:
    return ClaimRequest(
        idempotency_key=key, request_digest="d", owner="gateway-1", owner_incarnation=1
    )


def _record(key: str, body: bytes) -> RecordOutcome:
    return RecordOutcome(
        idempotency_key=key, owner="gateway-1", owner_incarnation=1, outcome="answer",
        status=200, body=body,
    )  # fmt: skip


def test_claims_expire_after_their_retention() -> None:
    log = Log()
    log.done(_claim("a"))
    log.time += claims.CLAIM_RETENTION_SECONDS - 1.0
    assert isinstance(log.apply(_claim("a")).outcome, ClaimTaken)
    log.time += 2.0
    assert isinstance(log.apply(_claim("a")).outcome, ClaimGranted)


def test_full_claim_table_refuses_new_claims(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claims, "MAXIMUM_CLAIMS", 2)
    log = Log()
    for key in ("a", "b"):
        log.done(_claim(key))
    assert _code(log, _claim("c")) == "busy"
    assert isinstance(log.apply(_claim("a")).outcome, ClaimTaken)


def test_stored_bodies_are_bounded_and_the_oldest_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(claims, "MAXIMUM_STORED_BODIES_BYTES", 25)
    log = Log()
    for key in ("a", "b", "c"):
        log.done(_claim(key))
        assert isinstance(log.apply(_record(key, b"0123456789")).outcome, Done)
    answers = [log.apply(_claim(key)).outcome for key in ("a", "b", "c")]
    assert all(isinstance(answer, ClaimTaken) for answer in answers)
    recorded = [answer.recorded for answer in answers if isinstance(answer, ClaimTaken)]
    assert recorded == ["unknown", "answer", "answer"]


def test_oversized_body_is_recorded_as_unknown() -> None:
    log = Log()
    log.done(_claim("a"))
    log.done(_record("a", b"x" * (claims.MAXIMUM_STORED_BODY_BYTES + 1)))
    answer = log.apply(_claim("a")).outcome
    assert isinstance(answer, ClaimTaken)
    assert (answer.recorded, answer.body) == ("unknown", b"")


def test_used_slots_stay_compact_over_many_batches() -> None:
    log, epoch = job_log()
    generator = random.Random(1)
    free_slots, next_slot = list(range(64)), 64
    for batch in range(1, 200):
        chosen = [free_slots.pop(generator.randrange(len(free_slots))) for _ in range(8)]
        free_slots.extend(range(next_slot, next_slot + 8))
        next_slot += 8
        log.done(commit(epoch, "trainer-1", batch, f"n{batch}", _samples(*chosen)))
    assert len(log.state.ledgers["blurbs"].used) <= 65
