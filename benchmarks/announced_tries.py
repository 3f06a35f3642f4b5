"""Measures the cost of announcing each attempt, so that it is known if its server crashes.

Runs the reducers without a network, in three parts: a daemon with announcements off (the usual
case), a daemon that announces each attempt, and the leader that handles the announcements. Prints
the processor time of the fastest round. An attempt that waits for the leader's answer takes a
network round trip more, which is not included.

Usage: python benchmarks/announced_tries.py [--lookups 2000] [--rounds 5]
"""

import argparse
import time

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId, CallId, ContentDigest, NodeId
from merlinstand.protocol.codec import encode_message
from merlinstand.protocol.generated.directory.ttypes import DirectoryPull
from merlinstand.quarantine.follower import SuspectTable
from merlinstand.quarantine.leader import QuarantineLeader
from merlinstand.quarantine.messages import SuspectsView
from merlinstand.quarantine.replica import ReplicatedSuspects

SERVER = Backend(backend_id=BackendId("i-0123456789"), service="shop", address="10.0.0.1:8000")
REPORT_BYTES = 180
"""Size of the gateway's status report, which every pull contains."""


def announcing_table() -> SuspectTable:
    """Return a daemon's table with announcements on for the service."""
    suspects = SuspectTable()
    suspects.begin("10.1.0.10/123456789")
    suspects.apply_view(SuspectsView(announced_services={"shop": 1}), 1, 0.0)
    return suspects


def encode_pull(report: bytes | None) -> bytes:
    """Return the encoded pull that carries the report."""
    return encode_message(
        DirectoryPull(
            report=b"r" * REPORT_BYTES,
            document_revision=100,
            backends_revision=1_000,
            weights_revision=50,
            keepers_mark="mark",
            zones_revision=0,
            suspects_revision=1,
            suspect_news=report,
        )
    )


def send_lookups(suspects: SuspectTable, lookups: int) -> list[bytes]:
    """Send lookups sequentially, each answered at once, and return the pulls with reports."""
    messages = []
    for number in range(lookups):
        content = ContentDigest(f"{number:032x}")
        call_id = CallId(f"forward:{number}")
        suspects.record_send(call_id, SERVER, lambda content=content: content, 1.0)
        if suspects.is_report_due(1.0):
            messages.append(encode_pull(suspects.next_report(1.0)))
        suspects.record_end(call_id)
    return messages


def microseconds_per_lookup(seconds: float, lookups: int) -> float:
    """Convert a total in seconds to microseconds per lookup."""
    return seconds / lookups * 1e6


def main() -> None:
    """Run all rounds and print the cost per lookup."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--lookups", type=int, default=2_000)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    unannounced, announced, at_leader = [], [], []
    messages: list[bytes] = []
    for _ in range(options.rounds):
        began = time.process_time()
        send_lookups(SuspectTable(), options.lookups)
        unannounced.append(time.process_time() - began)
        began = time.process_time()
        messages = send_lookups(announcing_table(), options.lookups)
        announced.append(time.process_time() - began)
        at_leader.append(measure_leader_seconds(options.lookups))
    size = sum(map(len, messages)) / options.lookups
    for name, seconds in (
        ("calm", unannounced),
        ("announced", announced),
        ("at the leader", at_leader),
    ):
        print(f"{name}: {microseconds_per_lookup(min(seconds), options.lookups):.1f} us a lookup")
    print(f"announced: {size:.0f} bytes a lookup to the leader, {len(messages)} messages")


def measure_leader_seconds(lookups: int) -> float:
    """Return the leader's processor time for the reports, without their encoding and transport."""
    leader = QuarantineLeader(ReplicatedSuspects(), lambda _command, _now: [])
    suspects = announcing_table()
    reports = []
    for number in range(lookups):
        content = ContentDigest(f"{number:032x}")
        suspects.record_send(CallId(f"c{number % 4}"), SERVER, lambda content=content: content, 1.0)
        reports.append(suspects.next_report(1.0))
    began = time.process_time()
    for report in reports:
        leader.handle_report(NodeId("10.1.0.10"), report, 1.0, 1.0)
    return time.process_time() - began


if __name__ == "__main__":
    main()
