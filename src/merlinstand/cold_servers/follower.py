"""A daemon's side of cold back ends: what it may send to them now, and what it wishes.

Everything that a daemon sends to back ends passes here: `is_open` tells whether a request may go
to a back end now, `note_sent` that it does. Warm ones are always open. A cold one is open while a
grant of the control leader lasts (`cold_grants`), each for one request.

A back end that this daemon could not reach is taken as cold, too, until a leader has heard it say
otherwise since: it may have become cold while it was away.

Only services that name a limit are concerned; for all others nothing is kept and nothing is sent.
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
from merlinstand.common.decoding import MALFORMED_INPUT
from merlinstand.common.ids import BackendId
from merlinstand.kernel.events import CallFailed, CallPhase

ASK_SECONDS = 0.1
"""Wishes that weren't fulfilled, or weren't answered, are sent again after this time."""
LONGEST_REFUSAL_SECONDS = 1.0
"""A refusal says nothing about later times: back ends may come, and get warm."""
KEPT_PULLS = 8
"""Pulls with wishes whose answers are still taken; older grants have ended."""
WISHED_BACKENDS = 32
"""Cold back ends named in one wish, so that a pull stays small; of more, each in its turn."""
DOUBTED_KIND = ""
"""Names the wish of nothing that only asks whether back ends are warm."""


class _Grant(msgspec.Struct):
    """Sends to one back end."""

    sends: int
    until: float


class ColdBudget:
    """What one daemon may send to cold back ends."""

    def __init__(self, bears_per_second: Callable[[str], float] = lambda _service: 0.0) -> None:
        """Begin without grants.

        Args:
            bears_per_second: Requests a second that a cold back end of a service bears; 0 for any
                number.
        """
        self._bears_per_second = bears_per_second
        self._grants: dict[BackendId, list[_Grant]] = {}
        self._wishes: dict[str, GrantRequest] = {}
        self._pulls: dict[float, None] = {}
        """Times of the pulls with wishes that were not answered yet."""
        self._doubted_since: dict[BackendId, float] = {}
        self._refused_until: dict[str, float] = {}
        """By kind of work."""
        self._asked_at = float("-inf")
        self.answered_at = float("-inf")
        """When the newest pull left that was answered."""
        self._turn = 0

    # Sending

    def is_cold(self, backend: Backend) -> bool:
        """Whether a back end bears only what is granted."""
        if not backend.is_cold and backend.backend_id not in self._doubted_since:
            return False
        return self._bears_per_second(backend.service) > 0.0

    def concerns(self, backends: Iterable[Backend]) -> bool:
        """Whether any of some back ends may be cold: a quick look."""
        return bool(self._doubted_since) or any(backend.is_cold for backend in backends)

    def is_open(self, backend: Backend, now: float) -> bool:
        """Whether a request may be sent to a back end now."""
        return not self.is_cold(backend) or self.granted(backend.backend_id, now) > 0

    def granted(self, backend_id: BackendId, now: float) -> int:
        """Requests that may be sent to a cold back end now."""
        return sum(grant.sends for grant in self._live_grants(backend_id, now))

    def note_sent(self, backend: Backend, now: float) -> None:
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

    def note_failure(self, backend: Backend, event: CallFailed, now: float) -> None:
        """A call failed: a back end that can't be reached may be cold when it is back.

        One that is silent on an open connection is not taken for away: a daemon that stood still
        itself finds all of them silent.
        """
        is_away = event.phase is CallPhase.CONNECT
        if is_away and self._bears_per_second(backend.service) > 0.0:
            self._doubted_since[backend.backend_id] = now

    def keep_only(self, present: Iterable[BackendId]) -> None:
        """Drop what is known of back ends that are gone."""
        if not self._doubted_since and not self._grants:
            return
        kept = set(present)
        self._doubted_since = {b: at for b, at in self._doubted_since.items() if b in kept}
        self._grants = {b: held for b, held in self._grants.items() if b in kept}

    # Wishes

    def request_grants(self, kind: str, sends: int, backends: Sequence[Backend]) -> None:
        """Wish sends with the next pull; replaces an earlier wish of the kind.

        Args:
            kind: Names the work within this daemon.
            sends: Requests that wait.
            backends: Cold back ends that they may go to.
        """
        ids = [backend.backend_id for backend in backends]
        if len(ids) > WISHED_BACKENDS:
            first = self._turn % len(ids)
            ids = (ids[first:] + ids[:first])[:WISHED_BACKENDS]
        self._wishes[kind] = GrantRequest(kind, sends, tuple(ids))

    def withdraw(self, kind: str) -> None:
        """Wish nothing of a kind any more: the work is done, or was given up."""
        self._wishes.pop(kind, None)

    def refused_seconds(self, kind: str, now: float) -> float:
        """How long wishes of a kind are in vain, as the leader told; 0 if they may be granted."""
        return max(0.0, self._refused_until.get(kind, 0.0) - now)

    def is_request_due(self, now: float) -> bool:
        """Whether there are wishes that are worth a pull of their own."""
        if not self._wishes:
            return False
        waits_for_answer = bool(self._pulls) and now - self._asked_at < ASK_SECONDS
        return not waits_for_answer and any(
            self._refused_until.get(kind, 0.0) <= now for kind in self._wishes
        )

    def next_request(self, now: float) -> bytes | None:
        """Give the wishes for a pull that leaves now, encoded; None if there are none."""
        self._turn += WISHED_BACKENDS
        wishes = list(self._wishes.values())
        if self._doubted_since:
            # Whether they are warm is asked even if no work waits for them: it might never.
            doubted = tuple(self._doubted_since)[:WISHED_BACKENDS]
            wishes.append(GrantRequest(DOUBTED_KIND, 0, doubted))
        if not wishes:
            return None
        self._wishes.clear()
        self._asked_at = now
        self._pulls[now] = None
        while len(self._pulls) > KEPT_PULLS:
            del self._pulls[next(iter(self._pulls))]
        return encode_requests(GrantRequests(now, tuple(wishes)))

    def take(self, data: bytes, now: float) -> None:
        """Take the leader's grants in: once for each pull, and only for pulls of this process.

        A grant's end counts from when its wish left: whatever kept the answer, or this process,
        from going on only makes it shorter.
        """
        try:
            grants = decode_grants(data)
        except MALFORMED_INPUT:
            return
        if grants.asked_at not in self._pulls:
            return
        del self._pulls[grants.asked_at]
        self.answered_at = max(self.answered_at, grants.asked_at)
        until = grants.asked_at + GRANT_SECONDS
        for backend_id, sends in grants.sends.items():
            self._live_grants(backend_id, now)
            self._grants.setdefault(backend_id, []).append(_Grant(sends, until))
        self._take_refusals(grants, now)
        for backend_id, seconds in grants.warm_heard_seconds.items():
            # The answer left after the pull, so the heartbeat came after this time at least.
            if self._doubted_since.get(backend_id, now) < grants.asked_at - seconds:
                del self._doubted_since[backend_id]

    def _take_refusals(self, grants: ColdGrants, now: float) -> None:
        self._refused_until = {k: at for k, at in self._refused_until.items() if at > now}
        for kind, seconds in grants.next_seconds.items():
            pause = min(LONGEST_REFUSAL_SECONDS, max(ASK_SECONDS, seconds))
            self._refused_until[kind] = now + pause
