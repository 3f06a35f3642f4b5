"""Measures the processor time that the HTTP client takes for a response and for a streamed event.

The server runs in a process of its own on loopback, so only the client's work counts. Prints
microseconds per response and per event of the fastest round. Uses only interfaces that older builds
have: to compare two builds, alternate runs with different PYTHONPATHs.

Usage: python benchmarks/response_cost.py [--calls 300] [--events 300] [--rounds 30]
"""

import argparse
import multiprocessing
import socket
import time
from typing import Any

import gevent
from gevent.event import Event as LoopEvent

from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import StartCall
from merlinstand.runtime.http_client import HttpClient
from merlinstand.runtime.http_connection import ConnectionPool

BODY = b"x" * 600
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Answer-Stamp: 0123456789abcdef\r\n"
    b"X-Request-Id: r1\r\nX-Instance-Id: i-1\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
)
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: r1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
EVENT_PAUSE_SECONDS = 0.0005
TIMEOUT_SECONDS = 30.0


def serve(listener: socket.socket, events: int) -> None:
    """Answer requests of `/whole` with a response and of `/stream` with events, one at a time."""
    while True:
        connection, _address = listener.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while request := connection.recv(65536):
            if b"/whole" in request:
                connection.sendall(RESPONSE)
                continue
            connection.sendall(STREAM_HEAD)
            for number in range(1, events + 1):
                event = b"id: %d\ndata: token-%d\n\n" % (number, number)
                connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
                time.sleep(EVENT_PAUSE_SECONDS)
            connection.sendall(b"0\r\n\r\n")
        connection.close()


class Caller:
    """Runs calls one after the other."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._ended = LoopEvent()
        self._client = HttpClient(self._on_event, ConnectionPool())

    def _on_event(self, event: Any) -> None:
        if type(event).__name__ in ("CallResponded", "CallEnded", "CallFailed"):
            assert type(event).__name__ != "CallFailed", event
            self._ended.set()

    def run(self, path: str, stream: bool) -> None:
        """Run one call to its end."""
        self._ended.clear()
        fields: dict[str, Any] = {"is_event_stream": True} if stream else {}
        if "is_event_stream" not in StartCall.__struct_fields__:
            fields = {}
        self._client.start(
            StartCall(
                call_id=CallId("bench:1"),
                address=self._address,
                method="POST",
                path=path,
                headers={"x-request-id": "r1"},
                body=b"body",
                timeout_seconds=TIMEOUT_SECONDS,
                stream=stream,
                echo_header="x-request-id",
                **fields,
            )
        )
        self._ended.wait()


def main() -> None:
    """Run the rounds and print the costs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=300)
    parser.add_argument("--events", type=int, default=300)
    parser.add_argument("--rounds", type=int, default=30)
    options = parser.parse_args()
    listener = socket.create_server(("127.0.0.1", 0))
    server = multiprocessing.Process(target=serve, args=(listener, options.events), daemon=True)
    server.start()
    caller = Caller(f"127.0.0.1:{listener.getsockname()[1]}")
    response_seconds = []
    event_seconds = []
    for _ in range(options.rounds):
        begun = time.process_time()
        for _ in range(options.calls):
            caller.run("/whole", stream=False)
        response_seconds.append((time.process_time() - begun) / options.calls)
        begun = time.process_time()
        caller.run("/stream", stream=True)
        event_seconds.append((time.process_time() - begun) / options.events)
        gevent.sleep(0)
    server.terminate()
    response_us, event_us = min(response_seconds) * 1e6, min(event_seconds) * 1e6
    print(f"{response_us:.1f} us a response, {event_us:.1f} us an event")


if __name__ == "__main__":
    main()
