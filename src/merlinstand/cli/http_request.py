"""Sends one HTTP request to a control replica, on a new connection.

`operator_client` decides on retries and on the replica.
"""

import ssl

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

from merlinstand.cli.errors import ControlUnavailableError, UntrustedControlError
from merlinstand.runtime.addresses import Address, parse_address


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

    The HTTP library may resend the request if the connection breaks; command ids make that safe.

    Args:
        address: `ip:port` of a control replica's API.
        method: `GET` or `POST`.
        path: Path with query.
        body: JSON, or empty.
        token: Bearer token, or empty.
        timeout_seconds: Timeout to connect, and for each read of the response.
        authority: File of the CA certificates that sign the replicas'; empty for plain HTTP.
    """
    parsed = parse_address(address)
    if isinstance(parsed, Err):
        return Err(ControlUnavailableError(detail=parsed.err_value.detail))
    client = _make_client(parsed.ok_value, timeout_seconds, authority)
    try:
        response = client.request(method, path, body=body, headers=_headers(token))
        return Ok(HttpResponse(response.status_code, bytes(response.read())))
    except (OSError, HTTPParseError) as error:
        return Err(_connection_error(address, error))
    finally:
        client.close()


def _make_client(address: Address, timeout_seconds: float, authority: str) -> HTTPClient:
    return HTTPClient(
        address.ip,
        address.port,
        connection_timeout=timeout_seconds,
        network_timeout=timeout_seconds,
        concurrency=1,
        ssl=bool(authority),
        ssl_context_factory=(lambda **_options: make_tls_context(authority)) if authority else None,
        insecure=bool(authority),
    )


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
    address: str, error: OSError | HTTPParseError
) -> ControlUnavailableError | UntrustedControlError:
    if isinstance(error, ssl.SSLError):
        return UntrustedControlError(detail=f"{address}: {_describe_tls_error(error)}")
    return ControlUnavailableError(detail=f"{address}: {error or type(error).__name__}")


def _describe_tls_error(error: ssl.SSLError) -> str:
    if isinstance(error, ssl.SSLCertVerificationError):
        return f"certificate refused: {error.verify_message}"
    return f"TLS failed: {error.reason or error}"
