"""A minimal HTTP backend for benchmarks: answers lookups and streams completions.

Usage: python benchmarks/raw_backend.py PORT CHUNKS CHUNK_INTERVAL_SECONDS
"""

import contextlib
import json
import socket
import sys
from typing import Any

import gevent
from gevent.server import StreamServer

CHUNKS = int(sys.argv[2])
CHUNK_INTERVAL_SECONDS = float(sys.argv[3])
STATUS = json.dumps(
    {
        "backend_id": "raw",
        "state": "ready",
        "model": "m",
        "active_version": 1,
        "active_digest": "d",
        "loaded": [],
        "loading": [],
        "order": None,
        "in_flight": 0,
        "running": 0,
        "queued": 0,
        "queued_tokens": 0,
        "free_blocks": 1000,
        "total_blocks": 1000,
        "tokens_per_second": 1000.0,
        "incarnation": 1,
        "reported_at": 0.0,
    }
).encode()
BODY = b'{"request_id":"x","path":"/x","digest":"0123456789abcdef"}' + b" " * 200


def serve(connection: Any, _address: Any) -> None:
    """Serve one connection until its client disconnects."""
    with contextlib.suppress(OSError):
        serve_requests(connection)


def serve_requests(connection: Any) -> None:
    """Serve the requests of one connection sequentially."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    data = b""
    while True:
        while b"\r\n\r\n" not in data:
            more = connection.recv(65536)
            if not more:
                return
            data += more
        head, _separator, data = data.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        headers = dict(line.lower().split(b": ", 1) for line in lines[1:])
        length = int(headers.get(b"content-length", b"0"))
        while len(data) < length:
            data += connection.recv(65536)
        body, data = data[:length], data[length:]
        target = lines[0].split(b" ")[1]
        request_id = headers.get(b"x-request-id", b"")
        if target.startswith(b"/v1/status"):
            answer(connection, request_id, STATUS)
        elif target.startswith(b"/v1/cache_events"):
            answer(connection, request_id, b'{"events":[],"next":0}')
        elif target == b"/v1/completions":
            stream(connection, request_id, json.loads(body))
        else:
            answer(connection, request_id, BODY)


def answer(connection: Any, request_id: bytes, body: bytes) -> None:
    """Send a complete JSON response."""
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: %s\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (request_id, len(body), body)
    )


def stream(connection: Any, request_id: bytes, request: dict[str, Any]) -> None:
    """Stream a completion as server-sent events with one token per chunk."""
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n" % request_id
    )
    for index in range(CHUNKS):
        gevent.sleep(CHUNK_INTERVAL_SECONDS)
        last = index == CHUNKS - 1
        event = {
            "request_id": request.get("request_id", ""),
            "index": index,
            "token_count": 1,
            "weight_version": 1,
            "text": "word ",
            "finish_reason": "stop" if last else None,
        }
        if last:
            event["spans"] = [[1, 0, CHUNKS]]
        data = b"data: " + json.dumps(event).encode() + b"\n\n"
        if last:
            data += b"data: [DONE]\n\n"
        connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))
    connection.sendall(b"0\r\n\r\n")


if __name__ == "__main__":
    StreamServer(("127.0.0.1", int(sys.argv[1])), serve, backlog=1024).serve_forever()
