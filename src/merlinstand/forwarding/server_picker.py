"""Where the next try of a request goes, or why it goes nowhere: whole requests and streams alike.

Owned by a forwarder. Keeps the requests that wait for a grant to a cold server (`cold_wait`) or for
a permit to be tried (`quarantine_gate`); relies on `decisions` for the rules, on `backend_chooser`
for the choice among servers, and on `quarantine.crash_watch`, which is notified of each try.
"""

from collections.abc import Callable, Collection, Iterator, Mapping
from typing import TypeVar

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.places import ZoneMap
from merlinstand.cluster.regions import servers_in_regions
from merlinstand.common.ids import BackendId, CallId, ContentDigest
from merlinstand.decisions.admission import Admission
from merlinstand.decisions.rejection import Reason, Rejection, retry_after_seconds
from merlinstand.decisions.retry import RefusalAction, decide_after_refusal
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.forwarding.cold_wait import ColdWait
from merlinstand.forwarding.pending_tries import PendingTries
from merlinstand.forwarding.quarantine_gate import QuarantineGate, refusal_log
from merlinstand.forwarding.send_control import (
    TURNED_AWAY_METRIC,
    SendControl,
    TryEnd,
    count_of,
)
from merlinstand.kernel.effects import Effect, LogEvent
from merlinstand.quarantine.crash_watch import CrashDetector
from merlinstand.quarantine.request_digest import RequestWithDigest

Known = TypeVar("Known", bound=RequestWithDigest)


class Target(msgspec.Struct, frozen=True):
    """The server of the next try."""

    backend: Backend
    is_suspect: bool
    """Whether servers have crashed under the request."""


class Waiting(msgspec.Struct, frozen=True):
    """The request waits for a grant or a permit."""

    effects: list[Effect]
    """The timer that ends the wait, if it has just begun."""


