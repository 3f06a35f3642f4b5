"""Weight orders of a hollow engine: loads take their time, swaps are done at once."""

from collections.abc import Sequence

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import Effect, SetTimer, StartCall
from merlinstand.kernel.events import CallFailed, CallResponded
from merlinstand_lab.capacity.hollow_settings import HollowServerSettings

LOADED_TIMER = "hollow.loaded."
ASK_TIMER = "hollow.ask_store."
HTTP_OK = 200
STORE_RETRY_SECONDS = 0.5
STORE_TIMEOUT_SECONDS = 5.0


class VersionSeen(msgspec.Struct, frozen=True):
    """A server began to serve a version."""

    server_id: str
    version: int
    at_seconds: float
    """`CLOCK_MONOTONIC`."""


class _Load(msgspec.Struct, frozen=True):
    """A load under way."""

    model: str
    version: int
    digest: str
    source: str


class HollowOrders:
    """Carries orders out and describes what came of them."""

    def __init__(self, settings: HollowServerSettings) -> None:
        """Begin with the version of the settings active."""
        self._settings = settings
        self.active_version = settings.first_version
        self._active_digest = f"d{settings.first_version}"
        self._loaded: dict[int, str] = {self.active_version: self._active_digest}
        self._loads: dict[int, _Load] = {}
        self._fence = {"epoch": 0, "sequence": 0}
        self._state = "done"
        self._calls = 0
        self._seen: list[VersionSeen] = []

    def order(self, body: bytes, now: float) -> tuple[bytes, Sequence[Effect]]:
        """Begin an order, or tell the state of one that was sent again."""
        order = msgspec.json.decode(body)
        effects: Sequence[Effect] = ()
        if order["fence"] != self._fence:
            self._fence = order["fence"]
            effects = self._begin(order, now)
        return msgspec.json.encode({"fence": self._fence, "state": self._state}), effects

    def timer_fired(self, name: str) -> Sequence[Effect]:
        """End a load, or ask the store again."""
        if name.startswith(LOADED_TIMER):
            self._finish(int(name.removeprefix(LOADED_TIMER)))
            return ()
        load = self._loads.get(int(name.removeprefix(ASK_TIMER)))
        return () if load is None else (self._ask(load),)

    def store_answered(self, event: CallResponded | CallFailed) -> Sequence[Effect]:
        """Wait as long as the store says that the transfer takes, or ask it again."""
        version = int(event.call_id.rpartition("-")[2])
        if isinstance(event, CallResponded) and event.status == HTTP_OK:
            seconds = msgspec.json.decode(event.body)["transfer_seconds"]
            return (SetTimer(f"{LOADED_TIMER}{version}", seconds),)
        return (SetTimer(f"{ASK_TIMER}{version}", STORE_RETRY_SECONDS),)

    def take_seen(self) -> list[VersionSeen]:
        """Return the versions that became active since the last call."""
        seen, self._seen = self._seen, []
        return seen

    def status(self, running: int, now: float) -> bytes:
        """Return the load report."""
        return msgspec.json.encode(
            {
                "backend_id": self._settings.node_id,
                "state": "ready",
                "model": self._settings.model,
                "active_version": self.active_version,
                "active_digest": self._active_digest,
                "loaded": [
                    {"version": version, "digest": digest}
                    for version, digest in self._loaded.items()
                ],
                "loading": list(self._loads),
                "order": {"fence": self._fence, "state": self._state},
                "running": running,
                "queued": 0,
                "queued_tokens": 0,
                "free_blocks": 1024,
                "total_blocks": 2048,
                "tokens_per_second": self._settings.tokens_per_second,
                "incarnation": 1,
                "reported_at": now,
            }
        )

    def _begin(self, order: dict[str, str], now: float) -> Sequence[Effect]:
        version = int(order["version"])
        self._state = "done"
        if order["kind"] == "activate":
            self.active_version = version
            self._active_digest = order["digest"]
            self._seen.append(VersionSeen(self._settings.node_id, version, now))
            return ()
        if version in self._loaded:
            return ()
        load = _Load(order["model"], version, order["digest"], order["source"])
        self._loads[version] = load
        if self._settings.asks_store:
            self._state = "in_progress"
            return (self._ask(load),)
        if self._settings.load_seconds > 0:
            self._state = "in_progress"
            return (SetTimer(f"{LOADED_TIMER}{version}", self._settings.load_seconds),)
        self._finish(version)
        return ()

    def _finish(self, version: int) -> None:
        load = self._loads.pop(version, None)
        if load is not None:
            self._loaded[version] = load.digest
            self._state = "done"

    def _ask(self, load: _Load) -> StartCall:
        self._calls += 1
        return StartCall(
            call_id=CallId(f"store-{self._calls}-{load.version}"),
            address=load.source,
            method="GET",
            path=f"/v1/weights/{load.model}/{load.version}",
            headers={},
            body=b"",
            timeout_seconds=STORE_TIMEOUT_SECONDS,
        )
