"""Models that check the invariants of the state machine on random histories.

Each `play_` function runs one random history and raises an AssertionError when an invariant is
violated, so that mutants of the checks can be run through the same models.
"""

import random

import msgspec

from merlinstand.configuration.objects import Job, PolicySource, Pool, encode_object
from merlinstand.control.commands import (
    AcknowledgeBatch,
    AcquireLease,
    BatchCommitted,
    BatchSample,
    ClaimGranted,
    ClaimRequest,
    ClaimTaken,
    Command,
    CommitBatch,
    DeleteObject,
    Done,
    LeaseGranted,
    PublishWeights,
    PutObject,
    RecordOutcome,
    Refused,
    ReleaseLease,
    RewindJob,
    encode_command,
)
from merlinstand.control.state_machine import AppliedCommand, StateMachine, encode_logged_command
from tests.control.group import pool_object

STALENESS_VERSIONS = 2
CONSUMERS = ("trainer-1", "trainer-2")


class Log:
    """Applies commands to a state machine at increasing positions and times."""

    def __init__(self) -> None:
        self.state = StateMachine()
        self.entries: list[tuple[int, bytes, float]] = []
        self.index = 0
        self.time = 0.0

    def apply(
        self, command: Command, command_id: str = "", seconds: float = 0.01
    ) -> AppliedCommand:
        """Append a command to the log and apply it."""
        self.index += 1
        self.time += seconds
        name = command_id or f"c{self.index}"
        payload = encode_logged_command(name, encode_command(command))
        self.entries.append((self.index, payload, self.time))
        return self.state.apply(self.index, payload, self.time)

    def done(self, command: Command) -> None:
        """Apply a command that must succeed."""
        outcome = self.apply(command).outcome
        assert not isinstance(outcome, Refused), outcome


def put(key: str, value: Pool | Job, expected: int | None = None) -> PutObject:
    """Make a put command."""
    return PutObject(key=key, value=encode_object(value), expected_revision=expected)


def publish(version: int, model: str = "blurb") -> PublishWeights:
    """Make a publish command."""
    return PublishWeights(
        model=model, version=version, digest=f"d{version}", source="127.0.0.1:1", size_bytes=1
    )


def acquire(resource: str, holder: str = "coordinator-1", incarnation: int = 1) -> AcquireLease:
    """Make an acquire command with a duration of ten seconds."""
    return AcquireLease(
        resource=resource, holder=holder, holder_incarnation=incarnation, duration_seconds=10.0
    )


def job_log() -> tuple[Log, int]:
    """Make a log with a pool, a job, one weight version and a leased job.

    Returns:
        The log and the lease epoch.
    """
    log = Log()
    log.done(put("pool/blurb-llm", pool_object("blurb-llm")))
    policy = PolicySource(maximum_staleness_versions=STALENESS_VERSIONS)
    job = Job(
        name="blurbs", model="blurb", pool="blurb-llm", batch_size=4, consumers=CONSUMERS,
        policy=policy,
    )  # fmt: skip
    log.done(put("job/blurbs", job))
    log.done(publish(1))
    granted = log.apply(acquire("job/blurbs")).outcome
    assert isinstance(granted, LeaseGranted)
    return log, granted.epoch


def commit(
    epoch: int,
    consumer: str,
    batch: int,
    nonce: str,
    samples: tuple[BatchSample, ...],
    acknowledged_nonce: str = "",
) -> CommitBatch:
    """Make a commit command."""
    return CommitBatch(
        job="blurbs", consumer=consumer, batch=batch, nonce=nonce, trainer_version=1,
        samples=samples, lease_epoch=epoch,
        acknowledged_nonce=acknowledged_nonce,
    )  # fmt: skip


