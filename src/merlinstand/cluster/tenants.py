"""Tenants of a routes document, and the lookup of a tenant by a caller's key.

Keys are stored as digests only, so that no log line, state snapshot or error can reveal one. A
lookup hashes the key that a caller sent and finds the digest in a table. Its duration depends on
the length of that key, not on how many characters match a valid key (no timing side channel).
"""

from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from merlinstand.cluster.regions import find_region_error
from merlinstand.common.digest import sha256
from merlinstand.common.errors import InvalidInputError

AUTHORIZATION_HEADER = "authorization"
"""Header of a caller's key, in lower case (RFC 9110)."""
KEY_SCHEME = "bearer"
"""Authentication scheme of a caller's key, in lower case (RFC 6750)."""
MAXIMUM_KEY_CHARACTERS = 4_096
"""Longer keys are rejected. The limit is a quarter of the smallest limit that operators set for the
request line and headers (16 KiB)."""
_FIRST_VISIBLE_ASCII = "!"
_LAST_VISIBLE_ASCII = "~"


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A group of callers that share keys and whose usage is reported together."""

    name: str
    key_digests: tuple[bytes, ...] = ()
    """SHA-256 digest of each key; if empty, no caller can authenticate as this tenant."""
    priority: int | None = None
    """Overrides the priority of the route; 0 is the highest."""
    allowed_regions: tuple[str, ...] = ()
    """Regions in which the tenant's requests may be served and stored; all regions if empty. The
    restriction of the route applies as well."""


def digest_key(key: str) -> Result[bytes, InvalidInputError]:
    """Return the SHA-256 digest of a key that an operator configured.

    Returns:
        The digest; an error, which never contains the key, if the key is not a valid header value.
    """
    if not _is_valid_header_value(key):
        return Err(InvalidInputError(detail="a key is empty, too long or not a valid header value"))
    return Ok(_digest(key))


def find_tenant_error(tenants: Iterable[Tenant]) -> str:
    """Return the invalid tenant and the reason; empty if all tenants are valid together."""
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for tenant in tenants:
        if not _is_valid_header_value(tenant.name):
            return f"tenant {tenant.name!r}: name is empty, too long or not a valid header value"
        if tenant.name in names:
            return f"tenant {tenant.name!r}: duplicate name"
        names.add(tenant.name)
        error = find_region_error(tenant.allowed_regions)
        if error:
            return f"tenant {tenant.name!r}: {error}"
        for digest in tenant.key_digests:
            owner = owners.setdefault(digest, tenant.name)
            if owner != tenant.name:
                return f"tenant {tenant.name!r}: shares a key with {owner!r}"
    return ""


class TenantTable:
    """Finds the tenant of a request by its key."""

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        """Build the index of tenants by name and by key digest."""
        self._by_name: dict[str, Tenant] = {}
        self._by_digest: dict[bytes, Tenant] = {}
        for tenant in tenants:
            self._by_name[tenant.name] = tenant
            self._by_digest.update(dict.fromkeys(tenant.key_digests, tenant))

    def __len__(self) -> int:
        """Return the number of tenants; if 0, callers need no key."""
        return len(self._by_name)

    def by_name(self, name: str) -> Tenant | None:
        """Return the tenant with a name; None if there is none."""
        return self._by_name.get(name)

    def regions_of(self, name: str) -> tuple[str, ...]:
        """Return the allowed regions of a tenant; empty for an unknown tenant."""
        tenant = self._by_name.get(name)
        return tenant.allowed_regions if tenant is not None else ()

    def find(self, authorization: str) -> Tenant | None:
        """Return the tenant of an `Authorization` header; None if the header or key is invalid."""
        scheme, _space, key = authorization.partition(" ")
        key = key.strip(" ")
        if scheme.lower() != KEY_SCHEME or not _is_valid_header_value(key):
            return None
        return self._by_digest.get(_digest(key))


def _is_valid_header_value(text: str) -> bool:
    return 0 < len(text) <= MAXIMUM_KEY_CHARACTERS and all(
        _FIRST_VISIBLE_ASCII <= c <= _LAST_VISIBLE_ASCII for c in text
    )


def _digest(key: str) -> bytes:
    return sha256(key.encode("ascii")).digest()
