"""State shared by the components of a coordinator while an event is handled.

Holds the time of the event, the effects collected so far, and the purpose of each pending call,
command and query. Components receive it as an argument and store no effects of their own.
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
        """The time is 0 until the first event sets it."""
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
        """The current configuration."""
        return self.session.view

    def version_clock(self, model: str) -> VersionClock:
        """Return a model's version clock."""
        return self._version_clocks.setdefault(model, VersionClock())

    def take_effects(self) -> list[Effect]:
        """Return and clear the collected effects."""
        effects, self._effects = self._effects, []
        return effects

    def add(self, *effects: Effect) -> None:
        """Append effects."""
        self._effects.extend(effects)

    def new_id(self) -> str:
        """Return an id that is unique across all runs of all coordinators."""
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
        """Send an HTTP request and store its purpose."""
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
                is_event_stream=stream,
            )
        )
        return call_id

    def purpose_of(self, call_id: CallId) -> Purpose | None:
        """Return a call's purpose; None if it was cancelled or is unknown."""
        return self._calls.get(call_id)

    def forget_call(self, call_id: CallId) -> None:
        """Remove a call that has ended."""
        self._calls.pop(call_id, None)

    def cancel_call(self, call_id: CallId) -> None:
        """Cancel a call; its later events are ignored."""
        if self._calls.pop(call_id, None) is not None:
            self.add(CancelCall(call_id))

    def close_call(self, call_id: CallId) -> None:
        """Close the connection of a call that is considered dead and was already removed."""
        self.add(CancelCall(call_id))

    def submit(self, command: Command, purpose: Purpose) -> CommandId:
        """Send a command to the control group; it is resent until a response arrives."""
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
        """Return and remove the purpose of a command or query."""
        return self._requests.pop(request_id, None)

    def respond(self, request_id: RequestId, status: int, body: bytes) -> None:
        """Respond to an HTTP request with a JSON body."""
        self.add(Respond(request_id, status, dict(JSON_HEADERS), body))

    def refuse(self, request_id: RequestId, error: MerlinstandError) -> None:
        """Respond to an HTTP request with a typed error."""
        headers = dict(JSON_HEADERS)
        if error.retry_after_seconds is not None:
            headers["Retry-After"] = f"{error.retry_after_seconds:.2f}"
        self.add(Respond(request_id, type(error).http_status, headers, error_body(error)))

    def log(self, name: str, severity: str = "info", **fields: Any) -> None:
        """Write a log event."""
        self.add(LogEvent(name, fields, severity))

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add to a counter; its name gets the prefix `coordinator_`."""
        self.add(CountMetric(f"coordinator_{name}", amount, labels))

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge; its name gets the prefix `coordinator_`."""
        self.add(SetGauge(f"coordinator_{name}", value, labels))
