"""Host: durable state, event order, shutdown, logs, metrics and records."""

import json
import logging
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import gevent
import msgspec
import pytest

from merlinstand.kernel.effects import (
    AppendRecords,
    CancelTimer,
    CountMetric,
    Effect,
    LogEvent,
    SaveSnapshot,
    SetGauge,
    SetTimer,
    StopProcess,
    WriteRecord,
)
from merlinstand.kernel.events import (
    Event,
    RecordsSynced,
    SnapshotSaved,
    Started,
    StopRequested,
    TimerFired,
)
from merlinstand.runtime import exit_codes
from merlinstand.runtime.host import Host, HostSetupFailedError
from merlinstand.runtime.host_settings import HostSettings, TlsFiles
from merlinstand.runtime.logs import format_pairs
from merlinstand.runtime.metrics import Metrics


def on_start(*effects: Effect) -> Any:
    return lambda event: effects if isinstance(event, Started) else ()


def test_state_survives_a_restart(run_reducer: Any, tmp_path: Path) -> None:
    folder = str(tmp_path / "data")
    first, reducer = run_reducer(
        on_start(
            AppendRecords((b"one",), 1),
            AppendRecords((b"two", b"three"), 2),
            SaveSnapshot(b"state", (b"three",), 3),
            AppendRecords((b"four",), 4),
        ),
        data_folder=folder,
    )
    began = reducer.sink.wait_for(Started)
    assert (began.snapshot, began.records) == (None, ())
    reducer.sink.wait_for(RecordsSynced, 3)
    order = [
        (type(event).__name__, event.token)
        for event in reducer.sink.events
        if isinstance(event, RecordsSynced | SnapshotSaved)
    ]
    assert order == [
        ("RecordsSynced", 1),
        ("RecordsSynced", 2),
        ("SnapshotSaved", 3),
        ("RecordsSynced", 4),
    ]
    first.abort()
    _second, reducer = run_reducer(data_folder=folder)
    again = reducer.sink.wait_for(Started)
    assert again.incarnation == began.incarnation
    assert (again.snapshot, again.records) == (b"state", (b"three", b"four"))


def test_a_data_folder_is_used_by_one_process_only(run_reducer: Any, tmp_path: Path) -> None:
    run_reducer(data_folder=str(tmp_path))
    with pytest.raises(HostSetupFailedError) as failure:
        run_reducer(data_folder=str(tmp_path))
    assert "folder_in_use" in failure.value.error.detail


