"""The replicated batch jobs: the same commands in the same order give the same state.

Every keeper applies the committed commands. Owns the kept jobs, their results and who ordered each
engine last; nothing else changes them. Commands and snapshots are msgpack of the Structs here:
fields and tags are read back from logs on disk, so they keep their names and order.
"""

import msgspec
from result import Err

from merlinstand.batch_calls.jobs import BatchItem, BatchJob, ItemResult
from merlinstand.batch_jobs.kept_text import TextCheckpoint, TextPart
from merlinstand.batch_jobs.request_stripping import strip_requests
from merlinstand.common.packed_message import compress_message, decompress_message
from merlinstand.fenced_calls.call_intents import CallIntent, CallIntents


class AcceptJob(msgspec.Struct, frozen=True, tag="accept"):
    """Keep a job; a second one under its id changes nothing."""

    job: BatchJob


class ListResult(msgspec.Struct, frozen=True, tag="list"):
    """Give an item's result the next position; a second one changes nothing."""

    job_id: str
    result: ItemResult
    checkpointed_events: int = msgspec.field(default=0, name="kept_events")
    """Events that the text of the result begins with and that were kept before (`KeepTexts`): their
    data is left out here, and stands in front once the command is applied."""


class CloseJob(msgspec.Struct, frozen=True, tag="close"):
    """End a job."""

    job_id: str


class ForgetJob(msgspec.Struct, frozen=True, tag="forget"):
    """Drop a job that nobody may ask for any more."""

    job_id: str


class NoteOrder(msgspec.Struct, frozen=True, tag="order"):
    """The leader is about to give an engine an order; noted before it is sent."""

    backend_id: str
    holder: str


class CheckpointTexts(msgspec.Struct, frozen=True, tag="texts"):
    """Remember how far some unfinished items have come."""

    parts: tuple[TextPart, ...]


JobCommand = AcceptJob | ListResult | CloseJob | ForgetJob | NoteOrder | CheckpointTexts

RECENT_JOBS = 3
"""Newest jobs of a model over which its demand is averaged. Chosen, not measured."""
_COMMAND_DECODER = msgspec.msgpack.Decoder(JobCommand)


def encode_command(command: JobCommand) -> bytes:
    """Encode for the log; bodies and texts are compressed once, by whoever makes them."""
    data = msgspec.msgpack.encode(command)
    return compress_message(data) if isinstance(command, AcceptJob | CheckpointTexts) else data


def decode_command(data: bytes) -> JobCommand:
    """Decode a log entry.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _COMMAND_DECODER.decode(decompress_message(data))


class JobState(msgspec.Struct):
    """One kept job."""

    job: BatchJob
    accepted_at: float
    """Group time in seconds."""
    results: list[ItemResult] = msgspec.field(default_factory=list)
    is_ended: bool = False
    ended_at: float = 0.0
    items_by_id: dict[str, BatchItem] = msgspec.field(default_factory=dict)
    listed_ids: set[str] = msgspec.field(default_factory=set)
    text_checkpoints: dict[str, TextCheckpoint] = msgspec.field(default_factory=dict)
    """Beginnings of the texts of long items that have no position yet."""
    group_count: int = 0

    def __post_init__(self) -> None:
        """Index the items and count their groups."""
        self.items_by_id = {item.item_id: item for item in self.job.items}
        self.listed_ids = {result.item_id for result in self.results}
        self.group_count = self.job.count_groups()

    def find_item(self, item_id: str) -> BatchItem | None:
        """Give an item of the job."""
        return self.items_by_id.get(item_id)

    def is_listed(self, item_id: str) -> bool:
        """Whether the item has a position."""
        return item_id in self.listed_ids

    @property
    def is_open(self) -> bool:
        """Whether items may still be run."""
        return not self.is_ended and len(self.results) < len(self.job.items)

    def keep_text(self, part: TextPart) -> None:
        """Take in more of an unfinished item's text."""
        if self.is_open and part.item_id in self.items_by_id and not self.is_listed(part.item_id):
            self.text_checkpoints.setdefault(part.item_id, TextCheckpoint()).append(part)

    def kept_beginning(self, item_id: str, events: int) -> str | None:
        """Give the text of an item's first events; None if so many were not kept."""
        kept = self.text_checkpoints.get(item_id)
        if kept is None or len(kept.event_data) < events:
            return None
        return "\n".join(kept.event_data[:events])

    def add(self, result: ItemResult, kept_events: int = 0) -> bool:
        """Give a result the next position.

        Args:
            result: With the text that follows the kept events.
            kept_events: Events whose text was kept before.

        Returns:
            False if its item has a position or is unknown, or if its beginning was not kept.
        """
        if result.item_id in self.listed_ids or result.item_id not in self.items_by_id:
            return False
        if kept_events:
            beginning = self.kept_beginning(result.item_id, kept_events)
            rest = result.full_text()
            if beginning is None or isinstance(rest, Err):
                return False
            result = ItemResult.succeeded(
                result.item_id, beginning + rest.ok_value, result.versions, result.score
            )
        self.listed_ids.add(result.item_id)
        self.text_checkpoints.pop(result.item_id, None)
        self.results.append(result)
        self.shed_if_done()
        return True

    def shed_if_done(self) -> None:
        """Let go of the items' requests if none of them may run any more."""
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
    kept_texts: dict[str, TextCheckpoint]


class StoredJobs(msgspec.Struct, frozen=True):
    """A whole snapshot."""

    jobs: list[StoredJob]
    orders: dict[str, CallIntent]


_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(StoredJobs)


class JobStates:
    """All kept jobs of one replica."""

    def __init__(self) -> None:
        """Begin without jobs."""
        self.jobs: dict[str, JobState] = {}
        self.orders = CallIntents()
        """Who ordered each engine last."""

    def apply(self, command: JobCommand, group_time: float) -> str:
        """Apply a committed command.

        Args:
            command: What was agreed.
            group_time: Group time of its proposal in seconds.

        Returns:
            Id of the job that changed, or nothing.
        """
        match command:
            case AcceptJob():
                return self._accept(command.job, group_time)
            case ListResult():
                job = self.jobs.get(command.job_id)
                if job is None or not job.add(command.result, command.checkpointed_events):
                    return ""
                return command.job_id
            case CloseJob():
                return self._close(command.job_id, group_time)
            case ForgetJob():
                return command.job_id if self.jobs.pop(command.job_id, None) else ""
            case NoteOrder():
                self.orders.record(command.backend_id, command.holder, group_time)
                return ""
            case CheckpointTexts():
                for part in command.parts:
                    held = self.jobs.get(part.job_id)
                    if held is not None:
                        held.keep_text(part)
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
        job.shed_if_done()
        return job_id

    def mean_tokens_per_job(self, model: str) -> float:
        """Tokens out that one of the newest jobs of a model is expected to need, in the mean."""
        jobs = [job.job for job in self.recent_jobs(model)]
        total = sum(
            item.expected_tokens or item.maximum_tokens for job in jobs for item in job.items
        )
        return total / max(1, len(jobs))

    def recent_jobs(self, model: str) -> list[JobState]:
        """Give the newest jobs of a model, newest first."""
        newest = [job for job in reversed(self.jobs.values()) if job.job.model == model]
        return newest[:RECENT_JOBS]

    def snapshot(self) -> bytes:
        """Encode the whole state."""
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
        """Replace the whole state.

        Raises:
            msgspec.DecodeError: The bytes are no snapshot.
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
                text_checkpoints=stored.kept_texts,
            )
            for stored in snapshot.jobs
        }
