"""Runs one reducer on a virtual clock: timers fire, effects are collected."""

from collections.abc import Sequence
from typing import Any

import msgspec

from merlinstand.common.ids import CallId, NodeId, RequestId
from merlinstand.kernel.effects import (
    CancelTimer,
    Effect,
    Respond,
    RespondChunk,
    RespondEnd,
    RespondStart,
    SetTimer,
    StartCall,
    WriteRecord,
)
from merlinstand.kernel.events import (
    CallResponded,
    Event,
    RequestReceived,
    Started,
    TimerFired,
)
from merlinstand.kernel.reducer import Reducer
from merlinstand_lab.records.kinds import Record

SEED = 11
INCARNATION = 5


class Driver:
    """One reducer with its clock, timers, responses, calls and records."""

    def __init__(self, reducer: Reducer) -> None:
        self.now = 100.0
        self.reducer = reducer
        self.calls: list[StartCall] = []
        self.records: dict[str, list[Record]] = {}
        self.others: list[Effect] = []
        self._responses: dict[str, Respond] = {}
        self._streams: dict[str, bytes] = {}
        self._ends: dict[str, bool] = {}
        self._timers: dict[str, float] = {}
        self._requests = 0
        started = Started(node_id=NodeId("node"), incarnation=INCARNATION, seed=SEED)
        self._perform(reducer.start(started, self.now))

    def advance(self, seconds: float) -> None:
        """Let virtual time pass, firing timers at their own moments."""
        until = self.now + seconds
        while self._timers:
            name = min(self._timers, key=lambda one: self._timers[one])
            if self._timers[name] > until:
                break
            self.now = max(self.now, self._timers.pop(name))
            self._perform(self.reducer.reduce(TimerFired(name), self.now))
        self.now = until

    def send(self, event: Event) -> None:
        self._perform(self.reducer.reduce(event, self.now))

    def request(
        self, method: str, path: str, value: Any = None, headers: dict[str, str] | None = None
    ) -> str:
        """Send a request; returns the name under which its response is found."""
        self._requests += 1
        name = f"q{self._requests}"
        body = value if isinstance(value, bytes) else msgspec.json.encode(value)
        received = RequestReceived(
            request_id=RequestId(name),
            method=method,
            path=path,
            headers=headers or {},
            body=b"" if value is None else body,
        )
        self.send(received)
        return name

    def ask(self, method: str, path: str, value: Any = None) -> Any:
        """Send a request that is answered at once; returns the decoded body."""
        return self.answer(self.request(method, path, value))

    def response(self, name: str) -> Respond | None:
        return self._responses.get(name)

    def answer(self, name: str) -> Any:
        return msgspec.json.decode(self._responses[name].body)

    def stream(self, name: str) -> list[Any]:
        """Decoded server-sent events of a streamed response."""
        payloads = self._streams.get(name, b"").decode().split("\n\n")
        return [
            msgspec.json.decode(payload.removeprefix("data: "))
            for payload in payloads
            if payload and payload != "data: [DONE]"
        ]

    def ended_whole(self, name: str) -> bool | None:
        """Whether a streamed response ended, and whole."""
        return self._ends.get(name)

    def respond(self, call: StartCall, value: Any, status: int = 200) -> None:
        """Answer a call of the reducer."""
        self.calls.remove(call)
        body = msgspec.json.encode(value)
        self.send(CallResponded(CallId(call.call_id), status, {}, body))

    def _perform(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case SetTimer():
                    self._timers[effect.name] = self.now + effect.delay_seconds
                case CancelTimer():
                    self._timers.pop(effect.name, None)
                case StartCall():
                    self.calls.append(effect)
                case Respond():
                    self._responses[effect.request_id] = effect
                case RespondStart():
                    self._streams[effect.request_id] = b""
                case RespondChunk():
                    self._streams[effect.request_id] += effect.data
                case RespondEnd():
                    self._ends[effect.request_id] = effect.whole
                case WriteRecord():
                    self.records.setdefault(effect.stream, []).append(effect.record)
                case _:
                    self.others.append(effect)
