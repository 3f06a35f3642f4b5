"""Wraps a reducer to count its messages, note its revisions and cut it off from others."""

import time
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from merlinstand.kernel.effects import AppendRecords, Effect, SendMessage, StartCall
from merlinstand.kernel.events import Event, MessageReceived, Started
from merlinstand.kernel.reducer import Reducer


class RevisionSeen(msgspec.Struct, frozen=True):
    """A daemon put a revision in force."""

    node_id: str
    revision: int
    at_seconds: float
    """`CLOCK_MONOTONIC`, which all processes of a machine share."""


class Counts(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of one observed reducer."""

    node_id: str
    events: int
    messages_sent: dict[str, int]
    messages_received: dict[str, int]
    records: int
    record_bytes: int
    calls: int
    revision: int
    takes_new_work: bool


class ObservedReducer:
    """Delegates to a reducer, unchanged but for messages to and from blocked nodes."""

    def __init__(self, node_id: str, reducer: Reducer) -> None:
        """Wrap a reducer that has not started."""
        self._node_id = node_id
        self._reducer = reducer
        self._session: Any = _session_of(reducer)
        self._blocked: frozenset[str] = frozenset()
        self._sent: Counter[str] = Counter()
        self._received: Counter[str] = Counter()
        self._events = 0
        self._records = 0
        self._record_bytes = 0
        self._calls = 0
        self._revision = 0
        self._seen: list[RevisionSeen] = []

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Begin the wrapped reducer."""
        return self._observe(self._reducer.start(event, now))

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Pass an event on, unless it is a message of a blocked node."""
        self._events += 1
        if isinstance(event, MessageReceived):
            if event.sender in self._blocked:
                return ()
            self._received[type(event.message).__name__] += 1
        return self._observe(self._reducer.reduce(event, now))

    def block(self, node_ids: Iterable[str]) -> None:
        """Drop in silence every message to and from these nodes, in place of earlier ones."""
        self._blocked = frozenset(node_ids)

    def counts(self, now: float) -> Counts:
        """Return the totals since the start."""
        return Counts(
            node_id=self._node_id,
            events=self._events,
            messages_sent=dict(self._sent),
            messages_received=dict(self._received),
            records=self._records,
            record_bytes=self._record_bytes,
            calls=self._calls,
            revision=self._revision,
            takes_new_work=self._takes_new_work(now),
        )

    def take_seen(self) -> list[RevisionSeen]:
        """Return the revisions put in force since the last call."""
        seen, self._seen = self._seen, []
        return seen

    def _observe(self, effects: Sequence[Effect]) -> Sequence[Effect]:
        self._note_revision()
        if self._blocked:
            effects = [effect for effect in effects if not self._is_blocked(effect)]
        for effect in effects:
            self._count(effect)
        return effects

    def _is_blocked(self, effect: Effect) -> bool:
        return isinstance(effect, SendMessage) and effect.receiver in self._blocked

    def _count(self, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            self._sent[type(effect.message).__name__] += 1
        elif isinstance(effect, AppendRecords):
            self._records += len(effect.records)
            self._record_bytes += sum(map(len, effect.records))
        elif isinstance(effect, StartCall):
            self._calls += 1

    def _note_revision(self) -> None:
        if self._session is None:
            return
        revision = self._session.view.revision
        if revision != self._revision:
            self._revision = revision
            self._seen.append(RevisionSeen(self._node_id, revision, time.monotonic()))

    def _takes_new_work(self, now: float) -> bool:
        if self._session is None:
            return True
        return bool(self._session.may_take_new_work(now))


def _session_of(reducer: Reducer) -> Any:
    """Find the session that a daemon embeds; daemons of the product keep it private."""
    return getattr(reducer, "session", None) or getattr(reducer, "_session", None)
