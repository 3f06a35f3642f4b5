"""Notices servers that crash while they work on this daemon's requests.

Owns this daemon's calls in flight, and those that ended without an answer. A connection that breaks
says nothing of its server: answers get lost, connections are reset, and the server lives on. So a
server at which a call broke is probed on a new connection. Only one that refuses it, or whose
address another incarnation has taken, has crashed; then all requests that this daemon had in flight
there, or gave up just before, are suspects. Tries that end without an answer are told at once, and
at times each try as it is sent (`tries_to_tell`): this daemon may die before it finds out what
became of the server. Part of the reducers of gateways and keepers.
"""

from collections.abc import Callable, Collection
from http import HTTPStatus

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.common.ids import BackendId, CallId, ContentDigest
from merlinstand.kernel.effects import Effect, LogEvent, StartCall
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from merlinstand.quarantine.follower import SuspectTable
from merlinstand.quarantine.rules import has_server_outlived, may_have_crashed_server

CALL_PREFIX = "alive:"
"""Begins the ids of probes: their ends go to `on_call`."""
PROBE_SECONDS = 0.5
"""Longest wait for a server's sign of life: a dead one refuses a connection within some ms, a full
one lets it wait, and the connection alone shows that it lives."""
GIVEN_UP_LIMIT = 64
"""Tries remembered for each server after they were given up; chosen, not measured."""
BROKEN_REASONS = frozenset(("reset", "truncated"))
"""How a call fails whose server crashes; time-outs and malformed answers come from servers that are
there."""
REFUSED_REASON = "refused"
"""How a connection fails at whose address no process listens."""


class _Sent(msgspec.Struct, frozen=True):
    """A call under way."""

    backend: Backend
    content_of: Callable[[], ContentDigest]
    at: float


class _GivenUp(msgspec.Struct, frozen=True):
    """A call that ended without an answer."""

    content: ContentDigest
    at: float


class _Unanswered(msgspec.Struct):
    """A server, and the calls there that ended without an answer."""

    backend: Backend
    given_up: list[_GivenUp]