class ModelTrainer:
    """A trainer that accepts only the reply to its latest request."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.received = 0
        self.received_nonce = ""
        self.nonce = ""
        self.requests = 0
        self.slots: list[int] = []

    def ask(self) -> tuple[int, str, str]:
        """Start a request; return the batch, its nonce and the nonce of the previous batch."""
        self.requests += 1
        self.nonce = f"{self.name}-{self.requests}"
        return self.received + 1, self.nonce, self.received_nonce

    def answer(self, batch: int, nonce: str, slots: list[int]) -> None:
        """Handle a reply; one to an earlier request is ignored."""
        if nonce == self.nonce and batch == self.received + 1:
            self.received = batch
            self.received_nonce = nonce
            self.slots.extend(slots)


def play_ledger(generator: random.Random, steps: int = 120) -> None:
    """Two trainers pull batches while requests are delayed, repeated and reordered.

    No slot is delivered twice, and no sample beyond the staleness bound is committed.
    """
    log, epoch = job_log()
    trainers = [ModelTrainer(name) for name in CONSUMERS]
    open_requests: list[tuple[ModelTrainer, int, str, str]] = []
    answers: list[tuple[ModelTrainer, int, str, list[int]]] = []
    newest = 1
    for _ in range(steps):
        action = generator.random()
        trainer = generator.choice(trainers)
        if action < 0.3:
            open_requests.append((trainer, *trainer.ask()))
        elif action < 0.7 and open_requests:
            # Requests arrive in any order, some of them more than once.
            position = generator.randrange(len(open_requests))
            request = open_requests[position]
            if generator.random() < 0.8:
                del open_requests[position]
            answered = _compose(log, epoch, request, newest, generator)
            if answered is not None:
                answers.append(answered)
        elif action < 0.9 and answers:
            who, batch, nonce, slots = answers.pop(generator.randrange(len(answers)))
            who.answer(batch, nonce, slots)
        elif action >= 0.95:
            newest += 1
            log.done(publish(newest))
    delivered = [slot for trainer in trainers for slot in trainer.slots]
    assert len(delivered) == len(set(delivered)), "a slot was delivered twice"


def _compose(
    log: Log,
    epoch: int,
    request: tuple[ModelTrainer, int, str, str],
    newest: int,
    generator: random.Random,
) -> tuple[ModelTrainer, int, str, list[int]] | None:
    trainer, batch, nonce, received_nonce = request
    slots = generator.sample(range(60), 3)
    versions = [generator.randint(max(0, newest - 4), newest) for _ in slots]
    samples = tuple(
        BatchSample(slot, f"blurbs/{slot}/0", version)
        for slot, version in zip(slots, versions, strict=True)
    )
    command = commit(epoch, trainer.name, batch, nonce, samples, acknowledged_nonce=received_nonce)
    outcome = log.apply(command).outcome
    if not isinstance(outcome, BatchCommitted):
        return None
    assert outcome.newest_version == newest
    assert min(versions) >= newest - STALENESS_VERSIONS, "stale sample committed"
    ledger = log.state.ledger("blurbs")
    assert ledger is not None
    position = ledger.consumers[CONSUMERS.index(trainer.name)]
    assert (position.next_batch, position.nonce) == (batch, nonce), "position not recorded"
    return trainer, batch, nonce, slots


def play_claims(generator: random.Random, steps: int = 150) -> None:
    """Gateways claim keys; a claimed request runs at most once, unless recorded as `not_run`."""
    log = Log()
    runs: dict[str, int] = {}
    running: list[ClaimRequest] = []
    ended: list[RecordOutcome] = []
    answers: dict[str, bytes] = {}
    for step in range(steps):
        action = generator.random()
        if action < 0.5:
            claim = ClaimRequest(
                idempotency_key=f"key-{generator.randrange(6)}",
                request_digest="same",
                owner=generator.choice(("gateway-1", "gateway-2")),
                owner_incarnation=step,
            )
            outcome = log.apply(claim).outcome
            key = claim.idempotency_key
            if isinstance(outcome, ClaimGranted):
                runs[key] = runs.get(key, 0) + 1
                assert runs[key] == 1, "claimed twice"
                running.append(claim)
            else:
                assert isinstance(outcome, ClaimTaken)
                assert outcome.recorded != "answer" or outcome.body == answers[key]
        elif action < 0.85 and running:
            claim = running.pop(generator.randrange(len(running)))
            result = generator.choice(("answer", "not_run", "unknown"))
            body = str(step).encode()
            record = RecordOutcome(
                idempotency_key=claim.idempotency_key, owner=claim.owner,
                owner_incarnation=claim.owner_incarnation, outcome=result, body=body,
            )  # fmt: skip
            assert isinstance(log.apply(record).outcome, Done)
            if result == "not_run":
                runs[claim.idempotency_key] -= 1
            elif result == "answer":
                answers[claim.idempotency_key] = body
            ended.append(record)
        elif ended:
            # A delayed outcome of an earlier claim must not remove or change a later one.
            late = msgspec.structs.replace(generator.choice(ended), outcome="not_run")
            assert isinstance(log.apply(late).outcome, Refused), "delayed outcome accepted"


def play_leases(generator: random.Random, steps: int = 150) -> None:
    """Holders acquire and release; epochs increase and a lease never has two holders."""
    log = Log()
    holders = [("coordinator-1", 1), ("coordinator-1", 2), ("coordinator-2", 1)]
    owner: tuple[str, int] | None = None
    expires_at = 0.0
    epoch = 0
    for _ in range(steps):
        holder, incarnation = generator.choice(holders)
        seconds = generator.choice((0.1, 1.0, 6.0, 12.0))
        if generator.random() < 0.8:
            outcome = log.apply(acquire("job/a", holder, incarnation), seconds=seconds).outcome
            if not isinstance(outcome, LeaseGranted):
                continue
            if log.time < expires_at and owner is not None:
                assert owner == (holder, incarnation), "two holders at once"
                assert outcome.epoch == epoch, "renewal changed the epoch"
            else:
                assert outcome.epoch > epoch, "epoch did not increase"
            owner, epoch, expires_at = (holder, incarnation), outcome.epoch, log.time + 10.0
        else:
            release = ReleaseLease(
                resource="job/a", holder=holder, holder_incarnation=incarnation, epoch=epoch
            )
            log.apply(release, seconds=seconds)
            if owner == (holder, incarnation):
                owner, expires_at = None, 0.0


def play_objects(generator: random.Random, steps: int = 150) -> None:
    """Operators compete with expected revisions and resend under the same command id."""
    log = Log()
    current: dict[str, tuple[int, bytes]] = {}
    sent: list[tuple[str, Command, AppliedCommand]] = []
    for step in range(steps):
        if sent and generator.random() < 0.2:
            command_id, command, answer = generator.choice(sent)
            again = log.apply(command, command_id)
            assert again == answer, "a resent command got a different outcome"
            continue
        key = f"pool/p{generator.randrange(3)}"
        revision = current.get(key, (0, b""))[0]
        expected = generator.choice((revision, revision, max(0, revision - 1), None))
        command_id = f"operator-{step}"
        if generator.random() < 0.75:
            pool = pool_object(key[5:], model=f"m{generator.randrange(3)}")
            command = put(key, pool, expected)
        else:
            command = DeleteObject(key=key, expected_revision=expected)
        answer = log.apply(command, command_id)
        sent.append((command_id, command, answer))
        _check_object_answer(command, answer, expected, revision, current)
    table = log.state.objects.table
    found = {key: (entry.revision, entry.payload) for key, entry in table.entries.items()}
    assert found == current, "a resend or a refused command changed the configuration"


def _check_object_answer(
    command: PutObject | DeleteObject,
    answer: AppliedCommand,
    expected: int | None,
    revision: int,
    current: dict[str, tuple[int, bytes]],
) -> None:
    if expected is not None and expected != revision:
        assert isinstance(answer.outcome, Refused)
        assert answer.outcome.code == "conflict"
        assert answer.outcome.current_revision == revision
        return
    if isinstance(command, DeleteObject):
        if revision:
            assert isinstance(answer.outcome, Done)
            del current[command.key]
        else:
            assert isinstance(answer.outcome, Refused)
        return
    assert isinstance(answer.outcome, Done)
    if current.get(command.key, (0, b""))[1] != command.value:
        current[command.key] = (answer.revision, command.value)


def random_command(generator: random.Random) -> Command:
    """Make a random command, valid or not."""
    slot = generator.randrange(30)
    sample = BatchSample(slot, f"blurbs/{slot}/0", generator.randrange(4))
    consumer = generator.choice(CONSUMERS)
    batch = generator.randint(0, 4)
    epoch = generator.choice((4, 4, 4, 9))
    key = f"key-{generator.randrange(5)}"
    holder = generator.choice(("coordinator-1", "coordinator-2"))
    job = Job(name="blurbs", model="blurb", pool="blurb-llm", batch_size=4, consumers=CONSUMERS)
    return generator.choice(
        (
            put(f"pool/p{generator.randrange(3)}", pool_object("p1")),
            put("job/blurbs", job, generator.choice((None, 0))),
            DeleteObject(key=generator.choice(("pool/p1", "job/blurbs", "x"))),
            publish(generator.randint(1, 4)),
            acquire(generator.choice(("job/blurbs", "engines/a")), holder),
            ClaimRequest(
                idempotency_key=key, request_digest="d", owner=holder, owner_incarnation=1
            ),
            RecordOutcome(
                idempotency_key=key, owner=holder, owner_incarnation=1,
                outcome=generator.choice(("answer", "not_run", "unknown", "x")), body=b"b",
            ),
            commit(epoch, consumer, batch, f"n{generator.randrange(9)}", (sample,)),
            commit(epoch, consumer, batch, f"n{generator.randrange(9)}", (sample, sample)),
            AcknowledgeBatch(
                job="blurbs", consumer=consumer, batch=batch,
                nonce=f"n{generator.randrange(9)}", lease_epoch=epoch,
            ),
            RewindJob(job="blurbs", consumer=consumer, batch=1, expected_batch=batch),
        )
    )  # fmt: skip


def play_replay(generator: random.Random, steps: int = 100) -> None:
    """A replica that replays the log and one that starts from a snapshot reach the same state."""
    log, _ = job_log()
    cut = generator.randrange(steps)
    snapshot, position = log.state.snapshot(), len(log.entries)
    answers: list[AppliedCommand] = []
    for step in range(steps):
        if step == cut:
            snapshot, position = log.state.snapshot(), len(log.entries)
        command_id = f"r{generator.randrange(steps)}"
        seconds = generator.choice((0.01, 1.0, 400.0))
        answers.append(log.apply(random_command(generator), command_id, seconds))
    again, restored = StateMachine(), StateMachine()
    replayed = [again.apply(*entry) for entry in log.entries]
    assert replayed[-steps:] == answers, "a replica returned different outcomes"
    restored.restore(snapshot)
    resumed = [restored.apply(*entry) for entry in log.entries[position:]]
    assert resumed == answers[len(answers) - len(resumed) :], "outcomes differ after a snapshot"
    assert again.snapshot() == log.state.snapshot() == restored.snapshot()
