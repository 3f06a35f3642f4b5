"""Base of stand-ins that call control daemons: another daemon after a failure, 307 followed."""

from collections.abc import Callable

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import Effect, SetTimer, StartCall
from merlinstand.kernel.events import CallFailed, CallResponded

RETRY_INTERVAL_SECONDS = 0.2
CALL_TIMEOUT_SECONDS = 1.0
TIMER_PREFIX = "control-retry:"
CALL_PREFIX = "control:"


class ControlCall(msgspec.Struct):
    """A call that is repeated until it gets a clear answer."""

    name: str
    method: str
    path: str
    body: bytes
    on_response: Callable[[int, bytes, float], list[Effect]]
    address: str = ""
    attempts: int = 0


class ControlCaller:
    """Sends orders to control daemons until they are answered."""

    def __init__(self, controls: list[str]) -> None:
        self._controls = controls
        self._orders: dict[str, ControlCall] = {}
        self._next_control = 0

    def send(self, order: ControlCall) -> list[Effect]:
        """Begin an order; one of the same name is replaced."""
        self._orders[order.name] = order
        return self._send_attempt(order)

    def _send_attempt(self, order: ControlCall) -> list[Effect]:
        order.attempts += 1
        if not order.address:
            self._next_control += 1
            order.address = self._controls[self._next_control % len(self._controls)]
        return [
            StartCall(
                call_id=CallId(f"{CALL_PREFIX}{order.name}#{order.attempts}"),
                address=order.address,
                method=order.method,
                path=order.path,
                headers={"content-type": "application/json"},
                body=order.body,
                timeout_seconds=CALL_TIMEOUT_SECONDS,
            )
        ]

    def on_timer(self, name: str) -> list[Effect]:
        """A timer with the prefix fired."""
        order = self._orders.get(name.removeprefix(TIMER_PREFIX))
        return [] if order is None else self._send_attempt(order)

    def on_call(self, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        """A call with the prefix ended."""
        name, _mark, number = event.call_id.removeprefix(CALL_PREFIX).rpartition("#")
        order = self._orders.get(name)
        if order is None or order.attempts != int(number):
            return []
        if isinstance(event, CallResponded) and event.status == 307:
            order.address = event.headers["location"].removeprefix("http://").split("/", 1)[0]
            return self._send_attempt(order)
        if isinstance(event, CallFailed) or event.status >= 500:
            order.address = ""
            return [SetTimer(f"{TIMER_PREFIX}{name}", RETRY_INTERVAL_SECONDS)]
        del self._orders[name]
        return order.on_response(event.status, event.body, now)
