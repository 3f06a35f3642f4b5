"""Retries: what follows an attempt that ended without a usable response.

Used for complete requests (of callers, and scoring calls) and streams; the forwarders pass plain
facts in and act on the typed result. A request may be sent again if it cannot have run (it was
never sent, or the backend said so), or if its route allows it to run twice. It is given up once the
route's maximum number of backends have run it. Attempts that never connected or were refused have
run nothing and do not count.
"""

import enum
from http import HTTPStatus

from merlinstand.cluster.routes import Route, RouteKind
from merlinstand.decisions.waiting import FULL_SERVICE_PAUSE_SECONDS

MINIMUM_ATTEMPT_SECONDS = 0.005
"""A request with less remaining time is not sent, since the round trip alone takes 1 to 4 ms."""
DEADLINE_MARGIN_SECONDS = 0.01
"""An attempt of a complete request may exceed the request's deadline by this much, so that the
request's own timer ends the attempt and the right reason is reported."""
STREAM_IDLE_TIMEOUT_SECONDS = 1.5
"""An attempt of a stream, or the run of an item at an engine, ends if nothing is received for this
long. This is ten times the longest pause that callers accept between two pieces of a stream
(0.15 s), and some tens of times the duration of one event. A stream that has begun and can't be
resumed does not end by silence, see `idle_timeout_seconds`."""


EXTRA_UNCONNECTED_ATTEMPTS = 2
"""Additional attempts allowed beyond the route's maximum to replace attempts that never connected
and so ran nothing. Without these, two refused connections would end a request with a maximum of two
attempts, although a third backend is healthy (docs/design/choice-by-place.md, "How many tries")."""


def has_attempts_left(route: Route, counted_attempts: int, all_attempts: int) -> bool:
    """Return whether a request may be sent once more.

    Args:
        route: The request's route.
        counted_attempts: Attempts that count towards the route's maximum.
        all_attempts: Counted attempts and those that never connected.
    """
    maximum = max(1, route.maximum_attempts)
    return counted_attempts < maximum and all_attempts < maximum + EXTRA_UNCONNECTED_ATTEMPTS


NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
"""Callers take a response with one of these statuses as a promise that their request has not run
and never will, and send the request again. The same holds for 421, which a backend sends only for
that reason."""


class ResponseVerdict(enum.Enum):
    """What a backend's response means for a complete request."""

    NOT_RUN = "not_run"
    """The backend has not run the request, so another backend may run it."""
    FINAL = "final"
    """The response is passed on to the caller."""
    FAILED = "failed"
    """The backend failed. The request may run twice, so it may be sent to another backend."""
    UNCONFIRMED_REFUSAL = "unconfirmed_refusal"
    """The status promises that the request has not run, but the backend may have run it, and the
    request must not run twice. The response is not passed on, and no other backend is tried."""


def classify_response(status: int, is_refusal: bool, route: Route) -> ResponseVerdict:
    """Classify a backend's complete response.

    Args:
        status: HTTP status of the response.
        is_refusal: Whether the response says explicitly that the request has not run.
        route: The request's route.
    """
    if is_not_run(status, is_refusal):
        return ResponseVerdict.NOT_RUN
    if is_unconfirmed_refusal(status, is_refusal, route):
        return ResponseVerdict.UNCONFIRMED_REFUSAL
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR and route.kind is RouteKind.REPEATABLE:
        return ResponseVerdict.FAILED
    return ResponseVerdict.FINAL


def is_not_run(status: int, is_refusal: bool) -> bool:
    """Return whether a response proves that the backend has not run the request.

    Args:
        status: HTTP status of the response; 421 comes from a backend that is not the expected one.
        is_refusal: Whether the response says explicitly that the request has not run.
    """
    return is_refusal or status == HTTPStatus.MISDIRECTED_REQUEST


