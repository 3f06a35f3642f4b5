"""Runs one reducer in one process, on one event loop in one thread.

The endpoint, HTTP client, transport, timers and disk pass events to `Host.submit`, which queues
them. Events are reduced one at a time; the effects of one are performed before the next is reduced.

The host owns these parts: it creates them, starts them in `start` and closes them in `stop` or
`abort`. If the reducer or an effect raises, the process ends, because its state can no longer be
trusted (`host.reducer_failed`, `host.effect_failed`); a disk failure ends it, too
(`host.disk_failed`).
"""

import time
import traceback
from collections import deque
from collections.abc import Sequence
from typing import Any

import gevent
from gevent.event import Event as LoopEvent
from result import Err

from merlinstand.common.boot_clock import monotonic_seconds
from merlinstand.common.ids import NodeId
from merlinstand.common.system_random import random_bits
from merlinstand.kernel.effects import Effect
from merlinstand.kernel.events import (
    Event,
    Started,
    StopRequested,
    TimerFired,
    WallClockRead,
)
from merlinstand.kernel.reducer import Reducer
from merlinstand.runtime import early_listeners, suspension
from merlinstand.runtime.addresses import require_address
from merlinstand.runtime.client_log import ClientLog
from merlinstand.runtime.disk import Disk, NoDisk
from merlinstand.runtime.errors import HostSetupError
from merlinstand.runtime.exit_codes import EXIT_DISK_FAILED, EXIT_FORCED, EXIT_REDUCER_FAILED
from merlinstand.runtime.health_endpoint import HEALTH_REQUEST_LIMITS, HealthEndpoint
from merlinstand.runtime.host_settings import HostSettings
from merlinstand.runtime.http_client import HttpClient, ResponseAccounting
from merlinstand.runtime.http_connection import ConnectionPool
from merlinstand.runtime.http_endpoint import HttpEndpoint, make_application, stopping_error
from merlinstand.runtime.http_server import EndpointServer
from merlinstand.runtime.kept_bytes import BufferBudget, SlowReader, buffer_limit_bytes
from merlinstand.runtime.load_watch import LoadMonitor
from merlinstand.runtime.logs import EventLog
from merlinstand.runtime.metrics import Metrics
from merlinstand.runtime.performer import EffectPerformer
from merlinstand.runtime.record_writer import RecordWriter
from merlinstand.runtime.request_bounds import RequestBounds
from merlinstand.runtime.request_budget import RequestBudget
from merlinstand.runtime.request_limits import peer_limits, request_limits
from merlinstand.runtime.response_budget import ResponseBudget, response_limit_bytes
from merlinstand.runtime.response_log import ResponseLog
from merlinstand.runtime.timers import Timers
from merlinstand.runtime.tls import TlsContexts
from merlinstand.runtime.traffic import TrafficCounters
from merlinstand.runtime.transport import Transport
from merlinstand.storage.errors import StorageError

FLUSH_TIMEOUT_SECONDS = 5.0
"""Timeout at shutdown for responses, then for messages, then for disk writes."""
FLUSH_POLL_INTERVAL_SECONDS = 0.005
"""How often shutdown checks whether the servers are still busy, and how long it accepts connections
that are already queued."""
CONNECTION_SWEEP_INTERVAL_SECONDS = 10.0
"""How often idle connections that can't be used again are closed."""
TRAFFIC_LOG_INTERVAL_SECONDS = 5.0
"""How often the bytes by kind and peer are logged."""
LOOP_CHECK_INTERVAL_SECONDS = 1.0
"""How often the event loop's delay and the process's load are checked."""
LOOP_STALL_THRESHOLD_SECONDS = 0.5
"""A delay of the event loop of at least this long is logged."""
_SEED_BITS = 63
"""Size of a random seed or incarnation, which fits into a signed 64-bit integer."""


class HostSetupFailedError(Exception):
    """Raised with a `HostSetupError` when a host can't be created or started."""

    def __init__(self, error: HostSetupError) -> None:
        """Wrap the error."""
        super().__init__(error.detail)
        self.error = error