class ServerPicker:
    """The choice for the requests of one forwarder."""

    def __init__(
        self,
        names: HeaderNames,
        chooser: BackendChooser,
        backends_of: Callable[[str], tuple[Backend, ...]],
        places: ZoneMap,
        watch: CrashDetector,
        control: SendControl,
        timer_prefix: str,
    ) -> None:
        """Begin with no request waiting.

        Args:
            names: Header names.
            chooser: Chooses among servers.
            backends_of: Gives the registered back ends of a service.
            places: Regions of the zones.
            watch: Is notified of each try.
            control: Is notified of each try, too; knows how loaded servers are.
            timer_prefix: Of the timers that end waits; `cold:` or `trial:` and the key follow.
        """
        self._names = names
        self._chooser = chooser
        self._backends_of = backends_of
        self._places = places
        self._watch = watch
        self._control = control
        self.gate = QuarantineGate(watch.suspects, f"{timer_prefix}trial:")
        self.cold_wait = ColdWait(chooser.cold, f"{timer_prefix}cold:")

    def pick(
        self,
        known: RequestWithDigest,
        tried: Collection[BackendId],
        now: float,
        silent: Collection[Backend] = (),
        may_wait: bool = True,
    ) -> Target | Waiting | Rejection:
        """Return where a request goes next. Each try passes here, also second ones.

        Args:
            known: The request.
            tried: Servers that it was sent to before.
            now: Local time.
            silent: Servers where a try of it is still without an answer.
            may_wait: Whether it may wait for a grant to a cold server.
        """
        admission = self.admit(known, now)
        if admission is Admission.WAIT:
            return Waiting(self.gate.begin_wait(known.request.key, self._content_of(known)))
        if admission is Admission.REJECTED:
            return Rejection(Reason.QUARANTINED)
        backend = self.candidate(known, tried, now, silent)
        if backend is not None:
            return Target(backend, admission is not Admission.ALLOWED)
        reason = self._reason_for_none(known, tried, admission, now)
        waits = self.await_grant(known, tried, now) if may_wait else []
        return Waiting(waits) if waits else Rejection(reason)

    def admit(self, known: RequestWithDigest, now: float) -> Admission:
        """Return what may be done with a request now, by what is held against it."""
        return self.gate.admit(lambda: self._content_of(known), now)

    def probed_server(
        self, known: RequestWithDigest, backend: Backend, now: float
    ) -> BackendId | None:
        """Give the server whose verdict a request's next try waits for; None if it needn't wait.

        Args:
            known: The request.
            backend: Where its try broke off.
            now: Local time.
        """
        if not self._watch.is_probing(backend.backend_id):
            return None
        # Whatever the verdict, it is sent to no server any more.
        is_rejected = self.admit(known, now) is Admission.REJECTED
        return None if is_rejected else backend.backend_id

    def candidate(
        self,
        known: RequestWithDigest,
        tried: Collection[BackendId],
        now: float,
        silent: Collection[Backend] = (),
    ) -> Backend | None:
        """Give the server that a request would be sent to; None if it is to go to none now."""
        admission = self.admit(known, now)
        service = known.request.service
        return self._chooser.choose(
            self.allowed(known),
            tried,
            now,
            silent,
            is_suspect=admission is not Admission.ALLOWED,
            excludes_last=admission is Admission.NOT_LAST_BACKEND,
            load=self._control.service_load(service, now),
            maximum_in_flight=self._control.maximum_in_flight(service, now),
        )

    def allowed(self, known: RequestWithDigest) -> tuple[Backend, ...]:
        """Back ends of the request's service in the regions that may serve it."""
        request = known.request
        backends = self._backends_of(request.service)
        return servers_in_regions(backends, request.allowed_regions, self._places)

    def closed(
        self, known: RequestWithDigest, tried: Collection[BackendId], now: float
    ) -> list[Backend]:
        """Cold back ends that only a grant opens to a request."""
        return self._chooser.cold_awaiting_grant(self.allowed(known), tried, now)

    def await_grant(
        self, known: RequestWithDigest, tried: Collection[BackendId], now: float
    ) -> list[Effect]:
        """Let a request wait for a grant; nothing if no cold server is left, or in vain."""
        return self.cold_wait.begin(known.request, self.closed(known, tried, now), now)

    def waits_on(self, known: RequestWithDigest, tried: Collection[BackendId], now: float) -> bool:
        """Return whether a request that no grant came for waits on; see `ColdWait.go_on`."""
        return self.cold_wait.go_on(known.request, self.closed(known, tried, now), now)

    def _reason_for_none(
        self,
        known: RequestWithDigest,
        tried: Collection[BackendId],
        admission: Admission,
        now: float,
    ) -> Reason:
        if self.closed(known, tried, now):
            return Reason.COLD
        if admission is Admission.NOT_LAST_BACKEND:
            return Reason.LAST_BACKEND
        is_bound = bool(known.request.allowed_regions)
        return Reason.NO_BACKEND_IN_REGIONS if is_bound else Reason.NO_BACKEND

    def permitted(
        self, requests: Mapping[str, Known], now: float
    ) -> Iterator[tuple[Known, list[Effect]]]:
        """Give the requests that waited for a permit and wait no more, one after the other.

        A permit is used up once its request is sent, so each is judged after the one before it.
        """
        for key in self.gate.waiting:
            known = requests.get(key)
            if known is not None and self.admit(known, now) is not Admission.WAIT:
                yield known, self.gate.end_wait(key)

    def judge_turned_away(
        self, pending: PendingTries, candidate: Backend | None, now: float
    ) -> RefusalAction:
        """Judge a request that servers have turned away, and of which no try is running.

        Args:
            pending: The request.
            candidate: Where it would be sent to; None if there is no such server.
            now: Local time.
        """
        return decide_after_refusal(
            has_available_backend=candidate is not None and not self._is_full(candidate, now),
            attempts=pending.attempts,
            backends=len(self.allowed(pending)),
            has_paused=pending.has_paused,
            remaining_seconds=pending.request.deadline_at - now,
        )

    def _is_full(self, backend: Backend, now: float) -> bool:
        return self._chooser.evidence(backend.backend_id).is_full(now)

    def begin_try(self, pending: PendingTries, target: Target, call_id: CallId, now: float) -> None:
        """A request is sent to a server."""
        backend = target.backend
        is_first = pending.tries == 0
        pending.note_begun(backend.backend_id)
        self._control.note_begun(pending.request.service, backend.backend_id, is_first, now)
        if target.is_suspect:
            self._chooser.evidence(backend.backend_id).suspects_in_flight += 1
            self.gate.record_sent(lambda: self._content_of(pending))
        self._watch.record_send(call_id, backend, lambda: self._content_of(pending), now)
        self._chooser.record_send(backend, now)

    def end_try(self, target: Target, end: TryEnd, now: float) -> list[Effect]:
        """A try is over."""
        backend_id = target.backend.backend_id
        evidence = self._chooser.evidence(backend_id)
        evidence.in_flight -= 1
        evidence.suspects_in_flight -= target.is_suspect
        if end is TryEnd.TURNED_AWAY:
            evidence.record_refusal(now)
        elif end is TryEnd.ANSWERED:
            evidence.clear_full()
        self._control.note_ended(backend_id, end, now)
        if end is not TryEnd.TURNED_AWAY:
            return []
        return [count_of(TURNED_AWAY_METRIC, target.backend.service)]

    def end(self, key: str) -> list[Effect]:
        """A request ends: it waits for nothing any more."""
        return [*self.cold_wait.end(key), *self.gate.end_wait(key)]

    def log_rejection(self, known: RequestWithDigest, reason: str) -> list[LogEvent]:
        """Give the log line of a request that is in quarantine; nothing for other reasons."""
        if reason != Reason.QUARANTINED:
            return []
        return [refusal_log(known.request.request_id, self._content_of(known))]

    def retry_after_seconds(self, known: RequestWithDigest, reason: str, now: float) -> float:
        """Return when a request that has not run may come again."""
        if reason == Reason.QUARANTINED:
            return self.gate.retry_after_seconds(self._content_of(known), now)
        if reason == Reason.COLD:
            return self.cold_wait.retry_after_seconds(known.request.service, now)
        if reason == Reason.OVERLOADED:
            left_seconds = known.request.deadline_at - now
            return self._control.overload_retry_after_seconds(known.request.route, left_seconds)
        return retry_after_seconds(reason)

    def _content_of(self, known: RequestWithDigest) -> ContentDigest:
        return known.content_digest(self._names)
