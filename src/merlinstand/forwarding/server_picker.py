"""Selects the backend of the next attempt, or decides to reject or delay the request.

Used for non-streaming requests and streams. Manages the requests that wait for a grant to send to a
cold backend (`cold_wait`) or for a trial permit (`quarantine_gate`). `decisions` defines the rules
and chooses among backends; `quarantine.crash_watch` is notified of each attempt.
"""

from collections.abc import Callable, Collection, Iterator, Mapping
from typing import TypeVar

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.regions import backends_in_regions
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.ids import BackendId, CallId, ContentDigest
from merlinstand.decisions.admission import Admission
from merlinstand.decisions.rejection import Reason, Rejection, retry_after_seconds
from merlinstand.decisions.retry import RefusalAction, decide_after_refusal
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.forwarding.cold_wait import GrantWaitQueue
from merlinstand.forwarding.pending_tries import PendingAttempts
from merlinstand.forwarding.quarantine_gate import QuarantineGate, quarantine_log_event
from merlinstand.forwarding.send_control import (
    ATTEMPTS_REFUSED_METRIC,
    AttemptEnd,
    SendControl,
    count_for_service,
)
from merlinstand.kernel.effects import Effect, LogEvent
from merlinstand.quarantine.crash_watch import CrashDetector
from merlinstand.quarantine.request_digest import RequestWithDigest

PendingT = TypeVar("PendingT", bound=RequestWithDigest)


class Target(msgspec.Struct, frozen=True):
    """The backend of the next attempt."""

    backend: Backend
    is_suspect: bool
    """Whether backends have crashed while they ran the request."""


class Waiting(msgspec.Struct, frozen=True):
    """The request has to wait for a grant or a permit."""

    effects: list[Effect]
    """Sets the timer that ends the wait; empty if the request was already waiting."""


