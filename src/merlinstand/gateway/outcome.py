"""The three outcomes that a caller can be given, and the headers that carry them."""

import enum
import math


class Outcome(enum.Enum):
    """What became of one delivery of a request to this gateway.

    `NOT_RUN` speaks of this delivery: no byte of it left for a back end, or the back end proved
    that it did not start. An earlier delivery under the same idempotency key keeps its own
    outcome, which is why a twin of a claimed key is never given `NOT_RUN`.
    """

    ANSWER = "answer"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


REQUEST_ID_HEADER = "x-request-id"
OUTCOME_HEADER = "x-outcome"
ANSWERED_BY_HEADER = "x-answered-by"
RETRY_AFTER_HEADER = "retry-after"
NOT_RUN_HEADER = "x-not-run"
REPLAYED_HEADER = "x-replayed"
DEADLINE_HEADER = "x-deadline-seconds"
REPEATABLE_HEADER = "x-repeatable"
CALLER_HEADER = "x-caller"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    }
)
"""Headers that concern one connection only, and those that the host sets itself."""

GATEWAY_HEADERS = frozenset(
    {REQUEST_ID_HEADER, OUTCOME_HEADER, ANSWERED_BY_HEADER, REPLAYED_HEADER}
)
"""Response headers that only the gateway may set."""


def retry_after_value(seconds: float) -> str:
    """Return the value of `Retry-After`: whole seconds, rounded up."""
    return str(max(1, math.ceil(seconds)))


def parse_retry_after(value: str | None) -> float | None:
    """Return the seconds of a `Retry-After`; None if absent or not a number."""
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0.0 else None


def forwarded_headers(headers: dict[str, str], dropped: frozenset[str]) -> dict[str, str]:
    """Return the end-to-end headers, without those in `dropped`."""
    named = headers.get("connection", "")
    connection_specific = {token.strip().lower() for token in named.split(",")} if named else ()
    return {
        name: value
        for name, value in headers.items()
        if name not in HOP_BY_HOP_HEADERS
        and name not in dropped
        and name not in connection_specific
    }
