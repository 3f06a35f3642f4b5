"""The text of an item, assembled from the server-sent events of one or more runs.

`common.event_stream` defines the format of the stream. Event ids count from 1 without gaps.
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
    """The events received so far, each exactly once and in order."""

    def __init__(self) -> None:
        self.event_data: list[str] = []
        self.versions: list[int] = []
        """Weight versions that generated events, in order of appearance."""
        self.last_event_id = 0
        self._current_version = 0
        self._splitter = EventSplitter()

    @property
    def text(self) -> str:
        """The data of all events, one per line."""
        return "\n".join(self.event_data)

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return self._splitter.pending_bytes > 0

    def begin_run(self, version: int) -> None:
        """Prepare for the stream of a new run, which continues after the last complete event.

        Args:
            version: Weight version with which the run starts.
        """
        self._splitter = EventSplitter()
        self._current_version = version

    def restore(self, event_data: Sequence[str], versions: Sequence[int]) -> None:
        """Replace the text by a checkpoint.

        Args:
            event_data: Data of the events, starting with event id 1.
            versions: Weight versions that generated them.
        """
        self.reset()
        self.event_data = list(event_data)
        self.versions = list(versions)
        self.last_event_id = len(self.event_data)

    def reset(self) -> None:
        """Discard all events."""
        self.__init__()  # type: ignore[misc]

    def feed(self, data: bytes, version_field: str) -> Result[None, InvalidInputError]:
        """Add received bytes of the current run.

        Args:
            data: The bytes.
            version_field: Name of the event field that carries a new weight version.

        Returns:
            An error if an event is malformed, out of order or too long.
        """
        for raw in self._splitter.feed(data):
            parsed = parse_event(raw, version_field)
            if isinstance(parsed, Err):
                return parsed
            event = parsed.ok_value
            if event is None:
                continue
            if event.event_id != self.last_event_id + 1:
                detail = f"event id {event.event_id} received after {self.last_event_id}"
                return Err(InvalidInputError(detail=detail))
            self._append(event)
        if self._splitter.pending_bytes > MAXIMUM_EVENT_BYTES:
            return Err(InvalidInputError(detail=f"event longer than {MAXIMUM_EVENT_BYTES} bytes"))
        return Ok(None)

    def _append(self, event: ServerSentEvent) -> None:
        if event.version is not None:
            self._current_version = event.version
        if self._current_version not in self.versions:
            self.versions.append(self._current_version)
        self.event_data.append(event.data)
        self.last_event_id = event.event_id