def test_failing_disk_stops_the_process(
    run_reducer: Any, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(_descriptor: int) -> None:
        raise OSError(5, "Input/output error")

    monkeypatch.setattr(os, "fdatasync", fail)
    host, reducer = run_reducer(
        on_start(AppendRecords((b"one",), 1)), data_folder=str(tmp_path / "data")
    )
    assert host.wait() == exit_codes.EXIT_DISK_FAILED
    assert not [event for event in reducer.sink.events if isinstance(event, RecordsSynced)]


def test_process_without_a_data_folder_stores_nothing(run_reducer: Any) -> None:
    _host, reducer = run_reducer(on_start(AppendRecords((b"one",), 1), SaveSnapshot(b"", (), 2)))
    reducer.sink.wait_for(SnapshotSaved)
    assert reducer.sink.wait_for(RecordsSynced).token == 1


def test_timers_are_replaced_and_cancelled(run_reducer: Any) -> None:
    _host, reducer = run_reducer(
        on_start(
            SetTimer("slow", 30.0),
            SetTimer("slow", 0.0),
            SetTimer("never", 0.0),
            CancelTimer("never"),
            CancelTimer("unknown"),
            SetTimer("last", 0.02),
        )
    )
    assert reducer.sink.wait_for(TimerFired, 2).name == "last"
    names = [event.name for event in reducer.sink.events if isinstance(event, TimerFired)]
    assert names == ["slow", "last"]


def test_events_submitted_by_effects_are_queued(run_reducer: Any) -> None:
    seen: list[str] = []

    def decide(event: Event) -> Sequence[Effect]:
        seen.append(f"begin {type(event).__name__}")
        if isinstance(event, Started):
            return (AppendRecords((), 1), AppendRecords((), 2))
        return ()

    run_reducer(decide)
    assert seen == ["begin Started", "begin RecordsSynced", "begin RecordsSynced"]


def test_failing_reducer_ends_the_process(run_reducer: Any) -> None:
    def decide(event: Event) -> Sequence[Effect]:
        if isinstance(event, TimerFired):
            raise ValueError("broken")
        return (SetTimer("soon", 0.0),)

    host, _reducer = run_reducer(decide)
    assert host.wait() == exit_codes.EXIT_REDUCER_FAILED


def test_the_reducer_decides_when_to_stop(run_reducer: Any) -> None:
    def decide(event: Event) -> Sequence[Effect]:
        return (StopProcess(4),) if isinstance(event, StopRequested) else ()

    host, _reducer = run_reducer(decide)
    host.request_stop()
    assert host.wait() == 4


def test_invalid_address_or_tls_files_fail_the_start(run_reducer: Any) -> None:
    for settings in ({"http_address": "localhost:1"}, {"internal_address": "1.2.3.4.5:1"}):
        with pytest.raises(HostSetupFailedError):
            run_reducer(**settings)
    files = TlsFiles(certificate="/none", private_key="/none", authority="/none")
    with pytest.raises(HostSetupFailedError):
        Host(run_reducer()[1], HostSettings(node_id="n", tls=files))


class Line(msgspec.Struct):
    """A test record."""

    request_id: str


def test_records_are_written_as_json_lines(run_reducer: Any, tmp_path: Path) -> None:
    run_reducer(
        on_start(WriteRecord("engine-1", Line("a")), WriteRecord("engine-1", Line("b\n"))),
        record_folder=str(tmp_path / "run"),
    )
    lines = (tmp_path / "run" / "engine-1.jsonl").read_text().splitlines()
    assert [json.loads(line)["request_id"] for line in lines] == ["a", "b\n"]


def test_log_event_is_one_line(run_reducer: Any, caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        run_reducer(
            on_start(LogEvent("lease.granted", {"job": "blurbs", "note": 'a "b"\nc'})),
            log_level="info",
        )
    lines = [record.getMessage() for record in caplog.records]
    assert 'node=node-1 event=lease.granted job=blurbs note="a \\"b\\"\\nc"' in lines


def test_formatted_pairs_stay_on_one_line() -> None:
    text = format_pairs({"a b": "", "c=d": "x=y", "e": None, "f": "\u2028é"})
    assert text == 'a_b="" c_d="x=y" e=None f="\\u2028\\u00e9"'


def test_metrics_are_separate_for_each_host(run_reducer: Any) -> None:
    host, _reducer = run_reducer(
        on_start(
            CountMetric("requests.total", 2.0, {"pool": "a"}),
            CountMetric("requests.total", 1.0, {"pool": "a"}),
            CountMetric("requests.total", 1.0, {"other": "label"}),
            CountMetric("requests.total", -1.0, {"pool": "a"}),
            SetGauge("queue", 3.5),
        )
    )
    text = host.metrics.export().decode()
    assert 'merlinstand_requests_total{pool="a"} 3.0' in text
    assert "merlinstand_queue 3.5" in text
    assert host.metrics.dropped == 1
    assert "requests" not in Metrics().export().decode()


PROGRAM = """
import sys
from merlinstand.kernel.effects import LogEvent, StopProcess
from merlinstand.kernel.events import StopRequested
from merlinstand.runtime.process import run_host
from merlinstand.runtime.host_settings import HostSettings

class Daemon:
    def start(self, event, now):
        return ()
    def reduce(self, event, now):
        if isinstance(event, StopRequested):
            return (LogEvent("asked"),) if sys.argv[1] == "hang" else (StopProcess(0),)
        return ()

sys.exit(run_host(Daemon(), HostSettings(node_id="daemon")))
"""


@pytest.mark.parametrize(("mode", "exit_code"), [("stop", 0), ("hang", 130)])
def test_signals_of_a_process(mode: str, exit_code: int) -> None:
    """SIGTERM notifies the reducer once; a later SIGINT ends a hanging process."""
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, mode], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    with gevent.Timeout(60):
        line = process.stdout.readline()
        assert "event=host.listening" in line
        process.send_signal(signal.SIGTERM)
        if mode == "hang":
            assert "event=asked" in process.stdout.readline()
            process.send_signal(signal.SIGTERM)
            assert "event=host.already_stopping signal=SIGTERM" in process.stdout.readline()
            process.send_signal(signal.SIGINT)
        assert process.wait() == exit_code
    process.stdout.close()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_a_signal_after_the_stop_does_not_change_the_exit_code(number: signal.Signals) -> None:
    """The signal's default action ended the process while it wrote its last log lines."""
    late = (
        f"code = run_host(Daemon(), HostSettings(node_id='daemon'))\nos.kill(os.getpid(), {number})"
    )
    program = PROGRAM.replace("import sys", "import os, sys", 1).replace(
        'sys.exit(run_host(Daemon(), HostSettings(node_id="daemon")))', f"{late}\nsys.exit(code)"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", program, "stop"], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    with gevent.Timeout(60):
        assert "event=host.listening" in process.stdout.readline()
        process.send_signal(signal.SIGTERM)
        assert process.wait() == 0
    process.stdout.close()
