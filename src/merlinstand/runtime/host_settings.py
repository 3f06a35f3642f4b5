"""What a host needs to know to run one reducer in one process.

Plain data. `settings/daemons` makes it from a deployment file, `platform/` from the platform's. The
fields of `HttpLimits` and `TlsFiles` are settings that operators write: docs/SETTINGS.md is made
from them.
"""

import msgspec

from merlinstand.common import constants

CONNECT_TIMEOUT_SECONDS = 2.0
"""Longest time for a connection to a back end to come up. Chosen, not measured."""
UNACKNOWLEDGED_LIMIT_SECONDS = 3.0
"""A connection whose peer acknowledges nothing for this long ends; `dialing` tells why not
sooner."""


class PeerTimings(msgspec.Struct, frozen=True):
    """How a lost peer is sought again."""

    connect_timeout_seconds: float = 1.0
    """Longest time for a connection to come up. A packet that opens one and is lost, since the
    peer's machine is down just then, is sent again by the kernel after a second only."""
    longest_back_off_seconds: float = 1.0
    """Longest pause between two attempts."""
    silence_limit_seconds: float = UNACKNOWLEDGED_LIMIT_SECONDS
    """A connection ends if the peer acknowledges nothing for this long: it has gone silent, and the
    next message opens a new one."""


DEFAULT_PEER_TIMINGS = PeerTimings()


class TlsFiles(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """PEM files for the HTTP server and the internal transport."""

    certificate: str
    """PEM file of this process; `{node}` stands for its name."""
    private_key: str
    """PEM file of its key; `{node}` stands for its name."""
    authority: str
    """Certificates that sign the peers of this deployment."""
    calls: bool = False
    """Speak TLS also to back ends and other outside systems."""


class HttpLimits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Bounds of the HTTP server; whatever exceeds them never reaches the reducer."""

    maximum_body_bytes: int = constants.MAXIMUM_REQUEST_BODY_BYTES
    """Largest body that the HTTP server takes in."""
    maximum_connections: int = 4096
    """Most connections of the HTTP server; further ones wait until one ends."""
    request_read_timeout_seconds: float = 10.0
    """Longest time for one request's head and body to arrive."""
    idle_connection_seconds: float = 60.0
    """Longest silence between requests on a kept connection."""
    response_write_timeout_seconds: float = 30.0
    """Longest time for a client to accept one piece of a response."""
    maximum_unsent_response_bytes: int = 4 * 1024 * 1024
    """A client that lags further behind a streamed response is cut off."""
    memory_bytes: int = 0
    """Memory that the process may use. A quarter of what lies above its usual size may be kept for
    clients that read slowly; beyond, the slowest are cut off. 0: unknown, no such bound."""


class HostSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One process: its name, addresses and folders."""

    node_id: str
    http_address: str = "127.0.0.1:0"
    """`ip:port` of the HTTP server; port 0 takes a free one (logged as `host.listening`)."""
    extra_http_addresses: tuple[str, ...] = ()
    """Further `ip:port` of the same HTTP server, for health checks: requests there are refused
    while no new connection is taken at `http_address`."""
    connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS
    """Longest time for a connection to a back end to come up."""
    internal_address: str = ""
    """`ip:port` of the internal protocol; empty for processes without one."""
    peer_timings: PeerTimings = DEFAULT_PEER_TIMINGS
    """How lost peers of the internal protocol are sought again."""
    data_folder: str = ""
    """Where journal and snapshot live; empty for processes without durable state."""
    record_folder: str = ""
    """Where `WriteRecord` appends `STREAM.jsonl` (laboratory only)."""
    peers: dict[str, str] = {}
    """Internal addresses known from the start, by node id."""
    seed: int | None = None
    """Seed of `Started`; drawn from the system if absent."""
    http_limits: HttpLimits = HttpLimits()
    request_id_header: str = ""
    """Header, in lower case, by which callers name their requests; for the host's log lines."""
    tls: TlsFiles | None = None
    log_level: str = "info"
    profile_path: str = ""
    """If set, profile the process and write the cProfile statistics there at its end."""
