"""Checkpoints of the texts of unfinished items, so that a new leader can resume the generation.

Every keeper stores the checkpoints in the jobs of `state_machine`. `text_keeping` decides which
texts the leader appends to the log; docs/DECISIONS/0011-kept-texts.md gives the reasons.
"""

import msgspec


class TextPart(msgspec.Struct, frozen=True, array_like=True):
    """Events of one unfinished item since its previous checkpoint."""

    job_id: str
    item_id: str
    first_event_id: int
    """Id of the first event in `event_data`; 1 if the text was restarted."""
    event_data: tuple[str, ...]
    """Data of the events, in order of their ids."""
    versions: tuple[int, ...]
    """Weight versions that generated events of the text so far."""

    @property
    def size(self) -> int:
        """Characters in `event_data`."""
        return sum(len(data) for data in self.event_data)


class TextCheckpoint(msgspec.Struct):
    """The replicated prefix of an unfinished item's text."""

    event_data: list[str] = msgspec.field(default_factory=list, name="pieces")
    """Data of the events, starting with event id 1."""
    versions: tuple[int, ...] = ()

    def append(self, part: TextPart) -> None:
        """Append a part.

        A part that starts with event 1 replaces the checkpoint; any other part that does not start
        right after the last event is ignored.
        """
        if part.first_event_id == 1:
            self.event_data = []
        if part.first_event_id != len(self.event_data) + 1:
            return
        self.event_data.extend(part.event_data)
        self.versions = part.versions
