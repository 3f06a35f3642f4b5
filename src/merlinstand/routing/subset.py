"""Deterministic subsets: a daemon uses a few replicas of a large pool, all are used evenly.

Daemons of one zone split a ring of replicas into equal arcs by their position in the sorted
list of daemons; each takes its arc, lengthened to the wanted size. Arcs cover the ring, so no
replica is left without senders, which independent random subsets cannot promise.
"""

import math
from collections.abc import Sequence

import xxhash

from merlinstand.configuration.objects import Backend

_RING = float(2**64)


def subset(
    backends: Sequence[Backend], owner: str, peers: Sequence[str], size: int
) -> tuple[Backend, ...]:
    """Choose the backends that one daemon uses.

    Args:
        backends: All candidates.
        owner: The daemon's node id.
        peers: All daemons that share the candidates, in any order, the owner among them. If it
            is not (not yet registered), it takes a place of its own by hash.
        size: How many to take at least, if there are so many.

    Returns:
        The chosen backends in ring order; all of them if there are no more than `size`.
    """
    if len(backends) <= size:
        return tuple(backends)
    ring = sorted(
        backends, key=lambda backend: xxhash.xxh3_64_intdigest(backend.backend_id.encode())
    )
    position, arc = _place(owner, sorted(set(peers)))
    first = int(position * len(ring))
    count = min(len(ring), max(size, math.ceil(arc * len(ring))))
    return tuple(ring[(first + offset) % len(ring)] for offset in range(count))


def _place(owner: str, peers: list[str]) -> tuple[float, float]:
    """Return a daemon's position on the ring and the length of its arc, both in 0..1."""
    if owner in peers:
        return peers.index(owner) / len(peers), 1.0 / len(peers)
    return xxhash.xxh3_64_intdigest(owner.encode()) / _RING, 1.0 / (len(peers) + 1)
