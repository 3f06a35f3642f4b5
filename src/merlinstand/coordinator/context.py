"""What the parts of a coordinator share while an event is handled.

Owns the time of the event, the effects gathered so far, and why each call, command or query was
sent. Parts take it as an argument and keep no effects of their own.
"""

from typing import Any

from merlinstand.common.errors import MerlinstandError, error_body
from merlinstand.common.ids import CallId, CommandId, RequestId
from merlinstand.control.commands import Command
from merlinstand.control.queries import Query
from merlinstand.coordinator.purposes import Purpose
from merlinstand.coordinator.settings import CoordinatorSettings
from merlinstand.coordinator.staleness import VersionClock
from merlinstand.kernel.effects import (
    CancelCall,
    CountMetric,
    Effect,
    LogEvent,
    Respond,
    SetGauge,
    StartCall,
)
from merlinstand.session.control_session import ControlSession
from merlinstand.session.view import ConfigurationView

JSON_HEADERS = {"Content-Type": "application/json"}


class Context:
    """Time, effects, calls and the control session of one coordinator."""

    def __init__(self, settings: CoordinatorSettings, session: ControlSession) -> None:
        """Begin at time 0 without effects."""
        self.settings = settings
        self.session = session
        self.now = 0.0
        self._effects: list[Effect] = []
        self._calls: dict[CallId, Purpose] = {}
        self._requests: dict[CommandId, Purpose] = {}
        self._version_clocks: dict[str, VersionClock] = {}
        self._next_id = 1

    @property
    def view(self) -> ConfigurationView:
        """The configuration in force."""
        return self.session.view

    def version_clock(self, model: str) -> VersionClock:
        """Return a model's version clock."""
        return self._version_clocks.setdefault(model, VersionClock())

    def take_effects(self) -> list[Effect]:
        """Return the effects gathered and begin afresh."""
        effects, self._effects = self._effects, []
        return effects

    def add(self, *effects: Effect) -> None:
        """Gather effects in order."""
        self._effects.extend(effects)

    def new_id(self) -> str:
        """Return a name unique over all runs of all coordinators."""
        name = f"{self.session.run_name}.{self._next_id}"
        self._next_id += 1
        return name

    def start_call(
        self,
        purpose: Purpose,
        address: str,
        method: str,
        path: str,
        *,
        timeout_seconds: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        stream: bool = False,
    ) -> CallId:
        """Send an HTTP request and remember why."""
        call_id = CallId(self.new_id())
        self._calls[call_id] = purpose
        all_headers = {**JSON_HEADERS, **(headers or {})}
        self.add(
            StartCall(
                call_id=call_id,
                address=address,
                method=method,
                path=path,
                headers=all_headers,
                body=body,
                timeout_seconds=timeout_seconds,
                stream=stream,
            )
        )
        return call_id

    def purpose_of(self, call_id: CallId) -> Purpose | None:
        """Return why a call was sent; None if it was cancelled or is not ours."""
        return self._calls.get(call_id)

    def forget_call(self, call_id: CallId) -> None:
        """Forget a call that ended."""
        self._calls.pop(call_id, None)

    def cancel_call(self, call_id: CallId) -> None:
        """Give a call up; no event of it is heeded any more."""
        if self._calls.pop(call_id, None) is not None:
            self.add(CancelCall(call_id))

    def close_call(self, call_id: CallId) -> None:
        """Close the connection of a call that was taken for dead."""
        self.add(CancelCall(call_id))

    def submit(self, command: Command, purpose: Purpose) -> CommandId:
        """Send a command to the control group, resent until it is answered."""
        command_id, effects = self.session.submit(command, self.now)
        self._requests[command_id] = purpose
        self.add(*effects)
        return command_id

    def query(self, query: Query, purpose: Purpose) -> CommandId:
        """Send a linearizable read to the control group."""
        query_id, effects = self.session.query(query, self.now)
        self._requests[query_id] = purpose
        self.add(*effects)
        return query_id

    def take_request(self, request_id: CommandId) -> Purpose | None:
        """Return and forget why a command or query was sent."""
        return self._requests.pop(request_id, None)

    def respond(self, request_id: RequestId, status: int, body: bytes) -> None:
        """Answer an HTTP request."""
        self.add(Respond(request_id, status, dict(JSON_HEADERS), body))

    def refuse(self, request_id: RequestId, error: MerlinstandError) -> None:
        """Answer an HTTP request with a typed error."""
        headers = dict(JSON_HEADERS)
        if error.retry_after_seconds is not None:
            headers["Retry-After"] = f"{error.retry_after_seconds:.2f}"
        self.add(Respond(request_id, type(error).http_status, headers, error_body(error)))

    def log(self, name: str, severity: str = "info", **fields: Any) -> None:
        """Write one log line."""
        self.add(LogEvent(name, fields, severity))

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add to a counter."""
        self.add(CountMetric(f"coordinator_{name}", amount, labels))

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.add(SetGauge(f"coordinator_{name}", value, labels))
