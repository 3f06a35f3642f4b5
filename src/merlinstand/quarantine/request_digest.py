"""What a request asks of a server, in short: the same request that comes again has the same digest.

Each try of a caller has an id and a deadline of its own. What a server makes of it depends on who
asks, and on host, method, path and body: these name it over tries, gateways and restarts.
"""

import msgspec
import xxhash

from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import ForwardRequest
from merlinstand.common.ids import ContentDigest

_LENGTH_BYTES = 8
"""Of the length before each part: any body's length fits."""


def compute_digest(tenant: str, host: str, method: str, path: str, body: bytes) -> ContentDigest:
    """Give the digest of a request's content.

    Wide enough that two contents don't meet by chance (128 bits); not made against callers that
    search for two contents with one digest.

    Args:
        tenant: Who asks; empty where callers have no keys.
        host: `Host` header.
        method: HTTP method.
        path: Path with query.
        body: Whole body.
    """
    digest = xxhash.xxh3_128()
    for part in (tenant.encode(), host.lower().encode(), method.encode(), path.encode(), body):
        # Lengths keep parts apart: "ab", "c" is not "a", "bc".
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return ContentDigest(digest.hexdigest())


class RequestWithDigest(msgspec.Struct):
    """A request on its way that knows its content, once somebody has asked for it."""

    request: ForwardRequest
    digest: ContentDigest | None = None

    def content_digest(self, names: HeaderNames) -> ContentDigest:
        """Give the digest of what it asks."""
        if self.digest is None:
            self.digest = digest_of_request(self.request, names)
        return self.digest


def digest_of_request(request: ForwardRequest, names: HeaderNames) -> ContentDigest:
    """Give the digest of a request that is forwarded."""
    headers = request.headers
    tenant = headers.get(names.tenant, "")
    return compute_digest(
        tenant, headers.get("host", ""), request.method, request.path, request.body
    )
