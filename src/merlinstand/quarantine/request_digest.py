"""Digests of request contents: repeated requests with the same content have the same digest.

Each attempt of a caller has its own id and deadline, which can't identify a repeated request. What
a backend does depends on the tenant, host, method, path and body; the digest of these identifies
the request across attempts, gateways and restarts.
"""

import msgspec
import xxhash

from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import ForwardRequest
from merlinstand.common.ids import ContentDigest

_LENGTH_BYTES = 8
"""Width of the length that is hashed before each part; fits the length of any body."""


def compute_digest(tenant: str, host: str, method: str, path: str, body: bytes) -> ContentDigest:
    """Return the digest of a request's content.

    The digest has 128 bits, so that two contents don't collide by chance. It is not resistant to
    callers that search for collisions.

    Args:
        tenant: Tenant of the caller; empty where callers have no keys.
        host: `Host` header.
        method: HTTP method.
        path: Path with query.
        body: Complete request body.
    """
    hasher = xxhash.xxh3_128()
    for part in (tenant.encode(), host.lower().encode(), method.encode(), path.encode(), body):
        # The length prefix distinguishes "ab", "c" from "a", "bc".
        hasher.update(len(part).to_bytes(_LENGTH_BYTES))
        hasher.update(part)
    return ContentDigest(hasher.hexdigest())


class RequestWithDigest(msgspec.Struct):
    """A request with its content digest, which is computed on first use."""

    request: ForwardRequest
    digest: ContentDigest | None = None

    def content_digest(self, names: HeaderNames) -> ContentDigest:
        """Return the digest of the request's content."""
        if self.digest is None:
            self.digest = digest_of_request(self.request, names)
        return self.digest


def digest_of_request(request: ForwardRequest, names: HeaderNames) -> ContentDigest:
    """Return the content digest of a forwarded request."""
    headers = request.headers
    tenant = headers.get(names.tenant, "")
    return compute_digest(
        tenant, headers.get("host", ""), request.method, request.path, request.body
    )
