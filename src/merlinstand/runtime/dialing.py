"""Opens TCP and TLS connections to `ip:port` addresses, and has silent ones end.

A connection may go silent for good, without a reset, while new ones work. The kernel alone sees it:
it sends again what is not acknowledged, after 0.2 s, 0.4 s more, 0.8 s more and so on (RFC 6298
with Linux's shortest interval; a round trip between regions, 0.04 s, comes on top). A limit between
0.6 and 1.4 s therefore waits for three sendings: where a link loses 3 packets in 10, and of
acknowledgements as many, one piece in eight ends a sound connection. With 3 s it is one in fifteen.
"""

import socket
from typing import TYPE_CHECKING, Any

from gevent import socket as gevent_socket

from merlinstand.runtime.addresses import Address, require_address
from merlinstand.runtime.host_settings import UNACKNOWLEDGED_LIMIT_SECONDS

if TYPE_CHECKING:
    from gevent.ssl import SSLContext

KEEPALIVE_PROBE_SECONDS = 1
"""An idle connection is probed after this long, and again each time it has passed: the shortest
that the kernel knows, in whole seconds."""
KEEPALIVE_PROBE_COUNT = 3
"""Probes without an answer that end a connection, where the limit on unacknowledged bytes does not
do so before. Chosen, not measured."""


def dial(
    address: str,
    timeout_seconds: float,
    tls_context: "SSLContext | None",
    silence_limit_seconds: float = UNACKNOWLEDGED_LIMIT_SECONDS,
) -> Any:
    """Connect, without delaying small writes.

    Args:
        address: `ip:port` of the other side.
        timeout_seconds: Longest time to connect, and again to shake hands; stays the
            socket's limit on each send and receive until the caller sets another.
        tls_context: Set to speak TLS.
        silence_limit_seconds: The connection ends if nothing is acknowledged for this long.

    Returns:
        A connected gevent socket.

    Raises:
        ValueError: The address is malformed.
        OSError: No connection came about; `ssl.SSLError` if the handshake failed.
    """
    target = require_address(address)
    connection = _open_socket(target)
    try:
        connection.settimeout(timeout_seconds)
        _connect(connection, target, silence_limit_seconds)
        if tls_context is not None:
            connection = tls_context.wrap_socket(connection)
    except BaseException:
        connection.close()
        raise
    return connection


def _open_socket(target: Address) -> Any:
    family = socket.AF_INET6 if ":" in target.ip else socket.AF_INET
    return gevent_socket.socket(family, socket.SOCK_STREAM)


def _connect(connection: Any, target: Address, silence_limit_seconds: float) -> None:
    connection.connect(target.as_pair())
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_unacknowledged_limit(connection, silence_limit_seconds)


def set_unacknowledged_limit(connection: Any, seconds: float) -> None:
    """End a connection whose peer acknowledges nothing that was sent for some seconds."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000))


def enable_keepalive(connection: Any) -> None:
    """Have the kernel ask the peer for a sign of life while nothing is sent."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
