"""Messages about grants for cold backends, and the proof that the rate limit holds.

Plain data and pure functions. A cold backend can serve a limited number of requests per second from
all callers together. The control leader keeps a token bucket for each cold backend (`leader`). A
daemon with work for cold backends requests grants with a pull (`follower`). For each grant in the
response, the leader has drawn a token, and the daemon may send one request to one backend.

A grant expires `GRANT_LIFETIME_SECONDS` after the grant request was sent, by the monotonic clock of
the requesting daemon. So the token was drawn at most `GRANT_LIFETIME_SECONDS` before the decision
to send, and the request is sent at most `MAXIMUM_SEND_DELAY_SECONDS` after the decision, once its
connection is established. The tokens of all requests that are sent within any one second were
therefore drawn within `DRAW_WINDOW_SECONDS`, in which a bucket yields at most
`burst + rate x DRAW_WINDOW_SECONDS` tokens. This holds whichever process is partitioned, paused or
restarted: only the leader draws tokens, and a new leader's bucket starts empty, so that two leaders
together draw no more than one.
"""

import msgspec

from merlinstand.common.ids import BackendId

GRANT_LIFETIME_SECONDS = 0.3
"""A grant expires this long after the grant request was sent: far above a round trip between two
regions (0.04 to 0.1 s), and three times the interval of repeated grant requests."""
MAXIMUM_SEND_DELAY_SECONDS = 0.3
"""Maximum time between the decision to send a request and the send: the maximum connection time."""
DRAW_WINDOW_SECONDS = 1.0 + GRANT_LIFETIME_SECONDS + MAXIMUM_SEND_DELAY_SECONDS
"""The tokens of all requests that are sent within one second were drawn within this time."""
CALLER_RESERVE_SENDS = 1.0
"""Tokens that batch work leaves in a bucket while callers use the same service. Without this
reserve callers would find the bucket empty, since a batch keeper requests grants ten times a
second."""
LATE_SENDS_ALLOWANCE = 1.0
"""Number of late requests per second that the bound allows for, because a sender may be paused
between its decision and the first byte."""


class GrantRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for grants for one kind of work, which may be sent to any of the listed backends."""

    kind: str
    """Identifies the work within the daemon: a service, or a model."""
    sends: int
    """Number of requests that wait to be sent."""
    backends: tuple[BackendId, ...]
    """Cold backends to which these requests may be sent."""


class GrantRequests(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's grant requests in one pull."""

    pull_sent_at: float
    """Identifies the pull: its send time by the daemon's own monotonic clock."""
    requests: tuple[GrantRequest, ...]


class ColdGrants(msgspec.Struct, frozen=True, array_like=True):
    """The leader's response to one daemon's grant requests."""

    pull_sent_at: float
    """Identifies the pull; copied from the grant requests."""
    sends: dict[BackendId, int] = {}
    """Number of requests that may be sent to each backend."""
    next_seconds: dict[str, float] = {}
    """Seconds until more may be granted, for each kind of work that was not granted completely."""
    warm_heard_seconds: dict[BackendId, float] = {}
    """Seconds since the newest heartbeat of each requested backend that isn't cold."""


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
    """Parameters of a cold backend's token bucket."""

    per_second: float
    """Tokens added to the bucket per second."""
    burst: float
    """Capacity of the bucket in tokens."""


def bucket_rate(requests_per_second: float, overshoot: float, slack: float) -> BucketRate:
    """Return the parameters of a cold backend's token bucket.

    Args:
        requests_per_second: Rate of requests that the cold backend can serve.
        overshoot: Factor in the bound: in any second at most `requests_per_second * overshoot +
            slack` requests may arrive.
        slack: Constant in the bound, see `overshoot`.

    Returns:
        A rate of `requests_per_second`, or less if the bound would otherwise leave no room for a
        bucket of one token. Rate and burst are 0 if the bound doesn't safely permit one request.
    """
    bound = requests_per_second * overshoot + slack - LATE_SENDS_ALLOWANCE
    if bound < 1.0:
        return BucketRate(0.0, 0.0)
    per_second = min(requests_per_second, (bound - 1.0) / DRAW_WINDOW_SECONDS)
    return BucketRate(per_second, bound - per_second * DRAW_WINDOW_SECONDS)


def reserved_for_callers(is_batch: bool, serves_callers: bool, burst: float) -> float:
    """Return the tokens that a request for grants must leave in a bucket.

    Args:
        is_batch: Whether the grants are for batch work, which has a lower priority than callers.
        serves_callers: Whether callers use the same service.
        burst: Capacity of the bucket; the reserve is at least one token smaller.
    """
    if not is_batch or not serves_callers:
        return 0.0
    return min(CALLER_RESERVE_SENDS, burst - 1.0)
