"""A stand-in server: a plain service or an engine, as PROTOCOL.md describes them.

It registers with `control`, runs requests, streams the events of items, loads weights when ordered
and writes what it did to a file of its own, one JSON object a line.
"""

import argparse
import asyncio
import contextlib
import json
import os
import random
import time
import urllib.parse
from pathlib import Path

HEARTBEAT_SECONDS = 1.2
LOAD_SECONDS = 0.9
QUEUE_PLACES = 24


class Request:
    """One request, read whole."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def request_id(self) -> str:
        """The caller's id."""
        return self.headers.get("x-request-id", "")


class StandIn:
    """One incarnation of a server."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.instance = f"i-{random.SystemRandom().getrandbits(40):010x}"
        self.address = f"{options.ip}:{options.port}"
        self.models = {name: 1 for name in options.models.split(",") if name}
        self.loading: tuple[str, int] | None = None
        self.orders = 0
        self.active = 0
        self.slots = asyncio.Semaphore(options.slots)
        self.waiting = 0
        path = Path(options.record) / f"{options.service}-{self.instance}.jsonl"
        self._file = path.open("a", buffering=1)
        self._controls = options.controls.split(",")
        self._next_address = ""
        self._sequence = 0

    def record(self, event: str, **fields: object) -> None:
        """Write one line of the record."""
        line = {"at": time.monotonic(), "event": event, "server": self.instance, **fields}
        self._file.write(json.dumps(line) + "\n")

    # Registration

    async def beat_forever(self) -> None:
        """Send heartbeats."""
        while True:
            await self._beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _beat(self) -> None:
        self._sequence += 1
        body = json.dumps(
            {
                "Service": self.options.service,
                "Address": self.address,
                "Zone": self.options.zone,
                "Version": "v1",
                "Slots": self.options.slots,
                "State": "ready",
                "ColdLeftMs": 0,
                "Seq": self._sequence,
                **({"Stage": "both", "Models": self._models()} if self.models else {}),
            }
        ).encode()
        path = f"/instances/{self.instance}"
        targets = [self._next_address] if self._next_address else []
        targets += random.sample(self._controls, len(self._controls))
        for address in targets:
            answer = await call_control(address, "PUT", path, body)
            if answer is not None and 200 <= answer[0] < 300:
                with contextlib.suppress(ValueError):
                    self._next_address = json.loads(answer[1]).get("HeartbeatAddr") or ""
                return
            self._next_address = ""

    def _models(self) -> list[dict]:
        return [{"Name": n, "Version": v, "Adapters": []} for n, v in self.models.items()]

    # Connections

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one request at a time."""
        pending: bytes | None = b""
        try:
            while pending is not None:
                request = await read_request(reader, pending)
                if request is None:
                    return
                pending = await self._serve_request(request, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _serve_request(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Serve one request; returns the first byte of the next one, None if there is none."""
        # Reads the first byte of the next request, or learns that the caller is gone.
        watch = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self._answer(request, writer))
        await asyncio.wait((watch, work), return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            is_gone = watch.exception() is not None or watch.result() == b""
            if is_gone:
                work.cancel()
                self.record("dropped", id=request.request_id)
        failed, next_byte = await asyncio.gather(work, watch, return_exceptions=True)
        if failed is not None or isinstance(next_byte, BaseException):
            return None
        return next_byte or None

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        expected = request.headers.get("x-expect-instance", self.instance)
        path = request.target.partition("?")[0]
        if expected != self.instance:
            self.record("not_run", id=request.request_id, status=421)
            await respond(writer, request, 421, {"X-Not-Executed": "1"}, b"")
        elif path == "/healthz" and request.method == "GET" and "x-model" not in request.headers:
            await respond(writer, request, 200, {"X-Instance-Id": self.instance}, b"")
        elif path == "/report" and self.models:
            await respond(writer, request, 200, {}, self._report())
        elif path == "/order" and self.models:
            await self._order(request, writer)
        else:
            await self._run(request, writer)

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if self.waiting >= QUEUE_PLACES:
            self.record("not_run", id=request.request_id, status=503)
            await respond(writer, request, 503, {"X-Not-Executed": "1"}, b"")
            return
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.active += 1
        try:
            if self.models:
                await self._stream(request, writer)
            else:
                await self._work(request, writer)
        finally:
            self.active -= 1
            self.slots.release()

    async def _work(self, request: Request, writer: asyncio.StreamWriter) -> None:
        self.record("run", id=request.request_id, path=request.target)
        await asyncio.sleep(self.options.work_ms / 1000)
        body = f"answer to {request.request_id} {request.target}".encode()
        self.record("ran", id=request.request_id, status=200)
        await respond(writer, request, 200, {"X-Server-Stamp": stamp(request.request_id)}, body)

    # Engines

    async def _stream(self, request: Request, writer: asyncio.StreamWriter) -> None:
        model = request.headers.get("x-model", "")
        if self.loading is not None and self.loading[0] == model:
            self.record("not_run", id=request.request_id, status=503)
            await respond(writer, request, 503, {"X-Not-Executed": "1"}, b"")
            return
        count = max(1, int(request.headers["x-token-count"].partition(",")[2]) // 10)
        first = int(request.headers.get("last-event-id", "0")) + 1
        version = self.models.get(model, 1)
        self.record("run", id=request.request_id, first=first, version=version)
        head = {
            "X-Request-Id": request.request_id,
            "X-Server-Stamp": stamp(request.request_id),
            "X-Weight-Versions": str(version),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode_head(200, head))
        for number in range(first, count + 1):
            await asyncio.sleep(self.options.event_ms / 1000)
            lines = f"id: {number}\ndata: {request.request_id}-{number}\n\n"
            current = self.models.get(model, 1)
            if current != version:
                version = current
                lines = f"x-weight-versions: {version}\n{lines}"
            data = lines.encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record("ran", id=request.request_id, events=count)

    def _report(self) -> bytes:
        return json.dumps(
            {
                "Stage": "both",
                "Models": self._models(),
                "InFlight": self.loading is not None,
                "Seq": self.orders,
                "Queued": self.waiting,
                "Active": self.active,
                "KvUsed": 0,
                "KvTotal": 100000,
                "Handles": 0,
            }
        ).encode()

    async def _order(self, request: Request, writer: asyncio.StreamWriter) -> None:
        order = json.loads(request.body)
        fields = {name.lower(): order.get(name) for name in ("Holder", "Fence", "Version")}
        is_stale = order.get("ExpectedRev", self.orders) != self.orders
        if self.loading is not None or is_stale:
            self.record("order", status=409, **fields)
            await respond(writer, request, 409, {}, b"")
            return
        if self.models.get(order["Model"], 0) >= order["Version"]:
            self.record("order", status=200, **fields)
            await respond(writer, request, 200, {}, b"")
            return
        self.orders += 1
        self.loading = (order["Model"], order["Version"])
        self.record("order", status=202, **fields)
        asyncio.get_running_loop().call_later(LOAD_SECONDS, self._end_load)
        await respond(writer, request, 202, {}, b"")

    def _end_load(self) -> None:
        if self.loading is not None:
            model, version = self.loading
            self.models[model] = version
            self.loading = None


def stamp(request_id: str) -> str:
    """Return the signature of an answer."""
    return f"stamp.{request_id}"


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def respond(
    writer: asyncio.StreamWriter,
    request: Request,
    status: int,
    headers: dict[str, str],
    body: bytes,
) -> None:
    """Send a whole answer that carries back the request's id."""
    head = {"Content-Length": str(len(body)), **headers}
    if request.request_id:
        head["X-Request-Id"] = request.request_id
    writer.write(encode_head(status, head) + body)
    await writer.drain()


async def read_request(reader: asyncio.StreamReader, pending: bytes) -> Request | None:
    """Read one request; None at the end of the connection."""
    try:
        data = pending + await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = data.decode("latin-1").split("\r\n")
    method, target, _version = lines[0].split(" ", 2)
    headers: dict[str, str] = {}
    for line in lines[1:-2]:
        name, _colon, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def call_control(
    address: str, method: str, path: str, body: bytes
) -> tuple[int, bytes] | None:
    """Make a call to `control`, following two redirects; None without an answer within a second."""
    for _ in range(3):
        try:
            async with asyncio.timeout(1.0):
                status, headers, data = await _exchange(address, method, path, body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return None
        if status != 307:
            return status, data
        parts = urllib.parse.urlsplit(headers.get("location", ""))
        address, path = parts.netloc, parts.path
    return None


async def _exchange(
    address: str, method: str, path: str, body: bytes
) -> tuple[int, dict[str, str], bytes]:
    host, _colon, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode() + body)
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:-2]:
            name, _sep, value = line.partition(":")
            headers[name.lower()] = value.strip()
        data = await reader.readexactly(int(headers.get("content-length", "0")))
        return int(lines[0].split(" ")[1]), headers, data
    finally:
        writer.close()


async def main() -> None:
    """Run one incarnation until the process is ended."""
    parser = argparse.ArgumentParser()
    for name in ("service", "ip"):
        parser.add_argument(name)
    parser.add_argument("port", type=int)
    for name in ("zone", "controls", "record"):
        parser.add_argument(name)
    parser.add_argument("--models", default="")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--work-ms", type=float, default=40.0)
    parser.add_argument("--event-ms", type=float, default=30.0)
    stand_in = StandIn(parser.parse_args())
    options = stand_in.options
    server = await asyncio.start_server(
        stand_in.serve, options.ip, options.port, reuse_address=True, backlog=512
    )
    stand_in.record("start", service=options.service, address=stand_in.address, pid=os.getpid())
    beats = asyncio.create_task(stand_in.beat_forever())
    async with server:
        await asyncio.gather(server.serve_forever(), beats)


if __name__ == "__main__":
    asyncio.run(main())
