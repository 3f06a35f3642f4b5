"""Writes log lines off the hot path: a bounded queue that never blocks the loop.

A reader that is slow or never reads costs no request anything: the oldest routine lines are
dropped first, failures last, and a line says how many are missing.
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
"""Routine lines that wait at most; with the failures under 1 MB
(docs/design/light-processes.md)."""
MAXIMUM_FAILURE_LINES = 1_000
"""Lines of failures that wait at most. Chosen, not measured."""
BATCH_DELAY_SECONDS = 0.02
"""Lines that come within this time, in seconds, leave in one write. Chosen, not measured."""
BATCH_BYTES = 64 * 1024
"""Lines are joined into one write until they are this long. Chosen, not measured."""


class LogQueue:
    """Lines that wait to be written: routine ones and failures, each bounded."""

    def __init__(
        self,
        maximum_routine: int = MAXIMUM_ROUTINE_LINES,
        maximum_failures: int = MAXIMUM_FAILURE_LINES,
    ) -> None:
        """Begin empty."""
        self._maximum = (maximum_routine, maximum_failures)
        self._lines: deque[tuple[int, str]] = deque()
        self._failures: deque[tuple[int, str]] = deque()
        self._number = 0
        self.dropped = 0
        """Lines dropped since the last time it was told."""

    def __len__(self) -> int:
        """Lines that wait."""
        return len(self._lines) + len(self._failures)

    def push(self, line: str, is_failure: bool) -> None:
        """Add a line; drops the oldest of its kind where there are too many."""
        self._number += 1
        queue = self._failures if is_failure else self._lines
        queue.append((self._number, line))
        if len(queue) > self._maximum[is_failure]:
            queue.popleft()
            self.dropped += 1

    def take(self, maximum_bytes: int) -> str:
        """Take the oldest lines out, in the order in which they came."""
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
    """Writes a queue's lines to a descriptor from a greenlet of its own."""

    def __init__(self, descriptor: int, queue: LogQueue | None = None) -> None:
        """Take over a descriptor; pipes and sockets no longer block.

        Args:
            descriptor: For example 1, the standard output.
            queue: Lines to write; a new queue if absent.
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
        """Wait a bounded time until everything is written."""
        with gevent.Timeout(timeout_seconds, False):
            while self._unwritten or len(self.queue):
                self._write_some(lambda: wait_write(self._descriptor))

    def flush_at_exit(self) -> None:
        """Write what can be written at once."""
        # The log itself failed: nobody can be told.
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
        """Write once; false if the reader took nothing."""
        if not self._unwritten:
            self._unwritten = self.queue.take(BATCH_BYTES).encode()
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            wait()
            return False
        except OSError:
            # Nobody will ever read it.
            self._unwritten = b""
            return False
        self._unwritten = self._unwritten[written:]
        return True
