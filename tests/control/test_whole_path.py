"""From an operator's command over HTTP to a committed batch, through consensus."""

from merlinstand.configuration.objects import Job
from merlinstand.control.commands import (
    BatchCommitted,
    BatchSample,
    ClaimGranted,
    ClaimRequest,
    ClaimTaken,
    CommitBatch,
)
from merlinstand.control.queries import LedgerQuery
from merlinstand.session.notices import CommandFinished, LeaseGained, QueryFinished
from tests.control.group import Group, pool_object, put


def _batch(epoch: int, batch: int, nonce: str, slots: range, oldest: int) -> CommitBatch:
    samples = tuple(BatchSample(slot, f"blurbs/{slot}/0", oldest) for slot in slots)
    return CommitBatch(
        job="blurbs",
        consumer="trainer-1",
        batch=batch,
        nonce=nonce,
        trainer_version=oldest,
        samples=samples,
        lease_epoch=epoch,
    )


def test_operator_command_to_committed_batch() -> None:
    group = Group()
    group.add_daemon("coordinator-1")
    daemon = group.settle_daemon("coordinator-1")

    status, answer = group.operator("c1", put("pool/blurb-llm", pool_object("blurb-llm")))
    assert (status, answer["outcome"]["outcome"]) == (200, "done")
    job = Job(name="blurbs", model="blurb", pool="blurb-llm", batch_size=4)
    assert group.operator("c2", put("job/blurbs", job, expected_revision=0))[0] == 200
    publish = {
        "command": "publish_weights",
        "model": "blurb",
        "version": 1,
        "digest": "d1",
        "source": "127.0.0.1:1",
        "size_bytes": 10,
    }
    assert group.operator("c3", publish)[0] == 200
    assert group.network.run_until(lambda: "blurbs" in daemon.session.view.jobs, 3.0)
    assert daemon.session.view.pools["blurb-llm"] == pool_object("blurb-llm")
    assert daemon.session.view.newest_version("blurb") == 1

    now = group.network.now
    group.network.perform("coordinator-1", daemon.session.request_lease("job/blurbs", now))
    assert group.network.run_until(lambda: bool(daemon.of(LeaseGained)), 3.0)
    lease = daemon.session.lease("job/blurbs", group.network.now)
    assert lease is not None

    claim = ClaimRequest(
        idempotency_key="book/1", request_digest="x", owner="gateway-1", owner_incarnation=7
    )
    first = group.submit("coordinator-1", claim)
    second = group.submit("coordinator-1", claim)
    commit = group.submit("coordinator-1", _batch(lease.epoch, 1, "n1", range(4), 1))
    assert group.network.run_until(lambda: len(daemon.of(CommandFinished)) == 3, 5.0)
    outcomes = {notice.command_id: notice.outcome for notice in daemon.of(CommandFinished)}
    # Both were pending at once and the network reorders: exactly one of them is granted.
    claims = {type(outcomes[first]), type(outcomes[second])}
    assert claims == {ClaimGranted, ClaimTaken}
    assert outcomes[commit] == BatchCommitted(batch=1, nonce="n1", newest_version=1)

    _, effects = daemon.session.query(LedgerQuery(job="blurbs"), group.network.now)
    group.network.perform("coordinator-1", effects)
    assert group.network.run_until(lambda: bool(daemon.of(QueryFinished)), 5.0)
    position = daemon.of(QueryFinished)[0].answer.consumers[0]
    assert (position.next_batch, position.nonce) == (1, "n1")
    assert group.get("/v1/ledger/blurbs")[1]["consumers"][0]["nonce"] == "n1"