class ServerPicker:
    """Backend selection for the requests of one forwarder."""

    def __init__(
        self,
        names: HeaderNames,
        chooser: BackendChooser,
        backends_of: Callable[[str], tuple[Backend, ...]],
        zone_map: ZoneMap,
        crash_detector: CrashDetector,
        send_control: SendControl,
        timer_prefix: str,
    ) -> None:
        """Start with no request waiting.

        Args:
            names: Names of the HTTP headers.
            chooser: Chooses among backends.
            backends_of: Returns the registered backends of a service.
            zone_map: Maps zones to regions.
            crash_detector: Is notified of each attempt.
            send_control: Is notified of each attempt, and knows how loaded backends are.
            timer_prefix: Prefix of the names of the wait timers; `cold:` or `trial:` and the key
                follow.
        """
        self._names = names
        self._chooser = chooser
        self._backends_of = backends_of
        self._zone_map = zone_map
        self._crash_detector = crash_detector
        self._send_control = send_control
        self.gate = QuarantineGate(crash_detector.suspects, f"{timer_prefix}trial:")
        self.grant_queue = GrantWaitQueue(chooser.cold, f"{timer_prefix}cold:")

    def pick(
        self,
        pending: RequestWithDigest,
        tried: Collection[BackendId],
        now: float,
        unresponsive: Collection[Backend] = (),
        may_wait: bool = True,
    ) -> Target | Waiting | Rejection:
        """Select where a request goes next; called for every attempt, hedges included.

        Args:
            pending: Request to send.
            tried: Backends to which the request was sent before.
            now: Local time.
            unresponsive: Backends where an attempt of this request still has no response.
            may_wait: Whether the request may wait for a grant to send to a cold backend.
        """
        admission = self.admit(pending, now)
        if admission is Admission.WAIT:
            return Waiting(self.gate.begin_wait(pending.request.key, self._content_of(pending)))
        if admission is Admission.REJECTED:
            return Rejection(Reason.QUARANTINED)
        backend = self.candidate(pending, tried, now, unresponsive)
        if backend is not None:
            return Target(backend, admission is not Admission.ALLOWED)
        reason = self._rejection_reason(pending, tried, admission, now)
        grant_wait = self.await_grant(pending, tried, now) if may_wait else []
        return Waiting(grant_wait) if grant_wait else Rejection(reason)

    def admit(self, pending: RequestWithDigest, now: float) -> Admission:
        """Return whether a request may be sent now, by its quarantine state."""
        return self.gate.admit(lambda: self._content_of(pending), now)

    def crash_check_to_await(
        self, pending: RequestWithDigest, backend: Backend, now: float
    ) -> BackendId | None:
        """Return the backend whose crash check the next attempt must await; None if there is none.

        Args:
            pending: Request whose last attempt broke off.
            backend: Backend of the last attempt, which broke off.
            now: Local time.
        """
        if not self._crash_detector.is_probing(backend.backend_id):
            return None
        # A rejected request is sent to no backend, whatever the crash check's result.
        is_rejected = self.admit(pending, now) is Admission.REJECTED
        return None if is_rejected else backend.backend_id

    def candidate(
        self,
        pending: RequestWithDigest,
        tried: Collection[BackendId],
        now: float,
        unresponsive: Collection[Backend] = (),
    ) -> Backend | None:
        """Return the backend that a request would be sent to; None if there is none now."""
        admission = self.admit(pending, now)
        service = pending.request.service
        return self._chooser.choose(
            self.allowed_backends(pending),
            tried,
            now,
            unresponsive,
            is_suspect=admission is not Admission.ALLOWED,
            excludes_last=admission is Admission.NOT_LAST_BACKEND,
            load=self._send_control.service_load(service, now),
            maximum_in_flight=self._send_control.maximum_in_flight(service, now),
        )

    def allowed_backends(self, pending: RequestWithDigest) -> tuple[Backend, ...]:
        """Return the backends of the request's service in its allowed regions."""
        request = pending.request
        backends = self._backends_of(request.service)
        return backends_in_regions(backends, request.allowed_regions, self._zone_map)

    def ungranted_backends(
        self, pending: RequestWithDigest, tried: Collection[BackendId], now: float
    ) -> list[Backend]:
        """Return the cold backends to which a request may be sent only with a grant."""
        return self._chooser.cold_awaiting_grant(self.allowed_backends(pending), tried, now)

    def await_grant(
        self, pending: RequestWithDigest, tried: Collection[BackendId], now: float
    ) -> list[Effect]:
        """Make a request wait for a grant; no effects if no grant can be expected in time."""
        return self.grant_queue.enqueue(
            pending.request, self.ungranted_backends(pending, tried, now), now
        )

    def keep_waiting_for_grant(
        self, pending: RequestWithDigest, tried: Collection[BackendId], now: float
    ) -> bool:
        """Return whether a request may keep waiting; see `GrantWaitQueue.keep_waiting`."""
        return self.grant_queue.keep_waiting(
            pending.request, self.ungranted_backends(pending, tried, now), now
        )

    def _rejection_reason(
        self,
        pending: RequestWithDigest,
        tried: Collection[BackendId],
        admission: Admission,
        now: float,
    ) -> Reason:
        if self.ungranted_backends(pending, tried, now):
            return Reason.COLD
        if admission is Admission.NOT_LAST_BACKEND:
            return Reason.LAST_BACKEND
        is_region_bound = bool(pending.request.allowed_regions)
        return Reason.NO_BACKEND_IN_REGIONS if is_region_bound else Reason.NO_BACKEND

    def release_permitted(
        self, requests: Mapping[str, PendingT], now: float
    ) -> Iterator[tuple[PendingT, list[Effect]]]:
        """Yield the requests whose wait for a permit is over, with the effects that end it.

        Sending a request uses up a permit, so each request is checked only after the previous one
        was handled.
        """
        for key in self.gate.waiting_keys:
            pending = requests.get(key)
            if pending is not None and self.admit(pending, now) is not Admission.WAIT:
                yield pending, self.gate.end_wait(key)

    def decide_after_refusal(
        self, pending: PendingAttempts, candidate: Backend | None, now: float
    ) -> RefusalAction:
        """Decide how to continue a request that was refused and has no running attempt.

        Args:
            pending: Request that was refused.
            candidate: The backend to which the request would be sent; None if there is none.
            now: Local time.
        """
        return decide_after_refusal(
            has_available_backend=candidate is not None and not self._is_full(candidate, now),
            attempts=pending.attempts_connected,
            backends=len(self.allowed_backends(pending)),
            has_paused=pending.has_paused,
            remaining_seconds=pending.request.deadline_at - now,
        )

    def _is_full(self, backend: Backend, now: float) -> bool:
        return self._chooser.evidence(backend.backend_id).is_full(now)

    def begin_attempt(
        self, pending: PendingAttempts, target: Target, call_id: CallId, now: float
    ) -> None:
        """Record that an attempt is sent to a backend."""
        backend = target.backend
        is_first = pending.attempts_started == 0
        pending.record_send(backend.backend_id)
        self._send_control.record_attempt_start(
            pending.request.service, backend.backend_id, is_first, now
        )
        if target.is_suspect:
            self._chooser.evidence(backend.backend_id).suspects_in_flight += 1
            self.gate.record_send(lambda: self._content_of(pending))
        self._crash_detector.record_send(call_id, backend, lambda: self._content_of(pending), now)
        self._chooser.record_send(backend, now)

    def end_attempt(self, target: Target, end: AttemptEnd, now: float) -> list[Effect]:
        """Record the end of an attempt; the effects count it if the backend refused it."""
        backend_id = target.backend.backend_id
        evidence = self._chooser.evidence(backend_id)
        evidence.in_flight -= 1
        evidence.suspects_in_flight -= target.is_suspect
        if end is AttemptEnd.REFUSED:
            evidence.record_refusal(now)
        elif end is AttemptEnd.RESPONDED:
            evidence.clear_full()
        self._send_control.record_attempt_end(backend_id, end, now)
        if end is not AttemptEnd.REFUSED:
            return []
        return [count_for_service(ATTEMPTS_REFUSED_METRIC, target.backend.service)]

    def end_waits(self, key: str) -> list[Effect]:
        """End a request's waits for grants and permits."""
        return [*self.grant_queue.remove(key), *self.gate.end_wait(key)]

    def log_rejection(self, pending: RequestWithDigest, reason: str) -> list[LogEvent]:
        """Return the log event of a quarantined request; nothing for other reasons."""
        if reason != Reason.QUARANTINED:
            return []
        return [quarantine_log_event(pending.request.request_id, self._content_of(pending))]

    def retry_after_seconds(self, pending: RequestWithDigest, reason: str, now: float) -> float:
        """Return the Retry-After, in seconds, of a request that has not run."""
        if reason == Reason.QUARANTINED:
            return self.gate.retry_after_seconds(self._content_of(pending), now)
        if reason == Reason.COLD:
            return self.grant_queue.retry_after_seconds(pending.request.service, now)
        if reason == Reason.OVERLOADED:
            remaining_seconds = pending.request.deadline_at - now
            return self._send_control.overload_retry_after_seconds(
                pending.request.route, remaining_seconds
            )
        return retry_after_seconds(reason)

    def _content_of(self, pending: RequestWithDigest) -> ContentDigest:
        return pending.content_digest(self._names)
