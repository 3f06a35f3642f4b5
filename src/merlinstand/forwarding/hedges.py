"""Hedged attempts of non-streaming requests: the timer, and the decision when it fires.

Stateless; a request's attempts are recorded in its `PendingRequest`. `decisions.hedging` holds the
rules, `server_picker` selects the backend, and `send_control` limits hedges by the service's
budget.
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
from merlinstand.forwarding.send_control import (
    HEDGES_WITHHELD_METRIC,
    SendControl,
    count_for_service,
)
from merlinstand.forwarding.server_picker import ServerPicker
from merlinstand.kernel.effects import CancelTimer, Effect, SetTimer


class Hedger:
    """Hedged attempts of one forwarder's requests."""

    def __init__(
        self,
        chooser: BackendChooser,
        picker: ServerPicker,
        send_control: SendControl,
        timer_prefix: str,
    ) -> None:
        """Create the hedger of one forwarder.

        Args:
            chooser: Receives and returns evidence about backends, such as timeouts.
            picker: Knows the quarantine state of a request.
            send_control: Limits hedges by the budget of each service.
            timer_prefix: Prefix of the names of the timers; `hedge:` and the key follow.
        """
        self._chooser = chooser
        self._picker = picker
        self._send_control = send_control
        self._timer_prefix = f"{timer_prefix}hedge:"

    def schedule(self, pending: PendingRequest) -> list[Effect]:
        """Set the hedge timer of a request after one of its attempts has started or ended."""
        request = pending.request
        name = f"{self._timer_prefix}{request.key}"
        if not pending.is_hedge_allowed():
            # The timer of an earlier attempt would report the new one as unresponsive too early.
            has_timer = request.route.kind is RouteKind.REPEATABLE and pending.attempts_started > 1
            return [CancelTimer(name)] if has_timer else []
        return [SetTimer(name, hedge_delay_seconds(request.route))]

    def on_timer(
        self,
        pending: PendingRequest,
        candidate_of: Callable[[PendingRequest, float], Backend | None],
        send: Callable[[PendingRequest, float], list[Effect]],
        now: float,
    ) -> list[Effect]:
        """Send a hedge if a suitable backend exists and the budget has a token for it.

        Args:
            pending: A request whose running attempt has taken too long.
            candidate_of: Returns the backend that the hedge would go to.
            send: Sends the hedge.
            now: Local time.
        """
        for backend in pending.unresponsive_backends():
            self._chooser.record_timeout(backend, now)
        candidate = candidate_of(pending, now)
        if candidate is None or not pending.is_hedge_allowed():
            return []
        is_suspect = self._picker.admit(pending, now) is not Admission.ALLOWED
        evidence = self._chooser.evidence(candidate.backend_id)
        avoid_until = max(evidence.avoid_until, evidence.full_until)
        if not should_send_hedge(is_suspect, avoid_until, now):
            return []
        if not self._send_control.take_hedge(
            pending.request.service, pending.was_hedge_withheld, now
        ):
            return self._withhold(pending)
        return send(pending, now)

    def _withhold(self, pending: PendingRequest) -> list[Effect]:
        """Send no hedge now; check once more when the request's target latency has passed."""
        request = pending.request
        counted = count_for_service(HEDGES_WITHHELD_METRIC, request.service)
        if pending.was_hedge_withheld:
            return [counted]
        pending.was_hedge_withheld = True
        name = f"{self._timer_prefix}{request.key}"
        return [counted, SetTimer(name, late_hedge_delay_seconds(request.route))]
