"""The state of an unfinished item in the leading keeper.

The phase and the call are changed by `item_calls`, `item_streams`, `item_scoring` and
`item_listing`, the text by `item_streams`, and the checkpoint fields by `runner`.
"""

import enum

import msgspec

from merlinstand.batch_calls.jobs import BatchItem, ItemResult, ResultState
from merlinstand.batch_jobs.event_text import ItemText
from merlinstand.batch_jobs.kept_text import TextCheckpoint, TextPart
from merlinstand.common.ids import BackendId, CallId


class RunPhase(enum.Enum):
    """Phase of an unfinished item."""

    WAITING = "waiting"
    GENERATING = "generating"
    SCORING = "scoring"
    LISTING = "listing"
    """Its result is being proposed to the log."""


class ItemRun(msgspec.Struct):
    """An item whose result is not listed (committed) yet, with its current run, if any."""

    job_id: str
    item: BatchItem
    order: tuple[int, int] = (0, 0)
    """Sequence number of the job in this leadership term, and index of the item in the job."""
    phase: RunPhase = RunPhase.WAITING
    text: ItemText = msgspec.field(default_factory=ItemText)
    failures: int = 0
    """Number of responses with status 500."""
    call_id: CallId | None = None
    backend_id: BackendId | None = None
    """Engine of the current or last run."""
    started_at: float = 0.0
    """Local time at which the current run started."""
    last_received_at: float = 0.0
    """Local time at which the engine last sent events; initially the start of the run."""
    is_streaming: bool = False
    """Whether the engine accepted the current run: response headers with status 200 arrived."""
    wait_until: float = 0.0
    """Local time before which the item is not started, scored or proposed again."""
    scoring_failures: int = 0
    """Number of responses with status 500 to its scoring calls."""
    checkpointed_events: int = 0
    """Number of events whose checkpoint has been proposed to the log."""
    checkpointed_at: float = 0.0
    """Local time of the last checkpoint. Before the first checkpoint, the time of the first start;
    0 before that."""
    score: str = ""
    """Signature from the scoring service; empty before it is scored."""
    result: ItemResult | None = None
    """The result, once the item has ended; None before."""
    queued_at: float = 0.0
    """Local time at which this leader queued the item."""
    waiting_since: float = 0.0
    """Local time since which the item is at no engine, if it waits."""
    first_started_at: float = 0.0
    """Local time at which its first run under this leader started; 0 before that."""
    completed_at: float = 0.0
    """Local time at which its text was complete; 0 before that."""
    run_count: int = 0
    """Number of runs started under this leader."""
    was_interrupted: bool = False
    """Whether the connection to an engine broke while the engine ran the item. Later runs are kept
    apart from those of other interrupted items, so that one crash does not interrupt them all."""
    is_resubmitted: bool = False
    """Whether the item was also in an earlier job."""

    @property
    def key(self) -> str:
        """Identifier of the item within this process."""
        return f"{self.job_id}/{self.item.item_id}"

    def timings(self, now: float) -> dict[str, object]:
        """Return the seconds spent in each phase and the number of runs, for the final log line."""
        started_at = self.first_started_at or now
        completed_at = self.completed_at or now
        return {
            "waited": round(started_at - self.queued_at, 3),
            "generated": round(max(0.0, completed_at - started_at), 3),
            "scored": round(now - max(completed_at, started_at), 3),
            "runs": self.run_count,
        }

    def restart_text(self) -> None:
        """Discard the text because it cannot be continued."""
        self.text.reset()
        self.checkpointed_events = 0

    def resume_text(self, checkpoint: TextCheckpoint) -> None:
        """Continue after the checkpoint that an earlier leader wrote."""
        self.text.restore(checkpoint.event_data, checkpoint.versions)
        self.checkpointed_events = self.text.last_event_id

    def next_checkpoint_part(self) -> TextPart:
        """Return the events that were not checkpointed yet."""
        return TextPart(
            job_id=self.job_id,
            item_id=self.item.item_id,
            first_event_id=self.checkpointed_events + 1,
            event_data=tuple(self.text.event_data[self.checkpointed_events :]),
            versions=tuple(self.text.versions),
        )

    def make_succeeded_result(self) -> ItemResult:
        """Return the result with the complete text."""
        return self.make_succeeded_result_after("")

    def make_succeeded_result_after(self, prefix: str) -> ItemResult:
        """Return the result without a prefix of the text that the log already contains."""
        remaining_text = self.text.text[len(prefix) :]
        return ItemResult.succeeded(
            self.item.item_id, remaining_text, tuple(self.text.versions), self.score
        )

    def make_terminated_result(self) -> ItemResult:
        """Return the result of a terminated item."""
        return ItemResult(item_id=self.item.item_id, state=ResultState.TERMINATED)
