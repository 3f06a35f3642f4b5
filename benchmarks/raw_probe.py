"""Sends one request at a time, alternately to a backend directly and through a gateway.

Other load on the machine affects both paths alike, so their ratio varies less than either latency.
Prints one JSON line: for each path the seconds to the first body byte and, for lookups, to the end.
A stream is closed after its first body bytes, and the next one uses a new connection.

Usage: python benchmarks/raw_probe.py GATEWAY_IP:PORT BACKEND_IP:PORT lookup|stream SECONDS
"""

import json
import sys
import time
from typing import Any

from gevent import socket
from raw_load import request_bytes

PROBE_NUMBER = 255
"""Number of the probe's caller; the load uses low numbers, so they do not share a rate limit."""


class ProbePath:
    """One request path: its connection and the latencies measured on it, in seconds."""

    def __init__(self, address: str) -> None:
        ip, port = address.split(":")
        self._address = (ip, int(port))
        self._connection: Any = self._connect()
        self.first_seconds: list[float] = []
        self.whole_seconds: list[float] = []

    def probe(self, kind: str, count: int) -> None:
        """Send one request, read its response (of a stream only the start) and record the latency.

        Raises:
            OSError: The connection was closed, or the status is not 200.
        """
        request = request_bytes(kind, PROBE_NUMBER, count)
        began = time.monotonic()
        self._connection.sendall(request)
        data = b""
        while not data.partition(b"\r\n\r\n")[2]:
            data += self._receive()
        self.first_seconds.append(time.monotonic() - began)
        if not data.startswith(b"HTTP/1.1 200"):
            raise OSError(data.partition(b"\r\n")[0])
        if kind == "stream":
            self._connection.close()
            self._connection = self._connect()
            return
        head, _separator, body = data.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n", 1)[0])
        while len(body) < length:
            body += self._receive()
        self.whole_seconds.append(time.monotonic() - began)

    def _connect(self) -> Any:
        connection: Any = socket.create_connection(self._address)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _receive(self) -> bytes:
        data: bytes = self._connection.recv(65536)
        if not data:
            raise OSError("connection closed before the end of the response")
        return data

    def figures(self) -> dict[str, list[float]]:
        """Return the latencies in seconds by the names of the JSON output."""
        return {"first": self.first_seconds, "whole": self.whole_seconds}


def main() -> None:
    """Probe both paths until the time is over and print the latencies as JSON."""
    gateway_address, backend_address, kind, seconds = sys.argv[1:5]
    gateway, direct = ProbePath(gateway_address), ProbePath(backend_address)
    end = time.monotonic() + float(seconds)
    count = 0
    while time.monotonic() < end:
        count += 1
        direct.probe(kind, count)
        gateway.probe(kind, count)
    print(json.dumps({"direct": direct.figures(), "gateway": gateway.figures()}))


if __name__ == "__main__":
    main()
