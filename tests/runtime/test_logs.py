"""Log lines: one of key=value pairs for each event."""

import logging

import pytest

from merlinstand.runtime.logs import EventLog


def test_a_field_does_not_hide_who_wrote_the_line(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        EventLog("control-1").write("consensus.elected", {"node": "control-2", "term": 3})
    (record,) = caplog.records
    assert record.getMessage() == "node=control-1 event=consensus.elected term=3"
