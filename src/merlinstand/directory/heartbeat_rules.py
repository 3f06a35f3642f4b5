"""The rules about heartbeats: who answers one, which count, what their absence means.

Pure functions. A back end sends a heartbeat each 1.2 s; a cut may hold several back, so that they
come late, together, or after their sender has crashed and another incarnation stands at its
address. The control leader applies the rules about silence by its own local time, every replica
those about registration by group time and log; times and silences are in seconds.
"""

from collections.abc import Iterable, Sequence

import xxhash

from merlinstand.common.ids import BackendId, NodeId

MAXIMUM_PROOF_AGE_SECONDS = 1.0
"""A replica that has not heard the leader for this long sends callers on: what it knows may be old,
and the leader may not hear from it who lives."""
MINIMUM_REPLICAS_TO_DISTRIBUTE = 3
"""With fewer the leader takes all heartbeats itself."""
ASSUME_COLD_AFTER_SECONDS = 3.0
"""A back end that was not heard for so long may be cold when it is back: two heartbeats that come
each 1.2 s were missed, and more than half of a third."""
ADDRESS_HOLD_SECONDS = 2.5
"""A holder that was not heard for this long gives its address up to a claim: two of the 1.2 s
between heartbeats, and what replicas take to pass them on; a sixth of the silence after which it
expires. A newcomer that registers sooner after its predecessor's last heartbeat waits for the rest.
"""
MAXIMUM_HEARTBEAT_DELAY_SECONDS = 3.0
"""A heartbeat that comes this long after the return was sent after it: longer than two of the 1.2 s
between heartbeats. A server that is warm takes its full share this much later, while the other
zones go on carrying what they carried."""


def may_answer_heartbeat(is_leader: bool, proof_age_seconds: float | None) -> bool:
    """Whether a replica may answer a heartbeat that changes nothing for the worse.

    Args:
        leads: Whether it may act as leader.
        proof_age_seconds: How long ago it had proof of a leader; None if it never had.
    """
    return is_leader or (
        proof_age_seconds is not None and proof_age_seconds < MAXIMUM_PROOF_AGE_SECONDS
    )


def choose_replica(backend_id: BackendId, members: Sequence[NodeId], leader: NodeId) -> NodeId:
    """Choose the replica that takes a back end's heartbeats: any but the leader, which is busiest.

    Rendezvous hashing: when a replica comes or goes, only its own share moves.
    """
    others: Iterable[NodeId] = [member for member in members if member != leader]
    if len(members) < MINIMUM_REPLICAS_TO_DISTRIBUTE:
        return leader
    return max(others, key=lambda member: _weight(member, backend_id))


def _weight(member: NodeId, backend_id: BackendId) -> int:
    return xxhash.xxh3_64_intdigest(f"{member}/{backend_id}".encode())


def may_be_cold(silence_seconds: float) -> bool:
    """Whether a back end that was silent may have become cold meanwhile."""
    return silence_seconds > ASSUME_COLD_AFTER_SECONDS


def is_address_held(last_heartbeat_at: float | None, now: float) -> bool:
    """Whether the holder of an address keeps it against a claim.

    Args:
        holder_heard_at: When the holder was heard last; None if that isn't known, which is no
            reason to take its address.
        now: Local time.
    """
    return last_heartbeat_at is None or now - last_heartbeat_at < ADDRESS_HOLD_SECONDS


def is_claim_valid(claimed_at: float, now: float) -> bool:
    """Whether a claim to an address, or its grant, still stands without a new heartbeat."""
    return now - claimed_at < ADDRESS_HOLD_SECONDS


def may_reregister(
    sequence: int, last_sequence: int, registration_number: int, holder_number: int | None
) -> bool:
    """Whether a heartbeat may register a back end again that is not registered any more.

    Incarnations follow one another at an address: one that came before the present holder is older,
    and its heartbeat is late.

    Args:
        sequence: Number of the heartbeat.
        last_sequence: Newest one of the back end that had changed something.
        arrival: Place of the back end in the order in which all first came.
        holder_arrival: The same of the registered back end at its address; None if there is none.
    """
    if sequence <= last_sequence:
        return False
    return holder_number is None or registration_number > holder_number


def is_warm_report_reliable(returned_at: float, is_first: bool, now: float) -> bool:
    """Whether a heartbeat was sent after the return, so that what it says of a cold server counts.

    Args:
        returned_at: When the zone was taken back, or the silence ended, in group time.
        is_first: Whether it is the first one since: a cut may have held several back, which then
            come together and are taken in as one.
        now: Group time.
    """
    return not is_first and now >= returned_at + MAXIMUM_HEARTBEAT_DELAY_SECONDS
