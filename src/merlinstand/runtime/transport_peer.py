"""The outbound connection to one peer.

A `PeerConnection` owns a bounded queue of frames, the connection and the greenlet that sends on it.
It reconnects with exponential backoff and never sends a frame twice: frames of a failed send are
lost, which the reducers' protocols tolerate. Losses are not logged; frames dropped by a full queue
are counted (`merlinstand_internal_losses`).
"""

import random
from collections import deque
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event

from merlinstand.runtime.dialing import dial, enable_keepalive
from merlinstand.runtime.end_watcher import DisconnectWatcher
from merlinstand.runtime.host_settings import DEFAULT_PEER_TIMINGS, PeerTimings

if TYPE_CHECKING:
    from gevent.ssl import SSLContext

MAXIMUM_QUEUED_FRAMES = 4096
"""Maximum queued frames for one peer; above it the oldest are dropped."""
MAXIMUM_QUEUED_BYTES = 128 * 1024 * 1024
"""Maximum queued bytes for one peer: two messages of the maximum size."""
SEND_TIMEOUT_SECONDS = 5.0
"""Timeout of one write; after it the connection is reopened."""
INITIAL_BACKOFF_SECONDS = 0.05
"""Backoff after the first failed attempt; each further failure doubles it, up to the limit in
`PeerTimings`."""
SEND_BATCH_BYTES = 256 * 1024
"""Frames are joined into one write until this size is reached, which saves system calls."""


class PeerConnection:
    """Queues frames and sends them over one connection, which it reopens as needed."""

    def __init__(
        self,
        address: str,
        hello_frame: bytes,
        tls_context: "SSLContext | None",
        timings: PeerTimings = DEFAULT_PEER_TIMINGS,
    ) -> None:
        """Start connecting.

        Args:
            address: `ip:port` where the peer listens.
            hello_frame: Encoded `Hello`, sent first on every connection.
            tls_context: If set, TLS is used.
            timings: Timeouts and backoff.
        """
        self._address = address
        self._hello_frame = hello_frame
        self._tls_context = tls_context
        self._timings = timings
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._wake = Event()
        self._sent = Event()
        self._failing = False
        self._socket: Any = None
        self._disconnect_watcher: DisconnectWatcher | None = None
        self._greenlet = gevent.spawn(self._run)

    def push(self, frame: bytes) -> int:
        """Queue a frame.

        Returns:
            How many older frames were dropped to keep the queue bounded.
        """
        self._queue.append(frame)
        self._queued_bytes += len(frame)
        dropped = 0
        while len(self._queue) > 1 and self._is_over_limit():
            self._queued_bytes -= len(self._queue.popleft())
            dropped += 1
        self._sent.clear()
        self._wake.set()
        return dropped

    def change_address(self, address: str) -> None:
        """Set the peer's new address and close the current connection."""
        self._address = address
        self._disconnect()

    def wait_until_sent(self) -> None:
        """Block this greenlet until the queue is empty or a send or connection attempt fails."""
        if self._queue and not self._failing:
            self._sent.wait()

    def close(self) -> None:
        """Close the connection and stop sending; queued frames are dropped."""
        self._greenlet.kill(block=False)
        self._disconnect()

    def _is_over_limit(self) -> bool:
        return len(self._queue) > MAXIMUM_QUEUED_FRAMES or self._queued_bytes > MAXIMUM_QUEUED_BYTES

    def _run(self) -> None:
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._queue:
                try:
                    self._send_some()
                    backoff_seconds = INITIAL_BACKOFF_SECONDS
                    self._failing = False
                except OSError:
                    self._disconnect()
                    self._failing = True
                    self._sent.set()
                    # Jitter, so that many processes do not reconnect at the same time.
                    gevent.sleep(backoff_seconds * random.uniform(0.5, 1.0))
                    longest_seconds = self._timings.longest_back_off_seconds
                    backoff_seconds = min(backoff_seconds * 2, longest_seconds)
            self._sent.set()

    def _send_some(self) -> None:
        connection = self._socket or self._connect()
        frames: list[bytes] = []
        size = 0
        while self._queue and size < SEND_BATCH_BYTES:
            frame = self._queue.popleft()
            size += len(frame)
            frames.append(frame)
        self._queued_bytes -= size
        # Frames of a failed send are not resent: some of them may have arrived, and a message
        # must never be sent twice.
        connection.sendall(frames[0] if len(frames) == 1 else b"".join(frames))

    def _connect(self) -> Any:
        timings = self._timings
        try:
            connection = dial(
                self._address,
                timings.connect_timeout_seconds,
                self._tls_context,
                timings.silence_limit_seconds,
            )
        except ValueError as error:
            raise OSError(str(error)) from error
        try:
            enable_keepalive(connection)
            connection.settimeout(SEND_TIMEOUT_SECONDS)
            connection.sendall(self._hello_frame)
        except BaseException:
            connection.close()
            raise
        self._socket = connection
        # Detects a disconnect immediately, so that the next frame opens a new connection.
        self._disconnect_watcher = DisconnectWatcher(connection, self._disconnect)
        return connection

    def _disconnect(self) -> None:
        if self._disconnect_watcher is not None:
            self._disconnect_watcher.stop()
            self._disconnect_watcher = None
        connection = self._socket
        self._socket = None
        if connection is not None:
            connection.close()
