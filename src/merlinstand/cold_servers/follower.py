"""A daemon's budget for cold backends: the grants that it holds, and the grants that it requests.

Holds the valid grants, the grant requests for the next pull, and the backends that this daemon
could not connect to. Every send to a backend is checked here: `may_send_to` says whether a request
may be sent now, and `record_send` uses up the grant. Warm backends are not limited. A cold backend
may be sent one request for each valid grant of the control leader (`grants`). A backend that this
daemon could not connect to may have become cold meanwhile. It is treated as cold until the leader
has received a later heartbeat that says otherwise.

Only services with a configured limit are affected; for all other services nothing is stored or
sent. Runs in every gateway and keeper as part of the directory's follower.
"""

from collections.abc import Callable, Iterable, Sequence

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cold_servers.grants import (
    GRANT_LIFETIME_SECONDS,
    ColdGrants,
    GrantRequest,
    GrantRequests,
    decode_grants,
    encode_requests,
)
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import BackendId
from merlinstand.kernel.events import CallFailed, CallPhase

REQUEST_RETRY_SECONDS = 0.1
"""Grant requests that were not granted or got no response are repeated after this time: three times
within a grant's lifetime."""
MAXIMUM_REJECTION_SECONDS = 1.0
"""Maximum time for which a rejection by the leader suppresses further requests, since other
backends may register or become warm meanwhile."""
MAXIMUM_PENDING_PULLS = 8
"""Number of latest pulls whose grants are accepted; grants for older pulls have expired."""
MAXIMUM_REQUESTED_BACKENDS = 32
"""Maximum cold backends listed in one grant request, so that a pull stays small. If there are more,
successive requests list different ones."""
WARMTH_CHECK_KIND = ""
"""Kind of a grant request for zero sends, which only asks whether backends are warm."""


class _Grant(msgspec.Struct):
    """Number of sends to one backend that are still granted, and when they expire (local time)."""

    sends: int
    expires_at: float


