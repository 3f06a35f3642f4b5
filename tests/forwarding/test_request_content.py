"""The same request that comes again is known by its content, also in the log."""

import msgspec
import pytest

from merlinstand.cluster.routes import RouteKind
from merlinstand.kernel.effects import LogEvent
from merlinstand.kernel.events import CallFailed, CallPhase
from merlinstand.quarantine.request_digest import compute_digest, digest_of_request
from tests.forwarding.test_forwarder import NAMES, begin, request, route

BASE = ("tenant", "h", "POST", "/l/1", b"body")


def test_a_request_that_comes_again_has_the_same_content() -> None:
    first = request(route())
    again = msgspec.structs.replace(first, key="k2", request_id="q2", deadline_at=9.0, caller="c")
    assert digest_of_request(first, NAMES) == digest_of_request(again, NAMES)
    assert len(digest_of_request(first, NAMES)) == 32


@pytest.mark.parametrize(
    "other",
    [
        pytest.param(("other", "h", "POST", "/l/1", b"body"), id="tenant"),
        pytest.param(("tenant", "g", "POST", "/l/1", b"body"), id="host"),
        pytest.param(("tenant", "h", "GET", "/l/1", b"body"), id="method"),
        pytest.param(("tenant", "h", "POST", "/l/1?q=1", b"body"), id="query"),
        pytest.param(("tenant", "h", "POST", "/l/1", b"Body"), id="body"),
        pytest.param(("tenan", "th", "POST", "/l/1", b"body"), id="border of two parts"),
    ],
)
def test_another_request_has_another_content(other: tuple[str, str, str, str, bytes]) -> None:
    assert compute_digest(*other) != compute_digest(*BASE)


def test_a_failed_try_tells_its_content_and_its_caller() -> None:
    forwarder, call = begin(route(RouteKind.ONCE))
    effects = forwarder.on_call(CallFailed(call.call_id, CallPhase.SENT, "reset"), 0.1)
    [log] = [e for e in effects if isinstance(e, LogEvent) and "attempt" in e.name]
    assert log.fields["content"] == digest_of_request(request(route()), NAMES)
    assert log.fields["caller"] == ""
