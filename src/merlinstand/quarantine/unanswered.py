"""Tries without an answer, by server: replicated, so that they outlive the daemon that sent them.

A daemon alone knows what it has at a server, and finds out that the server is gone only when it
next sends something there. If it dies before that, nobody knows under which request the server
crashed. So it tells of tries before their end is known, and the control leader counts them as in
flight should the server turn out to have crashed. Owned by `replica`, so deterministic: times are
group time in seconds.
"""

from collections.abc import Iterable, Mapping

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.messages import UnansweredAttempts
from merlinstand.quarantine.rules import (
    UNANSWERED_AGAIN_SECONDS,
    has_server_outlived,
    may_have_crashed_server,
)

TRIES_LIMIT = 1_024
"""Tries remembered, the oldest are forgotten first: 0.2 MB, and some seconds of them when daemons
announce each send of some hundred requests a second."""

StoredTries = dict[BackendId, dict[ContentDigest, float]]
"""When each try was noted, by server; oldest first."""


class UnansweredTable:
    """All tries that the group holds."""

    def __init__(self) -> None:
        """Begin with none."""
        self._noted_at: StoredTries = {}

    def is_empty(self) -> bool:
        """Whether none is held."""
        return not self._noted_at

    def is_known(self, backend_id: BackendId, content: ContentDigest, now: float) -> bool:
        """Whether a try was noted so shortly before that it need not be noted again."""
        noted_at = self._noted_at.get(backend_id, {}).get(content)
        return noted_at is not None and now - noted_at < UNANSWERED_AGAIN_SECONDS

    def note(self, tries: Iterable[UnansweredAttempts], now: float) -> None:
        """Hold some tries, and forget those that are too old to count."""
        self._forget_old(now)
        for group in tries:
            held = self._noted_at.setdefault(group.backend_id, {})
            for content in group.contents:
                # Moved behind the others: the oldest are forgotten first.
                held.pop(content, None)
                held[content] = now
        self._keep_within_limit()

    def _forget_old(self, now: float) -> None:
        kept: StoredTries = {}
        for backend_id, held in self._noted_at.items():
            fresh = {c: at for c, at in held.items() if may_have_crashed_server(at, now)}
            if fresh:
                kept[backend_id] = fresh
        self._noted_at = kept

    def _keep_within_limit(self) -> None:
        excess = sum(len(held) for held in self._noted_at.values()) - TRIES_LIMIT
        if excess <= 0:
            return
        tries = [(at, b, c) for b, held in self._noted_at.items() for c, at in held.items()]
        for _at, backend_id, content in sorted(tries)[:excess]:
            del self._noted_at[backend_id][content]
        self._noted_at = {b: held for b, held in self._noted_at.items() if held}

    def told_until(self, backend_id: BackendId, time: float) -> frozenset[ContentDigest]:
        """Give the requests that were told of a server up to a time, whatever became of them."""
        held = self._noted_at.get(backend_id, {})
        return frozenset(content for content, at in held.items() if at <= time)

    def in_flight(
        self, backend_id: BackendId, heard_at: float | None, now: float
    ) -> tuple[ContentDigest, ...]:
        """Give the requests that may have crashed a server which is gone, the newest first.

        Args:
            backend_id: The server.
            heard_at: When its last heartbeat came, which it outlived earlier tries to send; None if
                that isn't known.
            now: Present time.
        """
        held = self._noted_at.get(backend_id, {})
        return tuple(
            content
            for content, at in reversed(held.items())
            if may_have_crashed_server(at, now)
            and (heard_at is None or not has_server_outlived(at, answered_sent_at=heard_at))
        )

    def stored(self) -> StoredTries:
        """Give what a snapshot holds."""
        return {backend_id: dict(held) for backend_id, held in self._noted_at.items()}

    def restore(self, stored: Mapping[BackendId, Mapping[ContentDigest, float]]) -> None:
        """Replace everything by what a snapshot held."""
        self._noted_at = {backend_id: dict(held) for backend_id, held in stored.items()}
