"""Stub of the platform's endpoint for fenced calls: records usage reports without checks."""

import json

import msgspec

from merlinstand.kernel.effects import Effect, Respond, WriteRecord
from merlinstand.kernel.events import Event, RequestReceived, Started

USAGE_WINDOW_SECONDS = 5.0
USAGE_DUE_SECONDS = 10.0


class UsageReport(msgspec.Struct, frozen=True):
    """A usage report that was received."""

    window: int
    counts: dict[str, int]
    holder: str
    fence: int


class PlatformStub:
    """Responds with `status`, by default 200."""

    def __init__(self) -> None:
        self.status = 200

    def start(self, event: Started, now: float) -> list[Effect]:
        return []

    def reduce(self, event: Event, now: float) -> list[Effect]:
        if not isinstance(event, RequestReceived):
            return []
        response = Respond(event.request_id, self.status, {}, b"")
        if self.status != 200 or event.path != "/usage":
            return [response]
        body = json.loads(event.body)
        report = UsageReport(
            body["Window"],
            body["Counts"],
            event.headers["x-lease-holder"],
            int(event.headers["x-fence-token"]),
        )
        return [WriteRecord("usage", report), response]
