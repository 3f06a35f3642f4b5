"""Decides which requests are to blame for crashed backends (pure functions).

All requests in flight at a backend that crashes are suspects, and at most one of them may have
crashed the backend. A single crash proves nothing, since backends also crash for other reasons, and
all of their requests are then lost. A culprit differs from requests that only ran beside it:

- the culprit was in flight at every crash; each other request at one or two of them;
- the culprit never completes; the other requests are served at their next attempt, which clears
  them of suspicion;
- the culprit was the only request in flight at some crashes, which are the strongest evidence.

Once a culprit is identified, the crashes at which it was in flight are explained, and no other
request is blamed for them. However, a request that was in flight at several of these crashes, too
often for chance, must be retried in a trial before it is cleared. A request that was in flight at
as many crashes as the culprit is unproven and is retried alone. The rules that depend on time are
in `rules`.
"""

import enum
from collections import Counter
from collections.abc import Collection, Iterable

import msgspec

from merlinstand.common.ids import ContentDigest

CRASHES_TO_BLAME = 3
"""A request is no longer sent (held back) after this number of backends have crashed while running
it. A lower value would blame requests that were hit by two unrelated faults, since losing two
backends at the same time is common. A higher value would let one request take down a service of
three backends more than once."""
UNEXPLAINED_WEIGHT_LIMIT = 2.5
"""If a request's crashes have at least this total weight, it is held back until a trial, although
culprits were identified beside it. An explained crash counts half, so a request that ran beside
three culprits in turn, or beside two and at one more crash, stays below the limit. Only a culprit
that was the only suspect of some crash explains crashes; any other may have been identified in
place of a request that was never reported."""
_EXPLAINED_WEIGHT = 0.5
"""Weight of a crash that a culprit explains; any other crash has weight 1."""


class SuspectStatus(enum.Enum):
    """What is known of a request that was in flight when a backend crashed."""

    SUSPECT = "suspect"
    """One backend crashed while running the request. It is still sent, but apart from other
    suspects."""
    REPEAT_SUSPECT = "grave"
    """Two backends crashed while running the request. It is not sent to the last healthy backend of
    its service."""
    UNPROVEN = "doubtful"
    """Enough backends crashed to hold the request back, but another request may be the cause or the
    crashes are long past. It is retried alone, with a permit from the control leader."""
    QUARANTINED = "quarantined"
    """The request crashes the backends that run it, and is not sent to any."""


class _CrashCounts(msgspec.Struct, frozen=True, order=True):
    """The crashes of uncleared requests, ordered by the strength of the evidence."""

    alone: int
    """Number of backends that crashed while the request was the only uncleared one in flight."""
    crashes: int
    """Number of all backends that crashed while the request was in flight."""


def classify_requests(
    crashes: Iterable[Collection[ContentDigest]],
) -> dict[ContentDigest, SuspectStatus]:
    """Return the status of each suspected request.

    A request is a culprit if it was the only suspect of enough crashes, or if it was in flight at
    enough crashes and the evidence against it is stronger than that against every request beside
    it. All crashes at which a culprit was in flight are then removed, and the search is repeated on
    the remaining crashes, as in the greedy algorithm for set cover.

    Args:
        crashes: For each crashed backend, the uncleared requests that were in flight at it.

    Returns:
        Statuses in the order of the digests, so that all replicas and all runs encode the same
        bytes.
    """
    nonempty_crashes = [frozenset(contents) for contents in crashes if contents]
    unexplained = nonempty_crashes
    statuses: dict[ContentDigest, SuspectStatus] = {}
    while True:
        counts = _crash_counts(unexplained)
        new_culprits = _find_culprits(unexplained, counts)
        if not new_culprits:
            break
        statuses.update(dict.fromkeys(new_culprits, SuspectStatus.QUARANTINED))
        unexplained = [contents for contents in unexplained if not contents & new_culprits]
    culprits = frozenset(statuses)
    statuses.update((content, status_after(w.crashes)) for content, w in counts.items())
    statuses.update(
        dict.fromkeys(_insufficiently_explained(nonempty_crashes, culprits), SuspectStatus.UNPROVEN)
    )
    return dict(sorted(statuses.items()))


def _insufficiently_explained(
    crashes: list[frozenset[ContentDigest]], culprits: frozenset[ContentDigest]
) -> frozenset[ContentDigest]:
    """Return the requests with more crashes than the culprits beside them can explain.

    If several culprits crash the same backends, each of them seems to explain the crashes of the
    others. A request that ran beside the same culprit at all of its crashes is not returned.
    """
    isolated_culprits = culprits & {
        c for contents in crashes if len(contents) == 1 for c in contents
    }
    crashes_by_request: dict[ContentDigest, list[frozenset[ContentDigest]]] = {}
    for contents in crashes:
        for content in contents - culprits:
            crashes_by_request.setdefault(content, []).append(contents)
    return frozenset(
        content
        for content, held in crashes_by_request.items()
        if _unexplained_weight(held, isolated_culprits) >= UNEXPLAINED_WEIGHT_LIMIT
        and not culprits.intersection(*held)
    )


def _unexplained_weight(
    crashes: list[frozenset[ContentDigest]], isolated_culprits: frozenset[ContentDigest]
) -> float:
    """Return the total weight of crashes; a crash that an isolated culprit explains counts less."""
    return sum(_EXPLAINED_WEIGHT if contents & isolated_culprits else 1.0 for contents in crashes)


def status_after(crashes: int) -> SuspectStatus:
    """Return the status implied by the number of crashes alone."""
    if crashes >= CRASHES_TO_BLAME:
        return SuspectStatus.UNPROVEN
    return (
        SuspectStatus.REPEAT_SUSPECT if crashes == CRASHES_TO_BLAME - 1 else SuspectStatus.SUSPECT
    )


def _crash_counts(crashes: list[frozenset[ContentDigest]]) -> dict[ContentDigest, _CrashCounts]:
    counts = Counter(content for contents in crashes for content in contents)
    alone = Counter(content for contents in crashes if len(contents) == 1 for content in contents)
    return {content: _CrashCounts(alone[content], count) for content, count in counts.items()}


def _find_culprits(
    crashes: list[frozenset[ContentDigest]], counts: dict[ContentDigest, _CrashCounts]
) -> frozenset[ContentDigest]:
    """Return the requests with enough crashes and stronger evidence than all requests beside them.

    A request that was the only suspect of enough crashes is returned without this comparison.
    """
    isolated = {c for c, count in counts.items() if count.alone >= CRASHES_TO_BLAME}
    candidates = {c for c, count in counts.items() if count.crashes >= CRASHES_TO_BLAME}
    outranked: set[ContentDigest] = set()
    for contents in crashes:
        rivals = contents & candidates
        if len(rivals) < 2:
            continue
        highest = max(counts[content] for content in rivals)
        leading = [content for content in rivals if counts[content] == highest]
        outranked.update(rivals if len(leading) > 1 else rivals - set(leading))
    return frozenset(isolated | (candidates - outranked))
