"""Client of control daemons for stubs: tries another daemon after a failure, follows 307."""

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
    """A call that is repeated until it gets a final response: neither 5xx nor a redirect."""

    name: str
    method: str
    path: str
    body: bytes
    on_response: Callable[[int, bytes, float], list[Effect]]
    address: str = ""
    attempts: int = 0


class ControlCaller:
    """Sends calls to control daemons and repeats them until they get a final response."""

    def __init__(self, controls: list[str]) -> None:
        self._controls = controls
        self._calls: dict[str, ControlCall] = {}
        self._next_control = 0

    def send(self, call: ControlCall) -> list[Effect]:
        """Start a call; it replaces a pending one of the same name."""
        self._calls[call.name] = call
        return self._send_attempt(call)

    def _send_attempt(self, call: ControlCall) -> list[Effect]:
        call.attempts += 1
        if not call.address:
            self._next_control += 1
            call.address = self._controls[self._next_control % len(self._controls)]
        return [
            StartCall(
                call_id=CallId(f"{CALL_PREFIX}{call.name}#{call.attempts}"),
                address=call.address,
                method=call.method,
                path=call.path,
                headers={"content-type": "application/json"},
                body=call.body,
                timeout_seconds=CALL_TIMEOUT_SECONDS,
            )
        ]

    def on_timer(self, name: str) -> list[Effect]:
        """Handle a timer whose name starts with `TIMER_PREFIX`."""
        call = self._calls.get(name.removeprefix(TIMER_PREFIX))
        return [] if call is None else self._send_attempt(call)

    def on_call(self, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        """Handle the end of a call whose id starts with `CALL_PREFIX`."""
        name, _separator, number = event.call_id.removeprefix(CALL_PREFIX).rpartition("#")
        call = self._calls.get(name)
        if call is None or call.attempts != int(number):
            return []
        if isinstance(event, CallResponded) and event.status == 307:
            call.address = event.headers["location"].removeprefix("http://").split("/", 1)[0]
            return self._send_attempt(call)
        if isinstance(event, CallFailed) or event.status >= 500:
            call.address = ""
            return [SetTimer(f"{TIMER_PREFIX}{name}", RETRY_INTERVAL_SECONDS)]
        del self._calls[name]
        return call.on_response(event.status, event.body, now)
