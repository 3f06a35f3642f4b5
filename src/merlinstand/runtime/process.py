"""Runs one reducer as the whole of this process.

This module owns what is process-wide: the log writer, the signal handlers and the exit code.
Everything else belongs to the `Host`, of which several can run in one process.
"""

import os
import signal
import traceback
from typing import Any

import gevent

from merlinstand.kernel.reducer import Reducer
from merlinstand.runtime.exit_codes import EXIT_FORCED, EXIT_SETUP_FAILED, FAULT_EXIT_CODES
from merlinstand.runtime.host import Host, HostSetupFailedError
from merlinstand.runtime.host_settings import HostSettings
from merlinstand.runtime.log_writer import LogWriter
from merlinstand.runtime.logs import EventLog, configure_process_logging
from merlinstand.runtime.profile import profiled

LOG_FLUSH_TIMEOUT_SECONDS = 1.0
"""Maximum time at exit to write the remaining log lines."""


def run_host(reducer: Reducer, settings: HostSettings) -> int:
    """Run a reducer until it asks to stop.

    The first SIGTERM or SIGINT submits `StopRequested`. Afterwards a SIGINT, from an operator at a
    terminal, ends the process immediately; a SIGTERM is only logged, because a supervisor that
    repeats it must not cut off requests. SIGHUP is only logged, because settings are read only at
    the start.

    Args:
        reducer: Turns events into effects.
        settings: Node id, addresses, folders and limits.

    Returns:
        The exit code: from `StopProcess`, or one of `exit_codes`.
    """
    writer = configure_process_logging()
    try:
        with profiled(settings.profile_path):
            return _run_host(reducer, settings, writer)
    finally:
        writer.flush(LOG_FLUSH_TIMEOUT_SECONDS)


def _run_host(reducer: Reducer, settings: HostSettings, writer: LogWriter) -> int:
    log = EventLog(settings.node_id, settings.log_level)
    # Unexpected exceptions in greenlets become log lines instead of multi-line tracebacks.
    gevent.get_hub().print_exception = lambda _context, *failure: log.write(
        "host.greenlet_failed",
        {"traceback": "".join(traceback.format_exception(*failure))},
        "error",
    )
    try:
        host = Host(reducer, settings)
        watchers = _install_signals(host, writer)
        host.start()
    except HostSetupFailedError as failure:
        log.write("host.setup_failed", {"detail": failure.error.detail}, "error")
        return EXIT_SETUP_FAILED
    exit_code = host.wait()
    if exit_code in FAULT_EXIT_CODES:
        host.abort()
    else:
        host.stop()
    _ignore_signals(watchers)
    log.write("host.stopped", {"exit_code": exit_code})
    return exit_code


def _ignore_signals(watchers: list[Any]) -> None:
    """Stop the watchers; a late signal must not change the exit code or the last log lines."""
    for watcher in watchers:
        watcher.stop()
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


def _install_signals(host: Host, writer: LogWriter) -> list[Any]:
    """Return the signal watchers, which work only while they are referenced."""
    is_stopping = False

    def begin_stop() -> None:
        nonlocal is_stopping
        is_stopping = True
        host.request_stop()

    def on_terminate() -> None:
        if is_stopping:
            host.log.write("host.already_stopping", {"signal": "SIGTERM"})
            return
        begin_stop()

    def on_interrupt() -> None:
        if is_stopping:
            # Exit immediately, without waiting for responses or the log reader.
            writer.flush_at_exit()
            os._exit(EXIT_FORCED)
        begin_stop()

    handlers = {
        signal.SIGTERM: on_terminate,
        signal.SIGINT: on_interrupt,
        signal.SIGHUP: host.on_settings_changed,
    }
    watchers = []
    for number, handler in handlers.items():
        watcher = gevent.get_hub().loop.signal(number)
        watcher.start(handler)
        watchers.append(watcher)
    return watchers