class ColdBackendBudget:
    """What one daemon may send to cold backends."""

    def __init__(self, cold_rate_of: Callable[[str], float] = lambda _service: 0.0) -> None:
        """Start without grants.

        Args:
            cold_rate_of: Returns the requests per second that a cold backend of a service can
                serve; 0 for no limit.
        """
        self._cold_rate_of = cold_rate_of
        self._grants: dict[BackendId, list[_Grant]] = {}
        self._requests: dict[str, GrantRequest] = {}
        self._pending_pulls: dict[float, None] = {}
        """Send times of the pulls with grant requests that have no response yet; oldest first."""
        self._unreached_at: dict[BackendId, float] = {}
        self._rejected_until: dict[str, float] = {}
        """Local time until which the leader rejects grant requests, by kind of work."""
        self._requested_at = float("-inf")
        self.answered_pull_at = float("-inf")
        """Send time of the newest pull whose grant requests got a response."""
        self._rotation = 0

    # Sending

    def is_cold(self, backend: Backend) -> bool:
        """Whether sends to a backend need a grant."""
        if not backend.is_cold and backend.backend_id not in self._unreached_at:
            return False
        return self._cold_rate_of(backend.service) > 0.0

    def may_include_cold(self, backends: Iterable[Backend]) -> bool:
        """Whether any of the backends may be cold; a cheap check that ignores service limits."""
        return bool(self._unreached_at) or any(backend.is_cold for backend in backends)

    def may_send_to(self, backend: Backend, now: float) -> bool:
        """Whether a request may be sent to a backend now."""
        return not self.is_cold(backend) or self.granted_sends(backend.backend_id, now) > 0

    def granted_sends(self, backend_id: BackendId, now: float) -> int:
        """Return the number of requests that may be sent to a cold backend now."""
        return sum(grant.sends for grant in self._live_grants(backend_id, now))

    def record_send(self, backend: Backend, now: float) -> None:
        """Record a send to a backend, which uses up the earliest grant if the backend is cold."""
        if not self.is_cold(backend):
            return
        grants = self._live_grants(backend.backend_id, now)
        if grants:
            grants[0].sends -= 1

    def _live_grants(self, backend_id: BackendId, now: float) -> list[_Grant]:
        grants = self._grants.get(backend_id)
        if grants is None:
            return []
        live = [grant for grant in grants if grant.expires_at > now and grant.sends > 0]
        if live:
            self._grants[backend_id] = live
        else:
            del self._grants[backend_id]
        return live

    def record_failure(self, backend: Backend, event: CallFailed, now: float) -> None:
        """Treat a backend as cold if this daemon could not connect to it.

        A backend that doesn't respond on an open connection doesn't count as unreachable, because
        to a daemon that was paused itself all backends seem silent.
        """
        is_unreachable = event.phase is CallPhase.CONNECT
        if is_unreachable and self._cold_rate_of(backend.service) > 0.0:
            self._unreached_at[backend.backend_id] = now

    def retain_only(self, present: Iterable[BackendId]) -> None:
        """Drop the state of backends that are no longer registered."""
        if not self._unreached_at and not self._grants:
            return
        kept = set(present)
        self._unreached_at = {b: at for b, at in self._unreached_at.items() if b in kept}
        self._grants = {b: held for b, held in self._grants.items() if b in kept}

    # Requests

    def request_grants(self, kind: str, sends: int, backends: Sequence[Backend]) -> None:
        """Request grants with the next pull, replacing an earlier grant request of the same kind.

        Args:
            kind: Identifies the work within this daemon.
            sends: Number of requests that wait to be sent.
            backends: Cold backends to which these requests may be sent.
        """
        ids = [backend.backend_id for backend in backends]
        if len(ids) > MAXIMUM_REQUESTED_BACKENDS:
            first = self._rotation % len(ids)
            ids = (ids[first:] + ids[:first])[:MAXIMUM_REQUESTED_BACKENDS]
        self._requests[kind] = GrantRequest(kind, sends, tuple(ids))

    def withdraw_request(self, kind: str) -> None:
        """Drop the grant request for a kind of work that is done or cancelled."""
        self._requests.pop(kind, None)

    def rejected_seconds(self, kind: str, now: float) -> float:
        """Return the seconds for which the leader rejects a kind of work; 0 if it may grant it."""
        return max(0.0, self._rejected_until.get(kind, 0.0) - now)

    def is_request_due(self, now: float) -> bool:
        """Whether there are grant requests that justify a pull of their own."""
        if not self._requests:
            return False
        awaits_response = (
            bool(self._pending_pulls) and now - self._requested_at < REQUEST_RETRY_SECONDS
        )
        return not awaits_response and any(
            self._rejected_until.get(kind, 0.0) <= now for kind in self._requests
        )

    def next_request(self, now: float) -> bytes | None:
        """Return the encoded grant requests for a pull that is sent now; None if there are none."""
        self._rotation += MAXIMUM_REQUESTED_BACKENDS
        requests = list(self._requests.values())
        if self._unreached_at:
            # Ask whether these backends are warm even if no request waits for them: otherwise they
            # might be treated as cold forever.
            unreached = tuple(self._unreached_at)[:MAXIMUM_REQUESTED_BACKENDS]
            requests.append(GrantRequest(WARMTH_CHECK_KIND, 0, unreached))
        if not requests:
            return None
        self._requests.clear()
        self._requested_at = now
        self._pending_pulls[now] = None
        while len(self._pending_pulls) > MAXIMUM_PENDING_PULLS:
            del self._pending_pulls[next(iter(self._pending_pulls))]
        return encode_requests(GrantRequests(now, tuple(requests)))

    def apply_grants(self, data: bytes, now: float) -> None:
        """Apply the leader's grants, once for each pull, and only for pulls of this process.

        A grant's lifetime begins when the grant request is sent, so that any delay of the response
        or of this process only shortens the time in which the grant can be used.
        """
        try:
            grants = decode_grants(data)
        except DECODE_ERRORS:
            return
        if grants.pull_sent_at not in self._pending_pulls:
            return
        del self._pending_pulls[grants.pull_sent_at]
        self.answered_pull_at = max(self.answered_pull_at, grants.pull_sent_at)
        expires_at = grants.pull_sent_at + GRANT_LIFETIME_SECONDS
        for backend_id, sends in grants.sends.items():
            self._live_grants(backend_id, now)
            self._grants.setdefault(backend_id, []).append(_Grant(sends, expires_at))
        self._apply_rejections(grants, now)
        for backend_id, seconds in grants.warm_heard_seconds.items():
            # The leader responded after the pull was sent, so the heartbeat arrived no earlier than
            # `seconds` before the pull was sent.
            if self._unreached_at.get(backend_id, now) < grants.pull_sent_at - seconds:
                del self._unreached_at[backend_id]

    def _apply_rejections(self, grants: ColdGrants, now: float) -> None:
        self._rejected_until = {k: at for k, at in self._rejected_until.items() if at > now}
        for kind, seconds in grants.next_seconds.items():
            delay = min(MAXIMUM_REJECTION_SECONDS, max(REQUEST_RETRY_SECONDS, seconds))
            self._rejected_until[kind] = now + delay