def is_unconfirmed_refusal(status: int, is_refusal: bool, route: Route) -> bool:
    """Return whether a status means "not run" without the backend confirming it.

    Only responses to requests that must not run twice are ever unconfirmed.

    Args:
        status: HTTP status of the response.
        is_refusal: Whether the response says explicitly that the request has not run.
        route: The request's route.
    """
    if status not in NOT_RUN_STATUSES or is_refusal:
        return False
    if route.kind is RouteKind.STREAM:
        return not route.is_resumable
    return route.kind is not RouteKind.REPEATABLE


MAXIMUM_REFUSED_ATTEMPTS = 16
"""A refused request is rejected after more attempts than this that reached a backend, since hardly
any other backend has capacity then."""


class RefusalAction(enum.Enum):
    """What follows an attempt that a backend did not run."""

    SEND = "send"
    """The request is sent to another backend at once."""
    PAUSE = "pause"
    """The request waits briefly until a backend that refused it may have capacity."""
    REJECT = "reject"
    """The request is rejected, and its caller may retry later."""


def decide_after_refusal(
    has_available_backend: bool,
    attempts: int,
    backends: int,
    has_paused: bool,
    remaining_seconds: float,
) -> RefusalAction:
    """Decide what follows when backends have refused a request.

    The request is sent once to each backend, up to `MAXIMUM_REFUSED_ATTEMPTS` times, and once more
    after a pause. Further attempts would multiply a load that is already too high.

    Args:
        has_available_backend: Whether a backend is left that has not refused any request recently.
        attempts: Attempts so far that reached a backend.
        backends: Number of backends that the request may be sent to.
        has_paused: Whether the request has paused before.
        remaining_seconds: Time until the request's deadline.
    """
    if attempts > min(backends, MAXIMUM_REFUSED_ATTEMPTS):
        return RefusalAction.REJECT
    if has_available_backend:
        return RefusalAction.SEND
    if has_paused or remaining_seconds < FULL_SERVICE_PAUSE_SECONDS + MINIMUM_ATTEMPT_SECONDS:
        return RefusalAction.REJECT
    return RefusalAction.PAUSE


class FailureAction(enum.Enum):
    """What follows an attempt that ended without a response."""

    RETRY = "retry"
    AWAIT_CRASH_CHECK = "await_crash_check"
    """The next attempt waits briefly for the result of a check whether the backend has crashed."""
    GIVE_UP = "give_up"
    """A backend may have run the request, which must not run twice."""


def decide_after_failure(
    is_repeatable: bool,
    may_have_run: bool,
    is_backend_probed: bool,
    has_next_attempt: bool,
) -> FailureAction:
    """Decide what follows an attempt that ended without a response.

    Args:
        is_repeatable: Whether the request may run twice; for a stream, whether it may be resumed.
        may_have_run: Whether this attempt or an earlier one may have run.
        is_backend_probed: Whether the backend of the broken attempt is being probed for liveness.
        has_next_attempt: Whether another attempt may follow and none is running.
    """
    if may_have_run and not is_repeatable:
        return FailureAction.GIVE_UP
    if is_repeatable and is_backend_probed and has_next_attempt:
        return FailureAction.AWAIT_CRASH_CHECK
    return FailureAction.RETRY


def needs_new_connection(is_repeatable: bool, is_suspect: bool, may_have_run: bool) -> bool:
    """Return whether an attempt must open its own connection.

    A pooled connection may lead to a backend that has stopped. Its reset would look as if the
    backend had crashed while running this request, whereas a new connection is refused.

    Args:
        is_repeatable: Whether the request may run twice.
        is_suspect: Whether backends have crashed while running the request.
        may_have_run: Whether an earlier attempt of the request may have run.
    """
    return not is_repeatable or is_suspect or may_have_run


def idle_timeout_seconds(can_resume: bool, remaining_seconds: float) -> float:
    """Return how long the body of a stream may be silent before the attempt ends.

    A stream that can't go on at another backend ends only at its deadline, or when its caller
    leaves: its backend may still send the rest.

    Args:
        can_resume: Whether another attempt may resume the stream.
        remaining_seconds: Time until the stream's deadline.
    """
    return min(STREAM_IDLE_TIMEOUT_SECONDS, remaining_seconds) if can_resume else remaining_seconds
