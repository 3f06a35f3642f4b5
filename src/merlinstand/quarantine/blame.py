"""Which requests are to blame for servers that crashed (pure decisions).

All requests in flight at a server that crashes are suspects, and one of them may have crashed it.
Alone that proves nothing: servers crash for other reasons, too, and take everything with them that
they work on. What tells the guilty one from those that only ran beside it:

- it was there each time; the others were there once or twice,
- it never ends well; the others are served whole at the next try, which clears them,
- it was there alone at times; crashes that a request was alone at weigh more than any others,
- once it is found, the crashes at which it was there are explained, and blame nobody else; but
  one that was beside several of them, too often for chance, is tried before it is let go.

A request that was there at as many crashes as the guilty one is unproven: it is tried alone. The
rules with a time are in `rules`.
"""

import enum
from collections import Counter
from collections.abc import Collection, Iterable

import msgspec

from merlinstand.common.ids import ContentDigest

CRASHES_TO_BLAME = 3
"""Servers that crash under a request before it is held back. Fewer would blame requests that two
unrelated faults have struck: two servers lost at the same time are an ordinary day. More would let
one request take down a service of three servers more than once."""
EXCUSED_CRASHES_LIMIT = 2.5
"""Crashes from which on a request isn't let go though guilty ones beside it are found; it waits for
a trial. One that is explained counts half: a request beside three guilty ones in turn, or beside
two and at one crash more, is below this. Only a request that was alone at a crash explains any:
another one may have been found in place of a request that nobody told of. Chosen, not measured."""
_EXPLAINED_WEIGHT = 0.5
"""Of a crash that a guilty request explains, against 1 for any other."""


class SuspectStatus(enum.Enum):
    """What is held against a request."""

    SUSPECT = "suspect"
    """It was in flight when a server crashed: it is sent on, apart from other suspects."""
    REPEAT_SUSPECT = "grave"
    """Two servers crashed under it: it is not sent to the last one of its service either."""
    UNPROVEN = "doubtful"
    """So many servers crashed under it that it is held back, but something else may be to blame, or
    it was long ago: it is tried again, alone, by permit of the control leader."""
    QUARANTINED = "quarantined"
    """It crashes the servers that run it: it is sent to none."""


class _Weight(msgspec.Struct, frozen=True, order=True):
    """How much speaks against a request."""

    alone: int
    """Servers that crashed under it with nothing else in flight that isn't cleared."""
    crashes: int
    """All servers that crashed under it."""


def judge(crashes: Iterable[Collection[ContentDigest]]) -> dict[ContentDigest, SuspectStatus]:
    """Tell what is held against each request.

    Whoever was alone at enough crashes, or was there at enough of them and has more against it than
    anybody beside it, is to blame for all of them; this is repeated with the crashes that are left
    over, as in the greedy search for a smallest set cover.

    Args:
        crashes: For each server that crashed the requests in flight there, without cleared ones.

    Returns:
        By request, in the order of the digests: all replicas and all runs give the same bytes.
    """
    counted = [frozenset(contents) for contents in crashes if contents]
    unexplained = counted
    standings: dict[ContentDigest, SuspectStatus] = {}
    while True:
        weights = _weights(unexplained)
        found = _outstanding(unexplained, weights)
        if not found:
            break
        standings.update(dict.fromkeys(found, SuspectStatus.QUARANTINED))
        unexplained = [contents for contents in unexplained if not contents & found]
    guilty = frozenset(standings)
    standings.update((content, standing_after(w.crashes)) for content, w in weights.items())
    standings.update(dict.fromkeys(_unexcused(counted, guilty), SuspectStatus.UNPROVEN))
    return dict(sorted(standings.items()))


def _unexcused(
    crashes: list[frozenset[ContentDigest]], guilty: frozenset[ContentDigest]
) -> frozenset[ContentDigest]:
    """Requests at so many crashes that the guilty ones beside them don't excuse them.

    Where several guilty requests crash the same servers, each in turn seems to explain the crashes
    of the others. Who was each time beside the same one is excused.
    """
    proven = guilty & {c for contents in crashes if len(contents) == 1 for c in contents}
    attended: dict[ContentDigest, list[frozenset[ContentDigest]]] = {}
    for contents in crashes:
        for content in contents - guilty:
            attended.setdefault(content, []).append(contents)
    return frozenset(
        content
        for content, held in attended.items()
        if _weight_beside(held, proven) >= EXCUSED_CRASHES_LIMIT and not guilty.intersection(*held)
    )


def _weight_beside(
    crashes: list[frozenset[ContentDigest]], proven: frozenset[ContentDigest]
) -> float:
    """Add up crashes, those that a request which was alone elsewhere explains for less."""
    return sum(_EXPLAINED_WEIGHT if contents & proven else 1.0 for contents in crashes)


def standing_after(crashes: int) -> SuspectStatus:
    """What is held against a request by the number of servers that crashed under it alone."""
    if crashes >= CRASHES_TO_BLAME:
        return SuspectStatus.UNPROVEN
    return (
        SuspectStatus.REPEAT_SUSPECT if crashes == CRASHES_TO_BLAME - 1 else SuspectStatus.SUSPECT
    )


def _weights(crashes: list[frozenset[ContentDigest]]) -> dict[ContentDigest, _Weight]:
    counts = Counter(content for contents in crashes for content in contents)
    alone = Counter(content for contents in crashes if len(contents) == 1 for content in contents)
    return {content: _Weight(alone[content], count) for content, count in counts.items()}


def _outstanding(
    crashes: list[frozenset[ContentDigest]], weights: dict[ContentDigest, _Weight]
) -> frozenset[ContentDigest]:
    """Requests with enough crashes, and more against them than against any that was beside them.

    One that was alone at enough of them needs no comparison.
    """
    proven = {c for c, weight in weights.items() if weight.alone >= CRASHES_TO_BLAME}
    accused = {c for c, weight in weights.items() if weight.crashes >= CRASHES_TO_BLAME}
    matched: set[ContentDigest] = set()
    for contents in crashes:
        rivals = contents & accused
        if len(rivals) < 2:
            continue
        heaviest = max(weights[content] for content in rivals)
        leading = [content for content in rivals if weights[content] == heaviest]
        matched.update(rivals if len(leading) > 1 else rivals - set(leading))
    return frozenset(proven | (accused - matched))
