"""A repeated request has the same content digest, in the log too."""

import msgspec
import pytest

from merlinstand.cluster.routes import RouteKind
from merlinstand.kernel.effects import LogEvent
from merlinstand.kernel.events import CallFailed, CallPhase
from merlinstand.quarantine.request_digest import content_of, digest_of
from tests.forwarding.test_forwarder import NAMES, begin, request, route

BASE = ("tenant", "h", "POST", "/l/1", b"body")


def test_a_repeated_request_has_the_same_content() -> None:
    first = request(route())
    repeated = msgspec.structs.replace(
        first, key="k2", request_id="q2", deadline_at=9.0, caller="c"
    )
    assert content_of(first, NAMES) == content_of(repeated, NAMES)
    assert len(content_of(first, NAMES)) == 32


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
    assert digest_of(*other) != digest_of(*BASE)


def test_a_failed_attempt_logs_its_content_and_its_caller() -> None:
    forwarder, call = begin(route(RouteKind.ONCE))
    effects = forwarder.on_call(CallFailed(call.call_id, CallPhase.SENT, "reset"), 0.1)
    [log] = [e for e in effects if isinstance(e, LogEvent) and "attempt" in e.name]
    assert log.fields["content"] == content_of(request(route()), NAMES)
    assert log.fields["caller"] == ""
