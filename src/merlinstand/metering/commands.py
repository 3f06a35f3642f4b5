"""Commands of the directory's log about usage."""

import msgspec

from merlinstand.fenced_calls.commands import RecordCallIntent
from merlinstand.metering.usage import UsageReport


class RecordUsage(msgspec.Struct, frozen=True, tag="note_usage"):
    """Record the usage that gateways reported."""

    reports: tuple[UsageReport, ...]


class BeginMetering(msgspec.Struct, frozen=True, tag="begin_metering"):
    """Set the first window to report; later commands of this type have no effect."""

    window: int


class CloseUsageWindow(msgspec.Struct, frozen=True, tag="fix_usage"):
    """Close a window: its counts no longer change and can be reported."""

    window: int


class CompleteUsageWindow(msgspec.Struct, frozen=True, tag="settle_usage"):
    """Delete a closed window that was reported, or whose report is overdue."""

    window: int


MeteringCommand = (
    RecordUsage | BeginMetering | CloseUsageWindow | CompleteUsageWindow | RecordCallIntent
)
