"""What it costs a lookup that others know of it before its server can crash.

Three ways, by the reducers alone and without a network: nothing is announced (the usual case), each
try is announced and goes on at once, each try waits for the control leader's answer. Times are
processor time by the fastest of some rounds; the wait itself is a round trip to the leader besides.

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
"""Of a gateway's account of itself, which each pull holds."""


def announcing() -> SuspectTable:
    """Give a daemon's table while tries are announced."""
    suspects = SuspectTable()
    suspects.begin("10.1.0.10/123456789")
    suspects.apply_view(SuspectsView(announced_services={"shop": 1}), 1, 0.0)
    return suspects


def pull_of(report: bytes | None) -> bytes:
    """Give the message in which a report leaves."""
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


def send_all(suspects: SuspectTable, lookups: int) -> list[bytes]:
    """Send lookups one after the other, each answered at once; gives the messages that left."""
    messages = []
    for number in range(lookups):
        content = ContentDigest(f"{number:032x}")
        call_id = CallId(f"forward:{number}")
        suspects.record_send(call_id, SERVER, lambda content=content: content, 1.0)
        if suspects.is_report_due(1.0):
            messages.append(pull_of(suspects.next_report(1.0)))
        suspects.record_end(call_id)
    return messages


def microseconds(seconds: float, lookups: int) -> float:
    """Per lookup."""
    return seconds / lookups * 1e6


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--lookups", type=int, default=2_000)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    calm, announced, taken = [], [], []
    messages: list[bytes] = []
    for _ in range(options.rounds):
        began = time.process_time()
        send_all(SuspectTable(), options.lookups)
        calm.append(time.process_time() - began)
        began = time.process_time()
        messages = send_all(announcing(), options.lookups)
        announced.append(time.process_time() - began)
        taken.append(leader_seconds(options.lookups))
    size = sum(map(len, messages)) / options.lookups
    for name, seconds in (("calm", calm), ("announced", announced), ("at the leader", taken)):
        print(f"{name}: {microseconds(min(seconds), options.lookups):.1f} us a lookup")
    print(f"announced: {size:.0f} bytes a lookup to the leader, {len(messages)} messages")


def leader_seconds(lookups: int) -> float:
    """Processor time in which a leader takes in so many announcements, without their transport."""
    leader = QuarantineLeader(ReplicatedSuspects(), lambda _command, _now: [])
    suspects = announcing()
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
