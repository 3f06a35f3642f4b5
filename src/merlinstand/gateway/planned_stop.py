"""Graceful shutdown: rejects new requests, finishes those in flight, records their outcomes."""

from merlinstand.gateway.claims import Claims
from merlinstand.gateway.endpoint import Endpoint
from merlinstand.gateway.exchange_table import ExchangeTable
from merlinstand.gateway.settings import StopSettings
from merlinstand.kernel.effects import Effect, LogEvent, SetTimer, StopProcess
from merlinstand.session.control_session import ControlSession

GRACE_TIMER = "gateway.stop_grace"
RECORD_TIMER = "gateway.stop"


class PlannedStop:
    """Stops the process once its requests are finished and their outcomes recorded."""

    def __init__(
        self,
        settings: StopSettings,
        session: ControlSession,
        table: ExchangeTable,
        claims: Claims,
        endpoint: Endpoint,
    ) -> None:
        """Create an instance from the parts of the gateway that a stop depends on."""
        self._settings = settings
        self._session = session
        self._table = table
        self._claims = claims
        self._endpoint = endpoint
        self._grace_over = False
        self._record_timer_set = False
        self._record_wait_over = False
        self._stopped = False

    def begin(self, out: list[Effect]) -> None:
        """Begin the stop: new requests are rejected from now on."""
        if self._endpoint.stopping:
            return
        self._endpoint.stopping = True
        # Requests sent before the stop may still arrive. Stopping now would reset their
        # connections, and callers could not know whether the requests ran.
        out.append(SetTimer(GRACE_TIMER, self._settings.grace_seconds))
        out.append(LogEvent("gateway.stopping", {"in_flight": len(self._table)}))

    def on_timer(self, name: str) -> None:
        """Record that the grace period or the wait for outcome records is over."""
        if name == GRACE_TIMER:
            self._grace_over = True
        elif name == RECORD_TIMER:
            self._record_wait_over = True

    def stop_if_drained(self, now: float, out: list[Effect]) -> None:
        """Stop once all requests are finished and their outcomes are recorded.

        Does not wait for records longer than `StopSettings.patience_seconds`.
        """
        if self._stopped or not self._grace_over or len(self._table):
            return
        if self._claims.pending_count and not self._record_wait_over:
            if not self._record_timer_set:
                self._record_timer_set = True
                out.append(SetTimer(RECORD_TIMER, self._settings.patience_seconds))
            return
        self._stopped = True
        out.extend(self._session.stop(now))
        out.append(StopProcess())
