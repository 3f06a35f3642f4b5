"""Size and processor time of the large messages, by the codecs themselves."""

import time
from collections.abc import Callable

from merlinstand.configuration.objects import (
    Backend,
    Daemon,
    Pool,
    PoolKind,
    decode_object,
    encode_object,
)
from merlinstand.control.commands import decode_command, encode_command
from merlinstand.protocol.codec import decode_message, encode_message
from merlinstand.protocol.generated.control.ttypes import ConfigurationEntry, ConfigurationUpdate
from merlinstand_lab.capacity.command_load import CommandLoadSettings, LoadKind, make_batch
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.topology import zone_name
from merlinstand_lab.capacity.window import Subject

SAMPLE_COUNTS = (256, 512, 1_024, 2_048, 4_096)
SERVER_COUNTS = (425, 850, 1_700, 3_400)
DAEMON_COUNTS = (80, 160, 320, 630)
REPEATS = 30
SERVERS_PER_POOL = 100
ROLE = "codec"


def measure_codecs() -> list[Measured]:
    """Measure batch commands, pool objects and full configuration updates."""
    rows: list[Measured] = []
    for samples in SAMPLE_COUNTS:
        rows += _batch_rows(Subject("codecs", "samples", samples))
    for servers in SERVER_COUNTS:
        rows += _pool_rows(Subject("codecs", "servers", servers))
    for daemons in DAEMON_COUNTS:
        rows += _update_rows(Subject("codecs", "daemons", daemons))
    return rows


def make_pool(name: str, servers: int, first: int = 0) -> Pool:
    """Return an engine pool of hollow servers, spread over the zones."""
    backends = tuple(
        Backend(f"{name}-{number}", f"10.20.{number // 250}.{number % 250}:8000", zone_name(number))
        for number in range(first, first + servers)
    )
    return Pool(name=name, kind=PoolKind.ENGINE, model=name, backends=backends)


def _batch_rows(subject: Subject) -> list[Measured]:
    settings = CommandLoadSettings(
        kind=LoadKind.BATCH, samples=int(subject.size), job="blurb-job-3", consumer="trainer-3"
    )
    command = make_batch(settings, 1_000)
    encoded = encode_command(command)
    return [
        subject.row(ROLE, "batch_command_bytes", len(encoded)),
        subject.row(ROLE, "batch_encode_seconds", _cpu_seconds(lambda: encode_command(command))),
        subject.row(ROLE, "batch_decode_seconds", _cpu_seconds(lambda: decode_command(encoded))),
    ]


def _pool_rows(subject: Subject) -> list[Measured]:
    key = "pool/vet-llm"
    encoded = encode_object(make_pool("vet-llm", int(subject.size)))
    return [
        subject.row(ROLE, "one_pool_object_bytes", len(encoded)),
        subject.row(
            ROLE, "one_pool_decode_seconds", _cpu_seconds(lambda: decode_object(key, encoded))
        ),
    ]


def _update_rows(subject: Subject) -> list[Measured]:
    """A full update as a blank daemon receives it: all pools and all registered daemons."""
    entries = [
        ConfigurationEntry(key, number + 1, False, payload)
        for number, (key, payload) in enumerate(_full_configuration(int(subject.size)))
    ]
    update = ConfigurationUpdate(0, len(entries), entries, 0.0, 0.0, True)
    encoded = encode_message(update)
    return [
        subject.row(ROLE, "full_update_bytes", len(encoded)),
        subject.row(
            ROLE, "full_update_encode_seconds", _cpu_seconds(lambda: encode_message(update))
        ),
        subject.row(
            ROLE, "full_update_decode_seconds", _cpu_seconds(lambda: decode_message(encoded))
        ),
    ]


def _full_configuration(daemons: int) -> list[tuple[str, bytes]]:
    """Pools grow with the daemons as they do towards the target size."""
    servers = round(daemons * 3_400 / 630)
    objects: list[tuple[str, bytes]] = []
    for number, first in enumerate(range(0, servers, SERVERS_PER_POOL)):
        pool = make_pool(f"pool-{number}", min(SERVERS_PER_POOL, servers - first), first)
        objects.append((f"pool/{pool.name}", encode_object(pool)))
    for number in range(daemons):
        daemon = Daemon(
            f"gateway-{number}", "gateway", f"10.1.0.{number}:7000", f"10.1.0.{number}:8000",
            zone_name(number),
        )  # fmt: skip
        objects.append((f"daemon/{daemon.node_id}", encode_object(daemon)))
    return objects


def _cpu_seconds(action: Callable[[], object]) -> float:
    """Return the least processor time of one call over some repeats."""
    best = float("inf")
    for _ in range(REPEATS):
        begun = time.process_time_ns()
        action()
        best = min(best, (time.process_time_ns() - begun) / 1e9)
    return best
