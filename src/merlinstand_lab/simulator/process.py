"""One simulated machine with one process: hosts a reducer and performs its effects."""

import random
from collections.abc import Callable
from typing import Any

from merlinstand.kernel import effects as fx
from merlinstand.kernel.events import Event, Started, StopRequested, WallClockRead
from merlinstand.kernel.reducer import Reducer
from merlinstand_lab.simulator.calls import HttpCall, Segment
from merlinstand_lab.simulator.clock import LocalClock
from merlinstand_lab.simulator.disk import SimulatedDisk
from merlinstand_lab.simulator.process_spec import ProcessSpec
from merlinstand_lab.simulator.process_timers import ProcessTimers
from merlinstand_lab.simulator.world import World

WALL_START = 1_790_000_002.0
"""Time of day when a simulation begins, in seconds since 1970; inside the usual windows."""


class SimulatedProcess:
    """A machine, its disk and clock, and the process that lives on it at the moment."""

    def __init__(self, simulation: World, spec: ProcessSpec) -> None:
        """Make a machine whose process does not run yet."""
        self._simulation = simulation
        self._clock = simulation.clock
        self._trace = simulation.trace
        self._tracing = simulation.trace.enabled
        self.spec = spec
        self.node_id = spec.node_id
        self.zone = spec.zone
        self.peer_address = spec.http_address.rsplit(":", 1)[0]
        self.local_clock = LocalClock(simulation.clock, spec.clock_offset_seconds, spec.clock_drift)
        self.disk = SimulatedDisk(
            simulation.clock, spec.disk, simulation.random_for(f"disk/{spec.node_id}")
        )
        self._random: random.Random = simulation.random_for(f"process/{spec.node_id}")
        self._timers = ProcessTimers(self, simulation.clock)
        self._handlers = self._effect_handlers()
        self._prepare_first_life()

    def _prepare_first_life(self) -> None:
        """Set what changes while the process lives, is frozen and dies."""
        self.reducer: Reducer | None = None
        self.wall_error_seconds = 0.0
        """How far the machine's time of day is off; the virtual clock begins at `WALL_START`."""
        self.life = 0
        self.running = False
        self.frozen = False
        self.powered_off = False
        self.ended_at = 0.0
        self.exit_code: int | None = None
        self.calls: dict[str, Any] = {}
        self.requests: dict[str, Any] = {}
        self.maximum_body_bytes = 0
        """By order of its reducer; 0 for any number."""
        self.idle_connections: dict[str, int] = {}
        self.events_handled = 0
        self._known_addresses: dict[str, str] = {}
        self._inbox: list[Event | Callable[[], None]] = []
        self._cancelled_calls: set[str] = set()
        self._thawing = False
        self._request_counter = 0
        self._kill_countdown = -1
        self._kill_action: Callable[[], None] | None = None

    def _effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            fx.SetTimer: self._timers.set,
            fx.CancelTimer: self._timers.cancel,
            fx.SendMessage: self._send_message,
            fx.LearnAddress: self._learn_address,
            fx.AppendRecords: self.disk.write,
            fx.SaveSnapshot: self.disk.write,
            fx.Respond: self._respond,
            fx.RespondStart: self._respond_start,
            fx.RespondChunk: self._respond_chunk,
            fx.RespondEnd: self._respond_end,
            fx.BoundRequests: self._bound_requests,
            fx.StartCall: self._start_call,
            fx.CancelCall: self._cancel_call,
            fx.LogEvent: self._log_event,
            fx.WriteRecord: self._write_record,
            fx.CountMetric: self._count_metric,
            fx.SetGauge: self._set_gauge,
            fx.ReadWallClock: self._read_wall_clock,
            fx.StopProcess: self._stop_process,
        }

    @property
    def accepts_connections(self) -> bool:
        """Whether the kernel completes handshakes: also while the process is frozen."""
        return self.running

    # Life and death.

    def start(self) -> None:
        """Begin a new life from what the disk holds."""
        self.life += 1
        self.running = True
        self.powered_off = False
        self.exit_code = None
        self._kill_countdown = -1
        self.reducer = self.spec.make_reducer()
        self.disk.attach(self.deliver)
        event = Started(
            self.node_id,  # type: ignore[arg-type]
            self.disk.incarnation,
            self._random.getrandbits(48),
            self.disk.snapshot,
            tuple(self.disk.records),
        )
        if self._tracing:
            self._trace.add(self._clock.now, self.node_id, "start", event)
        try:
            effects = self.reducer.start(event, self.local_clock.now())
        except Exception as error:
            self._simulation.reducer_failed(self, error)
            return
        self._perform(effects)

    def kill(self, power_loss: bool = False, lose_disk: bool = False) -> None:
        """End the process at once.

        Args:
            power_loss: The machine goes too: its connections get no reset.
            lose_disk: The disk is replaced by a blank one.
        """
        if not self.running:
            return
        self.disk.crash()
        if lose_disk:
            self.disk.lose()
        self._end_life(power_loss)
        if not self.spec.keeps_disk:
            self.disk.lose()

    def _end_life(self, silent: bool) -> None:
        self.running = False
        self.frozen = False
        self.powered_off = silent
        self.ended_at = self._clock.now
        self.life += 1
        self.reducer = None
        self._inbox = []
        self._timers.forget()
        self._known_addresses = {}
        self.idle_connections = {}
        calls, self.calls = self.calls, {}
        requests, self.requests = self.requests, {}
        self.maximum_body_bytes = 0
        for request in requests.values():
            request.server_ended(silent)
        for call in calls.values():
            call.client_ended(silent)

    def kill_within_reduce(self, effects: int, action: Callable[[], None]) -> None:
        """Arm a kill that strikes after some more effects, between any two of them."""
        self._kill_countdown = effects
        self._kill_action = action

    def freeze(self) -> None:
        """Stop scheduling the process (SIGSTOP); its machine goes on."""
        if self.running:
            self.frozen = True

    def thaw(self) -> None:
        """Let the process run on: everything that waited arrives at once."""
        if not self.frozen:
            return
        self.frozen = False
        inbox, self._inbox = self._inbox, []
        life = self.life
        self._cancelled_calls = set()
        self._thawing = True
        try:
            self._drain(inbox, life)
        finally:
            self._thawing = False

    def suspend(self, seconds: float) -> None:
        """Suspend the machine for a while; for others this is a freeze."""
        self.freeze()
        self._clock.call_at(self._clock.now + seconds, self._resume, seconds, self.life)

    def _resume(self, seconds: float, life: int) -> None:
        if life != self.life:
            return
        if not self.spec.counts_suspensions:
            self.local_clock.stand_still(seconds)
            self._timers.postpone(seconds)
            for call in self.calls.values():
                call.postpone(seconds)
        self.thaw()

    def _drain(self, inbox: list[Event | Callable[[], None]], life: int) -> None:
        for position, item in enumerate(inbox):
            if self.life != life:
                return
            if self.frozen:
                self._inbox = inbox[position:]
                return
            if callable(item):
                item()
            elif getattr(item, "call_id", None) not in self._cancelled_calls:
                self._dispatch(item)

    def request_stop(self) -> None:
        """Ask for a planned stop (SIGTERM)."""
        self.deliver(StopRequested())

    # Events.

    def deliver(self, event: Event) -> None:
        """Give an event to the process, now or when it thaws."""
        if self.frozen:
            self._inbox.append(event)
        elif self.running:
            self._dispatch(event)

    def when_scheduled(self, action: Callable[[], None]) -> None:
        """Run the process's own work now or when it thaws."""
        if self.frozen:
            self._inbox.append(action)
        elif self.running:
            action()

    def _dispatch(self, event: Event) -> None:
        assert self.reducer is not None
        self.events_handled += 1
        if self._tracing:
            self._trace.add(self._clock.now, self.node_id, "event", event)
        try:
            effects = self.reducer.reduce(event, self.local_clock.now())
        except Exception as error:
            self._simulation.reducer_failed(self, error)
            return
        if effects:
            self._perform(effects)

    def _perform(self, effects: Any) -> None:
        life = self.life
        handlers = self._handlers
        for effect in effects:
            if self._kill_countdown >= 0 and self._strike():
                return
            if self._tracing:
                self._trace.add(self._clock.now, self.node_id, "effect", effect)
            handlers[type(effect)](effect)
            if self.life != life:
                return

    def _strike(self) -> bool:
        if self._kill_countdown > 0:
            self._kill_countdown -= 1
            return False
        self._kill_countdown = -1
        assert self._kill_action is not None
        self._kill_action()
        return True

    # Internal messages.

    def learn_peer(self, node_id: str) -> None:
        """Take note that a node connected: it can be answered."""
        if node_id not in self._known_addresses:
            self._known_addresses[node_id] = ""

    def _learn_address(self, effect: fx.LearnAddress) -> None:
        self._known_addresses[effect.node_id] = effect.address

    def _send_message(self, effect: fx.SendMessage) -> None:
        receiver = self._simulation.processes.get(effect.receiver)
        if receiver is None or effect.receiver not in self._known_addresses:
            self._simulation.undeliverable(self, effect)
            return
        self._simulation.network.send(self, receiver, effect.message)

    # HTTP.

    def next_request_id(self) -> str:
        """Return a fresh request id of this life."""
        self._request_counter += 1
        return f"{self.life}-{self._request_counter}"

    def _start_call(self, effect: fx.StartCall) -> None:
        server = self._simulation.process_at(effect.address)
        call = HttpCall(self._simulation, self, server, effect)
        self.calls[effect.call_id] = call
        call.start()

    def _cancel_call(self, effect: fx.CancelCall) -> None:
        if self._thawing:
            self._cancelled_calls.add(effect.call_id)
        call = self.calls.get(effect.call_id)
        if call is not None:
            call.cancel()

    def _respond(self, effect: fx.Respond) -> None:
        call = self.requests.pop(effect.request_id, None)
        if call is not None:
            call.respond(Segment.RESPONSE, (effect.status, effect.headers, effect.body))

    def _bound_requests(self, effect: fx.BoundRequests) -> None:
        self.maximum_body_bytes = effect.maximum_body_bytes

    def _respond_start(self, effect: fx.RespondStart) -> None:
        call = self.requests.get(effect.request_id)
        if call is not None:
            call.respond(Segment.HEADERS, (effect.status, effect.headers))

    def _respond_chunk(self, effect: fx.RespondChunk) -> None:
        call = self.requests.get(effect.request_id)
        if call is not None:
            call.respond(Segment.CHUNK, effect.data)

    def _respond_end(self, effect: fx.RespondEnd) -> None:
        call = self.requests.pop(effect.request_id, None)
        if call is not None:
            call.respond(Segment.END, effect.whole)

    # Records, logs, metrics, end.

    def _write_record(self, effect: fx.WriteRecord) -> None:
        self._simulation.write_record(effect.stream, effect.record)

    def _log_event(self, effect: fx.LogEvent) -> None:
        self._simulation.log(self, effect)

    def _count_metric(self, effect: fx.CountMetric) -> None:
        self._simulation.count_metric(self, effect)

    def _set_gauge(self, effect: fx.SetGauge) -> None:
        self._simulation.set_gauge(self, effect)

    def _read_wall_clock(self, _effect: fx.ReadWallClock) -> None:
        self.deliver(WallClockRead(WALL_START + self._clock.now + self.wall_error_seconds))

    def _stop_process(self, effect: fx.StopProcess) -> None:
        self.exit_code = effect.exit_code
        self.disk.crash()
        self._end_life(False)
        self.exit_code = effect.exit_code
        self._simulation.process_stopped(self)
