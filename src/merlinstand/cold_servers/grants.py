"""Messages about sends to cold backends, and the proof of the bound.

Plain data and pure functions. A cold backend bears some requests a second from all callers
together. The control leader keeps a token bucket for each (`leader`). A daemon with work for cold
backends requests sends with a pull (`follower`); the response grants some, each for one request to
one backend.

A grant expires `GRANT_LIFETIME_SECONDS` after its request left, by the monotonic clock of the
requesting daemon. The token of a request that leaves within some second was therefore drawn within
that second, or at most `GRANT_LIFETIME_SECONDS` before; while its connection is established the
request may leave `MAXIMUM_SEND_DELAY_SECONDS` later. All sends of a second are therefore drawn
within `DRAW_WINDOW_SECONDS`, in which a bucket yields at most `burst + rate x DRAW_WINDOW_SECONDS`.
This holds whichever process is partitioned, paused or restarted: only the leader's draws count, and
a new leader's bucket starts empty, so that two leaders together draw no more than one.
"""

import msgspec

from merlinstand.common.ids import BackendId

GRANT_LIFETIME_SECONDS = 0.3
"""A grant expires this long after its request left: far above a round trip between two regions
(0.04 to 0.1 s), and three times the interval of repeated requests."""
MAXIMUM_SEND_DELAY_SECONDS = 0.3
"""A request leaves at most this long after the decision to send it: the maximum connection time."""
DRAW_WINDOW_SECONDS = 1.0 + GRANT_LIFETIME_SECONDS + MAXIMUM_SEND_DELAY_SECONDS
"""The grants of all requests that leave within one second were drawn within this time."""
CALLER_RESERVE_SENDS = 1.0
"""Sends that batch work leaves in a bucket while callers wait for the same service: a batch keeper
requests ten times a second, and callers would find the bucket empty."""
LATE_SENDS_ALLOWANCE = 1.0
"""Requests excluded from the bound, because a sender may be paused between its decision and the
first byte."""


class GrantRequest(msgspec.Struct, frozen=True, array_like=True):
    """Work of one kind that may be sent to any of some cold backends."""

    kind: str
    """Identifies the work within the daemon: a service, or a model."""
    sends: int
    """Number of waiting requests."""
    backends: tuple[BackendId, ...]
    """Backends to which they may be sent."""


class GrantRequests(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's requests with one pull."""

    pull_sent_at: float
    """Identifies the pull: its time by the daemon's own monotonic clock."""
    requests: tuple[GrantRequest, ...]


class ColdGrants(msgspec.Struct, frozen=True, array_like=True):
    """The leader's response to one daemon's requests."""

    pull_sent_at: float
    """The pull that this responds to, as identified by the daemon."""
    sends: dict[BackendId, int] = {}
    """Number of requests that may be sent to each backend."""
    next_seconds: dict[str, float] = {}
    """By kind of work, if not all was granted: seconds until more may be granted."""
    warm_heard_seconds: dict[BackendId, float] = {}
    """For requested backends that aren't cold: seconds since the heartbeat that said so."""


_REQUESTS_DECODER = msgspec.msgpack.Decoder(GrantRequests)
_GRANTS_DECODER = msgspec.msgpack.Decoder(ColdGrants)


def encode_requests(requests: GrantRequests) -> bytes:
    """Encode for `DirectoryPull.cold_wishes`."""
    return msgspec.msgpack.encode(requests)


def decode_requests(data: bytes) -> GrantRequests:
    """Decode `DirectoryPull.cold_wishes`.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _REQUESTS_DECODER.decode(data)


def encode_grants(grants: ColdGrants) -> bytes:
    """Encode for `DirectoryUpdate.cold_grants`."""
    return msgspec.msgpack.encode(grants)


def decode_grants(data: bytes) -> ColdGrants:
    """Decode `DirectoryUpdate.cold_grants`.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _GRANTS_DECODER.decode(data)


class BucketRate(msgspec.Struct, frozen=True):
    """How fast sends to a cold backend are granted."""

    per_second: float
    """Tokens added to its bucket per second."""
    burst: float
    """Capacity of its bucket in tokens."""


def bucket_rate(requests_per_second: float, overshoot: float, slack: float) -> BucketRate:
    """Return how fast sends to a cold backend may be granted.

    Args:
        requests_per_second: What the backend bears.
        overshoot: In any second no more requests may arrive than `requests_per_second * overshoot +
            slack`.
        slack: See `overshoot`.

    Returns:
        What the backend bears, or less where the bound leaves no room for a bucket that holds one
        request; 0 where the bound permits no request with certainty.
    """
    bound = requests_per_second * overshoot + slack - LATE_SENDS_ALLOWANCE
    if bound < 1.0:
        return BucketRate(0.0, 0.0)
    per_second = min(requests_per_second, (bound - 1.0) / DRAW_WINDOW_SECONDS)
    return BucketRate(per_second, bound - per_second * DRAW_WINDOW_SECONDS)


def reserved_for_callers(is_batch: bool, serves_callers: bool, burst: float) -> float:
    """Return the tokens that a request for grants must leave in a bucket.

    Args:
        is_batch: Whether it is for batch work, which has a lower priority than callers.
        serves_callers: Whether callers wait for the same service.
        burst: Capacity of the bucket; the reserve leaves at least one token obtainable.
    """
    if not is_batch or not serves_callers:
        return 0.0
    return min(CALLER_RESERVE_SENDS, burst - 1.0)
