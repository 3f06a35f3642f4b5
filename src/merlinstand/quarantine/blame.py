"""Which requests are to blame for servers that ended (pure decisions).

All requests in flight at a server that ends are suspects, and one of them may have ended it. Alone
that proves nothing: servers end for other reasons, too, and take everything with them that they
work on. What tells the guilty one from those that only ran beside it:

- it was there each time; the others were there once or twice,
- it never ends well; the others are served whole at the next try, which clears them,
- once it is found, the ends at which it was there are explained, and blame nobody else.

A request that was there at as many ends as the guilty one is in doubt: it is tried alone.
"""

import enum
from collections import Counter
from collections.abc import Collection, Iterable

import msgspec

from merlinstand.common.ids import ContentDigest

ENDS_TO_BLAME = 3
"""Servers that end under a request before it is held back. Fewer would blame requests that two
unrelated faults have struck: two servers lost at the same time are an ordinary day. More would let
one request take down a service of three servers more than once."""


class Standing(enum.Enum):
    """What is held against a request."""

    SUSPECT = "suspect"
    """It was in flight when a server ended: it is sent on, apart from other suspects."""
    REPEAT_SUSPECT = "grave"
    """Two servers ended under it: it is not sent to the last one of its service either."""
    UNPROVEN = "doubtful"
    """So many servers ended under it that it is held back, but something else may be to blame, or
    it was long ago: it is tried again, alone, by leave of the control leader."""
    QUARANTINED = "quarantined"
    """It ends the servers that run it: it is sent to none."""


class _Weight(msgspec.Struct, frozen=True, order=True):
    """How much speaks against a request."""

    ends: int
    """Servers that ended under it."""
    alone: int
    """Those among them at which nothing else was in flight that isn't cleared."""


def judge(ends: Iterable[Collection[ContentDigest]]) -> dict[ContentDigest, Standing]:
    """Tell what is held against each request.

    Whoever was there at more ends than anybody beside it is to blame for all of them; this is
    repeated with the ends that are left over, as in the greedy search for a smallest set cover.

    Args:
        ends: For each server that ended the requests in flight there, without cleared ones.

    Returns:
        By request, in the order of the digests: all replicas and all runs give the same bytes.
    """
    unexplained = [frozenset(contents) for contents in ends if contents]
    standings: dict[ContentDigest, Standing] = {}
    while True:
        weights = _weights(unexplained)
        found = _outstanding(unexplained, weights)
        if not found:
            break
        standings.update(dict.fromkeys(found, Standing.QUARANTINED))
        unexplained = [contents for contents in unexplained if not contents & found]
    standings.update((content, standing_after(w.ends)) for content, w in weights.items())
    return dict(sorted(standings.items()))


def standing_after(ends: int) -> Standing:
    """What is held against a request by the number of servers that ended under it alone."""
    if ends >= ENDS_TO_BLAME:
        return Standing.UNPROVEN
    return Standing.REPEAT_SUSPECT if ends == ENDS_TO_BLAME - 1 else Standing.SUSPECT


def _weights(ends: list[frozenset[ContentDigest]]) -> dict[ContentDigest, _Weight]:
    counts = Counter(content for contents in ends for content in contents)
    alone = Counter(content for contents in ends if len(contents) == 1 for content in contents)
    return {content: _Weight(count, alone[content]) for content, count in counts.items()}


def _outstanding(
    ends: list[frozenset[ContentDigest]], weights: dict[ContentDigest, _Weight]
) -> frozenset[ContentDigest]:
    """Requests with enough ends, and more against them than against any that was beside them."""
    accused = {c for c, weight in weights.items() if weight.ends >= ENDS_TO_BLAME}
    matched: set[ContentDigest] = set()
    for contents in ends:
        rivals = contents & accused
        if len(rivals) < 2:
            continue
        heaviest = max(weights[content] for content in rivals)
        leading = [content for content in rivals if weights[content] == heaviest]
        matched.update(rivals if len(leading) > 1 else rivals - set(leading))
    return frozenset(accused - matched)
