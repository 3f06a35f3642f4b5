"""Parsing of `ip:port` addresses.

Host names are never resolved: processes connect to IP addresses only (see DEVELOPERS.md).
"""

import ipaddress

import msgspec
from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError

MAXIMUM_PORT = 65535
"""Largest TCP port: 16 bits (RFC 9293)."""


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    ip: str
    port: int

    def as_pair(self) -> tuple[str, int]:
        """Return the `(ip, port)` pair that sockets take."""
        return (self.ip, self.port)

    def is_loopback(self) -> bool:
        """Return whether only this machine can reach the address."""
        return ipaddress.ip_address(self.ip).is_loopback


def parse_address(text: str) -> Result[Address, InvalidInputError]:
    """Parse `ip:port`; IPv6 addresses are written in square brackets."""
    host, separator, port_text = text.rpartition(":")
    if not separator or not port_text.isascii() or not port_text.isdigit():
        return Err(InvalidInputError(detail=f"{text!r} is not ip:port"))
    port = int(port_text)
    if port > MAXIMUM_PORT:
        return Err(InvalidInputError(detail=f"{text!r}: port must be at most {MAXIMUM_PORT}"))
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return Err(InvalidInputError(detail=f"{text!r}: {host!r} is no IP number"))
    return Ok(Address(str(ip), port))


def require_address(text: str) -> Address:
    """Parse `ip:port`, raising instead of returning an error.

    Raises:
        ValueError: The address is malformed.
    """
    parsed = parse_address(text)
    if isinstance(parsed, Err):
        raise ValueError(parsed.err_value.detail)
    return parsed.ok_value
