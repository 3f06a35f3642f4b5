"""Retry or give up: what follows a try that brought no good answer.

For: whole requests (callers' and scoring calls) and streams. Owns no state: the forwarders hand in
plain facts and act on the typed answer.

A request may be sent again if it can't have run (it never left, or its server said so), or if its
route allows that it runs twice. It is given up once its route's number of servers has run it; those
that never connected or turned it away have run nothing and don't count.
"""

import enum
from http import HTTPStatus

from merlinstand.cluster.routes import Route, RouteKind
from merlinstand.decisions.waiting import FULL_SERVICE_PAUSE_SECONDS

MINIMUM_ATTEMPT_SECONDS = 0.005
"""A request with less time left is not sent: the way there and back alone takes 1 to 4 ms."""
DEADLINE_MARGIN_SECONDS = 0.01
"""A try of a whole request may take this much longer than its deadline, so that the request's own
timer ends it, with the right reason. Chosen, not measured."""
STREAM_IDLE_TIMEOUT_SECONDS = 1.5
"""A server of a stream, or an engine that runs an item, is given up if it sends nothing for this
long: ten times the longest pause between pieces that callers accept (0.15 s), some tens of times as
long as one event takes. Chosen, not measured."""


EXTRA_UNCONNECTED_ATTEMPTS = 2
"""Tries beyond the route's number that never connected: they ran nothing. Without, two refused
connections end a request of two tries although a third server is sound
(docs/design/choice-by-place.md, "How many tries")."""


def has_attempts_left(route: Route, sent: int, tries: int) -> bool:
    """Return whether a request may be sent once more.

    Args:
        route: Its route.
        sent: Tries that count towards the route's number of servers.
        tries: Those and the ones that never connected.
    """
    most = max(1, route.maximum_attempts)
    return sent < most and tries < most + EXTRA_UNCONNECTED_ATTEMPTS


NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
"""Callers take an answer with one of these for a promise that their request has not run and never
will (as with 421, which a server sends only for that reason), and repeat it."""


class ResponseVerdict(enum.Enum):
    """What a server's answer means for a whole request."""

    NOT_RUN = "not_run"
    """The server has not run it: another may."""
    FINAL = "final"
    """The caller gets it."""
    FAILED = "failed"
    """The server failed, and another may succeed: the request may run twice."""
    UNCONFIRMED_REFUSAL = "unproven_refusal"
    """Its status promises that the request has not run, but the server may have run it, and it must
    not run twice: the caller doesn't get this answer, and no other server is asked."""


def classify_response(status: int, is_refusal: bool, route: Route) -> ResponseVerdict:
    """Judge a server's whole answer.

    Args:
        status: Its HTTP status.
        is_refusal: Whether it says that the request has not run.
        route: Of the request.
    """
    if is_not_run(status, is_refusal):
        return ResponseVerdict.NOT_RUN
    if is_unconfirmed_refusal(status, is_refusal, route):
        return ResponseVerdict.UNCONFIRMED_REFUSAL
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR and route.kind is RouteKind.REPEATABLE:
        return ResponseVerdict.FAILED
    return ResponseVerdict.FINAL


def is_not_run(status: int, is_refusal: bool) -> bool:
    """Return whether a server has certainly not run a request, by its answer.

    Args:
        status: Of the answer; 421 comes from a server that isn't the expected one.
        is_refusal: Whether the answer says so itself.
    """
    return is_refusal or status == HTTPStatus.MISDIRECTED_REQUEST


def is_unconfirmed_refusal(status: int, is_refusal: bool, route: Route) -> bool:
    """Return whether a status says "not run" without the server's own word for it.

    Of a request that must not run twice; no other answer is unproven.

    Args:
        status: Its HTTP status.
        is_refusal: Whether it says that the request has not run.
        route: Of the request.
    """
    if status not in NOT_RUN_STATUSES or is_refusal:
        return False
    if route.kind is RouteKind.STREAM:
        return not route.is_resumable
    return route.kind is not RouteKind.REPEATABLE


MAXIMUM_REFUSED_ATTEMPTS = 16
"""Tries that reached a server, beyond which a request that was turned away is refused: hardly any
other server has room then."""


class RefusalAction(enum.Enum):
    """What follows a try that a server did not run."""

    SEND = "send"
    """It goes to another server at once."""
    PAUSE = "pause"
    """It waits a moment for a server that turned it away."""
    REJECT = "refuse"
    """Its caller had better come back later."""


def decide_after_refusal(
    has_room: bool, attempts: int, servers: int, has_paused: bool, left_seconds: float
) -> RefusalAction:
    """Judge a request that servers have turned away.

    It may go to each of its servers, `MAXIMUM_REFUSED_ATTEMPTS` at most, and to one more after a
    pause: additional tries must not multiply a load that is too high already.

    Args:
        has_room: Whether a server is left that has turned nobody away lately.
        attempts: Tries so far that reached a server.
        servers: Servers that it may go to.
        has_paused: Whether it has waited before.
        left_seconds: Time until its deadline.
    """
    if attempts > min(servers, MAXIMUM_REFUSED_ATTEMPTS):
        return RefusalAction.REJECT
    if has_room:
        return RefusalAction.SEND
    if has_paused or left_seconds < FULL_SERVICE_PAUSE_SECONDS + MINIMUM_ATTEMPT_SECONDS:
        return RefusalAction.REJECT
    return RefusalAction.PAUSE


class FailureAction(enum.Enum):
    """What follows a try that ended without an answer."""

    RETRY = "retry"
    AWAIT_CRASH_CHECK = "await_verdict"
    """The next try waits a moment for whether the server has crashed."""
    GIVE_UP = "give_up"
    """A server may have run it, and it must not run twice."""


def decide_after_failure(
    is_repeatable: bool,
    may_have_run: bool,
    is_server_probed: bool,
    has_next_try: bool,
) -> FailureAction:
    """Judge a try that ended without an answer.

    Args:
        is_repeatable: Whether the request may run twice; a stream, whether it may be resumed.
        may_have_run: Whether this try or an earlier one may have run.
        is_server_probed: Whether the server where the try broke off is asked for a sign of life.
        has_next_try: Whether another try may follow and none is running.
    """
    if may_have_run and not is_repeatable:
        return FailureAction.GIVE_UP
    if is_repeatable and is_server_probed and has_next_try:
        return FailureAction.AWAIT_CRASH_CHECK
    return FailureAction.RETRY


def needs_new_connection(is_repeatable: bool, is_suspect: bool, may_have_run: bool) -> bool:
    """Return whether a try must open a connection of its own.

    A kept connection may belong to a server that is gone: its reset would look as if the server had
    crashed under this request. A new one is refused there.

    Args:
        is_repeatable: Whether the request may run twice.
        is_suspect: Whether servers have crashed under it.
        may_have_run: Whether an earlier try of it may have run.
    """
    return not is_repeatable or is_suspect or may_have_run
