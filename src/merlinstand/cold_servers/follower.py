"""A daemon's side of cold back ends: what it may send to them now, and what it requests.

Owns the grants that last, the requests for the next pull, and the back ends that this daemon could
not reach. Everything that a daemon sends to back ends passes here: `is_open` says whether a request
may go to a back end now, `note_sent` that it does. Warm ones are always open. A cold one is open
while a grant of the control leader lasts (`grants`), each for one request. A back end that this
daemon could not reach is taken as cold, too, until a leader has heard it say otherwise since: it
may have become cold while it was away.

Only services that name a limit are concerned; for all others nothing is kept and nothing is sent.
Runs in every gateway and keeper, as part of the directory's follower.
"""

from collections.abc import Callable, Iterable, Sequence

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cold_servers.grants import (
    GRANT_SECONDS,
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
"""Requests that weren't granted, or weren't answered, are sent again after this time; chosen, not
measured: three times within a grant's life."""
LONGEST_REFUSAL_SECONDS = 1.0
"""A refusal holds no longer than this: back ends may come, and get warm. Chosen, not measured."""
KEPT_PULLS = 8
"""Pulls with requests whose answers are still taken; older grants have ended."""
REQUESTED_BACKENDS = 32
"""Cold back ends named in one request, so that a pull stays small; of more, each in its turn."""
UNREACHED_KIND = ""
"""Names the request for nothing that only asks whether back ends are warm."""


class _Grant(msgspec.Struct):
    """Sends to one back end."""

    sends: int
    until: float


class ColdBackendBudget:
    """What one daemon may send to cold back ends."""

    def __init__(self, cold_rate_of: Callable[[str], float] = lambda _service: 0.0) -> None:
        """Begin without grants.

        Args:
            bears_per_second: Requests a second that a cold back end of a service bears; 0 for any
                number.
        """
        self._bears_per_second = cold_rate_of
        self._grants: dict[BackendId, list[_Grant]] = {}
        self._requests: dict[str, GrantRequest] = {}
        self._pulls: dict[float, None] = {}
        """Times of the pulls with requests that were not answered yet."""
        self._unreached_at: dict[BackendId, float] = {}
        self._refused_until: dict[str, float] = {}
        """By kind of work."""
        self._asked_at = float("-inf")
        self.answered_pull_at = float("-inf")
        """When the newest pull left that was answered."""
        self._turn = 0

    # Sending

    def is_cold(self, backend: Backend) -> bool:
        """Whether a back end bears only what is granted."""
        if not backend.is_cold and backend.backend_id not in self._unreached_at:
            return False
        return self._bears_per_second(backend.service) > 0.0

    def may_include_cold(self, backends: Iterable[Backend]) -> bool:
        """Whether any of some back ends may be cold: a quick look."""
        return bool(self._unreached_at) or any(backend.is_cold for backend in backends)

    def may_send_to(self, backend: Backend, now: float) -> bool:
        """Whether a request may be sent to a back end now."""
        return not self.is_cold(backend) or self.granted_sends(backend.backend_id, now) > 0

    def granted_sends(self, backend_id: BackendId, now: float) -> int:
        """Requests that may be sent to a cold back end now."""
        return sum(grant.sends for grant in self._live_grants(backend_id, now))

    def record_send(self, backend: Backend, now: float) -> None:
        """A request goes to a back end: a cold one's grant is used up, those that end first."""
        if not self.is_cold(backend):
            return
        grants = self._live_grants(backend.backend_id, now)
        if grants:
            grants[0].sends -= 1

    def _live_grants(self, backend_id: BackendId, now: float) -> list[_Grant]:
        grants = self._grants.get(backend_id)
        if grants is None:
            return []
        live = [grant for grant in grants if grant.until > now and grant.sends > 0]
        if live:
            self._grants[backend_id] = live
        else:
            del self._grants[backend_id]
        return live

    def record_failure(self, backend: Backend, event: CallFailed, now: float) -> None:
        """A call failed: a back end that can't be reached may be cold when it is back.

        One that is silent on an open connection is not taken for away: a daemon that stood still
        itself finds all of them silent.
        """
        is_away = event.phase is CallPhase.CONNECT
        if is_away and self._bears_per_second(backend.service) > 0.0:
            self._unreached_at[backend.backend_id] = now

    def retain_only(self, present: Iterable[BackendId]) -> None:
        """Drop what is known of back ends that are gone."""
        if not self._unreached_at and not self._grants:
            return
        kept = set(present)
        self._unreached_at = {b: at for b, at in self._unreached_at.items() if b in kept}
        self._grants = {b: held for b, held in self._grants.items() if b in kept}

    # Requests

    def request_grants(self, kind: str, sends: int, backends: Sequence[Backend]) -> None:
        """Request sends with the next pull; replaces an earlier request of the kind.

        Args:
            kind: Names the work within this daemon.
            sends: Requests that wait.
            backends: Cold back ends that they may go to.
        """
        ids = [backend.backend_id for backend in backends]
        if len(ids) > REQUESTED_BACKENDS:
            first = self._turn % len(ids)
            ids = (ids[first:] + ids[:first])[:REQUESTED_BACKENDS]
        self._requests[kind] = GrantRequest(kind, sends, tuple(ids))

    def withdraw_request(self, kind: str) -> None:
        """Request nothing of a kind any more: the work is done, or was given up."""
        self._requests.pop(kind, None)

    def refused_seconds(self, kind: str, now: float) -> float:
        """How long requests of a kind are in vain, by the leader's answer; 0 if not."""
        return max(0.0, self._refused_until.get(kind, 0.0) - now)

    def is_request_due(self, now: float) -> bool:
        """Whether there are requests that are worth a pull of their own."""
        if not self._requests:
            return False
        waits_for_answer = bool(self._pulls) and now - self._asked_at < REQUEST_RETRY_SECONDS
        return not waits_for_answer and any(
            self._refused_until.get(kind, 0.0) <= now for kind in self._requests
        )

    def next_request(self, now: float) -> bytes | None:
        """Give the requests for a pull that leaves now, encoded; None if there are none."""
        self._turn += REQUESTED_BACKENDS
        requests = list(self._requests.values())
        if self._unreached_at:
            # Whether they are warm is asked even if no work waits for them: it might never.
            unreached = tuple(self._unreached_at)[:REQUESTED_BACKENDS]
            requests.append(GrantRequest(UNREACHED_KIND, 0, unreached))
        if not requests:
            return None
        self._requests.clear()
        self._asked_at = now
        self._pulls[now] = None
        while len(self._pulls) > KEPT_PULLS:
            del self._pulls[next(iter(self._pulls))]
        return encode_requests(GrantRequests(now, tuple(requests)))

    def apply_grants(self, data: bytes, now: float) -> None:
        """Take the leader's grants in: once for each pull, and only for pulls of this process.

        A grant's end counts from when its request left: whatever kept the answer, or this process,
        from going on only makes it shorter.
        """
        try:
            grants = decode_grants(data)
        except DECODE_ERRORS:
            return
        if grants.pull_sent_at not in self._pulls:
            return
        del self._pulls[grants.pull_sent_at]
        self.answered_pull_at = max(self.answered_pull_at, grants.pull_sent_at)
        until = grants.pull_sent_at + GRANT_SECONDS
        for backend_id, sends in grants.sends.items():
            self._live_grants(backend_id, now)
            self._grants.setdefault(backend_id, []).append(_Grant(sends, until))
        self._take_refusals(grants, now)
        for backend_id, seconds in grants.warm_heard_seconds.items():
            # The answer left after the pull, so the heartbeat came after this time at least.
            if self._unreached_at.get(backend_id, now) < grants.pull_sent_at - seconds:
                del self._unreached_at[backend_id]

    def _take_refusals(self, grants: ColdGrants, now: float) -> None:
        self._refused_until = {k: at for k, at in self._refused_until.items() if at > now}
        for kind, seconds in grants.next_seconds.items():
            pause = min(LONGEST_REFUSAL_SECONDS, max(REQUEST_RETRY_SECONDS, seconds))
            self._refused_until[kind] = now + pause