class CrashDetector:
    """All requests that one daemon has in flight at servers."""

    def __init__(
        self,
        suspects: SuspectTable,
        names: HeaderNames,
        health_path_of: Callable[[str], str],
        cold: ColdBackendBudget,
    ) -> None:
        """Begin with nothing in flight.

        Args:
            suspects: Takes what is found.
            names: Header names.
            health_path_of: Gives the path that a service's servers answer at once; empty if it
                has none, then none of them is asked.
            cold: Tells what may be sent to cold servers.
        """
        self.suspects = suspects
        self._names = names
        self._health_path_of = health_path_of
        self._cold = cold
        self._sent: dict[CallId, _Sent] = {}
        self._unanswered: dict[BackendId, _Unanswered] = {}
        self._probes: dict[CallId, Backend] = {}
        self._probed: set[BackendId] = set()
        self._calls = 0

    def record_send(
        self,
        call_id: CallId,
        backend: Backend,
        content_of: Callable[[], ContentDigest],
        now: float,
    ) -> None:
        """A request goes to a server.

        Args:
            call_id: Of the call.
            backend: Where it goes.
            content_of: Gives the request's content; asked once it has ended.
            now: Local time.
        """
        self._sent[call_id] = _Sent(backend, content_of, now)
        self.suspects.record_send(call_id, backend, content_of, now)

    def _end(self, call_id: CallId) -> _Sent | None:
        """A call is over; gives what was known of it."""
        self.suspects.record_end(call_id)
        return self._sent.pop(call_id, None)

    def record_response(self, call_id: CallId, now: float) -> None:
        """The server ran the request and answered whole: it lives, the request didn't crash it."""
        sent = self._end(call_id)
        if sent is not None:
            self._note_life(sent.backend.backend_id, sent.at)
            self.suspects.record_served(sent.content_of(), now)

    def record_rejection(self, call_id: CallId) -> None:
        """The server answered that it has not begun the request: that proves nothing."""
        sent = self._end(call_id)
        if sent is not None:
            self._note_life(sent.backend.backend_id, sent.at)
            self._note_unsent(sent)

    def _note_unsent(self, sent: _Sent) -> None:
        if not self.suspects.is_empty:
            self.suspects.return_permit(sent.content_of())

    def _note_life(self, backend_id: BackendId, at: float) -> None:
        """A server was there at a time: what was given up long before has not crashed it."""
        self.suspects.record_alive(backend_id)
        unanswered = self._unanswered.get(backend_id)
        if unanswered is None:
            return
        unanswered.given_up = [
            given_up
            for given_up in unanswered.given_up
            if not has_server_outlived(given_up.at, answered_sent_at=at)
        ]
        if not unanswered.given_up:
            del self._unanswered[backend_id]
            self.suspects.record_outlived(backend_id)

    def record_abandonment(self, call_id: CallId, now: float) -> None:
        """The call was cancelled, or its answer came to nothing."""
        sent = self._end(call_id)
        if sent is not None:
            self._remember(sent, now)

    def _remember(self, sent: _Sent, now: float) -> None:
        unanswered = self._unanswered.setdefault(
            sent.backend.backend_id, _Unanswered(sent.backend, [])
        )
        held = [
            given_up
            for given_up in unanswered.given_up
            if may_have_crashed_server(given_up.at, now)
        ]
        content = sent.content_of()
        held.append(_GivenUp(content, now))
        unanswered.given_up = held[-GIVEN_UP_LIMIT:]
        self.suspects.record_unanswered(sent.backend.backend_id, content, now)

    def record_failure(self, event: CallFailed, now: float) -> list[Effect]:
        """A call failed; asks its server for a sign of life if the call had broken off."""
        sent = self._end(event.call_id)
        if sent is None:
            return []
        if event.phase is CallPhase.CONNECT:
            self._note_unsent(sent)
            is_refused = event.reason == REFUSED_REASON
            return self._note_gone(sent.backend, now) if is_refused else []
        self._remember(sent, now)
        return self._probe(sent.backend, now) if event.reason in BROKEN_REASONS else []

    def _probe(self, backend: Backend, now: float) -> list[Effect]:
        path = self._health_path_of(backend.service)
        is_idle = backend.is_draining or backend.backend_id in self._probed
        if not path or is_idle or not self._cold.may_send_to(backend, now):
            return []
        self._calls += 1
        call_id = CallId(f"{CALL_PREFIX}{self._calls}")
        self._probes[call_id] = backend
        self._probed.add(backend.backend_id)
        self._cold.record_send(backend, now)
        headers = {
            self._names.request_id: f"{backend.backend_id}-{self._calls}",
            self._names.deadline_ms: str(int(PROBE_SECONDS * 1000)),
            self._names.expected_backend: backend.backend_id,
        }
        return [
            StartCall(
                call_id=call_id,
                address=backend.address,
                method="GET",
                path=path,
                headers=headers,
                body=b"",
                timeout_seconds=PROBE_SECONDS,
                fresh_connection=True,
            )
        ]

    def is_probing(self, backend_id: BackendId) -> bool:
        """Whether a server is being asked for a sign of life."""
        return backend_id in self._probed

    def on_call(self, event: CallResponded | CallFailed, now: float) -> list[Effect]:
        """A call with `CALL_PREFIX` ended: the server is there, or it isn't."""
        backend = self._probes.pop(event.call_id, None)
        if backend is None:
            return []
        self._probed.discard(backend.backend_id)
        if isinstance(event, CallFailed):
            is_refused = event.phase is CallPhase.CONNECT and event.reason == REFUSED_REASON
            return self._note_gone(backend, now) if is_refused else []
        if event.status == HTTPStatus.MISDIRECTED_REQUEST:
            return self._note_gone(backend, now)
        self._note_life(backend.backend_id, now)
        return []

    def _note_gone(self, backend: Backend, now: float) -> list[Effect]:
        """A server isn't there any more: whatever it worked on last may have crashed it.

        One that leaves ends by itself, with what it still worked on: that is no crash. Calls under
        way don't count yet: they may still be connecting, and those that had been sent break off by
        themselves.
        """
        unanswered = self._unanswered.pop(backend.backend_id, None)
        held = unanswered.given_up if unanswered is not None else []
        contents = dict.fromkeys(g.content for g in held if may_have_crashed_server(g.at, now))
        if backend.is_draining:
            return []
        suspected = self.suspects.record_crash(backend.backend_id, contents, now)
        if not contents:
            return []
        fields = {
            "backend": backend.backend_id,
            "service": backend.service,
            "in_flight": len(contents),
            "suspected": ",".join(suspected),
        }
        return [LogEvent("backend.ended", fields)]

    def update_backends(self, present: Collection[Backend], now: float) -> list[Effect]:
        """Take note of the servers that are registered now.

        A server at whose address another incarnation of its service stands has crashed, if nobody
        said that it leaves.
        """
        effects: list[Effect] = []
        if not self._unanswered:
            return effects
        ids = {backend.backend_id for backend in present}
        for backend_id, unanswered in list(self._unanswered.items()):
            if backend_id in ids:
                continue
            place = (unanswered.backend.address, unanswered.backend.service)
            if any((backend.address, backend.service) == place for backend in present):
                effects.extend(self._note_gone(unanswered.backend, now))
            self._unanswered.pop(backend_id, None)
        return effects
