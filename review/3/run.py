"""Case 3: a planned stop cuts off requests that the gateway took while it was stopping.

One gateway gets SIGTERM, as the platform stops a process. Clients hold kept connections to it and
go on: a lookup each 60 ms, each on a connection that has rested for less than four fifths of the
idle time-out, each answered by its server in 0.19 s, each with 1.5 s to live. Nothing else happens.
"""

import asyncio
import contextlib
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from fleet import GRACE_SECONDS, LEAD_SECONDS, CannotRunError, Fleet, run_case

HERE = Path(__file__).resolve().parent
HOST = "ficu95.example"
SENT_EACH_SECONDS = 0.06
WORK_MS = 190
"""The longest work of the site's `stock-lookup`."""
BODY = b"x" * 600
DEADLINE_MS = 1500
TIMEOUT_MS = 1500
FIRST_SEND_SECONDS = -1.0
"""Relative to SIGTERM."""
LAST_SEND_SECONDS = 7.5
RESTART_SECONDS = 0.5
EXCUSED_SENT_SECONDS = 3.0
CONFIG = {
    "Version": 3,
    "Routes": [
        {
            "Name": "r-stock",
            "Host": HOST,
            "PathPrefix": "/lohu930/",
            "Type": "idempotent",
            "TimeoutMs": TIMEOUT_MS,
            "TargetLatencyMs": 192,
            "Priority": 2,
            "Service": "shop-api",
            "MaxAttempts": 2,
        }
    ],
    "Services": [
        {
            "Name": "shop-api",
            "HealthPath": "/healthz",
            "MaxConns": 110,
            "Protocol": "h1",
            "Tls": False,
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 33554432,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
}


class Client:
    """A client with one kept connection; it sends one request early and one later."""

    def __init__(self, fleet: Fleet, number: int, front: str, send_at: float) -> None:
        self._fleet = fleet
        self._number = number
        self._front = front
        self.send_at = send_at
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.outcome = "not sent"
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def request_id(self) -> str:
        """Id of the later request."""
        return f"9c41d07be2a3{self._number:04x}"

    async def open(self) -> None:
        """Open the connection and make the first request."""
        host, _colon, port = self._front.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        status = await self._exchange(f"9c41d07be200{self._number:04x}")
        if status != "200":
            raise CannotRunError(f"the first request ended with {status}")

    async def run(self) -> None:
        """Send the later request on the same connection at its time."""
        await asyncio.sleep(max(0.0, self.send_at - time.monotonic()))
        self.sent_at = time.monotonic()
        self.outcome = await self._exchange(self.request_id)
        self.ended_at = time.monotonic()
        self._fleet.write(f"client {self.request_id} sent", at=self.sent_at)
        self._fleet.write(f"client {self.request_id} gets {self.outcome}", at=self.ended_at)
        if self._writer is not None:
            self._writer.close()

    async def _exchange(self, request_id: str) -> str:
        assert self._reader is not None and self._writer is not None
        head = (
            f"POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {len(BODY)}\r\n\r\n"
        )
        try:
            self._writer.write(head.encode() + BODY)
            await self._writer.drain()
            async with asyncio.timeout(DEADLINE_MS / 1000):
                return await self._read_answer(request_id)
        except TimeoutError:
            return "deadline"
        except (OSError, asyncio.IncompleteReadError):
            return "closed"

    async def _read_answer(self, request_id: str) -> str:
        assert self._reader is not None
        lines = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:-2]:
            name, _colon, value = line.partition(":")
            headers[name.lower()] = value.strip()
        await self._reader.readexactly(int(headers.get("content-length", "0")))
        status = lines[0].split(" ")[1]
        if status == "200" and headers.get("x-server-stamp") != f"stamp.{request_id}":
            return "200 without the server's signature"
        return status


class Stop(threading.Thread):
    """Stops a gateway as the platform does: SIGTERM, SIGKILL after `GraceS`, then a new start."""

    def __init__(self, fleet: Fleet, machine, at: float) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._machine = machine
        self._at = at

    def run(self) -> None:
        """Stop the process and start it again."""
        time.sleep(max(0.0, self._at - time.monotonic()))
        process = self._machine.process
        self._machine.signal(signal.SIGTERM)
        self._fleet.write(f"SIGTERM to {self._machine.name}")
        with contextlib.suppress(Exception):
            process.wait(max(0.0, self._at + GRACE_SECONDS - time.monotonic()))
        if process.poll() is None:
            self._machine.kill()
            self._fleet.write(f"SIGKILL to {self._machine.name}, {GRACE_SECONDS:.0f} s later")
        else:
            self._fleet.write(f"{self._machine.name} has ended with {process.returncode}")
        time.sleep(RESTART_SECONDS)
        self._machine.start()


def check(fleet: Fleet, clients: list[Client], stopped_at: float) -> bool:
    """Return whether requests were lost that the rule doesn't excuse."""
    ran = {r["id"] for r in fleet.server_records() if r["event"] == "run"}
    outcomes: dict[str, int] = {}
    lost = []
    for client in clients:
        outcomes[client.outcome] = outcomes.get(client.outcome, 0) + 1
        if client.outcome != "closed" or client.request_id not in ran:
            continue
        is_around = stopped_at <= client.ended_at <= stopped_at + GRACE_SECONDS + 1.0
        is_late = client.ended_at - client.sent_at >= min(DEADLINE_MS, TIMEOUT_MS) / 1000
        is_excused = (
            client.sent_at - stopped_at <= EXCUSED_SENT_SECONDS
            and client.ended_at - stopped_at >= GRACE_SECONDS * 5 / 6
        )
        if is_around and not is_late and not is_excused:
            lost.append(client)
    fleet.write(f"outcomes: {outcomes}")
    for client in lost:
        sent, ended = client.sent_at - stopped_at, client.ended_at - stopped_at
        fleet.write(
            f"lost: {client.request_id}, sent {sent:.2f} s after SIGTERM, passed on to a server, "
            f"connection closed without an answer {ended:.2f} s after SIGTERM"
        )
    return bool(lost)


async def play(fleet: Fleet, is_troubled: bool) -> bool:
    """Send the requests around the stop."""
    machine = fleet.gateways[0]
    stopped_at = time.monotonic() + 5.0
    count = int((LAST_SEND_SECONDS - FIRST_SEND_SECONDS) / SENT_EACH_SECONDS)
    clients = [
        Client(fleet, n, machine.front, stopped_at + FIRST_SEND_SECONDS + n * SENT_EACH_SECONDS)
        for n in range(count)
    ]
    for client in clients:
        opening = asyncio.create_task(client.open())
        await asyncio.sleep(0.02)
        client.opening = opening
    for client in clients:
        await client.opening
    if time.monotonic() > stopped_at + FIRST_SEND_SECONDS:
        raise CannotRunError("the connections were not open in time")
    stop = Stop(fleet, machine, stopped_at)
    if is_troubled:
        stop.start()
    await asyncio.gather(*(client.run() for client in clients))
    if is_troubled:
        await asyncio.to_thread(stop.join)
    return check(fleet, clients, stopped_at)


def main(is_troubled: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    fleet = Fleet(HERE, gateways=3)
    try:
        for number in range(3):
            fleet.add_server("shop-api", number, "--slots", "6", "--work-ms", str(WORK_MS))
        fleet.start()
        fleet.operator_call("PUT", "/config", CONFIG, 30.0)
        fleet.wait_for_gateways()
        fleet.wait_until(LEAD_SECONDS)
        return asyncio.run(play(fleet, is_troubled))
    finally:
        fleet.write_server_records()
        fleet.close()


if __name__ == "__main__":
    run_case(main, HERE)
