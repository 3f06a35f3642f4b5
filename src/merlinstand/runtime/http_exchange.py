"""One HTTP request at the endpoint and the response that effects build for it.

Effects add the response from any greenlet and never block; the connection's greenlet sends it as
fast as the client reads. The buffer between them is limited: a client that falls further behind is
disconnected.
"""

import errno
from collections import deque
from collections.abc import Callable, Iterator

from gevent.event import Event

from merlinstand.common.ids import RequestId
from merlinstand.runtime.kept_bytes import ConnectionBuffer


class BrokenResponseError(OSError):
    """Closes the connection in the middle of a response, so that the client detects truncation.

    It is an `OSError` with `EPIPE`, for which pywsgi closes the connection without logging.
    """

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(errno.EPIPE, "response aborted before it was complete")


class Exchange:
    """Passes a response from effects (in any greenlet) to the connection's greenlet."""

    def __init__(
        self,
        request_id: RequestId,
        maximum_unsent_bytes: int,
        on_closed: Callable[["Exchange"], None],
        buffer: ConnectionBuffer,
    ) -> None:
        """Create an exchange that waits for its response.

        Args:
            request_id: The host's id of the request.
            maximum_unsent_bytes: A client with more unsent streamed bytes is disconnected.
            on_closed: Called once, when the response ends or the client disconnects.
            buffer: Accounts for bytes that wait for the connection's greenlet.
        """
        self.request_id = request_id
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.streamed = False
        self.ended = False
        """The reducer has provided the complete response."""
        self.aborted = False
        """The client has disconnected, or the response can't be completed."""
        self._whole = True
        self._closed = False
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._maximum_unsent_bytes = maximum_unsent_bytes
        self._changed = Event()
        self._on_closed = on_closed
        self._buffer_usage = buffer
        self._queued_bytes = 0
        """Bytes that this exchange has added to `buffer` and not yet removed."""

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Set the complete response; ignored if a response was already started."""
        if self.status:
            return
        self.status = status
        self.headers = headers
        self.body = body
        self.ended = True
        self._record_queued(len(body))
        self._changed.set()

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set the headers of a streamed response; ignored if a response was already started."""
        if self.status:
            return
        self.status = status
        self.headers = headers
        self.streamed = True
        self._changed.set()

    def push(self, data: bytes) -> None:
        """Queue body bytes of a streamed response; aborts if too many are unsent."""
        if not self.streamed or self.ended or self.aborted or not data:
            return
        self._pending.append(data)
        self._pending_bytes += len(data)
        if self._pending_bytes > self._maximum_unsent_bytes:
            self.abort()
            return
        self._record_queued(len(data))
        self._changed.set()

    def end(self, whole: bool) -> None:
        """End a streamed response; with `whole` False its connection is closed abruptly."""
        if self.ended:
            return
        self.ended = True
        self._whole = whole
        self._changed.set()

    def abort(self) -> None:
        """Record that the client has disconnected or is to be disconnected."""
        self.aborted = True
        self._changed.set()

    def wait_for_head(self) -> None:
        """Block this greenlet until the response's headers are set.

        Raises:
            BrokenResponseError: The client disconnected first.
        """
        while not self.status and not self.aborted:
            self._changed.wait()
            self._changed.clear()
        if self.aborted:
            raise BrokenResponseError

    def chunks(self) -> Iterator[bytes]:
        """Yield the body of a streamed response as it arrives.

        Raises:
            BrokenResponseError: The response is incomplete and must not appear complete.
        """
        try:
            while True:
                if self.aborted:
                    raise BrokenResponseError
                if self._pending:
                    yield self._take_pending()
                    continue
                if self.ended:
                    break
                self._changed.clear()
                self._changed.wait()
            if not self._whole:
                raise BrokenResponseError
        finally:
            self.close()

    def close(self) -> None:
        """Notify the owner, once, that nothing more will be sent."""
        if not self._closed:
            self._closed = True
            self._release_queued()
            self._on_closed(self)

    def _take_pending(self) -> bytes:
        if len(self._pending) == 1:
            data = self._pending.popleft()
        else:
            data = b"".join(self._pending)
            self._pending.clear()
        self._pending_bytes = 0
        self._release_queued()
        return data

    def _record_queued(self, size_bytes: int) -> None:
        if not self._closed:
            self._queued_bytes += size_bytes
            self._buffer_usage.record_queued(size_bytes)

    def _release_queued(self) -> None:
        """Remove queued bytes from the accounting; the connection counts them from here on."""
        queued_bytes, self._queued_bytes = self._queued_bytes, 0
        self._buffer_usage.record_sent(queued_bytes)
