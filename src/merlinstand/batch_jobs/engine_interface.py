"""How engines are asked for their state and ordered to load weights, apart from any wire format.

Implemented by an adapter of the platform whose engines they are; called by the leading keeper's
weight loader. The adapter is pure translation and keeps no state.
"""

import enum
from typing import Protocol

import msgspec
from result import Result

from merlinstand.common.errors import MerlinstandError


class LoadMode(enum.Enum):
    """What happens to runs while new weights are loaded."""

    DRAIN = "let_end"
    """Runs end first, under the old version."""
    CONTINUE = "go_on"
    """Runs go on under the new version."""


class WeightOrder(msgspec.Struct, frozen=True, kw_only=True):
    """A fenced order to load a weight version."""

    model: str
    version: int
    mode: LoadMode
    holder: str
    fence: int
    expected_sequence: int
    """Orders that the engine must have taken so far, else it refuses."""


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's state as it reports it, some hundred ms old."""

    sequence: int
    """Orders taken."""
    has_pending_order: bool
    """Whether an order is under way."""
    versions: dict[str, int]
    """Weight version by model."""


class OrderReply(enum.Enum):
    """An engine's answer to an order."""

    IN_PROGRESS = "under_way"
    ALREADY_LOADED = "holds_already"
    CONFLICT = "conflict"
    """Another order is under way, or the sequence differs."""
    FENCED = "fenced"
    """A newer holder has ordered."""
    REFUSED = "refused"


class EngineCall(msgspec.Struct, frozen=True):
    """An HTTP request to an engine."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class EngineInterface(Protocol):
    """An HTTP interface of engines: pure translation."""

    def make_order_call(self, order: WeightOrder) -> EngineCall:
        """Give the request for an order."""
        ...

    def parse_order_reply(self, status: int) -> OrderReply:
        """Understand the answer."""
        ...

    def make_report_call(self) -> EngineCall:
        """Give the request for a report."""
        ...

    def parse_report(self, body: bytes) -> Result[EngineReport, MerlinstandError]:
        """Understand a report."""
        ...
