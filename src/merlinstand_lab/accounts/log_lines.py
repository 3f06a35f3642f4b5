"""Log lines of `key=value` pairs, read back."""

import json
import re
from collections.abc import Iterable, Iterator
from datetime import datetime

import msgspec

_PAIR = re.compile(r'([A-Za-z_.]+)=("(?:[^"\\]|\\.)*"|\S*)')


class LogLine(msgspec.Struct, frozen=True):
    """One event of one process."""

    time_seconds: float
    """By the clock of the machine that wrote it, since 1970."""
    node: str
    event: str
    fields: dict[str, str]

    def number(self, name: str) -> float:
        """Give a field as a number; 0 if it is missing or is none."""
        try:
            return float(self.fields.get(name, ""))
        except ValueError:
            return 0.0


def read_log(lines: Iterable[str], events: frozenset[str]) -> Iterator[LogLine]:
    """Give the lines of some events; whatever else stands in the file is passed over.

    Args:
        lines: Lines of log files; something may stand before `time=`.
        events: Names of the events that are wanted.
    """
    for text in lines:
        start = text.find("time=")
        if start < 0:
            continue
        pairs = {name: _value(value) for name, value in _PAIR.findall(text[start:])}
        event = pairs.get("event", "")
        if event not in events:
            continue
        try:
            stamp = datetime.fromisoformat(pairs["time"]).timestamp()
        except (KeyError, ValueError):
            continue
        yield LogLine(stamp, pairs.get("node", ""), event, pairs)


def _value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        decoded = json.loads(text)
    except json.JSONDecodeError:
        return text
    return decoded if isinstance(decoded, str) else text
