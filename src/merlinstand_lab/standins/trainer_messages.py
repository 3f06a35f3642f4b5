"""Bodies that a trainer exchanges with coordinators and control."""

import msgspec

from merlinstand_lab.records.kinds import Span


class PullBody(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /v1/jobs/JOB/batches`."""

    consumer: str
    last_received_batch: int
    trainer_version: int
    nonce: str
    last_received_nonce: str = ""


class PulledSample(msgspec.Struct, frozen=True, kw_only=True):
    """One sample of a batch."""

    sample_id: str
    slot: int
    job: str
    prompt_id: str
    attempt: int
    prompt: str
    text: str
    token_count: int
    weight_versions: list[Span]
    weight: float = 1.0
    score: float | None = None


class PulledBatch(msgspec.Struct, frozen=True, kw_only=True):
    """The answer with a batch."""

    job: str
    consumer: str
    batch: int
    nonce: str
    newest_version: int
    samples: list[PulledSample]
    use_within_seconds: float | None = None


class PullRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """Any other answer to a pull."""

    code: str = ""
    detail: str = ""
    retry_after_seconds: float | None = None
    owner: str | None = None


class PublishCommand(
    msgspec.Struct, frozen=True, kw_only=True, tag="publish_weights", tag_field="command"
):
    """`publish_weights` as operators send it."""

    model: str
    version: int
    digest: str
    source: str
    size_bytes: int


class CommandBody(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /v1/commands`."""

    command_id: str
    command: PublishCommand


class CommandOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a command."""

    outcome: str
    code: str = ""
    detail: str = ""
    revision: int | None = None
    """Revision that a done command gave its object, or found there if it changed nothing."""


class CommandAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a command."""

    revision: int
    """Position in the log."""
    outcome: CommandOutcome

    @property
    def object_revision(self) -> int:
        """Revision of the command's object, as far as the outcome tells."""
        return self.revision if self.outcome.revision is None else self.outcome.revision


class NotLeaderBody(msgspec.Struct, frozen=True, kw_only=True):
    """421 of a follower."""

    code: str = ""
    leader: str | None = None
