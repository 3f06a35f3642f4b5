"""Polls the status of backends and the platform's machine list.

The total rate of status requests is bounded, so the interval between two requests to one backend
grows with the number of backends.
"""

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.configuration.objects import PoolKind
from merlinstand.gateway.exchange import PoolState
from merlinstand.gateway.pool_states import PoolStates
from merlinstand.gateway.settings import HealthSettings
from merlinstand.kernel.effects import Effect, SetTimer, StartCall
from merlinstand.kernel.events import CallFailed, CallResponded
from merlinstand.routing.status import (
    MachineList,
    decode_engine_status,
    decode_machine_list,
    decode_service_status,
)

STATUS_TIMER = "gateway.status"
MACHINES_TIMER = "gateway.machines"
STATUS_PATH = "/v1/status"
MACHINES_PATH = "/v1/machines"
MACHINES_CALL_ID = CallId("machines")
TICKS_PER_INTERVAL = 5
"""Timer ticks per status interval, over which the status requests are spread."""


class StatusCall(msgspec.Struct, frozen=True):
    """A status request in flight."""

    pool_state: PoolState
    backend_id: str
    sent_at: float


class HealthPoller:
    """Polls replicas and the machine list, and passes the results to the routers."""

    def __init__(
        self, settings: HealthSettings, machine_list_address: str, pool_states: PoolStates
    ) -> None:
        """Create a poller; `start` begins polling."""
        self._settings = settings
        self._machine_list_address = machine_list_address
        self._pool_states = pool_states
        self._calls: dict[CallId, StatusCall] = {}
        self._in_flight: set[tuple[int, str]] = set()
        self._remaining: list[tuple[PoolState, str]] = []
        """Replicas that were not polled yet in this round."""
        self._request_credit = 0.0
        """Number of status requests that the rate allows now; fractions accumulate."""
        self._number = 0
        self._machines: MachineList | None = None
        """Last machine list of the platform."""

    def start(self, out: list[Effect]) -> None:
        """Set the timers of status requests and, with a machine list address, of list requests."""
        out.append(SetTimer(STATUS_TIMER, 0.0))
        if self._machine_list_address:
            out.append(SetTimer(MACHINES_TIMER, 0.0))

    def poll_new_replicas(self, now: float, out: list[Effect]) -> None:
        """Poll replicas without a status at once, after a configuration change."""
        if self._machines is not None:
            # The list may have arrived before the replicas that it names were configured.
            self._apply_machine_list(self._machines)
        for pool_state in self._pool_states:
            for backend_id, replica in pool_state.router.replicas.items():
                if replica.status is None and not replica.unanswered_status_requests:
                    self._poll(pool_state, backend_id, now, out)

    # Timers ---------------------------------------------------------------------------

    def on_status_timer(self, now: float, out: list[Effect]) -> float:
        """Poll the next few replicas; return the seconds to the next tick."""
        tick_seconds = self._settings.status_interval_seconds / TICKS_PER_INTERVAL
        out.append(SetTimer(STATUS_TIMER, tick_seconds))
        count = sum(len(pool_state.router.replicas) for pool_state in self._pool_states)
        per_second = min(
            count / self._settings.status_interval_seconds,
            self._settings.maximum_status_requests_per_second,
        )
        # Unresponsive replicas do not delay the round, so the others are polled as often as usual.
        self._request_credit = min(self._request_credit + per_second * tick_seconds, float(count))
        while self._request_credit >= 1.0:
            self._request_credit -= 1.0
            if not self._remaining:
                self._start_round()
            if not self._remaining:
                break
            pool_state, backend_id = self._remaining.pop()
            self._poll(pool_state, backend_id, now, out)
        return tick_seconds

    def on_machines_timer(self, out: list[Effect]) -> None:
        """Request the platform's machine list, and set the timer of the next request."""
        out.append(SetTimer(MACHINES_TIMER, self._settings.machine_list_interval_seconds))
        out.append(
            StartCall(
                MACHINES_CALL_ID,
                self._machine_list_address,
                "GET",
                MACHINES_PATH,
                {},
                b"",
                self._settings.status_timeout_seconds,
            )
        )

    # Responses ------------------------------------------------------------------------

    def on_response(self, event: CallResponded, now: float) -> PoolState | None:
        """Handle a response; return the pool whose replica reported a status, if any."""
        if event.call_id == MACHINES_CALL_ID:
            self._on_machine_list(event)
            return None
        call = self._pop_call(event.call_id)
        if call is None:
            return None
        router = call.pool_state.router
        if event.status != 200:
            router.record_unanswered_status(call.backend_id)
            return None
        if call.pool_state.pool.kind is PoolKind.ENGINE:
            engine = decode_engine_status(event.body)
            if engine.is_err():
                router.record_unanswered_status(call.backend_id)
                return None
            router.record_status(call.backend_id, engine.unwrap(), call.sent_at, now)
        else:
            service = decode_service_status(event.body)
            if service.is_err():
                router.record_unanswered_status(call.backend_id)
                return None
            router.record_status(call.backend_id, service.unwrap(), call.sent_at, now)
        return call.pool_state

    def on_failure(self, event: CallFailed) -> None:
        """Record a failed status request; a failed request for the machine list is ignored."""
        call = self._pop_call(event.call_id)
        if call is not None:
            call.pool_state.router.record_unanswered_status(call.backend_id)

    # Details --------------------------------------------------------------------------

    def _start_round(self) -> None:
        self._remaining = [
            (pool_state, backend_id)
            for pool_state in self._pool_states
            for backend_id in pool_state.router.replicas
        ]

    def _poll(self, pool_state: PoolState, backend_id: str, now: float, out: list[Effect]) -> None:
        replica = pool_state.router.replicas.get(backend_id)
        if replica is None or (pool_state.number, backend_id) in self._in_flight:
            return
        self._number += 1
        call_id = CallId(f"status.{self._number}")
        self._calls[call_id] = StatusCall(pool_state, backend_id, now)
        self._in_flight.add((pool_state.number, backend_id))
        out.append(
            StartCall(
                call_id,
                replica.backend.address,
                "GET",
                STATUS_PATH,
                {},
                b"",
                self._settings.status_timeout_seconds,
            )
        )

    def _pop_call(self, call_id: CallId) -> StatusCall | None:
        call = self._calls.pop(call_id, None)
        if call is not None:
            self._in_flight.discard((call.pool_state.number, call.backend_id))
        return call

    def _on_machine_list(self, event: CallResponded) -> None:
        if event.status != 200:
            return
        machines = decode_machine_list(event.body)
        if machines.is_ok():
            self._machines = machines.unwrap()
            self._apply_machine_list(self._machines)

    def _apply_machine_list(self, machines: MachineList) -> None:
        for pool_state in self._pool_states:
            pool_state.router.apply_machine_list(machines)
