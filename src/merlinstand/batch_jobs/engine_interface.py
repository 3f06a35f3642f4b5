"""Interface to the engines' API for state reports and orders to load weights.

The interface is independent of the wire format: the platform provides a stateless adapter that
translates requests and responses. Used by the leading keeper's weight loader.
"""

import enum
from typing import Protocol

import msgspec
from result import Result

from merlinstand.common.errors import MerlinstandError


class LoadMode(enum.Enum):
    """Treatment of the runs in progress when new weights are loaded."""

    DRAIN = "let_end"
    """Runs complete under the old version before the weights are loaded."""
    CONTINUE = "go_on"
    """Runs continue under the new version."""


class WeightOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to load a weight version, protected by a fencing token."""

    model: str
    version: int
    mode: LoadMode
    holder: str
    """Name of the keeper that sends the order."""
    fence: int
    """Fencing token; engines refuse orders with a lower token than one they have seen."""
    expected_sequence: int
    """Number of orders that the engine must have accepted so far; if it differs, the engine refuses
    the order."""


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """The state that an engine reports; it may be some hundred milliseconds old."""

    sequence: int
    """Number of orders accepted so far."""
    has_pending_order: bool
    """Whether an order is in progress."""
    versions: dict[str, int]
    """Loaded weight version by model."""


class OrderReply(enum.Enum):
    """An engine's response to an order."""

    IN_PROGRESS = "under_way"
    ALREADY_LOADED = "holds_already"
    CONFLICT = "conflict"
    """Another order is in progress, or the sequence differs."""
    FENCED = "fenced"
    """The engine has accepted an order with a newer fencing token."""
    REFUSED = "refused"


class EngineCall(msgspec.Struct, frozen=True):
    """An HTTP request to an engine."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class EngineInterface(Protocol):
    """Stateless translation to and from the HTTP API of engines."""

    def make_order_call(self, order: WeightOrder) -> EngineCall:
        """Build the HTTP request that orders an engine to load weights."""
        ...

    def parse_order_reply(self, status: int) -> OrderReply:
        """Interpret the HTTP status of the response to an order."""
        ...

    def make_report_call(self) -> EngineCall:
        """Build the HTTP request for an engine's state report."""
        ...

    def parse_report(self, body: bytes) -> Result[EngineReport, MerlinstandError]:
        """Parse the body of a state report."""
        ...
