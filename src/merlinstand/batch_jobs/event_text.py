"""The text of one item, gathered from server-sent events of one or several runs.

Part of the leading keeper's runs of items. Owns the events so far; the format of the stream is that
of `common.event_stream`, event ids count from 1 without gaps.
"""

from collections.abc import Sequence

from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError
from merlinstand.common.event_stream import (
    MAXIMUM_EVENT_BYTES,
    EventSplitter,
    ServerSentEvent,
    parse_event,
)


class ItemText:
    """Events so far, each exactly once and in order."""

    def __init__(self) -> None:
        """Begin without events."""
        self.pieces: list[str] = []
        self.versions: list[int] = []
        """Versions that made an event, in order of appearance."""
        self.last_event_id = 0
        self._current_version = 0
        self._cutter = EventSplitter()

    @property
    def text(self) -> str:
        """The data of all events, one a line."""
        return "\n".join(self.pieces)

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an unfinished event are held."""
        return self._cutter.pending_bytes > 0

    def begin_run(self, version: int) -> None:
        """A run begins, or goes on after the last whole event."""
        self._cutter = EventSplitter()
        self._current_version = version

    def restore(self, pieces: Sequence[str], versions: Sequence[int]) -> None:
        """Go on after a beginning that was kept.

        Args:
            pieces: Data of the first events.
            versions: Weight versions that made them.
        """
        self.reset()
        self.pieces = list(pieces)
        self.versions = list(versions)
        self.last_event_id = len(self.pieces)

    def reset(self) -> None:
        """Drop everything."""
        self.__init__()  # type: ignore[misc]

    def feed(self, data: bytes, version_name: str) -> Result[None, InvalidInputError]:
        """Take bytes of a run in; an event out of order is an error."""
        for raw in self._cutter.feed(data):
            parsed = parse_event(raw, version_name)
            if isinstance(parsed, Err):
                return parsed
            event = parsed.ok_value
            if event is None:
                continue
            if event.event_id != self.last_event_id + 1:
                detail = f"event {event.event_id} follows {self.last_event_id}"
                return Err(InvalidInputError(detail=detail))
            self._take(event)
        if self._cutter.pending_bytes > MAXIMUM_EVENT_BYTES:
            return Err(InvalidInputError(detail="event too long"))
        return Ok(None)

    def _take(self, event: ServerSentEvent) -> None:
        if event.version is not None:
            self._current_version = event.version
        if self._current_version not in self.versions:
            self.versions.append(self._current_version)
        self.pieces.append(event.data)
        self.last_event_id = event.event_id
