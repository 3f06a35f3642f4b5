"""Logs: one line of key=value pairs for each event, by the standard library's logging.

`EventLog` writes the lines of one host; `configure_process_logging` sends those of the whole
process, libraries' included, to standard output by a `LogWriter`, which never blocks the loop.
"""

import atexit
import json
import logging
import sys
import time
from typing import Any

from merlinstand.runtime.log_writer import LogWriter

_SEVERITIES = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
_BARE_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.:/@+,*#%[](){}<>!?;&|~^"
)


class EventLog:
    """Writes the log lines of one process."""

    def __init__(self, node_id: str, level: str = "info") -> None:
        """Create a log that writes to the logger `merlinstand.NODE_ID`."""
        self._node_id = node_id
        self._logger = logging.getLogger(f"merlinstand.{node_id}")
        self._logger.setLevel(severity_level(level))

    def write(self, event_name: str, fields: dict[str, Any], severity: str = "info") -> None:
        """Write one event."""
        level = severity_level(severity)
        if not self._logger.isEnabledFor(level):
            return
        own = {"node": self._node_id, "event": event_name}
        # A field may not take the place of who writes the line, or of what happened.
        pairs = {**own, **fields, **own}
        self._logger.log(level, "%s", format_pairs(pairs))


def severity_level(severity: str) -> int:
    """Map a severity's name to the level of `logging`; unknown names count as info."""
    return _SEVERITIES.get(severity, logging.INFO)


def format_pairs(fields: dict[str, Any]) -> str:
    """Render fields as `key=value` pairs on one line."""
    return " ".join(f"{_bare_key(key)}={_format_value(value)}" for key, value in fields.items())


class QueueHandler(logging.Handler):
    """Hands formatted lines to a writer that never blocks."""

    def __init__(self, writer: LogWriter) -> None:
        """Wrap a writer."""
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line."""
        self._writer.push(self.format(record) + "\n", record.levelno >= logging.WARNING)


def configure_process_logging() -> LogWriter:
    """Send all of this process's log lines to standard output. Call once, in `main`."""
    sys.stdout.flush()
    writer = LogWriter(sys.stdout.fileno())
    atexit.register(writer.flush_at_exit)
    handler = QueueHandler(writer)
    handler.setFormatter(_LineFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    # A full or closed pipe must not print tracebacks into the very same pipe.
    logging.raiseExceptions = False
    return writer


class _LineFormatter(logging.Formatter):
    """Adds time and severity; lines of libraries become an event of their own."""

    def format(self, record: logging.LogRecord) -> str:
        message = record.getMessage()
        if not record.name.startswith("merlinstand."):
            message = format_pairs({"event": f"library.{record.name}", "message": message})
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        fraction = int(record.msecs)
        severity = record.levelname.lower()
        return f"time={stamp}.{fraction:03d}Z severity={severity} {message}"


def _bare_key(key: str) -> str:
    if _BARE_CHARACTERS.issuperset(key):
        return key
    return "".join(character if character in _BARE_CHARACTERS else "_" for character in key)


def _format_value(value: Any) -> str:
    text = value if isinstance(value, str) else str(value)
    if text and _BARE_CHARACTERS.issuperset(text):
        return text
    # JSON's escapes keep quotes, line ends and control characters on one line.
    return json.dumps(text)
