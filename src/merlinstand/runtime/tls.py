"""TLS for the HTTP server, the HTTP client and the internal transport.

Three contexts use the same three files (`TlsFiles`): a server context for HTTP clients, a server
context for peers, and a client context. The minimum version is TLS 1.2. The `ssl` module is loaded
only if TLS is used (`lean_start`).
"""

import ssl
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import gevent.ssl
import msgspec
from gevent.server import StreamServer
from result import Err, Ok, Result

from merlinstand.runtime.connection_usage import ConnectionUsage
from merlinstand.runtime.end_watcher import has_unread
from merlinstand.runtime.errors import HostSetupError
from merlinstand.runtime.host_settings import TlsFiles
from merlinstand.runtime.watchdog import Watchdog

if TYPE_CHECKING:
    from gevent.ssl import SSLContext

HANDSHAKE_TIMEOUT_SECONDS = 5.0
"""Timeout for a client's TLS handshake; slower clients would occupy one of a limited number of
connections."""


class BoundedHandshakeServer(StreamServer):
    """A server that closes connections whose TLS handshake fails or times out, without logging."""

    handshake_usage: Callable[..., ConnectionUsage] | None = None
    """Counts a connection during its handshake: `RequestBudget.open_connection` of its address."""

    def wrap_socket_and_handle(self, client_socket: Any, address: Any) -> None:
        """Perform the TLS handshake within a time limit, then serve the connection."""
        secured = self._shake_hands(client_socket, address)
        if secured is None:
            return
        try:
            self.handle(secured, address)
        finally:
            secured.close()

    def _shake_hands(self, client_socket: Any, address: Any) -> Any:
        """Return the secured connection; None if the handshake failed or took too long."""
        watchdog = Watchdog()
        watchdog.set_limit(HANDSHAKE_TIMEOUT_SECONDS, TimeoutError)
        usage = None
        if self.handshake_usage is not None:
            usage = self.handshake_usage(
                address[0],
                lambda: watchdog.set_limit(0.0, TimeoutError),
                lambda: has_unread(client_socket),
            )
        try:
            return self.wrap_socket(client_socket, **self.ssl_args)
        except OSError:
            # Any client may connect without speaking TLS, so this is not logged.
            return None
        finally:
            watchdog.close()
            if usage is not None:
                usage.close()


class TlsContexts(msgspec.Struct, frozen=True):
    """The TLS contexts of one process; all None without TLS."""

    server: Any = None
    """For the HTTP endpoint; clients need no certificate."""
    internal: Any = None
    """For the internal listener; peers must present a certificate of the authority."""
    client: Any = None
    """For connections to peers and, if `TlsFiles.calls` is set, to back ends."""

    @classmethod
    def of(cls, files: TlsFiles | None) -> Result["TlsContexts", HostSetupError]:
        """Create the contexts from their files."""
        if files is None:
            return Ok(cls())
        contexts = []
        for make in (server_context, internal_server_context, client_context):
            result = make(files)
            if isinstance(result, Err):
                return result
            contexts.append(result.ok_value)
        return Ok(cls(*contexts))


def server_context(files: TlsFiles) -> "Result[SSLContext, HostSetupError]":
    """Create the context of an HTTP server; clients need no certificate."""
    return _context(files, ssl.PROTOCOL_TLS_SERVER, ssl.CERT_NONE)


def internal_server_context(files: TlsFiles) -> "Result[SSLContext, HostSetupError]":
    """Create the internal listener's context; peers must present a certificate of the authority."""
    return _context(files, ssl.PROTOCOL_TLS_SERVER, ssl.CERT_REQUIRED)


def client_context(files: TlsFiles) -> "Result[SSLContext, HostSetupError]":
    """Create the context for outbound connections.

    Peers are identified by IP address and may move, so the authority's signature is verified but
    the host name is not.
    """
    return _context(files, ssl.PROTOCOL_TLS_CLIENT, ssl.CERT_REQUIRED)


def _context(
    files: TlsFiles, protocol: int, verify_mode: "ssl.VerifyMode"
) -> "Result[SSLContext, HostSetupError]":
    context = gevent.ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    context.verify_mode = verify_mode
    try:
        context.load_cert_chain(files.certificate, files.private_key)
        context.load_verify_locations(files.authority)
    except (OSError, ssl.SSLError) as error:
        return Err(HostSetupError(detail=f"TLS files: {error}"))
    return Ok(context)
