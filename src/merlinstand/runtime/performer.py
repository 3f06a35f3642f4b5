"""Performs effects; none of the performers may block or switch greenlets.

A table by effect type maps each effect to a part of the host. An effect of an unknown type is a
bug and ends the process; see `Host`.
"""

from collections.abc import Callable
from typing import Any

from merlinstand.kernel import effects
from merlinstand.runtime.disk import Disk
from merlinstand.runtime.http_client import HttpClient
from merlinstand.runtime.http_endpoint import HttpEndpoint
from merlinstand.runtime.logs import EventLog
from merlinstand.runtime.metrics import Metrics
from merlinstand.runtime.record_writer import RecordWriter
from merlinstand.runtime.timers import Timers
from merlinstand.runtime.transport import Transport

_Performers = dict[type[effects.Effect], Callable[[Any], None]]
"""Functions that perform effects, by effect type."""


class EffectPerformer:
    """Dispatches each effect to the part of the host that performs it."""

    def __init__(
        self,
        *,
        timers: Timers,
        transport: Transport,
        disk: Disk,
        endpoint: HttpEndpoint,
        client: HttpClient,
        log: EventLog,
        metrics: Metrics,
        records: RecordWriter | None,
        read_wall_clock: Callable[[], None],
        stop: Callable[[int], None],
    ) -> None:
        """Create a performer for the host's parts.

        `records` is None for processes that write no records; `stop` takes the exit code.
        """
        self._performers: _Performers = {
            **_time(timers, read_wall_clock),
            **_messages(transport),
            **_durable_state(disk),
            **_responses(endpoint),
            **_calls(client),
            **_reports(log, metrics, records),
            effects.StopProcess: lambda e: stop(e.exit_code),
        }

    def perform(self, effect: effects.Effect) -> None:
        """Perform one effect.

        Raises:
            KeyError: The effect's type is unknown.
        """
        self._performers[type(effect)](effect)


def _time(timers: Timers, read_wall_clock: Callable[[], None]) -> _Performers:
    return {
        effects.SetTimer: lambda e: timers.set(e.name, e.delay_seconds),
        effects.CancelTimer: lambda e: timers.cancel(e.name),
        effects.ReadWallClock: lambda _effect: read_wall_clock(),
    }


def _messages(transport: Transport) -> _Performers:
    return {
        effects.SendMessage: lambda e: transport.send(e.receiver, e.message),
        effects.LearnAddress: lambda e: transport.set_address(e.node_id, e.address),
    }


def _durable_state(disk: Disk) -> _Performers:
    return {
        effects.AppendRecords: disk.append,
        effects.SaveSnapshot: disk.save_snapshot,
    }


def _responses(endpoint: HttpEndpoint) -> _Performers:
    return {
        effects.Respond: lambda e: endpoint.respond(e.request_id, e.status, e.headers, e.body),
        effects.RespondStart: lambda e: endpoint.start(e.request_id, e.status, e.headers),
        effects.RespondChunk: lambda e: endpoint.push(e.request_id, e.data),
        effects.RespondEnd: lambda e: endpoint.end(e.request_id, e.whole),
        effects.BoundRequests: endpoint.bounds.apply,
    }


def _calls(client: HttpClient) -> _Performers:
    return {
        effects.StartCall: client.start,
        effects.CancelCall: lambda e: client.cancel(e.call_id),
    }


def _reports(log: EventLog, metrics: Metrics, records: RecordWriter | None) -> _Performers:
    """Return the log, record and metric performers.

    Without a record writer, which only processes of the laboratory have, records are dropped.
    """

    def write_record(effect: effects.WriteRecord) -> None:
        if records is not None:
            records.write(effect.stream, effect.record)

    return {
        effects.LogEvent: lambda e: log.write(e.name, e.fields, e.severity),
        effects.WriteRecord: write_record,
        effects.CountMetric: lambda e: metrics.count(e.name, e.amount, e.labels),
        effects.SetGauge: lambda e: metrics.set_gauge(e.name, e.value, e.labels),
    }
