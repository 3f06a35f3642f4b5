"""Proof of the freshness of a follower's state.

The follower puts its own time as a stamp into each reply. A leader that holds its lease echoes the
stamp together with its commit index: everything committed before the stamp is at or below that
index. Once the follower has delivered entries through that index, its state is proved to include
everything committed before the stamp.
"""

from collections import OrderedDict, deque

import msgspec

_MAXIMUM_STAMPS = 512
"""Stamps kept while their echo may still arrive; the echo of an evicted one is ignored."""
_MAXIMUM_CLAIMS = 64
"""Maximum number of leader's claims that wait until the entries through their index have been
delivered. Evicting the oldest one can delay the proof but not make it wrong."""


class _Claim(msgspec.Struct, frozen=True):
    """Everything committed before `stamp` is at or below `index`."""

    index: int
    stamp: float


class FreshnessProof:
    """Stamps sent and leader's claims received by one follower."""

    def __init__(self) -> None:
        self._stamps: OrderedDict[float, None] = OrderedDict()
        self._claims: deque[_Claim] = deque(maxlen=_MAXIMUM_CLAIMS)
        self._proved_at: float | None = None

    def issue_stamp(self, now: float) -> float:
        """Return the current time as the stamp of a reply and record it."""
        self._stamps[now] = None
        if len(self._stamps) > _MAXIMUM_STAMPS:
            self._stamps.popitem(last=False)
        return now

    def add_claim(self, index: int, stamp: float) -> None:
        """Record a leader's claim that everything committed before `stamp` is through `index`.

        Only stamps issued by the running process are accepted: the clock may have been reset
        since an earlier run.
        """
        if stamp in self._stamps:
            self._claims.append(_Claim(index, stamp))

    def on_delivered(self, index: int) -> None:
        """Evaluate claims after entries through this index were delivered."""
        waiting: deque[_Claim] = deque(maxlen=_MAXIMUM_CLAIMS)
        for claim in self._claims:
            if claim.index > index:
                waiting.append(claim)
            elif self._proved_at is None or claim.stamp > self._proved_at:
                self._proved_at = claim.stamp
        self._claims = waiting

    def age_seconds(self, now: float) -> float | None:
        """Seconds since the time up to which the delivered state is proved complete.

        None if there is no proof yet.
        """
        return None if self._proved_at is None else max(0.0, now - self._proved_at)
