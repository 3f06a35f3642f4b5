"""Hosts many reducers in one process, on one gevent loop, over real loopback connections.

Every node is an ordinary `runtime` host of its own: its transport, codecs, timers, journal
and HTTP endpoint are those of a real daemon. Only the process is shared.
"""

import shutil
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from merlinstand.kernel.reducer import Reducer
from merlinstand.runtime.host import Host
from merlinstand_lab.capacity.observed import ObservedReducer, RevisionSeen
from merlinstand_lab.capacity.reducers import make_reducer
from merlinstand_lab.capacity.worker_spec import (
    AnyOrder,
    Block,
    HostedSpec,
    Kill,
    Start,
    Traffic,
    WorkerReport,
    WorkerSpec,
)


class HollowNode:
    """One hosted reducer."""

    def __init__(self, spec: HostedSpec) -> None:
        """Make a node that has not started."""
        self.spec = spec
        self.node_id = spec.host.node_id
        self.blocked: tuple[str, ...] = ()
        self.reducer: Reducer = make_reducer(spec)
        self.observed = ObservedReducer(self.node_id, self.reducer)
        self.host = Host(self.observed, spec.host)

    def start(self) -> None:
        """Start the host."""
        self.host.start()

    def kill(self) -> None:
        """End the host as a crash does: nothing is announced or handed over."""
        self.host.abort()

    def block(self, peers: Iterable[str]) -> None:
        """Drop every message to and from some nodes."""
        self.blocked = tuple(peers)
        self.observed.block(self.blocked)

    def traffic(self) -> Traffic:
        """Return the totals of the internal transport."""
        counters = self.host.transport.counters
        return Traffic(
            node_id=self.node_id,
            messages_sent=counters.messages_sent,
            messages_received=counters.messages_received,
            bytes_sent=counters.bytes_sent,
            bytes_received=counters.bytes_received,
        )


class HollowProcess:
    """All nodes of one worker process."""

    def __init__(self, spec: WorkerSpec) -> None:
        """Make the nodes; none has started."""
        self._nodes = {hosted.host.node_id: HollowNode(hosted) for hosted in spec.hosted}
        self._seen: list[RevisionSeen] = []

    def start(self) -> None:
        """Start every node."""
        for node in self._nodes.values():
            node.start()

    def kill(self) -> None:
        """End every node."""
        for node in self._nodes.values():
            node.kill()

    def perform(self, order: AnyOrder) -> WorkerReport:
        """Carry out an order and report."""
        if isinstance(order, Block):
            for node in self._chosen(order.node_ids):
                node.block(order.peers)
        elif isinstance(order, Kill):
            for node in self._chosen(order.node_ids):
                self._seen.extend(node.observed.take_seen())
                node.kill()
        elif isinstance(order, Start):
            for node_id in order.node_ids:
                self._restart(node_id, order.lose_disk)
        return self._report()

    def _chosen(self, node_ids: tuple[str, ...]) -> list[HollowNode]:
        if not node_ids:
            return list(self._nodes.values())
        return [self._nodes[node_id] for node_id in node_ids]

    def _restart(self, node_id: str, lose_disk: bool) -> None:
        old = self._nodes[node_id]
        if lose_disk and old.spec.host.data_folder:
            shutil.rmtree(Path(old.spec.host.data_folder), ignore_errors=True)
        node = HollowNode(old.spec)
        node.block(old.blocked)
        self._nodes[node_id] = node
        node.start()

    def _report(self) -> WorkerReport:
        now = time.monotonic()
        nodes = self._nodes.values()
        seen, self._seen = self._seen, []
        for node in nodes:
            seen.extend(node.observed.take_seen())
        return WorkerReport(
            at_seconds=now,
            counts=tuple(node.observed.counts(now) for node in nodes),
            traffic=tuple(node.traffic() for node in nodes),
            loads=self._collect("load_counts"),
            callers=self._collect("caller_counts"),
            seen=tuple(seen),
            versions=self._collect("versions_seen"),
            http_addresses={node.node_id: node.host.http_address for node in nodes},
        )

    def _collect(self, method_name: str) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for node in self._nodes.values():
            method = getattr(node.reducer, method_name, None)
            if method is not None:
                found[node.node_id] = method()
        return found


def read_worker_spec(path: Path) -> WorkerSpec:
    """Read a worker's spec file."""
    return msgspec.json.decode(path.read_bytes(), type=WorkerSpec)
