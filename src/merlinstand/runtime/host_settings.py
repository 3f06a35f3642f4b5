"""Configuration of a host that runs one reducer in one process.

`settings/daemons` builds it from a deployment file, `platform/` from the platform's settings. The
fields of `HttpLimits` and `TlsFiles` are settings that operators write; docs/SETTINGS.md is
generated from them.
"""

import msgspec

from merlinstand.common import constants

CONNECT_TIMEOUT_SECONDS = 2.0
"""Connect timeout for a back end."""
UNACKNOWLEDGED_LIMIT_SECONDS = 3.0
"""A connection ends if sent data stays unacknowledged for this long; `dialing` explains the
value."""


class PeerTimings(msgspec.Struct, frozen=True):
    """Timeouts and backoff for connections to peers."""

    connect_timeout_seconds: float = 1.0
    """Connect timeout. If the packet that opens a connection is lost because the peer's machine is
    down at that moment, the kernel retransmits it only after a second."""
    longest_back_off_seconds: float = 1.0
    """Maximum backoff between two connection attempts."""
    silence_limit_seconds: float = UNACKNOWLEDGED_LIMIT_SECONDS
    """A connection ends if sent data stays unacknowledged for this long; the next message opens a
    new one."""


DEFAULT_PEER_TIMINGS = PeerTimings()


class PeerLimits(msgspec.Struct, frozen=True):
    """Limits of the listener for peers."""

    maximum_connections: int = 4096
    """Maximum open connections; those that have been silent longest are closed for new ones."""
    maximum_message_bytes: int = constants.MAXIMUM_MESSAGE_BYTES
    """A connection that announces a longer message is closed."""


DEFAULT_PEER_LIMITS = PeerLimits()


class TlsFiles(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """PEM files for the HTTP server and the internal transport."""

    certificate: str
    """PEM file of this process's certificate; `{node}` is replaced by its name."""
    private_key: str
    """PEM file of its private key; `{node}` is replaced by its name."""
    authority: str
    """PEM file of the certificate authority that signs the peers of this deployment."""
    calls: bool = False
    """Use TLS for calls to back ends and other external systems, too."""


class HttpLimits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits of the HTTP server; requests that exceed them never reach the reducer."""

    maximum_body_bytes: int = constants.MAXIMUM_REQUEST_BODY_BYTES
    """Maximum size of a request body."""
    maximum_connections: int = 4096
    """Maximum open connections of the HTTP server; further ones wait until one closes."""
    request_read_timeout_seconds: float = 10.0
    """Maximum time to receive a request's headers and body."""
    idle_connection_seconds: float = 60.0
    """Idle timeout between requests on a keep-alive connection."""
    response_write_timeout_seconds: float = 30.0
    """Maximum time for a client to receive one chunk of a response."""
    maximum_unsent_response_bytes: int = 4 * 1024 * 1024
    """A client with more unsent bytes of a streamed response than this is disconnected."""
    memory_bytes: int = 0
    """Memory that the process may use. A quarter of what exceeds its base size may buffer data for
    slow clients; above that, the slowest are disconnected. 0: unknown, so no such limit."""
    small_request_bytes: int = 0
    """Maximum bytes that open connections, unfinished heads and bodies up to 64 KiB may occupy;
    above that, connections without progress are closed and requests rejected. 0: a quarter of the
    memory above the base size, or of 448 MB if `memory_bytes` is unknown."""
    large_request_bytes: int = 0
    """The same for larger request bodies, until their response has been sent. A body that is the
    only one is accepted even if it is larger. 0: three tenths of the memory above the base size."""
    response_bytes: int = 0
    """Maximum bytes of responses of servers that are arriving or not yet sent on; above that, the
    large response that is expected to need most more is given up. One that is the only large one is
    accepted even if it is larger. 0: a quarter of the memory above the base size."""
    maximum_response_bytes: int = 64 * 1024 * 1024
    """Maximum size of the body of a server's response, except streams, which are passed on."""
    maximum_response_head_bytes: int = 64 * 1024
    """Maximum size of the head of a server's response with all interim responses before it; also
    the maximum number of consecutive bytes after the head that carry no body (chunk extensions and
    trailers)."""
    maximum_response_header_lines: int = 256
    """Maximum header lines of a server's response, trailers included."""
    maximum_event_bytes: int = 1024 * 1024
    """Maximum size of one event in a server's stream."""


DEFAULT_HTTP_LIMITS = HttpLimits()


class HostSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one process: node id, addresses, folders and limits."""

    node_id: str
    http_address: str = "127.0.0.1:0"
    """`ip:port` of the HTTP server; port 0 selects a free port (logged as `host.listening`)."""
    health_address: str = ""
    """`ip:port` of health checks and metrics (`runtime.health_endpoint`), which are not served at
    `http_address`; empty if there are none."""
    connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS
    """Connect timeout for a back end."""
    internal_address: str = ""
    """`ip:port` of the internal protocol; empty for processes without one."""
    peer_timings: PeerTimings = DEFAULT_PEER_TIMINGS
    """Timeouts and backoff for connections to peers of the internal protocol."""
    peer_limits: PeerLimits = DEFAULT_PEER_LIMITS
    """Limits of the internal protocol's listener."""
    data_folder: str = ""
    """Folder of the journal and snapshot; empty for processes without durable state."""
    record_folder: str = ""
    """Folder where `WriteRecord` appends `STREAM.jsonl` (laboratory only)."""
    peers: dict[str, str] = {}
    """Initially known internal addresses by node id."""
    seed: int | None = None
    """Seed of `Started`; random if None."""
    http_limits: HttpLimits = HttpLimits()
    body_copies: float = 2.0
    """Memory that the role needs to process a large request body, besides the body itself, in
    multiples of its size."""
    request_id_header: str = ""
    """Lower-case name of the header with the client's request id, used in the host's log lines."""
    tls: TlsFiles | None = None
    log_level: str = "info"
    profile_path: str = ""
    """If set, the process is profiled and its cProfile statistics are written here at exit."""
