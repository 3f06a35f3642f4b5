"""Log lines of key=value pairs, and the non-blocking log writer."""

import logging
import os
import subprocess
import sys

import gevent
import pytest

from merlinstand.runtime.log_writer import LogQueue, LogWriter
from merlinstand.runtime.logs import EventLog


def test_a_field_does_not_replace_the_node(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        EventLog("control-1").write("consensus.elected", {"node": "control-2", "term": 3})
    (record,) = caplog.records
    assert record.getMessage() == "node=control-1 event=consensus.elected term=3"


def test_a_full_queue_drops_routine_lines_first_and_reports_the_count() -> None:
    queue = LogQueue(maximum_routine=2, maximum_failures=2)
    queue.push("failure\n", True)
    for number in range(4):
        queue.push(f"routine-{number}\n", False)
    text = queue.take(10_000)
    assert text.splitlines() == [
        "severity=warning event=host.log_lines_dropped count=2",
        "failure",
        "routine-2",
        "routine-3",
    ]
    assert len(queue) == 0


def test_a_reader_that_never_reads_does_not_block_the_loop() -> None:
    read_end, write_end = os.pipe()
    writer = LogWriter(write_end, LogQueue(maximum_routine=100, maximum_failures=10))
    line = "x" * 2_000 + "\n"
    for _ in range(500):
        writer.push(line, False)
    turns = 0
    for _ in range(20):
        gevent.sleep(0.005)
        turns += 1
    assert turns == 20
    assert len(writer.queue) <= 100
    os.set_blocking(read_end, False)
    received = b""
    for _ in range(1_000):
        try:
            received += os.read(read_end, 1 << 20)
        except BlockingIOError:
            if len(writer.queue) == 0 and received:
                break
        gevent.sleep(0.005)
    assert b"event=host.log_lines_dropped" in received
    os.close(read_end)


def test_a_closed_pipe_is_not_an_error() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    writer = LogWriter(write_end)
    writer.push("line\n", False)
    writer.flush(1.0)
    assert len(writer.queue) == 0


def test_log_lines_are_written_when_the_process_exits_immediately() -> None:
    program = (
        "from merlinstand.runtime.logs import EventLog, configure_process_logging\n"
        "configure_process_logging()\n"
        "EventLog('n').write('host.ended', {})\n"
    )
    done = subprocess.run([sys.executable, "-c", program], stdout=subprocess.PIPE, check=True)
    assert b"node=n event=host.ended" in done.stdout
