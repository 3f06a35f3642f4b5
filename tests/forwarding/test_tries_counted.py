"""Random failures of attempts: each attempt ends once, and no rejected request has run.

Each end must be counted in the backend's evidence and in the load report.
"""

from collections import Counter
from random import Random

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import ForwardRequest, NotRun
from merlinstand.cluster.routes import RouteKind
from merlinstand.common.ids import BackendId
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.forwarding.forwarder import CALL_PREFIX, Forwarder
from merlinstand.forwarding.send_control import SendControl
from merlinstand.forwarding.stream_forwarder import StreamForwarder
from merlinstand.kernel.effects import CancelCall, CancelTimer, Effect, SetTimer, StartCall
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
    CallPhase,
    CallResponded,
)
from tests.forwarding.fixed_load import FixedLoad, busy_service_load
from tests.routes import make_route

NAMES = HeaderNames()
BACKENDS = tuple(
    Backend(backend_id=BackendId(f"b{n}"), service="shop", address=f"10.0.0.{n}:1")
    for n in range(5)
)
STATUSES = (200, 200, 404, 408, 421, 429, 500, *(503,) * 20)
"""Mostly refusals: otherwise no request is refused by all backends."""
KINDS = (RouteKind.REPEATABLE, RouteKind.ONCE, RouteKind.STREAM)


class RandomRun:
    """A gateway's forwarders in virtual time, with random behaviour of backends and callers."""

    def __init__(self, seed: int, is_busy: bool) -> None:
        self.random = Random(seed)
        shares = {backend.backend_id: 0.2 for backend in BACKENDS}
        self.load = FixedLoad(busy_service_load("shop", 0.9, shares) if is_busy else None)
        control = SendControl(self.load)
        self.chooser = BackendChooser()
        self.requests = Forwarder(
            NAMES, lambda _service: BACKENDS, chooser=self.chooser, send_control=control
        )
        self.streams = StreamForwarder(
            NAMES, self.chooser, lambda _service: BACKENDS, send_control=control
        )
        self.calls: dict[str, StartCall] = {}
        self.timers: dict[str, float] = {}
        self.not_run: set[str] = set()
        """Calls that certainly have not run."""
        self.runs: Counter[str] = Counter()
        """Number of calls that may have run, by request."""
        self.only_once: set[str] = set()
        """Requests that must not run twice."""
        self.rejected_as_not_run: set[str] = set()
        """Requests that were rejected as not run."""
        self.now = 0.0

    def take(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, StartCall):
                self.calls[effect.call_id] = effect
            elif isinstance(effect, CancelCall):
                self.record_end(self.calls.pop(effect.call_id))
            elif isinstance(effect, SetTimer):
                self.timers[effect.name] = self.now + effect.delay_seconds
            elif isinstance(effect, CancelTimer):
                self.timers.pop(effect.name, None)

        ended = [(e.request, e.outcome) for e in self.requests.take_finished()]
        ended += [(e.request, e.outcome) for e in self.streams.take_unstarted()]
        self.rejected_as_not_run |= {of.key for of, outcome in ended if isinstance(outcome, NotRun)}

    def record_end(self, call: StartCall) -> None:
        """Record the end of a call, which may have run unless it is in `not_run`."""
        if call.call_id not in self.not_run:
            self.runs[call.headers[NAMES.request_id]] += 1

    def begin(self, key: str) -> None:
        kind = self.random.choice(KINDS)
        is_resumable = kind is RouteKind.STREAM and self.random.random() < 0.5
        if kind is not RouteKind.REPEATABLE and not is_resumable:
            self.only_once.add(key)
        route = make_route(
            kind,
            "shop",
            "/l/",
            target_latency_seconds=0.1,
            maximum_attempts=3,
            is_resumable=is_resumable,
        )
        request = ForwardRequest(
            key=key,
            route=route,
            service="shop",
            method="POST",
            path="/l/1",
            headers={"host": "h"},
            body=b"",
            request_id=key,
            deadline_at=self.now + 0.6,
        )
        owner = self.streams if kind is RouteKind.STREAM else self.requests
        self.take(owner.begin(request, self.now))

    def abort(self, key: str) -> None:
        self.take(self.requests.abort(key, self.now))
        self.take(self.streams.abort(key, self.now))

    def fire_timers(self) -> None:
        """Fire the timers that are due."""
        for name in [name for name, at in self.timers.items() if at <= self.now]:
            if self.timers.pop(name, None) is not None:
                owner = self.requests if name.startswith("forward.") else self.streams
                self.take(owner.on_timer(name, self.now))

    def random_event(self) -> None:
        """Let a random event happen to one of the calls."""
        if not self.calls:
            return
        call = self.calls[self.random.choice(sorted(self.calls))]
        is_whole = call.call_id.startswith(CALL_PREFIX)
        status = self.random.choice(STATUSES)
        headers = {NAMES.not_run: "1"} if status == 503 and self.random.random() < 0.95 else {}
        if self.random.random() < 0.1:
            phase = self.random.choice((CallPhase.CONNECT, CallPhase.SENT))
            if phase is CallPhase.CONNECT:
                self.not_run.add(call.call_id)
            self._end(CallFailed(call.call_id, phase, "reset"))
            return
        if headers or status == 421:
            self.not_run.add(call.call_id)
        if is_whole:
            self._end(CallResponded(call.call_id, status, headers, b""))
        else:
            self.take(self.streams.on_call(CallHeaders(call.call_id, status, headers), self.now))
            self._continue_stream(call)

    def _continue_stream(self, call: StartCall) -> None:
        if call.call_id in self.calls:
            chunk = CallChunk(call.call_id, b"id: 1\ndata: x\n\n")
            self.take(self.streams.on_call(chunk, self.now))
        if call.call_id in self.calls and self.random.random() < 0.7:
            self._end(CallEnded(call.call_id))

    def _end(self, event: CallResponded | CallEnded | CallFailed) -> None:
        """End a call; a stream forwarder may cancel it as well."""
        if event.call_id.startswith(CALL_PREFIX):
            self.record_end(self.calls.pop(event.call_id))
            assert not isinstance(event, CallEnded)
            self.take(self.requests.on_call(event, self.now))
        else:
            assert not isinstance(event, CallResponded)
            self.take(self.streams.on_call(event, self.now))
            self.calls.pop(event.call_id, None)


