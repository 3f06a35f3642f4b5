"""Watches back ends: their status, the platform's machine list, engines' cache events.

Requests to back ends are bounded in all: with more back ends the interval grows, so the cost
of a gateway does not grow with the fleet.
"""

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.configuration.objects import PoolKind
from merlinstand.gateway.lanes import Lanes, PoolLane
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
MACHINES_CALL = CallId("machines")
TICKS_PER_INTERVAL = 5


class StatusCall(msgspec.Struct, frozen=True):
    """A status request under way."""

    lane: PoolLane
    backend_id: str
    asked_at: float


class Health:
    """Keeps routers informed about their replicas."""

    def __init__(self, settings: HealthSettings, machine_list_address: str, lanes: Lanes) -> None:
        """Start without calls."""
        self._settings = settings
        self._machine_list_address = machine_list_address
        self._lanes = lanes
        self._calls: dict[CallId, StatusCall] = {}
        self._asked: set[tuple[int, str]] = set()
        self._turns: list[tuple[PoolLane, str]] = []
        """Replicas not yet asked in this round."""
        self._owed = 0.0
        """Fraction of a status request carried over to the next tick."""
        self._number = 0
        self._machines: MachineList | None = None
        """The platform's last list."""

    def start(self, out: list[Effect]) -> None:
        """Begin to ask."""
        out.append(SetTimer(STATUS_TIMER, 0.0))
        if self._machine_list_address:
            out.append(SetTimer(MACHINES_TIMER, 0.0))

    def ask_new(self, now: float, out: list[Effect]) -> None:
        """Ask replicas that were never asked, at once (the configuration changed)."""
        if self._machines is not None:
            # It may have come before the replicas that it names were configured.
            self._pass_on_machines(self._machines)
        for lane in self._lanes:
            for backend_id, replica in lane.router.replicas.items():
                if replica.status is None and not replica.unanswered_statuses:
                    self._ask(lane, backend_id, now, out)

    # Timers ---------------------------------------------------------------------------

    def status_tick(self, now: float, out: list[Effect]) -> float:
        """Ask the next few replicas; return the time to the next tick."""
        tick_seconds = self._settings.status_interval_seconds / TICKS_PER_INTERVAL
        out.append(SetTimer(STATUS_TIMER, tick_seconds))
        count = sum(len(lane.router.replicas) for lane in self._lanes)
        per_second = min(
            count / self._settings.status_interval_seconds,
            self._settings.maximum_status_requests_per_second,
        )
        # Replicas that do not answer keep their place in the round, so nobody else waits longer.
        self._owed = min(self._owed + per_second * tick_seconds, float(count))
        while self._owed >= 1.0:
            self._owed -= 1.0
            if not self._turns:
                self._begin_round()
            if not self._turns:
                break
            lane, backend_id = self._turns.pop()
            self._ask(lane, backend_id, now, out)
        return tick_seconds

    def machines_tick(self, out: list[Effect]) -> None:
        """Ask for the platform's list."""
        out.append(SetTimer(MACHINES_TIMER, self._settings.machine_list_interval_seconds))
        out.append(
            StartCall(
                MACHINES_CALL,
                self._machine_list_address,
                "GET",
                MACHINES_PATH,
                {},
                b"",
                self._settings.status_timeout_seconds,
            )
        )

    # Answers --------------------------------------------------------------------------

    def responded(self, event: CallResponded, now: float) -> PoolLane | None:
        """Take in an answer; return the lane it concerns, if its replicas may take more."""
        if event.call_id == MACHINES_CALL:
            self._machines_answered(event)
            return None
        call = self._finished(event.call_id)
        if call is None:
            return None
        router = call.lane.router
        if event.status != 200:
            router.status_unanswered(call.backend_id)
            return None
        if call.lane.pool.kind is PoolKind.ENGINE:
            engine = decode_engine_status(event.body)
            if engine.is_err():
                router.status_unanswered(call.backend_id)
                return None
            router.status_received(call.backend_id, engine.unwrap(), call.asked_at, now)
        else:
            service = decode_service_status(event.body)
            if service.is_err():
                router.status_unanswered(call.backend_id)
                return None
            router.status_received(call.backend_id, service.unwrap(), call.asked_at, now)
        return call.lane

    def failed(self, event: CallFailed) -> None:
        """A status request got no answer. A silent machine list says nothing."""
        call = self._finished(event.call_id)
        if call is not None:
            call.lane.router.status_unanswered(call.backend_id)

    # Details --------------------------------------------------------------------------

    def _begin_round(self) -> None:
        self._turns = [
            (lane, backend_id) for lane in self._lanes for backend_id in lane.router.replicas
        ]

    def _ask(self, lane: PoolLane, backend_id: str, now: float, out: list[Effect]) -> None:
        replica = lane.router.replicas.get(backend_id)
        if replica is None or (lane.number, backend_id) in self._asked:
            return
        self._number += 1
        call_id = CallId(f"status.{self._number}")
        self._calls[call_id] = StatusCall(lane, backend_id, now)
        self._asked.add((lane.number, backend_id))
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

    def _finished(self, call_id: CallId) -> StatusCall | None:
        call = self._calls.pop(call_id, None)
        if call is not None:
            self._asked.discard((call.lane.number, call.backend_id))
        return call

    def _machines_answered(self, event: CallResponded) -> None:
        if event.status != 200:
            return
        machines = decode_machine_list(event.body)
        if machines.is_ok():
            self._machines = machines.unwrap()
            self._pass_on_machines(self._machines)

    def _pass_on_machines(self, machines: MachineList) -> None:
        for lane in self._lanes:
            lane.router.machines_received(machines)
