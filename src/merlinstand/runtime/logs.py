"""Logs one line of key=value pairs for each event, with the standard library's logging.

`EventLog` logs the events of one host. `configure_process_logging` sends all lines of the process,
including those of libraries, to standard output by a `LogWriter`, which never blocks the loop.
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
    """Writes the log lines of one host."""

    def __init__(self, node_id: str, level: str = "info") -> None:
        """Create a log that writes to the logger `merlinstand.NODE_ID`."""
        self._node_id = node_id
        self._logger = logging.getLogger(f"merlinstand.{node_id}")
        self._logger.setLevel(severity_level(level))

    def write(self, event_name: str, fields: dict[str, Any], severity: str = "info") -> None:
        """Log one event with its fields."""
        level = severity_level(severity)
        if not self._logger.isEnabledFor(level):
            return
        own = {"node": self._node_id, "event": event_name}
        # Fields must not replace the node or the event name.
        pairs = {**own, **fields, **own}
        self._logger.log(level, "%s", format_pairs(pairs))


def severity_level(severity: str) -> int:
    """Return the `logging` level of a severity; unknown names count as info."""
    return _SEVERITIES.get(severity, logging.INFO)


def format_pairs(fields: dict[str, Any]) -> str:
    """Render fields as `key=value` pairs on one line."""
    return " ".join(f"{_bare_key(key)}={_format_value(value)}" for key, value in fields.items())


class QueueHandler(logging.Handler):
    """Passes formatted lines to a `LogWriter`, without blocking."""

    def __init__(self, writer: LogWriter) -> None:
        """Create a handler for a writer."""
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line."""
        self._writer.push(self.format(record) + "\n", record.levelno >= logging.WARNING)


def configure_process_logging() -> LogWriter:
    """Send all log lines of this process to standard output. Call once, in `main`."""
    sys.stdout.flush()
    writer = LogWriter(sys.stdout.fileno())
    atexit.register(writer.flush_at_exit)
    handler = QueueHandler(writer)
    handler.setFormatter(_LineFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    # Errors of a full or closed pipe must not print tracebacks to the same pipe.
    logging.raiseExceptions = False
    return writer


class _LineFormatter(logging.Formatter):
    """Adds time and severity; lines of libraries become events named `library.LOGGER`."""

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
    # JSON escaping keeps quotes, newlines and control characters on one line.
    return json.dumps(text)
