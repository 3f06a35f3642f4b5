"""A follower's proof of how fresh its state is.

The follower stamps each answer with its own time. A leader that holds its lease echoes
the stamp together with its commit index: everything committed before the stamp is at or
below that index. Once the follower has delivered so far, the proof counts.
"""

from collections import OrderedDict, deque

import msgspec

_REMEMBERED_STAMPS = 512
"""Answers to the leader whose echo may still come; the stamp of an older one proves nothing. Bounds
the table. Chosen, not measured."""
_REMEMBERED_CLAIMS = 64
"""Claims that wait for delivery; the oldest makes room, which makes the proof later and never
wrong. Chosen, not measured."""


class _Claim(msgspec.Struct, frozen=True):
    index: int
    stamp: float


class FreshnessProof:
    """Stamps sent and claims received by one follower."""

    def __init__(self) -> None:
        """Begin without proof."""
        self._stamps: OrderedDict[float, None] = OrderedDict()
        self._claims: deque[_Claim] = deque(maxlen=_REMEMBERED_CLAIMS)
        self._proved_at: float | None = None

    def stamp(self, now: float) -> float:
        """Remember a stamp that goes out with an answer."""
        self._stamps[now] = None
        if len(self._stamps) > _REMEMBERED_STAMPS:
            self._stamps.popitem(last=False)
        return now

    def claim(self, index: int, stamp: float) -> None:
        """A valid leader says: all that was committed before `stamp` is through `index`.

        Only a stamp that this run of the process has made counts: the clock may have
        begun anew since an earlier run.
        """
        if stamp in self._stamps:
            self._claims.append(_Claim(index, stamp))

    def delivered(self, index: int) -> None:
        """The state has been delivered through this position."""
        waiting: deque[_Claim] = deque(maxlen=_REMEMBERED_CLAIMS)
        for claim in self._claims:
            if claim.index > index:
                waiting.append(claim)
            elif self._proved_at is None or claim.stamp > self._proved_at:
                self._proved_at = claim.stamp
        self._claims = waiting

    def age_seconds(self, now: float) -> float | None:
        """Time since the moment for which the delivered state is proved complete."""
        return None if self._proved_at is None else max(0.0, now - self._proved_at)
