"""Second tries beside a running one: their timer, and whether one is sent once it fires.

Part of the forwarder of whole requests, which sends them. Keeps nothing of its own: what a request
has had is in its `PendingRequest`. Relies on `decisions.hedging` for the rules, on `server_picker`
for where the try would go, and on `send_control` for the service's budget.
"""

from collections.abc import Callable

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.routes import RouteKind
from merlinstand.decisions.admission import Admission
from merlinstand.decisions.hedging import (
    hedge_delay_seconds,
    late_hedge_delay_seconds,
    should_send_hedge,
)
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.forwarding.pending_request import PendingRequest
from merlinstand.forwarding.send_control import HEDGES_WITHHELD_METRIC, SendControl, count_of
from merlinstand.forwarding.server_picker import ServerPicker
from merlinstand.kernel.effects import CancelTimer, Effect, SetTimer


class Hedges:
    """Second tries of one forwarder's requests."""

    def __init__(
        self, chooser: BackendChooser, picker: ServerPicker, control: SendControl, timer_prefix: str
    ) -> None:
        """Keep what decides about second tries.

        Args:
            chooser: Evidence about back ends.
            picker: Says what is held against a request.
            control: Owns the budgets.
            timer_prefix: Of the timers; `hedge:` and the key follow.
        """
        self._chooser = chooser
        self._picker = picker
        self._control = control
        self._prefix = f"{timer_prefix}hedge:"

    def plan(self, pending: PendingRequest) -> list[Effect]:
        """Set the timer of a request of which a try has just begun, or has ended beside another."""
        request = pending.request
        name = f"{self._prefix}{request.key}"
        if not pending.may_hedge():
            # The timer of an earlier try would take this one for silent too soon.
            is_planned = request.route.kind is RouteKind.REPEATABLE and pending.tries > 1
            return [CancelTimer(name)] if is_planned else []
        return [SetTimer(name, hedge_delay_seconds(request.route))]

    def on_timer(
        self,
        pending: PendingRequest,
        candidate_of: Callable[[PendingRequest, float], Backend | None],
        send: Callable[[PendingRequest, float], list[Effect]],
        now: float,
    ) -> list[Effect]:
        """Send a request a second time, if that is worth it and there is a token for it.

        Args:
            pending: A request with a try that has taken too long.
            candidate_of: Gives where it would be sent to.
            send: Sends it.
            now: Local time.
        """
        for backend in pending.silent_backends():
            self._chooser.record_timeout(backend, now)
        candidate = candidate_of(pending, now)
        if candidate is None or not pending.may_hedge():
            return []
        is_suspect = self._picker.admit(pending, now) is not Admission.ALLOWED
        evidence = self._chooser.evidence(candidate.backend_id)
        avoid_until = max(evidence.avoid_until, evidence.full_until)
        if not should_send_hedge(is_suspect, avoid_until, now):
            return []
        if not self._control.take_hedge(pending.request.service, pending.is_hedge_late, now):
            return self._withhold(pending)
        return send(pending, now)

    def _withhold(self, pending: PendingRequest) -> list[Effect]:
        """Leave a request with the one running try; look once more when its aim is missed."""
        request = pending.request
        counted = count_of(HEDGES_WITHHELD_METRIC, request.service)
        if pending.is_hedge_late:
            return [counted]
        pending.is_hedge_late = True
        name = f"{self._prefix}{request.key}"
        return [counted, SetTimer(name, late_hedge_delay_seconds(request.route))]
