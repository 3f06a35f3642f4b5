"""Choice among usable replicas: power of two choices by load, or affinity with bounded load."""

from collections.abc import Sequence
from random import Random

from merlinstand.routing.affinity import PromptAffinity, rendezvous_order
from merlinstand.routing.replica import Replica


def choose_less_loaded(replicas: Sequence[Replica], random: Random, now: float) -> Replica:
    """Choose the less utilized of two replicas drawn at random (power of two choices).

    Load reports lag, so choosing the minimum of all would send a burst to a single replica.

    Args:
        replicas: Candidates, at least one.
        random: Source of randomness.
        now: Local monotonic time in seconds.
    """
    if len(replicas) == 1:
        return replicas[0]
    first, second = draw_two(replicas, random)
    return second if second.utilization(now) < first.utilization(now) else first


def draw_two(replicas: Sequence[Replica], random: Random) -> tuple[Replica, Replica]:
    """Draw two different replicas at random from at least two."""
    # `random()` is several times cheaper than `randrange`; its bias is negligible for few replicas.
    count = len(replicas)
    first_index = int(random.random() * count)
    second_index = int(random.random() * (count - 1))
    if second_index >= first_index:
        second_index += 1
    return replicas[first_index], replicas[second_index]


def choose_by_zone(
    replicas: Sequence[Replica], zone: str, spill_utilisation: float, random: Random, now: float
) -> Replica:
    """Choose a replica in the local zone, unless one chosen in the other zones is much less busy.

    Args:
        replicas: Candidates, at least one.
        zone: The daemon's own zone.
        spill_utilisation: The replica of the other zones is chosen if the utilization of the local
            replica is higher by more than this.
        random: Source of randomness.
        now: Local monotonic time in seconds.
    """
    local = [replica for replica in replicas if replica.backend.zone == zone]
    if not local or len(local) == len(replicas):
        return choose_less_loaded(replicas, random, now)
    remote = [replica for replica in replicas if replica.backend.zone != zone]
    local_choice = choose_less_loaded(local, random, now)
    remote_choice = choose_less_loaded(remote, random, now)
    excess = local_choice.utilization(now) - remote_choice.utilization(now)
    return remote_choice if excess > spill_utilisation else local_choice


def choose_by_affinity(
    replicas: Sequence[Replica], affinity: PromptAffinity, factor: float, now: float
) -> Replica:
    """Choose the replica that probably has most of the prompt's prefix cached, with bounded load.

    Cached prefixes are known only from hints (`PrefixCacheHints`). Without hints, the first replica
    in rendezvous order is chosen, to which earlier requests with this prefix were sent too.

    Args:
        replicas: Candidates, at least one.
        affinity: Result of `affinity.prompt_affinity`.
        factor: Maximum load as a multiple of the mean, both including the new request.
        now: Local monotonic time in seconds.
    """
    loads = {replica.backend.backend_id: replica.estimated_load(now) for replica in replicas}
    mean = (sum(loads.values()) + 1.0) / len(replicas)
    bound = max(1.0, factor * mean)
    by_id = {replica.backend.backend_id: replica for replica in replicas}
    within_bound = [
        by_id[backend_id]
        for backend_id in rendezvous_order(affinity.key, by_id)
        if loads[backend_id] + 1.0 <= bound
    ]
    if not within_bound:
        return min(replicas, key=lambda replica: loads[replica.backend.backend_id])
    # `max` returns the first of equal items, so rendezvous order decides between equal hints.
    return max(within_bound, key=lambda replica: replica.hints.cached_block_count(affinity.digests))


def exclude_unhealthy(
    replicas: Sequence[Replica], unanswered_limit: int, panic_share: float, now: float
) -> list[Replica]:
    """Return the replicas that look healthy, or all if no more than `panic_share` do.

    If nearly all replicas look unhealthy, the fault is more likely local to this daemon or shared
    by all, and excluding the replicas would turn the fault into an outage (panic mode).

    Args:
        replicas: Candidates.
        unanswered_limit: Number of consecutive unanswered status requests from which a replica is
            unhealthy.
        panic_share: Share of healthy replicas, 0 to 1, at or below which all are returned.
        now: Local monotonic time in seconds.
    """
    healthy = [
        replica
        for replica in replicas
        if replica.breaker.allows(now) and replica.unanswered_status_requests < unanswered_limit
    ]
    if len(healthy) <= panic_share * len(replicas):
        return list(replicas)
    return healthy
