"""Sends to cold back ends: what daemons request, what the control leader grants, and the proof.

Plain data and pure functions. A cold back end bears some requests a second from all callers
together. The control leader keeps a token bucket for each (`leader`). A daemon that has work for
cold back ends requests sends with a pull (`follower`); the answer grants some, each for one request
to one back end.

A grant ends `GRANT_SECONDS` after its request left, by the steady clock of the daemon that asked.
So a request that leaves within some second had its token drawn within that second, or at most
`GRANT_SECONDS` before; while its connection comes up it may leave `SEND_SECONDS` later. All sends
of a second are therefore drawn within `REACH_SECONDS`, in which a bucket gives `burst + rate x
REACH_SECONDS` at most. That holds whoever is cut off, frozen or restarted: only the leader's draws
count, and a new leader's bucket begins empty, so that two leaders together draw no more than one.
"""

import msgspec

from merlinstand.common.ids import BackendId

GRANT_SECONDS = 0.3
"""A grant ends this long after its request left: far above a way between two regions and back (0.04
to 0.1 s), and three requests while they are not granted."""
SEND_SECONDS = 0.3
"""A request leaves at most this long after it was decided on: a connection's longest set-up."""
REACH_SECONDS = 1.0 + GRANT_SECONDS + SEND_SECONDS
"""All requests that leave within one second were granted within this time."""
CALLERS_RESERVE = 1.0
"""Sends that batch work leaves in a bucket where callers wait for the same service: a batch keeper
asks ten times a second, and callers would find nothing."""
LATE_SENDS = 1.0
"""Requests left out of the bound: a sender that stands still between its decision and the first
byte."""


class GrantRequest(msgspec.Struct, frozen=True, array_like=True):
    """Work of one kind that may go to any of some cold back ends."""

    kind: str
    """Names the work within the daemon: a service, or a model."""
    sends: int
    """Requests that wait."""
    backends: tuple[BackendId, ...]
    """Where they may go."""


class GrantRequests(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon requests with one pull."""

    pull_sent_at: float
    """Names the pull: its time by the daemon's own steady clock."""
    requests: tuple[GrantRequest, ...]


class ColdGrants(msgspec.Struct, frozen=True, array_like=True):
    """The leader's answer to one daemon's requests."""

    pull_sent_at: float
    """The pull that is answered, as the daemon named it."""
    sends: dict[BackendId, int] = {}
    """Requests that may be sent to each back end."""
    next_seconds: dict[str, float] = {}
    """By kind of work: when more may be granted, where not all was."""
    warm_heard_seconds: dict[BackendId, float] = {}
    """Back ends among the requested ones that aren't cold: how long ago each said so."""


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
    """How fast sends to a cold back end are granted."""

    per_second: float
    """Tokens that its bucket gains."""
    burst: float
    """Tokens that its bucket holds at most."""


def bucket_rate(requests_per_second: float, overshoot: float, slack: float) -> BucketRate:
    """Give how fast sends to a cold back end may be granted.

    Args:
        requests_per_second: What it bears.
        overshoot: In any second no more may arrive than this many times what it bears,
        slack: and this many requests.

    Returns:
        What it bears, or less where the bound leaves no room for a bucket that holds one request;
        0 where the bound allows nothing for sure.
    """
    bound = requests_per_second * overshoot + slack - LATE_SENDS
    if bound < 1.0:
        return BucketRate(0.0, 0.0)
    per_second = min(requests_per_second, (bound - 1.0) / REACH_SECONDS)
    return BucketRate(per_second, bound - per_second * REACH_SECONDS)


def reserved_for_callers(is_batch: bool, serves_callers: bool, burst: float) -> float:
    """Give the tokens that a request for grants leaves in a bucket.

    Args:
        is_batch: Whether it is for batch work, which comes after that of callers.
        serves_callers: Whether callers wait for the same service.
        burst: Tokens that the bucket holds at most: one above the reserve can always come.
    """
    if not is_batch or not serves_callers:
        return 0.0
    return min(CALLERS_RESERVE, burst - 1.0)
