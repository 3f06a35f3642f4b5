"""Paths that a gateway answers itself, once a configuration has given them to a route."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from small_fleet import (  # noqa: E402
    HOST,
    ZONES,
    Connection,
    Fleet,
    Record,
    Server,
    call,
    call_control,
)

FIRST_PREFIX = "/pufi791/"
NEW_PREFIX = "/"
NAMES = ("stock", "metrics", "livez", "readyz")
ROUNDS = 5
APPLY_SECONDS = 2.0
"""ConfigApplyMs."""

record = Record(HERE / "record.txt")
bodies: dict[str, bytes] = {}
"""The server's body, by request."""


def make_config(version: int, prefix: str) -> dict[str, object]:
    """Return a configuration with one route."""
    route = {
        "Name": "r-hh2b9wu",
        "Host": HOST,
        "PathPrefix": prefix,
        "Type": "idempotent",
        "TimeoutMs": 1500,
        "TargetLatencyMs": 192,
        "Priority": 2,
        "Service": "wuno96b",
        "MaxAttempts": 4,
    }
    service = {
        "Name": "wuno96b",
        "HealthPath": "/healthz",
        "MaxConns": 110,
        "Protocol": "h1",
        "Tls": False,
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 33554432,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {"Version": version, "Routes": [route], "Services": [service], "Limits": limits}


async def handle(server: Server, request: Connection) -> bool:
    """Answer with the path."""
    name = request.headers["x-request-id"]
    bodies[name] = f"{request.path} at {server.instance}".encode()
    record.write("runs", request=name, path=request.path)
    head = {"X-Request-Id": name, "X-Server-Stamp": f"stamp.{name}"}
    await request.answer(200, head, bodies[name])
    return True


async def ask(fleet: Fleet, prefix: str) -> list[str]:
    """Ask each gateway for each path; return the successes that aren't the server's."""
    mixed = []
    for number in range(ROUNDS * len(fleet.gateways)):
        for name in NAMES:
            request = f"{len(bodies) + len(mixed):04x}{number:04x}{name}"
            headers = {"X-Request-Id": request, "X-Deadline-Ms": "1500"}
            response = await call(fleet.front(number), "GET", prefix + name, headers, b"", 3.0)
            if response is None:
                record.write("answered", request=request, status=0)
                continue
            stamp = response.headers.get("x-server-stamp")
            is_own = stamp == f"stamp.{request}" and response.body == bodies.get(request)
            record.write(
                "answered",
                request=request,
                path=prefix + name,
                status=response.status,
                stamp=stamp,
                body=response.body[:30],
            )
            if 200 <= response.status < 300 and not is_own:
                mixed.append(request)
    return mixed


async def run(fleet: Fleet, has_trouble: bool) -> int:
    """Run the case; return the exit code."""
    fleet.start()
    for zone, name in enumerate(ZONES, 1):
        await Server(fleet, "wuno96b", f"{fleet.base}.{zone}.64", name, 6, handle).start()
    response = await call_control(fleet, "PUT", "/config", make_config(1, FIRST_PREFIX))
    if response is None or response.status != 200:
        return 2
    await asyncio.sleep(4.0)
    mixed = await ask(fleet, FIRST_PREFIX)
    prefix = FIRST_PREFIX
    if has_trouble:
        prefix = NEW_PREFIX
        response = await call_control(fleet, "PUT", "/config", make_config(2, prefix))
        record.write("config", version=2, status=response.status if response else 0)
    await asyncio.sleep(APPLY_SECONDS + 1.0)
    mixed += await ask(fleet, prefix)
    count = 2 * ROUNDS * len(fleet.gateways) * len(NAMES)
    record.write("result", requests=count, mixed=len(mixed))
    print(f"{count} requests, {len(mixed)} successes that aren't the server's answer")
    return 1 if mixed else 0


async def main() -> int:
    """Run the case on a fleet of its own."""
    fleet = Fleet()
    try:
        async with asyncio.timeout(60.0):
            return await run(fleet, os.environ.get("TROUBLE", "1") != "0")
    except (TimeoutError, OSError) as error:
        record.write("failed", error=repr(error))
        return 2
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
