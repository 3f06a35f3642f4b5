"""Sends one HTTP request to a control replica, on a new connection.

`operator_client` decides on retries and on the replica.
"""

import ssl

import msgspec
from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

from merlinstand.cli.errors import ControlUnavailableError, UntrustedControlError
from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import StartCall
from merlinstand.runtime.http_client import fetch
from merlinstand.runtime.http_connection import ConnectionPool


class HttpResponse(msgspec.Struct, frozen=True):
    """Status and body of a response."""

    status: int
    body: bytes


def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes,
    *,
    token: str,
    timeout_seconds: float,
    authority: str,
) -> Result[HttpResponse, ControlUnavailableError | UntrustedControlError]:
    """Send a request on a new connection and read the whole response.

    Args:
        address: `ip:port` of a control replica's API.
        method: `GET` or `POST`.
        path: Path with query.
        body: JSON, or empty.
        token: Bearer token, or empty.
        timeout_seconds: Timeout to connect, and of the whole response.
        authority: File of the CA certificates that sign the replicas'; empty for plain HTTP.
    """
    call = StartCall(
        call_id=CallId("operator"),
        address=address,
        method=method,
        path=path,
        headers=_headers(token),
        body=body,
        timeout_seconds=timeout_seconds,
        fresh_connection=True,
    )
    try:
        tls_context = make_tls_context(authority) if authority else None
        response = fetch(call, ConnectionPool(tls_context, timeout_seconds))
    except (OSError, HTTPParseError, ValueError) as error:
        return Err(_connection_error(address, error))
    return Ok(HttpResponse(response.status, response.body))


def _headers(token: str) -> dict[str, str]:
    headers = {"Content-Type": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    return headers


def make_tls_context(authority: str) -> ssl.SSLContext:
    """Create a context that trusts the deployment's CA certificates.

    Host names are not checked, because replicas are addressed by IP address.

    Raises:
        OSError: The file cannot be read, or contains no certificates.
    """
    from gevent.ssl import SSLContext

    context = SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.load_verify_locations(authority)
    return context


def _connection_error(
    address: str, error: OSError | HTTPParseError | ValueError
) -> ControlUnavailableError | UntrustedControlError:
    tls_error = error if isinstance(error, ssl.SSLError) else error.__cause__
    if isinstance(tls_error, ssl.SSLError):
        return UntrustedControlError(detail=f"{address}: {_describe_tls_error(tls_error)}")
    return ControlUnavailableError(detail=f"{address}: {error or type(error).__name__}")


def _describe_tls_error(error: ssl.SSLError) -> str:
    if isinstance(error, ssl.SSLCertVerificationError):
        return f"certificate refused: {error.verify_message}"
    return f"TLS failed: {error.reason or error}"
