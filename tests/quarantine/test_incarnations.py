"""Starts of servers that keep their ids."""

import pytest

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.quarantine.incarnations import (
    Incarnations,
    backend_of,
    has_start_time,
    incarnation_id,
)
from merlinstand.quarantine.messages import BackendCrash, SuspectReport, UnansweredAttempts

SERVER = BackendId("s")
CONTENT = ContentDigest("c")


@pytest.mark.parametrize(
    ("name", "server", "tells_start"),
    [
        (incarnation_id(SERVER, 17), SERVER, True),
        (incarnation_id(SERVER, 0), SERVER, False),
        (BackendId("s@host"), BackendId("s@host"), False),
    ],
)
def test_a_name_tells_its_server(name: BackendId, server: BackendId, tells_start: bool) -> None:
    assert (backend_of(name), has_start_time(name)) == (server, tells_start)


def test_a_newer_start_ends_the_one_before_and_an_older_one_is_late() -> None:
    starts = Incarnations()
    assert starts.record(SERVER, 17) is None, "the first that is known"
    assert starts.record(SERVER, 17) is None
    assert starts.record(SERVER, 20) == incarnation_id(SERVER, 17)
    assert starts.record(SERVER, 18) is None
    assert starts.current(SERVER) == incarnation_id(SERVER, 20)


def test_reports_name_the_newest_start() -> None:
    starts = Incarnations()
    starts.record(SERVER, 17)
    tries = (UnansweredAttempts(SERVER, (CONTENT,)),)
    report = SuspectReport("d", 1, (BackendCrash(SERVER, ()),), unanswered=tries, in_flight=tries)
    named = starts.qualify(report)
    servers = [t.backend_id for t in (*named.crashes, *named.unanswered, *named.in_flight)]
    assert servers == [incarnation_id(SERVER, 17)] * 3
    assert Incarnations().qualify(report) == report
