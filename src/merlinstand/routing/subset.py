"""Deterministic subsets: a daemon uses a few replicas of a large pool, all are used evenly.

Daemons of one zone split a ring of replicas into equal arcs by their position in the sorted
list of daemons; each takes its arc, lengthened to the wanted size. Arcs cover the ring, so no
replica is left without senders, which independent random subsets cannot promise.
"""

from collections.abc import Mapping, Sequence

import xxhash

from merlinstand.configuration.objects import Backend
from merlinstand.routing.settings import RouterSettings


def zone_subset(
    backends: Sequence[Backend],
    zone: str,
    node_id: str,
    peers: Mapping[str, Sequence[str]],
    settings: RouterSettings,
) -> tuple[Backend, ...]:
    """Choose what one daemon uses of a pool: mostly its own zone, some others to spill to.

    Args:
        backends: All backends of the pool.
        zone: The daemon's zone.
        owner: The daemon's node id.
        peers: Node ids of the daemons that share the pool, by zone.
        settings: Sizes.
    """
    local = [backend for backend in backends if backend.zone == zone]
    remote = [backend for backend in backends if backend.zone != zone]
    own = subset(local, node_id, peers.get(zone, ()), settings.subset_size)
    # Without a replica at home the others are the main choice, not just the spill.
    remote_size = settings.remote_subset_size if local else settings.subset_size
    all_peers = [node_id for zone_peers in peers.values() for node_id in zone_peers]
    return own + subset(remote, node_id, all_peers, remote_size)


def subset(
    backends: Sequence[Backend], node_id: str, peers: Sequence[str], size: int
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
    first, end = _arc_bounds(node_id, sorted(set(peers)), len(ring))
    count = min(len(ring), max(size, end - first))
    return tuple(ring[(first + offset) % len(ring)] for offset in range(count))


def _arc_bounds(node_id: str, peers: list[str], ring_length: int) -> tuple[int, int]:
    """Return where a daemon's arc begins and ends.

    Whole numbers throughout: with fractions, rounding would leave gaps between arcs.
    """
    if node_id in peers:
        index = peers.index(node_id)
        return index * ring_length // len(peers), (index + 1) * ring_length // len(peers)
    first = xxhash.xxh3_64_intdigest(node_id.encode()) % ring_length
    return first, first + ring_length // (len(peers) + 1)
