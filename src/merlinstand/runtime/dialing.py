"""Opens TCP and TLS connections to `ip:port` addresses and detects unresponsive ones.

A connection may stop responding permanently, without a reset, while new ones work. Only the kernel
notices: it retransmits unacknowledged data after 0.2 s, another 0.4 s, another 0.8 s and so on
(RFC 6298 with Linux's minimum interval, plus a round trip, 0.04 s between regions). A limit between
0.6 and 1.4 s therefore allows three transmissions: if a link loses 30% of packets and 30% of
acknowledgements, one write in eight ends a working connection. With 3 s it is one in fifteen.
"""

import socket
from typing import TYPE_CHECKING, Any

from gevent import socket as gevent_socket

from merlinstand.runtime.addresses import Address, require_address
from merlinstand.runtime.host_settings import UNACKNOWLEDGED_LIMIT_SECONDS

if TYPE_CHECKING:
    from gevent.ssl import SSLContext

KEEPALIVE_PROBE_SECONDS = 1
"""Idle time before the first keepalive probe and between probes: the kernel's minimum, since it
counts whole seconds."""
KEEPALIVE_PROBE_COUNT = 3
"""Unanswered keepalive probes that end a connection, unless the limit on unacknowledged data ends
it earlier."""


def dial(
    address: str,
    timeout_seconds: float,
    tls_context: "SSLContext | None",
    unacknowledged_limit_seconds: float = UNACKNOWLEDGED_LIMIT_SECONDS,
) -> Any:
    """Connect with `TCP_NODELAY` set.

    Args:
        address: `ip:port` of the other side.
        timeout_seconds: Timeout for connecting and, separately, for the TLS handshake. It stays
            the socket's timeout for each send and receive until the caller sets another.
        tls_context: If set, TLS is used.
        unacknowledged_limit_seconds: The connection ends if sent data stays unacknowledged for
            this long.

    Returns:
        A connected gevent socket.

    Raises:
        ValueError: The address is malformed.
        OSError: The connection failed; `ssl.SSLError` if the TLS handshake failed.
    """
    target = require_address(address)
    connection = _open_socket(target)
    try:
        connection.settimeout(timeout_seconds)
        _connect(connection, target, unacknowledged_limit_seconds)
        if tls_context is not None:
            connection = tls_context.wrap_socket(connection)
    except BaseException:
        connection.close()
        raise
    return connection


def _open_socket(target: Address) -> Any:
    family = socket.AF_INET6 if ":" in target.ip else socket.AF_INET
    return gevent_socket.socket(family, socket.SOCK_STREAM)


def _connect(connection: Any, target: Address, unacknowledged_limit_seconds: float) -> None:
    connection.connect(target.as_pair())
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_unacknowledged_limit(connection, unacknowledged_limit_seconds)


def set_unacknowledged_limit(connection: Any, seconds: float) -> None:
    """Have the kernel end the connection once sent data stays unacknowledged for this long."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000))


def enable_keepalive(connection: Any) -> None:
    """Have the kernel send TCP keepalive probes while the connection is idle."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
