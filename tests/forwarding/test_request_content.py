"""A repeated request has the same content digest, in the log too."""

import msgspec
import pytest

from merlinstand.cluster.routes import RouteKind
from merlinstand.kernel.effects import LogEvent
from merlinstand.kernel.events import CallFailed, CallPhase
from merlinstand.quarantine.request_digest import compute_digest, digest_of_request
from tests.forwarding.test_forwarder import NAMES, begin, request, route

BASE = ("tenant", "h", "POST", "/l/1", b"body")


def test_a_repeated_request_has_the_same_content() -> None:
    first = request(route())
    repeated = msgspec.structs.replace(
        first, key="k2", request_id="q2", deadline_at=9.0, caller="c"
    )
    assert digest_of_request(first, NAMES) == digest_of_request(repeated, NAMES)
    assert len(digest_of_request(first, NAMES)) == 32


@pytest.mark.parametrize(
    "other",
    [
        pytest.param(("other", "h", "POST", "/l/1", b"body"), id="tenant"),
        pytest.param(("tenant", "g", "POST", "/l/1", b"body"), id="host"),
        pytest.param(("tenant", "h", "GET", "/l/1", b"body"), id="method"),
        pytest.param(("tenant", "h", "POST", "/l/1?q=1", b"body"), id="query"),
        pytest.param(("tenant", "h", "POST", "/l/1", b"Body"), id="body"),
        pytest.param(("tenan", "th", "POST", "/l/1", b"body"), id="boundary between two parts"),
    ],
)
def test_a_different_request_has_a_different_content(
    other: tuple[str, str, str, str, bytes],
) -> None:
    assert compute_digest(*other) != compute_digest(*BASE)


def test_a_failed_attempt_logs_its_content_and_its_caller() -> None:
    forwarder, call = begin(route(RouteKind.ONCE))
    effects = forwarder.on_call(CallFailed(call.call_id, CallPhase.SENT, "reset"), 0.1)
    [log] = [e for e in effects if isinstance(e, LogEvent) and "attempt" in e.name]
    assert log.fields["content"] == digest_of_request(request(route()), NAMES)
    assert log.fields["caller"] == ""
