"""Hosts many reducers in one process, on one gevent loop, over real loopback connections.

Every node is an ordinary `runtime` host of its own: its transport, codecs, timers, journal
and HTTP endpoint are those of a real daemon. Only the process is shared.
"""

import time

import msgspec

from merlinstand.control.daemon import ControlDaemon
from merlinstand.control.settings import ControlSettings
from merlinstand.kernel.reducer import Reducer
from merlinstand.runtime.host import Host
from merlinstand_lab.capacity.observed import Counts, ObservedReducer
from merlinstand_lab.capacity.session_daemon import SessionDaemon, SessionDaemonSettings
from merlinstand_lab.capacity.worker_spec import (
    HostedKind,
    HostedSpec,
    Traffic,
    WorkerReport,
    WorkerSpec,
)


class HollowNode:
    """One hosted reducer."""

    def __init__(self, spec: HostedSpec) -> None:
        """Make a node that has not started."""
        self.observed = ObservedReducer(make_reducer(spec))
        self.host = Host(self.observed, spec.host)

    def counts(self) -> Counts:
        """Return the totals of the reducer."""
        return self.observed.counts(time.monotonic())

    def traffic(self) -> Traffic:
        """Return the totals of the internal transport."""
        counters = self.host.transport.counters
        return Traffic(
            messages_sent=counters.messages_sent,
            messages_received=counters.messages_received,
            bytes_sent=counters.bytes_sent,
            bytes_received=counters.bytes_received,
        )


class HollowProcess:
    """All nodes of one worker process."""

    def __init__(self, spec: WorkerSpec) -> None:
        """Make the nodes; none has started."""
        self._nodes = [HollowNode(hosted) for hosted in spec.hosted]

    def start(self) -> None:
        """Start every node."""
        for node in self._nodes:
            node.host.start()

    def kill(self) -> None:
        """End every node as a crash does: nothing is announced or handed over."""
        for node in self._nodes:
            node.host.abort()

    def report(self) -> WorkerReport:
        """Return the totals of every node."""
        return WorkerReport(
            counts=tuple(node.counts() for node in self._nodes),
            traffic=tuple(node.traffic() for node in self._nodes),
        )


def make_reducer(spec: HostedSpec) -> Reducer:
    """Make the reducer of a spec from its settings."""
    if spec.kind is HostedKind.CONTROL:
        return ControlDaemon(msgspec.json.decode(spec.settings, type=ControlSettings))
    return SessionDaemon(msgspec.json.decode(spec.settings, type=SessionDaemonSettings))
