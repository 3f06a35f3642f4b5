"""Measures the processor time of a lookup in the forwarding gateway's reducer, without overload.

Runs lookups one after the other in virtual time, without a network: each is routed, sent to a
server and answered, while the control leader is reachable. Prints microseconds per lookup of the
fastest round; short rounds make it likely that one runs undisturbed on a busy machine. Uses only
interfaces that older builds have: to compare two builds, alternate runs with different PYTHONPATHs.

Usage: python benchmarks/lookup_cost.py [--lookups 300] [--rounds 80]
"""

import argparse
import time
from collections.abc import Mapping

from result import Ok, Result

from merlinstand.batch_calls.calls import BatchReply
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.routes import (
    Route,
    RouteKind,
    RoutesDocument,
    RouteTable,
    RouteTarget,
    Service,
)
from merlinstand.common.errors import MerlinstandError
from merlinstand.common.ids import BackendId, NodeId, RequestId
from merlinstand.directory.requests import HttpReply
from merlinstand.forwarding.daemon import ForwardingGateway
from merlinstand.forwarding.interface import BatchFailure
from merlinstand.forwarding.settings import ForwardingSettings
from merlinstand.kernel.effects import StartCall
from merlinstand.kernel.events import CallResponded, MessageReceived, RequestReceived, Started
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate

SETTINGS = ForwardingSettings(
    node_id="g", name="gateway-1", zone="a", internal_address="10.0.0.9:1", seeds=("10.0.0.1:1",)
)
ROUTE = Route(
    name="l",
    host="h",
    path_prefix="/l/",
    kind=RouteKind.REPEATABLE,
    targets=(RouteTarget("shop", 1.0),),
    timeout_seconds=1.0,
    target_latency_seconds=0.2,
)
LEADER = NodeId("10.0.0.1")
SERVERS = 8
LOOKUP_INTERVAL_SECONDS = 0.5
"""Interval between two lookups: two per second, as at one of many gateways."""
ANSWER_SECONDS = 0.03
"""Response time of the server."""
DEADLINE_MS = "800"
"""Value of the deadline header: the time that each caller waits, in milliseconds."""


class _LookupsOnly:
    """A `GatewayInterface` for callers that send only lookups."""

    def read_batch_call(
        self, _event: RequestReceived, _route: Route | None, _tenant: str
    ) -> Result[None, MerlinstandError]:
        return Ok(None)

    def write_batch_reply(self, _reply: BatchReply | BatchFailure) -> HttpReply:
        return HttpReply(200, {}, b"")

    def read_server_load(self, _headers: Mapping[str, str]) -> None:
        return None


def start_gateway() -> ForwardingGateway:
    """Return a started gateway with one route, its service and the service's servers."""
    gateway = ForwardingGateway(SETTINGS, _LookupsOnly())
    gateway.start(Started("g", 1, 1), 0.0)
    document = RoutesDocument(version=1, routes=(ROUTE,), services=(Service(name="shop"),))
    gateway.follower.routes = RouteTable(document)
    gateway.follower.document_revision = 1
    gateway.follower.set_backends(
        Backend(
            backend_id=BackendId(f"b{n}"),
            service="shop",
            address=f"10.0.0.{n}:1",
            zone="a",
            slots=8,
        )
        for n in range(SERVERS)
    )
    return gateway


def run_lookups(lookups: int) -> float:
    """Run the lookups on a new gateway and return their total processor time in seconds."""
    gateway = start_gateway()
    headers = {"host": "h", SETTINGS.header_names.deadline_ms: DEADLINE_MS}
    leader_update = MessageReceived(LEADER, DirectoryUpdate(from_leader=True, term=1))
    spent_seconds = 0.0
    for n in range(lookups):
        now = n * LOOKUP_INTERVAL_SECONDS
        gateway.reduce(leader_update, now)
        began = time.process_time()
        event = RequestReceived(RequestId(f"k{n}"), "GET", "/l/1", headers, b"")
        effects = gateway.reduce(event, now)
        calls = [effect for effect in effects if isinstance(effect, StartCall)]
        if len(calls) != 1:
            raise SystemExit(f"lookup {n} started {len(calls)} calls instead of 1")
        answer = CallResponded(calls[0].call_id, 200, {}, b"")
        gateway.reduce(answer, now + ANSWER_SECONDS)
        spent_seconds += time.process_time() - began
    return spent_seconds


def main() -> None:
    """Run all rounds and print the processor time per lookup of the fastest."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--lookups", type=int, default=300)
    parser.add_argument("--rounds", type=int, default=80)
    arguments = parser.parse_args()
    fastest = min(run_lookups(arguments.lookups) for _ in range(arguments.rounds))
    print(f"{fastest / arguments.lookups * 1e6:.1f} us a lookup")


if __name__ == "__main__":
    main()
