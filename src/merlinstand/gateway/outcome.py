"""Outcomes of a request as reported to callers, and the HTTP headers of the gateway."""

import enum
import math


class Outcome(enum.Enum):
    """Outcome of one delivery of a request to this gateway.

    `NOT_RUN` refers to this delivery: no byte of it was sent to a backend, or the backend proved
    that it did not start the request. An earlier delivery under the same idempotency key has its
    own outcome, so a duplicate of a claimed key never gets `NOT_RUN`.
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
"""Hop-by-hop headers, and headers that the host sets itself."""

GATEWAY_HEADERS = frozenset(
    {REQUEST_ID_HEADER, OUTCOME_HEADER, ANSWERED_BY_HEADER, REPLAYED_HEADER}
)
"""Response headers that only the gateway may set."""


def retry_after_value(seconds: float) -> str:
    """Return the value of `Retry-After`: whole seconds, rounded up."""
    return str(max(1, math.ceil(seconds)))


def parse_retry_after(value: str | None) -> float | None:
    """Return the seconds of a `Retry-After`; None if absent, negative or not a finite number."""
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0.0 else None


def forwarded_headers(headers: dict[str, str], dropped: frozenset[str]) -> dict[str, str]:
    """Return the end-to-end headers without those in `dropped`; names are in lower case."""
    named = headers.get("connection", "")
    connection_specific = {token.strip().lower() for token in named.split(",")} if named else ()
    return {
        name: value
        for name, value in headers.items()
        if name not in HOP_BY_HOP_HEADERS
        and name not in dropped
        and name not in connection_specific
    }
