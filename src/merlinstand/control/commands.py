"""Commands of the replicated state machine, and their outcomes.

The same Structs are the JSON of the operators' API, the payload of `CommandRequest`
and the content of the log. A command is applied at most once per command id.
"""

import msgspec


class Command(msgspec.Struct, frozen=True, kw_only=True, tag_field="command"):
    """Base of all commands."""


class PutObject(Command, frozen=True, kw_only=True, tag="put_object"):
    """Create or replace a configuration object.

    `expected_revision` is the revision at which the operator read this key: 0 if the key must not
    exist, None to create or replace it unconditionally.
    """

    key: str
    value: bytes
    """`configuration.objects.encode_object` of the new value."""
    expected_revision: int | None = None


class DeleteObject(Command, frozen=True, kw_only=True, tag="delete_object"):
    """Delete a configuration object."""

    key: str
    expected_revision: int | None = None


class PublishWeights(Command, frozen=True, kw_only=True, tag="publish_weights"):
    """Add the next version of a model. `version` must be the newest + 1; the first is 1."""

    model: str
    version: int
    digest: str
    source: str
    size_bytes: int


class AcquireLease(Command, frozen=True, kw_only=True, tag="acquire_lease"):
    """Acquire or renew a lease. A new holder gets a higher epoch; a renewal keeps the epoch."""

    resource: str
    """`job/NAME`, `engines/POOL` or `gateway/NODE`."""
    holder: str
    holder_incarnation: int
    duration_seconds: float


class LeaseRenewal(msgspec.Struct, frozen=True, array_like=True):
    """One lease to renew."""

    resource: str
    epoch: int


class RenewLeases(Command, frozen=True, kw_only=True, tag="renew_leases"):
    """Renew all leases that a holder still has, in one command."""

    holder: str
    holder_incarnation: int
    duration_seconds: float
    leases: tuple[LeaseRenewal, ...]


class ReleaseLease(Command, frozen=True, kw_only=True, tag="release_lease"):
    """Release a lease, for example at a planned stop."""

    resource: str
    holder: str
    holder_incarnation: int
    epoch: int


class ClaimRequest(Command, frozen=True, kw_only=True, tag="claim_request"):
    """Claim an idempotency key before a request that is not repeatable is dispatched."""

    idempotency_key: str
    """`service/caller key`: the gateway prefixes the caller's key by the service."""
    request_digest: str
    """Digest of method, path and body; another request under the same key is refused."""
    owner: str
    owner_incarnation: int


class RecordOutcome(Command, frozen=True, kw_only=True, tag="record_outcome"):
    """Record the outcome of a claimed request."""

    idempotency_key: str
    owner: str
    owner_incarnation: int
    outcome: str
    """`answer`, `not_run` (the claim is removed) or `unknown`."""
    status: int = 0
    body: bytes = b""
    content_type: str = ""


class BatchSample(msgspec.Struct, frozen=True, array_like=True):
    """One sample of a batch, as the ledger stores it."""

    slot: int
    """Slot number in the job: `prompt_index * samples_per_prompt + attempt`."""
    sample_id: str
    oldest_version: int
    """Weight version of the oldest span."""


class CommitBatch(Command, frozen=True, kw_only=True, tag="commit_batch"):
    """Commit an attempt, identified by `nonce`, at batch `batch` of a consumer.

    Staleness is checked against the newest version published in the same log. A redelivery is a
    new commit of the same batch under a new nonce and is checked again. Attempts at one batch may
    share slots; only the attempt that the consumer acknowledges counts. The same nonce with the
    same samples gets the same outcome; with other samples it is refused (`conflict`), and the
    consumer must use a new nonce. Committing batch N acknowledges N - 1. The job's lease epoch
    fences a coordinator that lost the job's lease.
    """

    job: str
    consumer: str
    batch: int
    nonce: str
    trainer_version: int
    samples: tuple[BatchSample, ...]
    lease_epoch: int
    acknowledged_nonce: str = ""
    """Nonce under which the consumer received batch N - 1; empty means the newest attempt."""
    discarded_slots: tuple[int, ...] = ()
    """Slots that will never be delivered (dropped by policy, expired). The ledger marks them as
    used, which keeps its set of slot ranges small."""


