"""Commands of the directory's log about the use that is counted."""

import msgspec

from merlinstand.fenced_calls.commands import RecordCallIntent
from merlinstand.metering.usage import UsageReport


class RecordUsage(msgspec.Struct, frozen=True, tag="note_usage"):
    """Gateways reported what they counted."""

    reports: tuple[UsageReport, ...]


class BeginMetering(msgspec.Struct, frozen=True, tag="begin_metering"):
    """The first window whose use is reported; only the first one counts."""

    window: int


class CloseUsageWindow(msgspec.Struct, frozen=True, tag="fix_usage"):
    """A window's counts change no more."""

    window: int


class CompleteUsageWindow(msgspec.Struct, frozen=True, tag="settle_usage"):
    """A fixed window was reported, or it is too late for that."""

    window: int


MeteringCommand = (
    RecordUsage | BeginMetering | CloseUsageWindow | CompleteUsageWindow | RecordCallIntent
)
