"""Deterministic subsetting: each daemon uses a few backends of a large pool, evenly distributed.

Backends form a ring, ordered by hash. The ring is split into equal arcs, one for each daemon in the
sorted list of daemons, and each daemon extends its arc to the wanted size. The arcs cover the ring,
so every backend has senders, which independent random subsets do not guarantee.
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
    """Choose the backends that one daemon uses: mostly in its zone, some elsewhere for spilling.

    Args:
        backends: All backends of the pool.
        zone: The daemon's zone.
        node_id: The daemon's node id.
        peers: Node ids of the daemons that share the pool, by zone.
        settings: Subset sizes.
    """
    local = [backend for backend in backends if backend.zone == zone]
    remote = [backend for backend in backends if backend.zone != zone]
    local_subset = subset(local, node_id, peers.get(zone, ()), settings.subset_size)
    # Without local backends, the remote backends get all requests, not only the excess ones.
    remote_size = settings.remote_subset_size if local else settings.subset_size
    all_peers = [peer for zone_peers in peers.values() for peer in zone_peers]
    return local_subset + subset(remote, node_id, all_peers, remote_size)


def subset(
    backends: Sequence[Backend], node_id: str, peers: Sequence[str], size: int
) -> tuple[Backend, ...]:
    """Choose the backends that one daemon uses.

    Args:
        backends: All candidates.
        node_id: The daemon's node id.
        peers: Node ids of all daemons that share the candidates, in any order. If `node_id` is
            missing (not registered yet), its arc starts at its hash.
        size: Minimum number of backends to choose, if there are as many.

    Returns:
        The chosen backends in ring order; all backends, in their given order, if there are no
        more than `size`.
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
    """Return the start and the exclusive end of a daemon's arc on the ring.

    Computed in integers: rounding of fractions would leave gaps between arcs.
    """
    if node_id in peers:
        index = peers.index(node_id)
        return index * ring_length // len(peers), (index + 1) * ring_length // len(peers)
    first = xxhash.xxh3_64_intdigest(node_id.encode()) % ring_length
    return first, first + ring_length // (len(peers) + 1)