class AcknowledgeBatch(Command, frozen=True, kw_only=True, tag="acknowledge_batch"):
    """Acknowledge that the consumer durably received batch `batch` under this nonce."""

    job: str
    consumer: str
    batch: int
    nonce: str
    lease_epoch: int


class RewindJob(Command, frozen=True, kw_only=True, tag="rewind_job"):
    """Move a consumer back to an earlier batch, to resume from an older checkpoint.

    Samples of batches already delivered stay used and are not delivered again.
    """

    job: str
    consumer: str
    batch: int
    """The next batch that the consumer will request."""
    expected_batch: int
    """The next batch before the rewind; the rewind is refused if it differs."""


class ChangeMembership(Command, frozen=True, kw_only=True, tag="change_membership"):
    """Replace a control replica: `add_node` joins as a learner first, `remove_node` leaves."""

    add_node: str = ""
    remove_node: str = ""


AnyCommand = (
    PutObject
    | DeleteObject
    | PublishWeights
    | AcquireLease
    | RenewLeases
    | ReleaseLease
    | ClaimRequest
    | RecordOutcome
    | CommitBatch
    | AcknowledgeBatch
    | RewindJob
    | ChangeMembership
)


class Outcome(msgspec.Struct, frozen=True, kw_only=True, tag_field="outcome"):
    """Base of all outcomes."""


class Done(Outcome, frozen=True, kw_only=True, tag="done"):
    """The command was applied; `revision` is its log position."""

    revision: int


class Refused(Outcome, frozen=True, kw_only=True, tag="refused"):
    """The state machine refused the command; nothing changed."""

    code: str
    """`conflict`, `not_found`, `invalid_input`, `stale`, `fenced`, `already`, `busy`;
    for batches also `behind` (already acknowledged) and `ahead` (a batch was skipped)."""
    detail: str
    current_revision: int = 0


class LeaseGranted(Outcome, frozen=True, kw_only=True, tag="lease_granted"):
    """The lease was granted. The holder may act until: send time of its request + duration - clock
    drift."""

    resource: str
    epoch: int
    duration_seconds: float


class LeaseHeld(Outcome, frozen=True, kw_only=True, tag="lease_held"):
    """Another holder has the lease."""

    resource: str
    holder: str
    epoch: int
    remaining_seconds: float


class LeasesRenewed(Outcome, frozen=True, kw_only=True, tag="leases_renewed"):
    """The leases that were renewed; all others in the request have expired or have a new holder."""

    resources: tuple[str, ...]
    duration_seconds: float


class ClaimGranted(Outcome, frozen=True, kw_only=True, tag="claim_granted"):
    """The key was not claimed before; the owner may dispatch the request once."""

    idempotency_key: str


class ClaimTaken(Outcome, frozen=True, kw_only=True, tag="claim_taken"):
    """The key was already claimed: respond with the recorded outcome, do not dispatch."""

    idempotency_key: str
    recorded: str
    """`pending`, `answer`, `unknown` or `different_request`."""
    status: int = 0
    body: bytes = b""
    content_type: str = ""


class BatchCommitted(Outcome, frozen=True, kw_only=True, tag="batch_committed"):
    """The attempt `nonce` at batch `batch` is committed."""

    batch: int
    nonce: str
    newest_version: int
    """Newest published version at the commit, against which staleness was checked."""


AnyOutcome = (
    Done
    | Refused
    | LeaseGranted
    | LeasesRenewed
    | LeaseHeld
    | ClaimGranted
    | ClaimTaken
    | BatchCommitted
)

_COMMAND_DECODER = msgspec.msgpack.Decoder(AnyCommand)
_OUTCOME_DECODER = msgspec.msgpack.Decoder(AnyOutcome)


def encode_command(command: Command) -> bytes:
    """Encode a command for the wire and the log."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> AnyCommand:
    """Decode a command.

    Raises:
        msgspec.DecodeError: The bytes are not a valid command.
    """
    return _COMMAND_DECODER.decode(data)


def encode_outcome(outcome: Outcome) -> bytes:
    """Encode an outcome for the wire."""
    return msgspec.msgpack.encode(outcome)


def decode_outcome(data: bytes) -> AnyOutcome:
    """Decode an outcome.

    Raises:
        msgspec.DecodeError: The bytes are not a valid outcome.
    """
    return _OUTCOME_DECODER.decode(data)
