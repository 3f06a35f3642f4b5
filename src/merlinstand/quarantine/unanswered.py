"""Unanswered attempts by backend, replicated so that they survive the daemon that sent them.

Only the sending daemon knows which requests it has in flight at a backend, and it may detect a
crash only when it next sends a request to the backend. If the daemon dies before that, no other
process knows under which request the backend crashed. Daemons therefore report attempts before
their outcome is known, and the control leader counts these attempts as in flight if the backend
turns out to have crashed. Part of `replica` and therefore deterministic: times are group time in
seconds.
"""

from collections.abc import Iterable, Mapping

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.messages import UnansweredAttempts
from merlinstand.quarantine.rules import (
    UNANSWERED_REFRESH_SECONDS,
    has_backend_outlived,
    may_have_crashed_backend,
)

UNANSWERED_ATTEMPTS_LIMIT = 1_024
"""Maximum attempts stored, 0.2 MB; the oldest are dropped first. Suffices for some seconds while
daemons announce some hundred sends per second."""

StoredAttempts = dict[BackendId, dict[ContentDigest, float]]
"""Time at which each attempt was recorded, by backend; oldest first."""


class UnansweredTable:
    """All unanswered attempts that the control group stores."""

    def __init__(self) -> None:
        self._recorded_at: StoredAttempts = {}

    def is_empty(self) -> bool:
        """Whether there are no attempts."""
        return not self._recorded_at

    def is_recent(self, backend_id: BackendId, content: ContentDigest, now: float) -> bool:
        """Whether an attempt was recorded so recently that it need not be recorded again."""
        recorded_at = self._recorded_at.get(backend_id, {}).get(content)
        return recorded_at is not None and now - recorded_at < UNANSWERED_REFRESH_SECONDS

    def record(self, attempts: Iterable[UnansweredAttempts], now: float) -> None:
        """Record attempts and drop those that are too old to count."""
        self._drop_expired(now)
        for group in attempts:
            held = self._recorded_at.setdefault(group.backend_id, {})
            for content in group.contents:
                # Reinserted last, because the oldest are dropped first.
                held.pop(content, None)
                held[content] = now
        self._keep_within_limit()

    def _drop_expired(self, now: float) -> None:
        kept: StoredAttempts = {}
        for backend_id, held in self._recorded_at.items():
            recent = {c: at for c, at in held.items() if may_have_crashed_backend(at, now)}
            if recent:
                kept[backend_id] = recent
        self._recorded_at = kept

    def _keep_within_limit(self) -> None:
        excess = sum(len(held) for held in self._recorded_at.values()) - UNANSWERED_ATTEMPTS_LIMIT
        if excess <= 0:
            return
        attempts = [(at, b, c) for b, held in self._recorded_at.items() for c, at in held.items()]
        for _at, backend_id, content in sorted(attempts)[:excess]:
            del self._recorded_at[backend_id][content]
        self._recorded_at = {b: held for b, held in self._recorded_at.items() if held}

    def reported_until(self, backend_id: BackendId, time: float) -> frozenset[ContentDigest]:
        """Return the requests reported for a backend up to a group time, outlived or not."""
        held = self._recorded_at.get(backend_id, {})
        return frozenset(content for content, at in held.items() if at <= time)

    def in_flight(
        self, backend_id: BackendId, heartbeat_at: float | None, now: float
    ) -> tuple[ContentDigest, ...]:
        """Return the requests that may have caused a backend's crash, the newest first.

        Args:
            backend_id: The backend.
            heartbeat_at: Group time of the backend's last heartbeat, which shows that the backend
                outlived attempts well before it; None if unknown.
            now: Present group time.
        """
        held = self._recorded_at.get(backend_id, {})
        return tuple(
            content
            for content, at in reversed(held.items())
            if may_have_crashed_backend(at, now)
            and (heartbeat_at is None or not has_backend_outlived(at, alive_at=heartbeat_at))
        )

    def stored(self) -> StoredAttempts:
        """Return the snapshot."""
        return {backend_id: dict(held) for backend_id, held in self._recorded_at.items()}

    def restore(self, stored: Mapping[BackendId, Mapping[ContentDigest, float]]) -> None:
        """Replace the contents by those of a snapshot."""
        self._recorded_at = {backend_id: dict(held) for backend_id, held in stored.items()}
