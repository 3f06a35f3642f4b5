"""Texts of unfinished items, replicated now and then: a new leader goes on where they end.

Every keeper holds them, in the jobs of `state_machine`. Which texts the leading keeper sends to the
log is decided in `text_keeping`; why they are kept: docs/DECISIONS/0011-kept-texts.md.
"""

import msgspec


class TextPart(msgspec.Struct, frozen=True, array_like=True):
    """Events that one unfinished item has gained since its last part."""

    job_id: str
    item_id: str
    first_event_id: int
    """Id of the first event given; 1 if the text began anew."""
    event_data: tuple[str, ...]
    """Data of the events, in order."""
    versions: tuple[int, ...]
    """Every weight version that made an event of the text so far."""

    @property
    def size(self) -> int:
        """Characters given."""
        return sum(len(piece) for piece in self.event_data)


class TextCheckpoint(msgspec.Struct):
    """The replicated beginning of one item's text."""

    event_data: list[str] = msgspec.field(default_factory=list, name="pieces")
    """Data of events 1, 2, and so on."""
    versions: tuple[int, ...] = ()

    def append(self, part: TextPart) -> None:
        """Append a part; one that begins anew replaces everything, one with a gap is dropped."""
        if part.first_event_id == 1:
            self.event_data = []
        if part.first_event_id != len(self.event_data) + 1:
            return
        self.event_data.extend(part.event_data)
        self.versions = part.versions
