"""The scripts' weight swap: every engine loads, then activates, before a step begins."""

import enum
from collections.abc import Sequence

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import Effect, SetTimer, StartCall
from merlinstand.kernel.events import CallFailed, CallResponded
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.engine_messages import (
    Fence,
    FencedBody,
    OrderBody,
    OrderState,
    StorePut,
    StorePutAnswer,
)

ORDER_POLL_SECONDS = 0.1
"""Seconds; chosen, not measured."""
ORDER_TIMEOUT_SECONDS = 10.0
"""Seconds of one request; chosen, not measured."""
WEIGHT_BYTES = 2_000_000_000
"""Bytes of one version; chosen, not measured."""
_CALL_PREFIX = "swap."
_TIMER_PREFIX = "scripts.swap."


class _Phase(enum.Enum):
    """Where one engine is."""

    LOAD = "load"
    ACTIVATE = "activate"
    DONE = "done"


class _EngineSwap(msgspec.Struct):
    """One engine's progress towards the wanted version."""

    phase: _Phase
    fence: Fence
    awaiting: CallId | None = None


class ScriptsSwap:
    """Drives all engines to one version; retries an order for ever under its fence."""

    def __init__(self, model: str, engines: tuple[str, ...], weight_store: str) -> None:
        """Begin without a version."""
        self._model = model
        self._engines = engines
        self._store = weight_store
        self._version = 0
        self._digest = ""
        self._highest = Fence(1, 0)
        self._calls = 0
        self._digest_call: CallId | None = None
        self._swaps: dict[int, _EngineSwap] = {}

    def handles(self, call_id: CallId) -> bool:
        """Whether a call is one of the swap's."""
        return call_id.startswith(_CALL_PREFIX)

    def serves(self, version: int) -> bool:
        """Whether every engine has been swapped to a version."""
        done = all(swap.phase is _Phase.DONE for swap in self._swaps.values())
        return version <= self._version and bool(self._swaps) and done

    def swap_to(self, version: int) -> Sequence[Effect]:
        """Begin to swap all engines to a newer version."""
        if version <= self._version:
            return ()
        self._version = version
        self._digest = ""
        self._swaps = {}
        return (self._ask_digest(),)

    def abandon(self) -> None:
        """Nobody waits for the version any more: send no further orders."""
        self._version = 0
        self._swaps = {}

    def repair(self, engine: int) -> Sequence[Effect]:
        """Load and activate again on an engine whose request failed."""
        swap = self._swaps.get(engine)
        if swap is None or swap.phase is not _Phase.DONE:
            return ()
        return (self._begin(engine),)

    def answered(self, event: CallResponded | CallFailed) -> Sequence[Effect]:
        """Take the answer to an order or to the question for the digest."""
        if event.call_id == self._digest_call:
            return self._digest_answered(event)
        for engine, swap in self._swaps.items():
            if swap.awaiting == event.call_id:
                swap.awaiting = None
                return self._order_answered(engine, swap, event)
        return ()

    def timer_fired(self, name: str) -> Sequence[Effect]:
        """Send an order again."""
        if not name.startswith(_TIMER_PREFIX):
            return ()
        engine = int(name.removeprefix(_TIMER_PREFIX))
        if engine < 0:
            return (self._ask_digest(),) if self._version else ()
        swap = self._swaps.get(engine)
        if swap is None or swap.phase is _Phase.DONE or swap.awaiting is not None:
            return ()
        return (self._order(engine, swap),)

    def _digest_answered(self, event: CallResponded | CallFailed) -> Sequence[Effect]:
        if not self._version:
            return ()
        if isinstance(event, CallFailed) or event.status != 200:
            return (SetTimer(f"{_TIMER_PREFIX}-1", ORDER_POLL_SECONDS),)
        self._digest = msgspec.json.decode(event.body, type=StorePutAnswer).digest
        return [self._begin(engine) for engine in range(len(self._engines))]

    def _order_answered(
        self, engine: int, swap: _EngineSwap, event: CallResponded | CallFailed
    ) -> Sequence[Effect]:
        state = ""
        if isinstance(event, CallResponded) and event.status == 409:
            # Somebody else ordered this engine last; these scripts lead it again.
            seen = msgspec.json.decode(event.body, type=FencedBody).fence
            self._highest = max(self._highest, seen)
        elif isinstance(event, CallResponded) and event.status == 200:
            state = msgspec.json.decode(event.body, type=OrderState).state
        if state == "done" and swap.phase is _Phase.LOAD:
            swap.phase = _Phase.ACTIVATE
            swap.fence = self._new_fence()
            return (self._order(engine, swap),)
        if state == "done":
            swap.phase = _Phase.DONE
            return ()
        if state == "in_progress":
            return (SetTimer(f"{_TIMER_PREFIX}{engine}", ORDER_POLL_SECONDS),)
        # Failed, refused or unreachable: start over under a newer fence after a while.
        swap.phase = _Phase.LOAD
        swap.fence = self._new_fence()
        return (SetTimer(f"{_TIMER_PREFIX}{engine}", 5 * ORDER_POLL_SECONDS),)

    def _begin(self, engine: int) -> StartCall:
        swap = _EngineSwap(phase=_Phase.LOAD, fence=self._new_fence())
        self._swaps[engine] = swap
        return self._order(engine, swap)

    def _new_fence(self) -> Fence:
        self._highest = Fence(self._highest.epoch, self._highest.sequence + 1)
        return self._highest

    def _new_call(self) -> CallId:
        self._calls += 1
        return CallId(f"{_CALL_PREFIX}{self._calls}")

    def _order(self, engine: int, swap: _EngineSwap) -> StartCall:
        body = OrderBody(
            fence=swap.fence,
            kind=swap.phase.value,
            model=self._model,
            version=self._version,
            digest=self._digest,
            source=self._store,
        )
        swap.awaiting = self._new_call()
        return self._call(swap.awaiting, self._engines[engine], "POST", "/v1/orders", body)

    def _ask_digest(self) -> StartCall:
        """Put the version again, which changes nothing and names the digest."""
        self._digest_call = self._new_call()
        path = f"/v1/weights/{self._model}/{self._version}"
        return self._call(self._digest_call, self._store, "PUT", path, StorePut(WEIGHT_BYTES))

    @staticmethod
    def _call(
        call_id: CallId, address: str, method: str, path: str, body: msgspec.Struct
    ) -> StartCall:
        return StartCall(
            call_id=call_id,
            address=address,
            method=method,
            path=path,
            headers=dict(endpoint.JSON_HEADERS),
            body=msgspec.json.encode(body),
            timeout_seconds=ORDER_TIMEOUT_SECONDS,
        )
