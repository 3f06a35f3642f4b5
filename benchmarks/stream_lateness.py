"""How late the pieces of a streamed response reach a client on a kept connection.

A host sends a piece with the time in it every 20 ms; a client process reads them.
Prints one JSON line.

Usage: python benchmarks/stream_lateness.py
"""

import sys
import time
from collections.abc import Sequence

from gevent import subprocess

from merlinstand.kernel.effects import Effect, RespondChunk, RespondEnd, RespondStart, SetTimer
from merlinstand.kernel.events import Event, RequestReceived, Started, TimerFired
from merlinstand.runtime.host import Host
from merlinstand.runtime.host_settings import HostSettings

INTERVAL_SECONDS = 0.02
PIECES = 60
CLIENT = r"""
import json, re, socket, sys, time
connection = socket.create_connection((sys.argv[1], int(sys.argv[2])))
late = []
for _ in range(4):
    connection.sendall(b"GET / HTTP/1.1\r\n\r\n")
    data = b""
    while not data.endswith(b"0\r\n\r\n"):
        data = connection.recv(65536)
        now = time.monotonic()
        late += [now - float(sent) for sent in re.findall(rb"(\d+\.\d{6});", data)]
late.sort()
ranks = {"p50": 50, "p90": 90, "p99": 99}
figures = {name: round(late[len(late) * rank // 100] * 1000, 2) for name, rank in ranks.items()}
print(json.dumps({"pieces": len(late), "late_ms": figures}))
"""


class Clock:
    """Streams the time."""

    def start(self, _event: Started, _now: float) -> Sequence[Effect]:
        """Begin with nothing to do."""
        return ()

    def reduce(self, event: Event, _now: float) -> Sequence[Effect]:
        """Send a piece at each firing of the timer."""
        if isinstance(event, RequestReceived):
            self._request_id, self._sent = event.request_id, 0
            return (RespondStart(event.request_id, 200, {}), SetTimer("piece", INTERVAL_SECONDS))
        if not isinstance(event, TimerFired):
            return ()
        self._sent += 1
        piece = RespondChunk(self._request_id, b"%.6f;" % time.monotonic())
        if self._sent == PIECES:
            return (piece, RespondEnd(self._request_id))
        return (piece, SetTimer("piece", INTERVAL_SECONDS))


def main() -> None:
    """Run host and client."""
    host = Host(Clock(), HostSettings(node_id="clock", log_level="error"))
    host.start()
    ip, port = host.http_address.split(":")
    subprocess.run([sys.executable, "-c", CLIENT, ip, port], check=True)
    host.abort()


if __name__ == "__main__":
    main()
