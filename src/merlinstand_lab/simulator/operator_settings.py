"""What simulated operators do."""

from typing import Any

import msgspec


class ScriptedCommand(msgspec.Struct, frozen=True, kw_only=True):
    """One command of a script; sent again under its id until it is answered."""

    at: float
    command: dict[str, Any]
    """JSON form of the command."""


class RandomWrites(msgspec.Struct, frozen=True, kw_only=True):
    """Operators that race each other on a few keys with compare-and-set writes."""

    operators: int = 2
    interval_seconds: float = 0.5
    """Beat on which all operators write."""
    keys: int = 3
    resend_share: float = 0.2
    """Share of the answered commands that are sent once more under the same id."""
    blind_share: float = 0.2
    """Share of the writes without an expected revision."""
    start_at: float = 2.0
    stop_at: float = 60.0


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """One process that plays all operators."""

    node_id: str = "operators"
    controls: tuple[str, ...]
    """HTTP addresses of every control replica, standbys included."""
    token: str = ""
    script: tuple[ScriptedCommand, ...] = ()
    """Commands sent one after another, each not before its time."""
    writes: RandomWrites | None = None
    request_timeout_seconds: float = 1.5
    retry_seconds: float = 0.1
    patience_seconds: float = 30.0
    """A racing command that was not answered for so long is given up as unknown."""
