"""A running digest, and on demand the readable text, of everything that happened."""

import enum
from typing import Any

import xxhash


class TraceLevel(enum.Enum):
    """How much of a run is traced."""

    NONE = "none"
    DIGEST = "digest"
    """Hash every event and effect in full."""
    TEXT = "text"
    """Hash and keep the lines."""


class Trace:
    """What happened, in order."""

    def __init__(self, level: TraceLevel = TraceLevel.NONE) -> None:
        self.level = level
        self.enabled = level is not TraceLevel.NONE
        self.lines: list[str] = []
        self._hash = xxhash.xxh3_128()

    def add(self, time: float, place: str, kind: str, payload: Any) -> None:
        """Append one line.

        Args:
            time: True time in seconds.
            place: Node id, or `network` and `fault`.
            kind: `event`, `effect`, `fault` and so on.
            payload: Anything with a `repr` that does not depend on hashes or addresses.
        """
        line = f"{time:.9f} {place} {kind} {payload!r}"
        self._hash.update(line.encode())
        self._hash.update(b"\n")
        if self.level is TraceLevel.TEXT:
            self.lines.append(line)

    def digest(self) -> str:
        """Return the hex digest of all lines so far."""
        return str(self._hash.hexdigest())