class Host:
    """Runs one reducer on the gevent loop of the calling thread.

    Several hosts can run in one process; a host has no process-wide state.
    """

    def __init__(self, reducer: Reducer, settings: HostSettings) -> None:
        """Create a host; `start` opens its sockets and files.

        Args:
            reducer: Turns events into effects.
            settings: Node id, addresses, folders and limits.

        Raises:
            HostSetupFailedError: The TLS files can't be used.
        """
        self.metrics = Metrics()
        self.log = EventLog(settings.node_id, settings.log_level)
        self.exit_code = 0
        self._reducer = reducer
        self._settings = settings
        self._events: deque[Event] = deque()
        self._reducing = False
        self._stopping = LoopEvent()
        self._server: EndpointServer | None = None
        self._health_server: EndpointServer | None = None
        self._servers: list[EndpointServer] = []
        """`_server` and the server of the health address."""
        self._tls = _load_tls(settings)
        self._traffic = TrafficCounters()
        self._peer_budget = RequestBudget(
            peer_limits(settings.http_limits.memory_bytes),
            ClientLog("peer", self.log, self.metrics).record,
        )
        self.transport = self._make_transport()
        self.metrics.register(self.transport.counters)
        self._suspension_watch = suspension.current_watch()
        self._timers = Timers(lambda name: self.submit(TimerFired(name)))
        self._disk: Disk = NoDisk(self.submit)
        self._bounds = RequestBounds(settings.http_limits)
        self._buffer_budget = BufferBudget(
            buffer_limit_bytes(settings.http_limits.memory_bytes), self._on_slow_reader
        )
        self._response_budget = ResponseBudget(
            response_limit_bytes(settings.http_limits), lambda: self._buffer_budget.total_bytes
        )
        client_log = ClientLog("client", self.log, self.metrics)
        self._request_budget = RequestBudget(
            request_limits(settings.http_limits, settings.body_copies),
            client_log.record,
            other_bytes=self._other_client_bytes,
        )
        self._health_budget = RequestBudget(HEALTH_REQUEST_LIMITS, client_log.record)
        self._load_monitor = LoadMonitor(
            self._buffer_budget,
            self._response_budget,
            self._request_budget,
            self._peer_budget,
            self._connection_share,
            self.submit,
            self.metrics,
        )
        self._endpoint = HttpEndpoint(
            self.submit,
            settings.http_limits,
            self._bounds,
            settings.request_id_header,
        )
        self._health_endpoint = HealthEndpoint(self._endpoint, self.metrics)
        self._pool = self._make_pool()
        self._client = HttpClient(
            self.submit,
            self._pool,
            self._traffic,
            self._buffer_budget,
            ResponseAccounting(
                settings.http_limits,
                self._response_budget,
                ResponseLog(self.log, self.metrics).record,
            ),
        )
        self._records = RecordWriter(settings.record_folder) if settings.record_folder else None
        self._performer: EffectPerformer | None = None
        self._greenlets: list[Any] = []
        """Background tasks, from `start` until the host is closed."""

    @property
    def http_address(self) -> str:
        """Address (`ip:port`) of the HTTP endpoint; empty if there is none."""
        if self._server is None:
            return ""
        return f"{self._server.server_host}:{self._server.server_port}"

    @property
    def health_address(self) -> str:
        """Address (`ip:port`) of health checks and metrics; empty if there is none."""
        if self._health_server is None:
            return ""
        return f"{self._health_server.server_host}:{self._health_server.server_port}"

    def start(self) -> None:
        """Recover durable state, open the listening sockets and start the reducer.

        Raises:
            HostSetupFailedError: An address or the data folder can't be used.
        """
        # Events are only queued until the reducer has started.
        self._reducing = True
        started = self._recover()
        self._performer = self._make_performer()
        for node_id, address in self._settings.peers.items():
            self.transport.set_address(NodeId(node_id), address)
        self._listen(started.incarnation)
        self.log.write(
            "host.listening",
            {
                "http": self.http_address,
                "health": self.health_address,
                "internal": self.transport.address,
            },
        )
        self._suspension_watch.subscribe(self)
        loops = (self._close_unusable_connections, self._monitor_loop, self._log_traffic)
        self._greenlets = [gevent.spawn(loop) for loop in loops]
        try:
            self._perform(self._reducer.start(started, self._suspension_watch.now()))
        except Exception:
            self._fail("host.reducer_failed", {"on": "Started"})
        self._drain_events()

    def submit(self, event: Event) -> None:
        """Queue an event for the reducer; never blocks and never switches greenlets."""
        self._events.append(event)
        if not self._reducing:
            self._drain_events()

    def request_exit(self, exit_code: int) -> None:
        """Make `wait` return with this exit code; later events are dropped."""
        if not self._stopping.is_set():
            self.exit_code = exit_code
            self._endpoint.closing = True
            self._stopping.set()

    def request_stop(self) -> None:
        """Begin a planned stop by submitting `StopRequested` to the reducer."""
        for server in self._servers:
            server.closing = True
        self.submit(StopRequested())

    def on_settings_changed(self) -> None:
        """Log a change of the settings file (SIGHUP); it is read only at the start."""
        self.log.write("host.settings_changed", {"in_force": "at the next start"})

    def wait(self) -> int:
        """Block until the process is to exit; returns the exit code."""
        self._stopping.wait()
        return self.exit_code

    def stop(self) -> None:
        """End pending requests, send responses and messages, flush the disk, close everything."""
        self._timers.close()
        unanswered = self._endpoint.end_pending()
        if unanswered:
            self.log.write("host.requests_unanswered", {"requests": unanswered}, "warning")
        for server in self._servers:
            server.closing = True
        # Closing a listener resets the connections that it has not accepted yet.
        gevent.sleep(FLUSH_POLL_INTERVAL_SECONDS)
        for server in self._servers:
            server.close()
        # They would be rejected once they are complete, which clients may put off.
        budgets = (self._request_budget, self._health_budget)
        rejected = sum(budget.end_arriving(stopping_error()) for budget in budgets)
        if rejected:
            self.log.write("host.arriving_requests_rejected", {"requests": rejected})
        with gevent.Timeout(FLUSH_TIMEOUT_SECONDS, False):
            while any(server.busy for server in self._servers):
                gevent.sleep(FLUSH_POLL_INTERVAL_SECONDS)
        self.transport.flush(FLUSH_TIMEOUT_SECONDS)
        self._disk.flush(FLUSH_TIMEOUT_SECONDS)
        self._close()

    def abort(self) -> None:
        """Close everything immediately, to simulate a crash within a shared process."""
        self.request_exit(EXIT_FORCED)
        self._timers.close()
        self._close()

    def on_suspended(self, suspended_seconds: float) -> None:
        """Log a suspension of the machine, which explains gaps in the log."""
        fields = {"seconds": round(suspended_seconds, 3)}
        self.log.write("host.suspended", fields, "warning")

    def _make_transport(self) -> Transport:
        return Transport(
            NodeId(self._settings.node_id),
            self.submit,
            self.log,
            self._tls.internal,
            self._tls.client,
            self._settings.peer_timings,
            self._traffic,
            self._peer_budget,
            self._settings.peer_limits,
        )

    def _make_pool(self) -> ConnectionPool:
        """Create the pool for outbound calls, which use TLS only if `tls.calls` is set."""
        settings = self._settings
        tls_context = self._tls.client if settings.tls and settings.tls.calls else None
        return ConnectionPool(tls_context, settings.connect_timeout_seconds)

    def _make_performer(self) -> EffectPerformer:
        return EffectPerformer(
            timers=self._timers,
            transport=self.transport,
            disk=self._disk,
            endpoint=self._endpoint,
            client=self._client,
            log=self.log,
            metrics=self.metrics,
            records=self._records,
            read_wall_clock=lambda: self.submit(WallClockRead(time.time())),
            stop=self.request_exit,
        )

    def _close(self) -> None:
        self._suspension_watch.unsubscribe(self)
        self._client.close()
        self.transport.close()
        for server in self._servers:
            server.stop(timeout=0)
        self._disk.close()
        if self._records is not None:
            self._records.close()
        for greenlet in self._greenlets:
            greenlet.kill(block=False)

    def _recover(self) -> Started:
        """Open the data folder, if there is one, and return the recovered state."""
        settings = self._settings
        seed = random_bits(_SEED_BITS) if settings.seed is None else settings.seed
        node_id = NodeId(settings.node_id)
        if not settings.data_folder:
            return Started(node_id, incarnation=random_bits(_SEED_BITS), seed=seed)
        # Imported here: most processes have no disk and start faster and smaller without it.
        from merlinstand.runtime.store_disk import StoreDisk
        from merlinstand.storage.store import DurableStore

        opened = DurableStore.open(settings.data_folder)
        if isinstance(opened, Err):
            error = opened.err_value
            detail = f"{type(error).code}: {error.path}: {error.detail}"
            raise HostSetupFailedError(HostSetupError(detail=detail))
        recovered = opened.ok_value.recovered
        opened.ok_value.release_recovered()
        self._disk = StoreDisk(opened.ok_value, self.submit, self._on_disk_failure)
        self.log.write(
            "host.recovered",
            {
                "incarnation": recovered.incarnation,
                "snapshot_bytes": len(recovered.snapshot or b""),
                "records": len(recovered.records),
                "torn_bytes": recovered.torn_bytes,
            },
        )
        return Started(node_id, recovered.incarnation, seed, recovered.snapshot, recovered.records)

    def _on_disk_failure(self, error: StorageError) -> None:
        """Stop the process, because the state on disk is unknown."""
        self.log.write("host.disk_failed", {"path": error.path, "detail": error.detail}, "error")
        self.request_exit(EXIT_DISK_FAILED)

    def _on_slow_reader(self, client: SlowReader) -> None:
        fields = {
            "request": client.request,
            "bytes": client.buffered_bytes,
            "seconds": round(client.unread_seconds, 3),
        }
        self.log.write("caller.too_slow", fields, "warning")
        self.metrics.count("merlinstand_callers_too_slow_total", 1.0, {})

    def _other_client_bytes(self) -> int:
        peers = self._peer_budget
        responses = self._buffer_budget.total_bytes + self._response_budget.total_bytes
        return responses + peers.small_bytes + peers.large_bytes

    def _connection_share(self) -> float:
        return 0.0 if self._server is None else self._server.connection_share

    def _listen(self, incarnation: int) -> None:
        settings = self._settings
        try:
            if settings.internal_address:
                self.transport.start(settings.internal_address, incarnation)
            if settings.http_address:
                self._server = self._start_server(settings.http_address)
            if settings.health_address:
                self._health_server = self._start_health_server(settings.health_address)
        except (OSError, ValueError) as error:
            raise HostSetupFailedError(HostSetupError(detail=f"can't listen: {error}")) from error

    def _start_server(self, address: str) -> EndpointServer:
        server = EndpointServer(
            early_listeners.take_listener(address) or require_address(address).as_pair(),
            self._endpoint.application,
            self._settings.http_limits,
            self._tls.server,
            bounds=self._bounds,
            budget=self._buffer_budget,
            request_budget=self._request_budget,
        )
        server.start()
        self._servers.append(server)
        return server

    def _start_health_server(self, address: str) -> EndpointServer:
        server = EndpointServer(
            require_address(address).as_pair(),
            make_application(self._health_endpoint.serve),
            self._settings.http_limits,
            self._tls.server,
            main_server=self._server,
            budget=self._buffer_budget,
            request_budget=self._health_budget,
        )
        server.start()
        self._servers.append(server)
        return server

    def _drain_events(self) -> None:
        """Reduce queued events one at a time; their effects may queue further events."""
        self._reducing = True
        try:
            while self._events:
                event = self._events.popleft()
                if self._stopping.is_set():
                    continue
                try:
                    effects = self._reducer.reduce(event, self._suspension_watch.now())
                except Exception:
                    self._fail("host.reducer_failed", {"on": type(event).__name__})
                    continue
                self._perform(effects)
        finally:
            self._reducing = False

    def _fail(self, event_name: str, fields: dict[str, Any]) -> None:
        """Log the current exception and stop the process, whose state can no longer be trusted."""
        self.log.write(event_name, {**fields, "traceback": traceback.format_exc()}, "error")
        self.request_exit(EXIT_REDUCER_FAILED)

    def _perform(self, effects: Sequence[Effect]) -> None:
        performer = self._performer
        if performer is None:
            return
        for effect in effects:
            try:
                performer.perform(effect)
            except Exception:
                self._fail("host.effect_failed", {"effect": type(effect).__name__})
                return

    def _monitor_loop(self) -> None:
        """Log delays of the event loop after they end, and check the process's load."""
        while True:
            started_at = monotonic_seconds()
            gevent.sleep(LOOP_CHECK_INTERVAL_SECONDS)
            stall_seconds = monotonic_seconds() - started_at - LOOP_CHECK_INTERVAL_SECONDS
            if stall_seconds >= LOOP_STALL_THRESHOLD_SECONDS:
                fields = {"seconds": round(stall_seconds, 3)}
                self.log.write("host.loop_stalled", fields, "warning")
            self._load_monitor.check()
            self._health_budget.check()

    def _log_traffic(self) -> None:
        """Log cumulative bytes by kind and peer; a newer line of a kind replaces older ones."""
        while True:
            gevent.sleep(TRAFFIC_LOG_INTERVAL_SECONDS)
            for kind, direction, peers in self._traffic.rows():
                fields = {
                    "kind": kind,
                    "direction": direction.value,
                    "bytes": ",".join(f"{peer}:{count}" for peer, count in peers.items()),
                }
                self.log.write("host.traffic", fields)

    def _close_unusable_connections(self) -> None:
        while True:
            gevent.sleep(CONNECTION_SWEEP_INTERVAL_SECONDS)
            self._pool.close_unusable()


def _load_tls(settings: HostSettings) -> TlsContexts:
    """Create the TLS contexts.

    Raises:
        HostSetupFailedError: The TLS files can't be used.
    """
    contexts = TlsContexts.of(settings.tls)
    if isinstance(contexts, Err):
        raise HostSetupFailedError(contexts.err_value)
    return contexts.ok_value
