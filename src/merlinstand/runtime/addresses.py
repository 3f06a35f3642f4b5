"""Parsing of `ip:port` addresses.

Names are never resolved: a process talks to IP numbers only (the house rules in DEVELOPERS.md).
"""

import ipaddress

import msgspec
from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError

MAXIMUM_PORT = 65535
"""TCP's largest port: 16 bits (RFC 9293)."""


class Address(msgspec.Struct, frozen=True):
    """An IP number and a port."""

    ip: str
    port: int

    def as_pair(self) -> tuple[str, int]:
        """Give the form that sockets take."""
        return (self.ip, self.port)

    def is_loopback(self) -> bool:
        """Tell whether only this machine can reach the address."""
        return ipaddress.ip_address(self.ip).is_loopback


def parse_address(text: str) -> Result[Address, InvalidInputError]:
    """Read `ip:port`; IPv6 numbers stand in square brackets."""
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
    """Read `ip:port` where a malformed one can't be told as data.

    Raises:
        ValueError: It is malformed.
    """
    parsed = parse_address(text)
    if isinstance(parsed, Err):
        raise ValueError(parsed.err_value.detail)
    return parsed.ok_value
