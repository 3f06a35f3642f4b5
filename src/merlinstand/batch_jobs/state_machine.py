"""The replicated state machine of the batch jobs.

Every keeper applies the committed commands in the same order; applying them is deterministic. The
state consists of the jobs, their results and the last order intent for each engine. Commands and
snapshots are stored on disk as msgpack of the Structs here, so encoded field names, their order and
tags must not change.
"""

import msgspec
from result import Err

from merlinstand.batch_calls.jobs import BatchItem, BatchJob, ItemResult
from merlinstand.batch_jobs.kept_text import TextCheckpoint, TextPart
from merlinstand.batch_jobs.request_stripping import strip_requests
from merlinstand.common.packed_message import compress_message, decompress_message
from merlinstand.fenced_calls.call_intents import CallIntent, CallIntents


class AcceptJob(msgspec.Struct, frozen=True, tag="accept"):
    """Add a job; has no effect if the id exists already."""

    job: BatchJob


class ListResult(msgspec.Struct, frozen=True, tag="list"):
    """Append an item's result to those of its job; has no effect if the item already has one."""

    job_id: str
    result: ItemResult
    checkpointed_events: int = msgspec.field(default=0, name="kept_events")
    """Number of events at the start of the text that were checkpointed before (`CheckpointTexts`).
    The result omits their data; applying the command prepends it."""


class CloseJob(msgspec.Struct, frozen=True, tag="close"):
    """End a job, so that none of its items runs any more."""

    job_id: str


class DeleteJob(msgspec.Struct, frozen=True, tag="forget"):
    """Delete a job whose retention period is over."""

    job_id: str


class RecordOrderIntent(msgspec.Struct, frozen=True, tag="order"):
    """Record that the leader is about to order an engine to load weights."""

    backend_id: str
    holder: str


class CheckpointTexts(msgspec.Struct, frozen=True, tag="texts"):
    """Append to the text checkpoints of some unfinished items."""

    parts: tuple[TextPart, ...]


JobCommand = AcceptJob | ListResult | CloseJob | DeleteJob | RecordOrderIntent | CheckpointTexts

RECENT_JOB_COUNT = 3
"""Number of newest jobs of a model over which its demand is averaged."""
_COMMAND_DECODER = msgspec.msgpack.Decoder(JobCommand)


def encode_command(command: JobCommand) -> bytes:
    """Encode a command for the log.

    Only jobs and checkpoints are compressed here: results contain compressed texts already.
    """
    data = msgspec.msgpack.encode(command)
    return compress_message(data) if isinstance(command, AcceptJob | CheckpointTexts) else data


def decode_command(data: bytes) -> JobCommand:
    """Decode a log entry.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _COMMAND_DECODER.decode(decompress_message(data))


class JobState(msgspec.Struct):
    """A replicated job."""

    job: BatchJob
    accepted_at: float
    """Group time in seconds."""
    results: list[ItemResult] = msgspec.field(default_factory=list)
    """Results in the order in which they were committed ("listed"); the index is the position."""
    is_ended: bool = False
    """Whether a call has ended the job, so that none of its items runs any more."""
    ended_at: float = 0.0
    items_by_id: dict[str, BatchItem] = msgspec.field(default_factory=dict)
    listed_ids: set[str] = msgspec.field(default_factory=set)
    text_checkpoints: dict[str, TextCheckpoint] = msgspec.field(default_factory=dict)
    """Text checkpoints of unlisted items, by item id."""
    group_count: int = 0

    def __post_init__(self) -> None:
        """Index the items and count the groups."""
        self.items_by_id = {item.item_id: item for item in self.job.items}
        self.listed_ids = {result.item_id for result in self.results}
        self.group_count = self.job.count_groups()

    def find_item(self, item_id: str) -> BatchItem | None:
        """Return an item of the job; None if the job does not contain it."""
        return self.items_by_id.get(item_id)

    def is_listed(self, item_id: str) -> bool:
        """Return whether the item's result is listed."""
        return item_id in self.listed_ids

    @property
    def is_open(self) -> bool:
        """Whether items may still run: the job was not ended and has unlisted items."""
        return not self.is_ended and len(self.results) < len(self.job.items)

    def append_checkpoint(self, part: TextPart) -> None:
        """Append to the text checkpoint of an item; no effect if the item is listed or unknown.

        There is no effect either once no item of the job may run.
        """
        if self.is_open and part.item_id in self.items_by_id and not self.is_listed(part.item_id):
            self.text_checkpoints.setdefault(part.item_id, TextCheckpoint()).append(part)

    def checkpointed_prefix(self, item_id: str, events: int) -> str | None:
        """Return the text of an item's first events; None if not all of them are checkpointed."""
        checkpoint = self.text_checkpoints.get(item_id)
        if checkpoint is None or len(checkpoint.event_data) < events:
            return None
        return "\n".join(checkpoint.event_data[:events])

    def list_result(self, result: ItemResult, checkpointed_events: int = 0) -> bool:
        """Append a result at the next position.

        Args:
            result: The result, with the text after the checkpointed events.
            checkpointed_events: Number of events whose text is taken from the checkpoint.

        Returns:
            False if the item is listed already or unknown, or if its checkpoint is too short.
        """
        if result.item_id in self.listed_ids or result.item_id not in self.items_by_id:
            return False
        if checkpointed_events:
            prefix = self.checkpointed_prefix(result.item_id, checkpointed_events)
            remaining_text = result.full_text()
            if prefix is None or isinstance(remaining_text, Err):
                return False
            result = ItemResult.succeeded(
                result.item_id, prefix + remaining_text.ok_value, result.versions, result.score
            )
        self.listed_ids.add(result.item_id)
        self.text_checkpoints.pop(result.item_id, None)
        self.results.append(result)
        self.strip_if_closed()
        return True

    def strip_if_closed(self) -> None:
        """Remove the requests of the items if no item may run any more."""
        if not self.is_open:
            self.job = strip_requests(self.job)
            self.items_by_id = {item.item_id: item for item in self.job.items}


