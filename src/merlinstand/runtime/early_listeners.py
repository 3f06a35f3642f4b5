"""Sockets that listen before the rest of a program is loaded.

A process takes some tenths of a second to load its code. A caller who connects in that time is
refused, while one whose connection the kernel holds is served as soon as the code runs. Only the
standard library is needed here, and no loop.
"""

import socket
from collections.abc import Iterable

LISTEN_BACKLOG = 1024
"""Connections that wait at most until they are taken, at every address of the HTTP server; the
kernel may allow fewer. Chosen, not measured."""

_unclaimed: dict[str, socket.socket] = {}
"""Sockets that nobody has taken yet; as many as addresses of one process."""


def open_listeners(addresses: Iterable[str]) -> None:
    """Listen at some addresses.

    One that can't be had is passed over: whoever opens it later meets the same error and tells it.

    Args:
        addresses: `ip:port` of each.
    """
    for address in addresses:
        try:
            _unclaimed[address] = _listen(address)
        except (OSError, ValueError):
            continue


def take_listener(address: str) -> socket.socket | None:
    """Give the socket that listens at an address to its owner; None if there is none."""
    return _unclaimed.pop(address, None)


def _listen(address: str) -> socket.socket:
    ip, _colon, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET6 if ":" in ip else socket.AF_INET)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip.strip("[]"), int(port)))
        listener.listen(LISTEN_BACKLOG)
    except BaseException:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
