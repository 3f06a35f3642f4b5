"""Wraps a reducer to count its messages and records and to note its state."""

from collections.abc import Sequence
from typing import Any

import msgspec

from merlinstand.kernel.effects import AppendRecords, Effect
from merlinstand.kernel.events import Event, Started
from merlinstand.kernel.reducer import Reducer


class Counts(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of one observed reducer."""

    records: int
    record_bytes: int
    revision: int
    takes_new_work: bool
    holds_its_leases: bool


class ObservedReducer:
    """Delegates to a reducer, unchanged."""

    def __init__(self, reducer: Reducer) -> None:
        """Wrap a reducer that has not started."""
        self._reducer = reducer
        self._session: Any = getattr(reducer, "session", None)
        self._records = 0
        self._record_bytes = 0

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Begin the wrapped reducer."""
        return self._count(self._reducer.start(event, now))

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Pass an event on."""
        return self._count(self._reducer.reduce(event, now))

    def counts(self, now: float) -> Counts:
        """Return the totals since the start; a reducer without a session is always ready."""
        session = self._session
        return Counts(
            records=self._records,
            record_bytes=self._record_bytes,
            revision=0 if session is None else session.view.revision,
            takes_new_work=session is None or session.may_take_new_work(now),
            holds_its_leases=getattr(self._reducer, "holds_its_leases", True),
        )

    def _count(self, effects: Sequence[Effect]) -> Sequence[Effect]:
        for effect in effects:
            if isinstance(effect, AppendRecords):
                self._records += len(effect.records)
                self._record_bytes += sum(map(len, effect.records))
        return effects
