"""How long one try at a back end may take, and when another replica is asked beside it.

Pure functions of an exchange, the operator's `RequestSettings` and the local monotonic time; all
results are seconds. In short:

- A lookup that may be repeated: a share of the time left, and all of it for the last try; then
  another replica is tried.
- A booking: the time left and `linger_seconds`; then its outcome is `unknown`.
- A generation: silence of `stream_idle_seconds`, or less with a short deadline; then another engine
  goes on.

A lookup that may be repeated is hedged besides: a second replica is asked while the first still
works (`hedge_delay_seconds`; whether it is then done, `Hedging.due` decides). Hedges are measured
in docs/DECISIONS/0006-request-routing.md, the interval between reads in 0004-gateway-hot-path.md.
"""

from merlinstand.gateway.caller_request import RequestKind
from merlinstand.gateway.exchange import Exchange
from merlinstand.gateway.settings import RequestSettings


def lookup_timeout_seconds(
    exchange: Exchange, settings: RequestSettings, linger_seconds: float, now: float
) -> float:
    """Return how long one try of a lookup may take.

    A repeatable lookup keeps part of its time for another replica. One that is not repeatable
    has a single try, which may outlast the caller's deadline so that its outcome is recorded.

    Args:
        exchange: The lookup.
        settings: Bounds and shares.
        linger_seconds: `ClaimSettings.linger_seconds`.
        now: Local monotonic time.
    """
    if not exchange.request.repeatable:
        return exchange.remaining_seconds(now) + linger_seconds
    return _attempt_timeout_seconds(exchange, settings, now)


def hedge_delay_seconds(exchange: Exchange, settings: RequestSettings, now: float) -> float | None:
    """Return after what time another replica is asked too; None if that is never done.

    Never for generations, for requests that must not be repeated, where there is no second replica,
    or where the caller's time is over before. Else a multiple of what nearly all lookups of the
    pool take (`LatencyQuantile`).
    """
    pool_state = exchange.pool_state
    if (
        settings.hedge_factor <= 0.0
        or exchange.request.kind is not RequestKind.LOOKUP
        or not exchange.request.repeatable
        or len(pool_state.router.replicas) < 2
    ):
        return None
    delay_seconds = max(
        settings.shortest_hedge_seconds, settings.hedge_factor * pool_state.latency.seconds
    )
    return delay_seconds if delay_seconds < exchange.remaining_seconds(now) else None


def stream_idle_seconds(exchange: Exchange, settings: RequestSettings, now: float) -> float:
    """Return the longest silence of an engine before its generation goes on elsewhere.

    Short deadlines shorten it: a frozen engine must not use up all of the caller's time.
    """
    return min(settings.stream_idle_seconds, _attempt_timeout_seconds(exchange, settings, now))


def read_interval_seconds(streams: int, settings: RequestSettings) -> float:
    """Return the time between reads of one stream, so that all streams' reads are bounded.

    Nearly all of a token's cost is its read and its write. With few streams every token goes
    out as it comes; with many, a stream's tokens gather for a moment and go out together.

    Args:
        streams: Generations inside the gateway.
        settings: Reads a second aimed at, and the bounds of the interval.
    """
    interval_seconds = streams / settings.maximum_stream_reads_per_second
    if interval_seconds < settings.shortest_read_interval_seconds:
        return 0.0
    return min(interval_seconds, settings.longest_read_interval_seconds)


def _attempt_timeout_seconds(exchange: Exchange, settings: RequestSettings, now: float) -> float:
    """Return a share of the time left, not below `minimum_try_seconds`; all for the last try."""
    remaining_seconds = exchange.remaining_seconds(now)
    if exchange.attempts + 1 >= settings.maximum_tries:
        return remaining_seconds
    share_seconds = remaining_seconds * settings.first_try_share
    return min(remaining_seconds, max(settings.minimum_try_seconds, share_seconds))
