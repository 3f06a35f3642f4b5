"""Sockets that listen before the rest of a program is loaded.

Loading the code takes some tenths of a second, during which clients would be refused. With a
listening socket, the kernel queues their connections until the code runs. This module needs only
the standard library and no event loop.
"""

import socket
from collections.abc import Iterable

LISTEN_BACKLOG = 1024
"""Maximum pending connections at each address of the HTTP server; the kernel may allow fewer."""

_unclaimed: dict[str, socket.socket] = {}
"""Listening sockets by address that have no owner yet; at most one for each address."""


def open_listeners(addresses: Iterable[str]) -> None:
    """Listen at the given addresses.

    Addresses that can't be opened are skipped: the server that opens them later gets and reports
    the same error.

    Args:
        addresses: `ip:port` of each.
    """
    for address in addresses:
        try:
            _unclaimed[address] = _listen(address)
        except (OSError, ValueError):
            continue


def take_listener(address: str) -> socket.socket | None:
    """Remove and return the socket that listens at an address; None if there is none."""
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
