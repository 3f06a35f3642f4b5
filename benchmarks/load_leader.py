"""What reports of load cost a control leader under a crowd, by `LoadLeader.handle_report` alone.

Every gateway reports each `report_interval_seconds` in virtual time, without a network: decoding,
estimates, shares, limits, encoding. Prints bytes and processor time, the latter by the fastest of
some rounds.

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
"""Of each server."""
ANSWER_SECONDS = 0.03
"""Time that a request takes once it runs."""
CROWD_SECONDS = 2.0
"""Virtual time of one round."""
ASKED_SHARE = 2.0
"""What callers ask for, against what the servers can do."""


def leader_of(gateways: int, servers: int) -> LoadLeader:
    """Give a leader that knows one service."""
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


def report_of(gateway: int, gateways: int, servers: int, tenants: int, span: float) -> bytes:
    """Give the encoded report of one gateway, which names the servers and flows that fall to it.

    Args:
        gateway: Its number.
        gateways: How many there are.
        servers: How many there are.
        tenants: How many there are.
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
    asked = max(1, round(ASKED_SHARE * per_second * span))
    flows = min(tenants, asked)
    asked_each = max(1, round(asked / flows))
    return encode_gateway_load(
        GatewayLoad(
            span,
            tallies,
            tuple(
                FlowTally("shop", 5, f"tenant-{(gateway + n) % tenants}", asked_each)
                for n in range(flows)
            ),
        )
    )


def play(gateways: int, servers: int, tenants: int) -> tuple[float, float, float, float]:
    """Give reports a second, processor time of one (s), bytes of a report and of a summary."""
    leader = leader_of(gateways, servers)
    span = max(0.05, gateways / 1000)
    reports = [report_of(n, gateways, servers, tenants, span) for n in range(gateways)]
    rounds = int(CROWD_SECONDS / span)
    summaries = []
    began = time.process_time()
    for turn in range(rounds):
        for n, data in enumerate(reports):
            now = (turn + n / gateways) * span
            answer = leader.handle_report(NodeId(f"10.1.0.{n}"), True, data, now)
            if answer.data is not None:
                summaries.append(answer.data)
    spent = time.process_time() - began
    if not decode_summary(summaries[-1]).services:
        raise SystemExit("the service is not busy")
    up = sum(map(len, reports)) / gateways
    down = sum(map(len, summaries)) / len(summaries)
    return gateways / span, spent / (rounds * gateways), up, down


def main() -> None:
    """Print the cost."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("gateways", type=int)
    parser.add_argument("servers", type=int)
    parser.add_argument("tenants", type=int)
    parser.add_argument("--rounds", type=int, default=5)
    arguments = parser.parse_args()
    plays = [
        play(arguments.gateways, arguments.servers, arguments.tenants)
        for _ in range(arguments.rounds)
    ]
    per_second, seconds, up, down = min(plays, key=lambda played: played[1])
    print(
        f"{per_second:.0f} reports/s, {seconds * 1e6:.0f} us each, {per_second * seconds:.1%} of a"
        f" core, {up:.0f} bytes up, {down:.0f} down"
    )


if __name__ == "__main__":
    main()
