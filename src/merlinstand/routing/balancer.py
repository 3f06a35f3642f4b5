"""Choice among the usable replicas: two choices by load, or bounded-load affinity."""

from collections.abc import Sequence
from random import Random

from merlinstand.routing.affinity import PromptAffinity, rendezvous_order
from merlinstand.routing.replica import Replica


def choose_less_loaded(replicas: Sequence[Replica], random: Random, now: float) -> Replica:
    """Choose the less utilised of two replicas drawn at random.

    Two draws avoid the herd that a full minimum over lagging loads would send to one replica.

    Args:
        replicas: Candidates, at least one.
        random: Source of the draws.
        now: Local monotonic time.
    """
    if len(replicas) == 1:
        return replicas[0]
    first, second = draw_two(replicas, random)
    return second if second.utilization(now) < first.utilization(now) else first


def draw_two(replicas: Sequence[Replica], random: Random) -> tuple[Replica, Replica]:
    """Draw two different replicas out of at least two."""
    # `random()` is several times cheaper than `randrange` and even enough for so few.
    count = len(replicas)
    first_index = int(random.random() * count)
    second_index = int(random.random() * (count - 1))
    if second_index >= first_index:
        second_index += 1
    return replicas[first_index], replicas[second_index]


def choose_by_zone(
    replicas: Sequence[Replica], zone: str, spill_utilisation: float, random: Random, now: float
) -> Replica:
    """Choose in the own zone, unless its choice is much busier than another zone's."""
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
    """Choose where the prompt's prefix most probably is, among replicas with a load near the mean.

    Cache events are hints only: where they know nothing, the first replica in rendezvous order
    is the one that got this prefix before.

    Args:
        replicas: Candidates, at least one.
        affinity: Of `affinity.prompt_affinity(prompt)`.
        factor: Load allowed, as a multiple of the mean with the new request counted in.
        now: Local monotonic time.
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
    # `max` keeps the first of equals, so rendezvous order decides between equal hints.
    return max(within_bound, key=lambda replica: replica.hints.cached_block_count(affinity.digests))


def exclude_unhealthy(
    replicas: Sequence[Replica], unanswered_limit: int, panic_share: float, now: float
) -> list[Replica]:
    """Leave out replicas that look dead, unless that would leave out most of the pool.

    When nearly everything looks dead, the fault is more likely on this side or a shared one;
    shutting out the pool would turn it into a certain outage.
    """
    healthy = [
        replica
        for replica in replicas
        if replica.breaker.allows(now) and replica.unanswered_status_requests < unanswered_limit
    ]
    if len(healthy) <= panic_share * len(replicas):
        return list(replicas)
    return healthy