@pytest.mark.parametrize("is_busy", [False, True], ids=["calm", "busy"])
@pytest.mark.parametrize("seed", range(5))
def test_each_attempt_ends_once(seed: int, is_busy: bool) -> None:
    """Backends fail, refuse and hang; callers disconnect; attempts are hedged."""
    run = RandomRun(seed, is_busy)
    for step in range(3_000):
        run.now = step * 0.004
        run.fire_timers()
        if step < 2_500 and run.random.random() < 0.3:
            run.begin(f"k{step}")
        if run.random.random() < 0.6:
            run.random_event()
        if run.random.random() < 0.03 and step > 50:
            run.abort(f"k{step - run.random.randrange(50)}")
    once_only_runs = {key: n for key, n in run.runs.items() if key in run.only_once}
    assert max(once_only_runs.values()) == 1
    assert len(run.rejected_as_not_run) > 20
    assert not run.rejected_as_not_run & set(once_only_runs)
    assert (len(run.requests), len(run.streams), run.calls) == (0, 0, {})
    counts = Counter(record.rpartition(" ")[::2] for record in run.load.records)
    for backend in BACKENDS:
        at_backend = {
            kind: n for (kind, backend_id), n in counts.items() if backend_id == backend.backend_id
        }
        assert at_backend.pop("begun") == sum(at_backend.values()) > 100
        evidence = run.chooser.evidence(backend.backend_id)
        assert (evidence.in_flight, evidence.suspects_in_flight) == (0, 0)
