"""Tiny reducers to test the simulator's host with."""

from collections.abc import Sequence

import msgspec

from merlinstand.kernel import effects as fx
from merlinstand.kernel import events as ev
from merlinstand.kernel.effects import Effect
from merlinstand.kernel.events import Event, Started
from merlinstand.protocol.generated.control.ttypes import Hello


class Note(msgspec.Struct, frozen=True):
    """One observation of a toy."""

    time: float
    what: str


class Toy:
    """Records every event; subclasses react."""

    def __init__(self) -> None:
        self.node_id = ""
        self.started: Started | None = None

    def note(self, now: float, what: str) -> Effect:
        return fx.WriteRecord(self.node_id, Note(now, what))

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        self.node_id = event.node_id
        self.started = event
        return [self.note(now, "started"), *self.begin(now)]

    def begin(self, now: float) -> Sequence[Effect]:
        return []

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        return [self.note(now, type(event).__name__), *self.react(event, now)]

    def react(self, event: Event, now: float) -> Sequence[Effect]:
        return []


class Pinger(Toy):
    """Sends a numbered message to a peer every 0.1 s."""

    def __init__(self, peer: str) -> None:
        super().__init__()
        self.peer = peer
        self.sent = 0

    def begin(self, now: float) -> Sequence[Effect]:
        return [fx.LearnAddress(self.peer, ""), fx.SetTimer("ping", 0.1)]

    def react(self, event: Event, now: float) -> Sequence[Effect]:
        if isinstance(event, ev.TimerFired):
            self.sent += 1
            return [
                fx.SendMessage(self.peer, Hello(self.node_id, self.sent, "")),
                fx.SetTimer("ping", 0.1),
            ]
        return []


class Echo(Toy):
    """Answers each message to its sender and keeps the order it saw."""

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[int] = []

    def react(self, event: Event, now: float) -> Sequence[Effect]:
        if isinstance(event, ev.MessageReceived):
            self.seen.append(event.message.incarnation)
            return [fx.SendMessage(event.sender, event.message)]
        return []


class Leaver(Toy):
    """Ends within the request to stop."""

    def react(self, event: Event, now: float) -> Sequence[Effect]:
        return [fx.StopProcess()] if isinstance(event, ev.StopRequested) else []


class Writer(Toy):
    """Appends a numbered record whenever the one before is durable."""

    def __init__(self) -> None:
        super().__init__()
        self.written = 0

    def begin(self, now: float) -> Sequence[Effect]:
        assert self.started is not None
        self.written = len(self.started.records)
        return self.append()

    def append(self) -> Sequence[Effect]:
        self.written += 1
        record = f"record {self.written}".encode()
        return [fx.AppendRecords((record,), self.written)]

    def react(self, event: Event, now: float) -> Sequence[Effect]:
        if isinstance(event, ev.RecordsSynced):
            return [self.note(now, f"durable {event.token}"), *self.append()]
        return []


class Server(Toy):
    """An HTTP server: `/whole`, `/slow`, `/stream`, `/silent`, `/break`."""

    def react(self, event: Event, now: float) -> Sequence[Effect]:
        if not isinstance(event, ev.RequestReceived):
            return []
        request_id = event.request_id
        if event.path == "/whole":
            return [fx.Respond(request_id, 200, {"X-Place": "server"}, b"hello")]
        if event.path == "/stream":
            return [
                fx.RespondStart(request_id, 200, {}),
                fx.RespondChunk(request_id, b"a"),
                fx.RespondChunk(request_id, b"b"),
                fx.RespondEnd(request_id),
            ]
        if event.path == "/break":
            return [
                fx.RespondStart(request_id, 200, {}),
                fx.RespondChunk(request_id, b"a"),
                fx.RespondEnd(request_id, whole=False),
            ]
        return []


class Client(Toy):
    """Makes given calls at given local times and keeps every event."""

    def __init__(self, calls: dict[float, fx.StartCall]) -> None:
        super().__init__()
        self.calls = calls
        self.events: list[Event] = []

    def begin(self, now: float) -> Sequence[Effect]:
        return [fx.SetTimer(f"call {at}", at) for at in self.calls]

    def react(self, event: Event, now: float) -> Sequence[Effect]:
        if isinstance(event, ev.TimerFired):
            return [self.calls[float(event.name.split()[1])]]
        self.events.append(event)
        return []
