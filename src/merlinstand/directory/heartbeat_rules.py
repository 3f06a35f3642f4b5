"""Rules about heartbeats: which replica responds, which heartbeats count, what missing ones mean.

Pure functions; all times are in seconds. A backend sends a heartbeat every 1.2 s. A network
partition may delay several heartbeats, so that they arrive together, or after their sender has
crashed and another incarnation has started at the same address. The control leader applies the
rules about missing heartbeats, using its local time. All replicas apply the rules about
registration, using the log and the group time, which is the group's replicated clock.
"""

from collections.abc import Iterable, Sequence

import xxhash

from merlinstand.common.ids import BackendId, NodeId

MAXIMUM_PROOF_AGE_SECONDS = 1.0
"""A replica that has had no proof of a live leader for this long redirects callers, since its state
may be outdated and its reports of live backends may not reach the leader."""
MINIMUM_REPLICAS_TO_DISTRIBUTE = 3
"""In a smaller group, the leader processes all heartbeats itself."""
ASSUME_COLD_AFTER_SECONDS = 3.0
"""A backend without heartbeats for this long, two and a half heartbeat intervals, may be cold when
it returns."""
ADDRESS_HOLD_SECONDS = 2.5
"""A holder of an address that has sent no heartbeats for this long loses it to a claim. Covers
two heartbeat intervals and the time in which replicas forward heartbeats to the leader; it is a
sixth of the time after which a backend expires. A new incarnation is registered once this time has
passed since its predecessor's last heartbeat."""
MAXIMUM_HEARTBEAT_DELAY_SECONDS = 3.0
"""A heartbeat that arrives this long, over two heartbeat intervals, after a backend's return is
assumed to have been sent after the return. A warm backend that returns gets its full share of
requests only after this time; until then other zones keep the requests."""


def may_answer_heartbeat(is_leader: bool, proof_age_seconds: float | None) -> bool:
    """Return whether a replica may answer a heartbeat that doesn't start draining.

    Args:
        is_leader: Whether the replica may act as leader.
        proof_age_seconds: Age of the replica's newest proof of a live leader; None without any.
    """
    return is_leader or (
        proof_age_seconds is not None and proof_age_seconds < MAXIMUM_PROOF_AGE_SECONDS
    )


def choose_replica(backend_id: BackendId, members: Sequence[NodeId], leader: NodeId) -> NodeId:
    """Choose the replica that a backend sends its heartbeats to.

    Skips the leader, which has the most load, unless the group is too small to distribute
    heartbeats. Uses rendezvous hashing: when a replica is added or removed, only the backends of
    that replica move.
    """
    followers: Iterable[NodeId] = [member for member in members if member != leader]
    if len(members) < MINIMUM_REPLICAS_TO_DISTRIBUTE:
        return leader
    return max(followers, key=lambda member: _weight(member, backend_id))


def _weight(member: NodeId, backend_id: BackendId) -> int:
    return xxhash.xxh3_64_intdigest(f"{member}/{backend_id}".encode())


def may_be_cold(heartbeat_age_seconds: float) -> bool:
    """Return whether a backend may have become cold, by the age of its last heartbeat."""
    return heartbeat_age_seconds > ASSUME_COLD_AFTER_SECONDS


def is_address_held(last_heartbeat_at: float | None, now: float) -> bool:
    """Return whether the holder of an address keeps it against a claim.

    Args:
        last_heartbeat_at: Local time of the holder's last heartbeat; None if unknown, in which case
            the holder keeps the address.
        now: Local time.
    """
    return last_heartbeat_at is None or now - last_heartbeat_at < ADDRESS_HOLD_SECONDS


def is_claim_valid(claimed_at: float, now: float) -> bool:
    """Return whether a claim to an address, or its grant, is still valid without a renewal."""
    return now - claimed_at < ADDRESS_HOLD_SECONDS


def may_reregister(
    sequence: int, last_sequence: int, registration_number: int, holder_number: int | None
) -> bool:
    """Return whether a heartbeat may register a former backend again.

    Incarnations at an address follow one another: an incarnation that registered before the present
    holder is older, so its heartbeat is outdated.

    Args:
        sequence: Sequence number of the heartbeat.
        last_sequence: Sequence number of the backend's newest heartbeat that changed its
            registration.
        registration_number: Position of the backend in the order of first registrations.
        holder_number: Position of the address's present holder in that order; None if the address
            is free.
    """
    if sequence <= last_sequence:
        return False
    return holder_number is None or registration_number > holder_number


def is_warm_report_reliable(returned_at: float, is_first: bool, now: float) -> bool:
    """Return whether a heartbeat was sent after the backend's return, so that its report counts.

    Args:
        returned_at: Group time at which the evacuation of the backend's zone, or the gap in its
            heartbeats, ended.
        is_first: Whether this is the first heartbeat since the return. Several heartbeats that a
            network partition delayed may arrive together and are applied as one.
        now: Group time.
    """
    return not is_first and now >= returned_at + MAXIMUM_HEARTBEAT_DELAY_SECONDS
