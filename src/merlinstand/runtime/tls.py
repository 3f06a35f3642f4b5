"""TLS for the HTTP server, the HTTP client and the internal transport.

Three contexts from the same three files (`TlsFiles`): a server's for callers, a server's for peers,
and a client's; TLS 1.2 at least. The library `ssl` runs only where TLS is spoken (`lean_start`).
"""

import ssl
from typing import TYPE_CHECKING, Any

import gevent
import gevent.ssl
import msgspec
from gevent.server import StreamServer
from result import Err, Ok, Result

from merlinstand.runtime.errors import HostSetupError
from merlinstand.runtime.host_settings import TlsFiles

if TYPE_CHECKING:
    from gevent.ssl import SSLContext

HANDSHAKE_TIMEOUT_SECONDS = 5.0
"""Longest time for a client to shake hands; a slower one would hold one of a bounded number of
connections. Chosen, not measured."""


class BoundedHandshakeServer(StreamServer):
    """A server that gives up, in silence, on clients whose handshake fails or drags."""

    def wrap_socket_and_handle(self, client_socket: Any, address: Any) -> None:
        """Override: shake hands within a time limit, then serve."""
        secured = None
        with gevent.Timeout(HANDSHAKE_TIMEOUT_SECONDS, False):
            try:
                secured = self.wrap_socket(client_socket, **self.ssl_args)
            except OSError:
                # Anybody may connect and speak something else: not worth a log line.
                return
        if secured is None:
            return
        try:
            self.handle(secured, address)
        finally:
            secured.close()


class TlsContexts(msgspec.Struct, frozen=True):
    """The contexts of one process; all None without TLS."""

    server: Any = None
    """Of the HTTP endpoint: clients need no certificate."""
    internal: Any = None
    """Of the internal endpoint: peers show a certificate of the authority."""
    client: Any = None
    """Of connections to peers and, if asked for, to back ends."""

    @classmethod
    def of(cls, files: TlsFiles | None) -> Result["TlsContexts", HostSetupError]:
        """Make the contexts from their files."""
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
    """Make the context of an HTTP server: clients need no certificate."""
    return _context(files, ssl.PROTOCOL_TLS_SERVER, ssl.CERT_NONE)


def internal_server_context(files: TlsFiles) -> "Result[SSLContext, HostSetupError]":
    """Make the context of the internal listener: peers show a certificate of the authority."""
    return _context(files, ssl.PROTOCOL_TLS_SERVER, ssl.CERT_REQUIRED)


def client_context(files: TlsFiles) -> "Result[SSLContext, HostSetupError]":
    """Make the context for connections to peers.

    Peers are named by IP number and may move, so the authority's signature is checked
    and the host name is not.
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
