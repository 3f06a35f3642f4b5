"""One item on its way to its result.

The leading keeper holds one for each item without a position. Which module changes what: the phase
and the call `item_calls`, `item_streams`, `item_scoring`, `item_listing` and `held_items`; the text
`item_streams`; what the log holds of it the runner.
"""

import enum

import msgspec

from merlinstand.batch_calls.jobs import BatchItem, ItemResult, ResultState
from merlinstand.batch_jobs.event_text import ItemText
from merlinstand.batch_jobs.kept_text import TextCheckpoint, TextPart
from merlinstand.common.ids import BackendId, CallId, ContentDigest


class RunPhase(enum.Enum):
    """Where an item is."""

    WAITING = "waiting"
    GENERATING = "generating"
    SCORING = "scoring"
    HELD = "held"
    """Engines crashed under it: it does not run for now, or never again."""
    LISTING = "listing"
    """Its result is proposed."""


class ItemRun(msgspec.Struct):
    """An item that has no position yet."""

    job_id: str
    item: BatchItem
    order: tuple[int, int] = (0, 0)
    """Position of the job among open jobs, and of the item in the job."""
    phase: RunPhase = RunPhase.WAITING
    text: ItemText = msgspec.field(default_factory=ItemText)
    failures: int = 0
    """Answers of 500."""
    call_id: CallId | None = None
    backend_id: BackendId | None = None
    """Where it runs, or ran last."""
    started_at: float = 0.0
    """When the present run began."""
    heard_at: float = 0.0
    """When its engine last sent something."""
    is_streaming: bool = False
    """Whether the present run was accepted by its engine."""
    wait_until: float = 0.0
    """Local time before which it is not started, scored or listed again."""
    scoring_failures: int = 0
    """Answers of 500 to its scoring calls."""
    kept_events: int = 0
    """Events of the text that were given to the log."""
    kept_at: float = 0.0
    """When they were, or when the item first began; 0 before that."""
    score: str = ""
    """The scoring service's signature; empty before that."""
    result: ItemResult | None = None
    """Set once it is to be listed."""
    taken_up_at: float = 0.0
    """When this keeper took the item up."""
    first_begun_at: float = 0.0
    """When its first run here began; 0 before that."""
    whole_at: float = 0.0
    """When its text was whole; 0 before that."""
    run_count: int = 0
    """Runs that began here."""
    content: ContentDigest | None = None
    """Digest of what it asks of an engine, once somebody has asked for it."""
    is_suspect: bool = False
    """Whether engines had crashed under it when its present run began."""
    is_resubmitted: bool = False
    """Whether the item stood in an earlier job, too."""

    @property
    def key(self) -> str:
        """Names the item within this process."""
        return f"{self.job_id}/{self.item.item_id}"

    def timings(self, now: float) -> dict[str, object]:
        """Where an item's time went so far, in seconds, for its last log line."""
        begun_at = self.first_begun_at or now
        whole_at = self.whole_at or now
        return {
            "waited": round(begun_at - self.taken_up_at, 3),
            "generated": round(max(0.0, whole_at - begun_at), 3),
            "scored": round(now - max(whole_at, begun_at), 3),
            "runs": self.run_count,
        }

    def restart_text(self) -> None:
        """Drop the text: it can't go on."""
        self.text.reset()
        self.kept_events = 0

    def resume_text(self, kept: TextCheckpoint) -> None:
        """Go on after the beginning that an earlier leader kept."""
        self.text.restore(kept.event_data, kept.versions)
        self.kept_events = self.text.last_event_id

    def next_part(self) -> TextPart:
        """What was not given to the log yet."""
        return TextPart(
            job_id=self.job_id,
            item_id=self.item.item_id,
            first_event_id=self.kept_events + 1,
            event_data=tuple(self.text.pieces[self.kept_events :]),
            versions=tuple(self.text.versions),
        )

    def succeeded(self) -> ItemResult:
        """The result of a whole text."""
        return self.succeeded_after("")

    def succeeded_after(self, beginning: str) -> ItemResult:
        """The result without its beginning, which the log holds already."""
        rest = self.text.text[len(beginning) :]
        return ItemResult.succeeded(self.item.item_id, rest, tuple(self.text.versions), self.score)

    def terminated(self) -> ItemResult:
        """The result of an item that was given up."""
        return ItemResult(item_id=self.item.item_id, state=ResultState.TERMINATED)
