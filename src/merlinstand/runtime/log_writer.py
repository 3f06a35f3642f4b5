"""Writes log lines asynchronously from a bounded queue, without blocking the event loop.

A slow or stopped log reader never delays requests: routine lines and failures have separate
limits, the oldest lines of each kind are dropped, and a log line reports how many.
"""

import contextlib
import os
import stat
from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import Event
from gevent.socket import wait_write

MAXIMUM_ROUTINE_LINES = 4_000
"""Maximum queued routine lines; together with the failures they stay under 1 MB
(docs/design/light-processes.md)."""
MAXIMUM_FAILURE_LINES = 1_000
"""Maximum queued lines of failures (warnings and errors)."""
BATCH_DELAY_SECONDS = 0.02
"""Delay before a write, in which further lines are collected into the same write."""
BATCH_BYTES = 64 * 1024
"""Lines are joined into one write until this size is reached."""


class LogQueue:
    """Lines to be written; routine lines and failures have separate limits."""

    def __init__(
        self,
        maximum_routine: int = MAXIMUM_ROUTINE_LINES,
        maximum_failures: int = MAXIMUM_FAILURE_LINES,
    ) -> None:
        """Create an empty queue."""
        self._maximum = (maximum_routine, maximum_failures)
        self._lines: deque[tuple[int, str]] = deque()
        self._failures: deque[tuple[int, str]] = deque()
        self._number = 0
        self.dropped = 0
        """Lines dropped since the last report of dropped lines."""

    def __len__(self) -> int:
        """Return the number of queued lines."""
        return len(self._lines) + len(self._failures)

    def push(self, line: str, is_failure: bool) -> None:
        """Add a line; drops the oldest line of its kind if there are too many."""
        self._number += 1
        queue = self._failures if is_failure else self._lines
        queue.append((self._number, line))
        if len(queue) > self._maximum[is_failure]:
            queue.popleft()
            self.dropped += 1

    def take(self, maximum_bytes: int) -> str:
        """Remove and return the oldest lines, in order, until `maximum_bytes` is reached."""
        taken: list[str] = []
        size = 0
        if self.dropped:
            taken.append(f"severity=warning event=host.log_lines_dropped count={self.dropped}\n")
            self.dropped = 0
        while len(self) and size < maximum_bytes:
            line = self._oldest().popleft()[1]
            taken.append(line)
            size += len(line)
        return "".join(taken)

    def _oldest(self) -> deque[tuple[int, str]]:
        if not self._failures:
            return self._lines
        if not self._lines:
            return self._failures
        return min(self._lines, self._failures, key=lambda queue: queue[0][0])


class LogWriter:
    """Writes a queue's lines to a file descriptor in its own greenlet."""

    def __init__(self, descriptor: int, queue: LogQueue | None = None) -> None:
        """Start writing to a descriptor; pipes and sockets are set to non-blocking mode.

        Args:
            descriptor: The file descriptor, such as 1 for standard output.
            queue: Lines to write; a new queue if None.
        """
        self._descriptor = descriptor
        self.queue = LogQueue() if queue is None else queue
        self._wake = Event()
        self._unwritten = b""
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)
        self._greenlet = gevent.spawn(self._run)

    def push(self, line: str, is_failure: bool) -> None:
        """Add a line; never blocks."""
        self.queue.push(line, is_failure)
        self._wake.set()

    def flush(self, timeout_seconds: float) -> None:
        """Wait, up to a timeout, until all lines are written."""
        with gevent.Timeout(timeout_seconds, False):
            while self._unwritten or len(self.queue):
                self._write_some(lambda: wait_write(self._descriptor))

    def flush_at_exit(self) -> None:
        """Write as much as possible without waiting."""
        # The log itself failed, so the error can't be logged.
        with contextlib.suppress(OSError):
            while self._unwritten or len(self.queue):
                if not self._write_some(lambda: None):
                    return

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            gevent.sleep(BATCH_DELAY_SECONDS)
            while self._unwritten or len(self.queue):
                self._write_some(lambda: wait_write(self._descriptor))

    def _write_some(self, wait: Callable[[], None]) -> bool:
        """Write once; returns False if nothing could be written."""
        if not self._unwritten:
            self._unwritten = self.queue.take(BATCH_BYTES).encode()
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            wait()
            return False
        except OSError:
            # The reader is gone: discard the lines.
            self._unwritten = b""
            return False
        self._unwritten = self._unwritten[written:]
        return True
