"""Measures the cost of load reports for an overloaded control leader: `LoadLeader.handle_report`.

Every gateway reports once per report interval in virtual time, without a network. Covers decoding,
estimates, shares, limits and encoding. Prints message sizes in bytes and the processor time of the
fastest round.

Usage: python benchmarks/load_leader.py GATEWAYS SERVERS TENANTS [--rounds 5]
"""

import argparse
import time
from types import SimpleNamespace

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId, NodeId
from merlinstand.server_load.leader import LoadLeader
from merlinstand.server_load.reports import (
    FlowTally,
    GatewayLoad,
    ReportedLoad,
    ServerTally,
    decode_summary,
    encode_gateway_load,
)

SLOTS = 8
"""Slots of each server."""
ANSWER_SECONDS = 0.03
"""Service time of a request, without queueing."""
OVERLOAD_SECONDS = 2.0
"""Virtual time of one round."""
OFFERED_LOAD_RATIO = 2.0
"""Offered load as a multiple of the servers' capacity."""


def create_leader(gateways: int, servers: int) -> LoadLeader:
    """Return a leader whose directory has one service with these servers."""
    backends = {
        BackendId(f"i-{n:010d}"): Backend(
            backend_id=BackendId(f"i-{n:010d}"),
            service="shop",
            address=f"10.0.{n // 200}.{n % 200}:1",
            zone="a",
            slots=SLOTS,
        )
        for n in range(servers)
    }
    directory = SimpleNamespace(
        document=None,
        document_revision=1,
        live_backends_revision=1,
        live_services=frozenset({"shop"}),
        backends=backends,
        evacuated_zones=(),
    )
    zones = {NodeId(f"10.1.0.{n}"): "a" for n in range(gateways)}
    return LoadLeader(directory, lambda _now: zones)


def encode_report(gateway: int, gateways: int, servers: int, tenants: int, span: float) -> bytes:
    """Return the encoded report of one gateway on its portion of the servers and flows.

    Args:
        gateway: Index of the gateway, from 0.
        gateways: Total number of gateways.
        servers: Total number of servers of the service.
        tenants: Total number of tenants.
        span: Time that the report covers, in seconds.
    """
    per_second = servers * SLOTS / ANSWER_SECONDS / gateways
    sent = max(1, min(servers, round(per_second * span)))
    count = per_second * span / sent
    tallies = tuple(
        ServerTally(
            BackendId(f"i-{(gateway * 7 + n) % servers:010d}"),
            max(1, round(count)),
            max(1, round(count)),
            0,
            count * ANSWER_SECONDS * 2.0,
            ReportedLoad(SLOTS, 2 * SLOTS, SLOTS, 1.0),
        )
        for n in range(sent)
    )
    offered = max(1, round(OFFERED_LOAD_RATIO * per_second * span))
    flows = min(tenants, offered)
    requests_per_flow = max(1, round(offered / flows))
    return encode_gateway_load(
        GatewayLoad(
            span,
            tallies,
            tuple(
                FlowTally("shop", 5, f"tenant-{(gateway + n) % tenants}", requests_per_flow)
                for n in range(flows)
            ),
        )
    )


def run_round(gateways: int, servers: int, tenants: int) -> tuple[float, float, float, float]:
    """Run one round.

    Returns:
        Reports per second, processor seconds per report, and mean bytes of a report and a summary.
    """
    leader = create_leader(gateways, servers)
    span = max(0.05, gateways / 1000)
    reports = [encode_report(n, gateways, servers, tenants, span) for n in range(gateways)]
    rounds = int(OVERLOAD_SECONDS / span)
    summaries = []
    began = time.process_time()
    for report_round in range(rounds):
        for n, data in enumerate(reports):
            now = (report_round + n / gateways) * span
            answer = leader.handle_report(NodeId(f"10.1.0.{n}"), True, data, now)
            if answer.data is not None:
                summaries.append(answer.data)
    spent = time.process_time() - began
    if not decode_summary(summaries[-1]).services:
        raise SystemExit("the last summary lists no busy service")
    report_bytes = sum(map(len, reports)) / gateways
    summary_bytes = sum(map(len, summaries)) / len(summaries)
    return gateways / span, spent / (rounds * gateways), report_bytes, summary_bytes


def main() -> None:
    """Run all rounds and print the cost of the fastest."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("gateways", type=int)
    parser.add_argument("servers", type=int)
    parser.add_argument("tenants", type=int)
    parser.add_argument("--rounds", type=int, default=5)
    arguments = parser.parse_args()
    results = [
        run_round(arguments.gateways, arguments.servers, arguments.tenants)
        for _ in range(arguments.rounds)
    ]
    per_second, seconds, report_bytes, summary_bytes = min(results, key=lambda result: result[1])
    print(
        f"{per_second:.0f} reports/s, {seconds * 1e6:.0f} us each, {per_second * seconds:.1%} of a"
        f" core, {report_bytes:.0f} bytes up, {summary_bytes:.0f} down"
    )


if __name__ == "__main__":
    main()
