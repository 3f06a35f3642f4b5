"""Fenced orders of an engine: loading from the store, activation, role."""

from collections.abc import Sequence

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import Effect, SetTimer, StartCall
from merlinstand.kernel.events import CallFailed, CallResponded, TimerFired
from merlinstand_lab.standins.engine_messages import (
    Fence,
    LoadedVersion,
    OrderBody,
    OrderState,
    StoreAnswer,
)

_STORE_TIMEOUT_SECONDS = 10.0
"""Seconds of one question to the store; chosen, not measured."""
_STORE_RETRY_SECONDS = 0.5
"""Seconds, where the store names none; chosen, not measured."""
_KEPT_VERSIONS = 4
"""An engine keeps this many loaded versions; the oldest inactive one goes first."""

STATE_DONE = "done"
STATE_IN_PROGRESS = "in_progress"
STATE_FAILED = "failed"


class Loading(msgspec.Struct):
    """A version on its way from the store."""

    order: OrderBody
    fetched: bool = False
    """The store answered; the transfer is running."""


class OrderBook:
    """Highest fence seen, versions loaded and loading, and the state of the last order.

    Invariant: an order changes something only if its fence is above every earlier one, so
    resent and overtaken orders are harmless.
    """

    def __init__(self) -> None:
        """Begin with nothing loaded."""
        self.last: OrderState | None = None
        self.role = ""
        self.adapter = ""
        self._last_order: OrderBody | None = None
        self._loaded: dict[int, str] = {}
        self._loading: dict[int, Loading] = {}

    @property
    def loaded(self) -> list[LoadedVersion]:
        """Versions that can be activated."""
        return [LoadedVersion(*item) for item in sorted(self._loaded.items())]

    @property
    def loading(self) -> list[int]:
        """Versions on their way."""
        return sorted(self._loading)

    def is_overtaken(self, fence: Fence) -> bool:
        """Whether a newer order was seen."""
        return self.last is not None and fence < self.last.fence

    def is_resent(self, fence: Fence) -> bool:
        """Whether this very order was seen last."""
        return self.last is not None and fence == self.last.fence

    def accept(self, order: OrderBody) -> Sequence[Effect]:
        """Take an order with a new highest fence, except for the swap itself.

        An `activate` is left `in_progress` for the engine to carry out, or `failed` if the
        version is not loaded.
        """
        self._last_order = order
        match order.kind:
            case "load":
                return self._load(order)
            case "activate":
                held = self._loaded.get(order.version) == order.digest
                self.settle(STATE_IN_PROGRESS if held else STATE_FAILED)
            case "role":
                self.role = order.role
                self.settle(STATE_DONE)
            case "adapter":
                self.adapter = order.digest
                self.settle(STATE_DONE)
            case _:
                self.settle(STATE_FAILED)
        return ()

    def settle(self, state: str) -> None:
        """Set the state of the last order."""
        assert self._last_order is not None
        self.last = OrderState(self._last_order.fence, state)

    def forget_versions_below(self, active_version: int) -> None:
        """Retire the oldest versions beyond what the engine keeps."""
        for version in sorted(self._loaded):
            if len(self._loaded) <= _KEPT_VERSIONS:
                return
            if version != active_version:
                del self._loaded[version]

    def handles(self, event: CallResponded | CallFailed | TimerFired) -> bool:
        """Whether a call's or timer's end belongs to a load."""
        name = event.name if isinstance(event, TimerFired) else event.call_id
        return name.startswith("orders.")

    def reduce(self, event: CallResponded | CallFailed | TimerFired) -> Sequence[Effect]:
        """Go on with a load."""
        name = event.name if isinstance(event, TimerFired) else event.call_id
        version = int(name.rsplit(".", 1)[1])
        loading = self._loading.get(version)
        if loading is None:
            return ()
        if isinstance(event, TimerFired):
            return self._load_timer(version, loading)
        if isinstance(event, CallResponded) and event.status == 200:
            return self._fetched(version, loading, event.body)
        delay = _retry_delay_seconds(event)
        return (SetTimer(f"orders.load.{version}", delay),)

    def _load(self, order: OrderBody) -> Sequence[Effect]:
        """Begin to fetch a version unless it is here or on its way."""
        if self._loaded.get(order.version) == order.digest:
            self.settle(STATE_DONE)
            return ()
        self.settle(STATE_IN_PROGRESS)
        already = order.version in self._loading
        self._loading[order.version] = Loading(order=order)
        return () if already else (self._fetch(order),)

    def _fetch(self, order: OrderBody) -> StartCall:
        """Ask the store for a version."""
        return StartCall(
            call_id=CallId(f"orders.fetch.{order.version}"),
            address=order.source,
            method="GET",
            path=f"/v1/weights/{order.model}/{order.version}",
            headers={},
            body=b"",
            timeout_seconds=_STORE_TIMEOUT_SECONDS,
        )

    def _load_timer(self, version: int, loading: Loading) -> Sequence[Effect]:
        """The transfer ended, or it is time to ask the store again."""
        if not loading.fetched:
            return (self._fetch(loading.order),)
        del self._loading[version]
        self._loaded[version] = loading.order.digest
        if self._is_last(loading.order):
            self.settle(STATE_DONE)
        return ()

    def _fetched(self, version: int, loading: Loading, body: bytes) -> Sequence[Effect]:
        """The store answered: check the digest and wait for the transfer."""
        answer = msgspec.json.decode(body, type=StoreAnswer)
        if answer.digest != loading.order.digest:
            del self._loading[version]
            if self._is_last(loading.order):
                self.settle(STATE_FAILED)
            return ()
        loading.fetched = True
        return (SetTimer(f"orders.load.{version}", answer.transfer_seconds),)

    def _is_last(self, order: OrderBody) -> bool:
        """Whether an order is still the newest one."""
        return self._last_order is not None and self._last_order.fence == order.fence


def _retry_delay_seconds(event: CallResponded | CallFailed) -> float:
    """When to ask the store again."""
    if isinstance(event, CallResponded):
        try:
            return float(event.headers.get("retry-after", _STORE_RETRY_SECONDS))
        except ValueError:
            return _STORE_RETRY_SECONDS
    return _STORE_RETRY_SECONDS
