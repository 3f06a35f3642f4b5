"""Timeouts of attempts, delays of hedges, and read intervals of streams, all in seconds.

- Repeatable lookup: a share of the time left until the deadline, so that another replica can be
  tried; all the time left for the last attempt.
- Lookup that is not repeatable: the time left plus `linger_seconds`; then its outcome is `unknown`.
- Generation: an idle timeout of `stream_idle_seconds`, or less with a short deadline; then the
  generation is resumed on another engine.

See docs/DECISIONS/0006-request-routing.md (hedging) and 0004-gateway-hot-path.md (read intervals).
"""

from merlinstand.gateway.caller_request import RequestKind
from merlinstand.gateway.exchange import Exchange
from merlinstand.gateway.settings import RequestSettings


def lookup_timeout_seconds(
    exchange: Exchange, settings: RequestSettings, linger_seconds: float, now: float
) -> float:
    """Return the timeout of one attempt of a lookup.

    The timeout of a repeatable lookup leaves time for an attempt at another replica. A lookup that
    is not repeatable is sent once, and may outlast the caller's deadline so that its outcome is
    recorded.

    Args:
        exchange: The lookup.
        settings: Limits and shares.
        linger_seconds: `ClaimSettings.linger_seconds`.
        now: Local monotonic time in seconds.
    """
    if not exchange.request.repeatable:
        return exchange.remaining_seconds(now) + linger_seconds
    return _attempt_timeout_seconds(exchange, settings, now)


def hedge_delay_seconds(exchange: Exchange, settings: RequestSettings, now: float) -> float | None:
    """Return the delay after which a lookup is hedged: a multiple of `LatencyQuantile`.

    None for generations, for requests that are not repeatable, for pools with a single replica, and
    if the caller's deadline is earlier.
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
    """Return the idle timeout of a stream before its generation is resumed on another engine.

    A short deadline shortens the timeout, so that a frozen engine does not use up all of the
    caller's time.
    """
    return min(settings.stream_idle_seconds, _attempt_timeout_seconds(exchange, settings, now))


def read_interval_seconds(streams: int, settings: RequestSettings) -> float:
    """Return the interval between reads of one stream; 0 to read whenever data arrives.

    Nearly all of a token's cost at the gateway is one read and one write. With few streams each
    token is forwarded at once; with many, tokens are buffered and forwarded together, which bounds
    the total rate of reads.

    Args:
        streams: Number of generations at the gateway.
        settings: Target rate of reads, and bounds of the interval.
    """
    interval_seconds = streams / settings.maximum_stream_reads_per_second
    if interval_seconds < settings.shortest_read_interval_seconds:
        return 0.0
    return min(interval_seconds, settings.longest_read_interval_seconds)


def _attempt_timeout_seconds(exchange: Exchange, settings: RequestSettings, now: float) -> float:
    """Return a share of the time left, at least `minimum_try_seconds`.

    The last attempt gets all the time left.
    """
    remaining_seconds = exchange.remaining_seconds(now)
    if exchange.attempts + 1 >= settings.maximum_tries:
        return remaining_seconds
    share_seconds = remaining_seconds * settings.first_try_share
    return min(remaining_seconds, max(settings.minimum_try_seconds, share_seconds))
