"""Sends requests back to back on several connections, and prints one JSON line.

Usage: python benchmarks/raw_load.py IP:PORT lookup|stream CONNECTIONS SECONDS PAUSE_SECONDS
"""

import json
import sys
import time
from typing import Any

import gevent
from gevent import socket

LOOKUP = b"GET /raw-api/stock?item=%d HTTP/1.1\r\nHost: x\r\nX-Caller: c%d\r\n\r\n"
COMPLETION = b'{"model":"m","prompt":"Write a blurb for item %d.","max_tokens":1000,"stream":true}'
STREAM = (
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Caller: c%d\r\n"
    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
)


def request_bytes(kind: str, number: int, count: int) -> bytes:
    """Return the `count`-th request of caller `number`; `kind` is `lookup` or `stream`."""
    if kind != "stream":
        return LOOKUP % (count, number)
    body = COMPLETION % count
    return STREAM % (number, len(body), body)


class Load:
    """The connections of one load process and the figures measured on them.

    Latencies are in seconds, from sending a request to the end of its response.
    """

    def __init__(self, address: str, kind: str, seconds: float, pause_seconds: float) -> None:
        ip, port = address.split(":")
        self._address = (ip, int(port))
        self._kind = kind
        self._pause_seconds = pause_seconds
        self._end = time.monotonic() + seconds
        self.latencies: list[float] = []
        self.chunks = 0
        self.failures = 0

    def run(self, number: int) -> None:
        """Send requests sequentially until the end of the run; reconnect after an `OSError`."""
        count = 0
        while time.monotonic() < self._end:
            connection = socket.create_connection(self._address)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                while time.monotonic() < self._end:
                    count += 1
                    began = time.monotonic()
                    connection.sendall(request_bytes(self._kind, number, count))
                    is_stream = self._kind == "stream"
                    is_success = (
                        self._read_stream(connection)
                        if is_stream
                        else self._read_response(connection)
                    )
                    if is_success:
                        self.latencies.append(time.monotonic() - began)
                    else:
                        self.failures += 1
                        gevent.sleep(0.01)
                    if self._pause_seconds:
                        gevent.sleep(self._pause_seconds)
            except OSError:
                self.failures += 1
            finally:
                connection.close()

    def _read_response(self, connection: Any) -> bool:
        data = self._read_head(connection)
        head, _separator, body = data.partition(b"\r\n\r\n")
        start = head.lower().index(b"content-length: ") + len(b"content-length: ")
        length = int(head[start:].split(b"\r\n", 1)[0])
        while len(body) < length:
            body += connection.recv(65536)
        return head.startswith(b"HTTP/1.1 200")

    def _read_stream(self, connection: Any) -> bool:
        data = self._read_head(connection)
        if not data.startswith(b"HTTP/1.1 200"):
            return False
        self.chunks += data.count(b"data: ")
        while not data.endswith(b"0\r\n\r\n"):
            data = connection.recv(65536)
            if not data:
                raise OSError("connection closed before the end of the stream")
            self.chunks += data.count(b"data: ")
        return True

    def _read_head(self, connection: Any) -> bytes:
        data = b""
        while b"\r\n\r\n" not in data:
            more = connection.recv(65536)
            if not more:
                raise OSError(f"connection closed after {len(data)} bytes of the response head")
            data += more
        return data


def main() -> None:
    """Run the load and print the latencies, chunks and failures as JSON."""
    address, kind, connections, seconds, pause_seconds = sys.argv[1:6]
    load = Load(address, kind, float(seconds), float(pause_seconds))
    gevent.joinall([gevent.spawn(load.run, number) for number in range(int(connections))])
    figures = {"latencies": load.latencies, "chunks": load.chunks, "failures": load.failures}
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