class StoredJob(msgspec.Struct, frozen=True):
    """A job in a snapshot."""

    job: BatchJob
    accepted_at: float
    results: list[ItemResult]
    is_ended: bool
    ended_at: float
    text_checkpoints: dict[str, TextCheckpoint] = msgspec.field(name="kept_texts")


class StoredJobs(msgspec.Struct, frozen=True):
    """A snapshot of the state."""

    jobs: list[StoredJob]
    orders: dict[str, CallIntent]


_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(StoredJobs)


class JobStates:
    """The state of one replica."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobState] = {}
        self.orders = CallIntents()
        """The last order intent for each engine."""

    def apply(self, command: JobCommand, group_time: float) -> str:
        """Apply a committed command.

        Args:
            command: The command.
            group_time: Group time of its proposal in seconds.

        Returns:
            Id of the job that was added, changed or deleted; empty if no job was. A checkpoint does
            not count as a change.
        """
        match command:
            case AcceptJob():
                return self._accept(command.job, group_time)
            case ListResult():
                job = self.jobs.get(command.job_id)
                if job is None or not job.list_result(command.result, command.checkpointed_events):
                    return ""
                return command.job_id
            case CloseJob():
                return self._close(command.job_id, group_time)
            case DeleteJob():
                return command.job_id if self.jobs.pop(command.job_id, None) else ""
            case RecordOrderIntent():
                self.orders.record(command.backend_id, command.holder, group_time)
                return ""
            case CheckpointTexts():
                for part in command.parts:
                    job_state = self.jobs.get(part.job_id)
                    if job_state is not None:
                        job_state.append_checkpoint(part)
                return ""

    def _accept(self, job: BatchJob, group_time: float) -> str:
        if job.job_id in self.jobs:
            return ""
        self.jobs[job.job_id] = JobState(job, group_time)
        return job.job_id

    def _close(self, job_id: str, group_time: float) -> str:
        job = self.jobs.get(job_id)
        if job is None or job.is_ended:
            return ""
        job.is_ended = True
        job.ended_at = group_time
        job.text_checkpoints.clear()
        job.strip_if_closed()
        return job_id

    def mean_tokens_per_job(self, model: str) -> float:
        """Return the mean number of output tokens expected per job, over a model's newest jobs.

        For an item without an estimate, its `maximum_tokens` is used.
        """
        jobs = [job.job for job in self.recent_jobs(model)]
        total = sum(
            item.expected_tokens or item.maximum_tokens for job in jobs for item in job.items
        )
        return total / max(1, len(jobs))

    def recent_jobs(self, model: str) -> list[JobState]:
        """Return the newest `RECENT_JOB_COUNT` jobs of a model, newest first."""
        newest = [job for job in reversed(self.jobs.values()) if job.job.model == model]
        return newest[:RECENT_JOB_COUNT]

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        jobs = [
            StoredJob(
                job.job,
                job.accepted_at,
                job.results,
                job.is_ended,
                job.ended_at,
                job.text_checkpoints,
            )
            for job in self.jobs.values()
        ]
        return msgspec.msgpack.encode(StoredJobs(jobs, self.orders.latest))

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot.

        Raises:
            msgspec.DecodeError: The bytes are not a valid snapshot.
        """
        snapshot = _SNAPSHOT_DECODER.decode(data)
        self.orders.latest = dict(snapshot.orders)
        self.jobs = {
            stored.job.job_id: JobState(
                stored.job,
                stored.accepted_at,
                stored.results,
                stored.is_ended,
                stored.ended_at,
                text_checkpoints=stored.text_checkpoints,
            )
            for stored in snapshot.jobs
        }
