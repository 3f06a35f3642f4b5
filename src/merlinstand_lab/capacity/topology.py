"""Specs of control groups and hollow fleets on loopback."""

import random
import socket
from pathlib import Path
from typing import Any

import msgspec

from merlinstand.control.settings import ControlMember, ControlSettings
from merlinstand.runtime.host_settings import HostSettings
from merlinstand.session.settings import SessionSettings
from merlinstand_lab.capacity.session_daemon import SessionDaemonSettings
from merlinstand_lab.capacity.targets import TARGET
from merlinstand_lab.capacity.worker_spec import HostedKind, HostedSpec

LOOPBACK = "127.0.0.1"
FIRST_PORT = 12_000
END_PORT = 32_000
"""Port numbers, the last one excluded; below those of outgoing connections on Linux."""

DAEMONS_PER_COORDINATOR = 21
"""30 coordinators among 630 daemons: an assumption of docs/CAPACITY.md."""

_given: set[int] = set()
"""Ports given out by this process; a measurement uses each once."""


def free_addresses(count: int) -> list[str]:
    """Return distinct loopback addresses whose ports were free a moment ago.

    The ports lie below those that the kernel gives to outgoing connections: one of those may
    be taken again before a process of ours listens on it.
    """
    found: list[str] = []
    port = random.SystemRandom().randrange(FIRST_PORT, END_PORT)
    for _ in range(END_PORT - FIRST_PORT):
        if len(found) == count:
            return found
        port = port + 1 if port + 1 < END_PORT else FIRST_PORT
        if port not in _given and _is_free(port):
            _given.add(port)
            found.append(f"{LOOPBACK}:{port}")
    raise OSError(f"fewer than {count} free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as listener:
        try:
            listener.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def zone_name(number: int) -> str:
    """Return the zone of the `number`-th machine, spread evenly over regions and zones."""
    zone = number % TARGET.zones
    return f"region-{zone % TARGET.regions}-zone-{zone}"


def hosted_spec(kind: HostedKind, host: HostSettings, settings: Any) -> HostedSpec:
    """Make a spec from typed settings."""
    return HostedSpec(kind=kind, host=host, settings=msgspec.Raw(msgspec.json.encode(settings)))


def control_members(replicas: int) -> tuple[ControlMember, ...]:
    """Name the replicas of a new control group and give them addresses."""
    internal = free_addresses(2 * replicas)
    return tuple(
        ControlMember(
            node_id=f"control-{number}",
            address=internal[2 * number],
            zone=zone_name(number),
            http_address=internal[2 * number + 1],
        )
        for number in range(replicas)
    )


def control_spec(
    member: ControlMember, members: tuple[ControlMember, ...], folder: Path
) -> HostedSpec:
    """Return the spec of one control replica."""
    settings = ControlSettings(
        node_id=member.node_id,
        zone=member.zone,
        members=members,
        http_address=member.http_address,
    )
    host = HostSettings(
        node_id=member.node_id,
        http_address=member.http_address,
        internal_address=member.address,
        data_folder=str(folder / member.node_id),
        peers={other.node_id: other.address for other in members},
        seed=int(member.node_id.rpartition("-")[2]) + 1,
        log_level="warning",
    )
    return hosted_spec(HostedKind.CONTROL, host, settings)


def session_specs(count: int, members: tuple[ControlMember, ...], folder: Path) -> list[HostedSpec]:
    """Return the specs of hollow daemons that register.

    Their names are `daemon-N`, their zones take turns. Every
    `DAEMONS_PER_COORDINATOR`-th keeps two leases as a coordinator does, for a job and an
    engine pool; the others keep none, as gateways do.
    """
    addresses = free_addresses(count)
    return [
        _session_spec(number, address, members, folder) for number, address in enumerate(addresses)
    ]


def _session_spec(
    number: int, address: str, members: tuple[ControlMember, ...], folder: Path
) -> HostedSpec:
    node_id = f"daemon-{number}"
    settings = SessionDaemonSettings(
        session=SessionSettings(
            node_id=node_id,
            role="gateway",
            zone=zone_name(number),
            address=address,
            http_address=address,
            members=members,
        ),
        leases=_leases(number),
    )
    return hosted_spec(
        HostedKind.SESSION, session_host(node_id, address, members, folder), settings
    )


def _leases(number: int) -> tuple[str, ...]:
    if number % DAEMONS_PER_COORDINATOR:
        return ()
    return (f"job/job-{number}", f"engines/pool-{number}")


def session_host(
    node_id: str, address: str, members: tuple[ControlMember, ...], folder: Path
) -> HostSettings:
    """Return the host of a hollow daemon: internal transport and journal, no HTTP endpoint."""
    return HostSettings(
        node_id=node_id,
        http_address="",
        internal_address=address,
        data_folder=str(folder / node_id),
        peers={member.node_id: member.address for member in members},
        log_level="warning",
    )
