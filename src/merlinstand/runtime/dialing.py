"""Opens TCP and TLS connections to `ip:port` addresses."""

import socket
from typing import TYPE_CHECKING, Any

from gevent import socket as gevent_socket
from result import Err

from merlinstand.runtime.addresses import parse_address

if TYPE_CHECKING:
    from gevent.ssl import SSLContext

UNACKNOWLEDGED_LIMIT_MS = 3_000
"""A connection whose peer acknowledges nothing for this long ends."""


def dial(address: str, timeout_seconds: float, tls_context: "SSLContext | None") -> Any:
    """Connect, without delaying small writes.

    Args:
        address: `ip:port` of the other side.
        timeout_seconds: Longest time to connect, and again to shake hands; stays the
            socket's limit on each send and receive until the caller sets another.
        tls_context: Set to speak TLS.

    Returns:
        A connected gevent socket.

    Raises:
        ValueError: The address is malformed.
        OSError: No connection came about; `ssl.SSLError` if the handshake failed.
    """
    parsed = parse_address(address)
    if isinstance(parsed, Err):
        raise ValueError(parsed.err_value.detail)
    target = parsed.ok_value
    family = socket.AF_INET6 if ":" in target.ip else socket.AF_INET
    connection: Any = gevent_socket.socket(family, socket.SOCK_STREAM)
    try:
        connection.settimeout(timeout_seconds)
        connection.connect(target.as_pair())
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A silent peer must not hold a connection for ever.
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
        if tls_context is not None:
            connection = tls_context.wrap_socket(connection)
    except BaseException:
        connection.close()
        raise
    return connection
