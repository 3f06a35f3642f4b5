"""Tenants of a routes document, and how a caller's key is looked up.

Keys are kept as digests only, so that no log line, snapshot of a daemon's state or error can show
one. A look-up hashes whatever a caller sent and then finds the digest in a table: the time it takes
depends on the length of what was sent, not on how much of a true key it guessed.
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
"""Characters; a longer one is nobody's. A quarter of the smallest limit on a whole head that
operators set (16 KiB)."""
_FIRST_VISIBLE = "!"
_LAST_VISIBLE = "~"


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """Callers that share keys, and whose use is reported together."""

    name: str
    key_digests: tuple[bytes, ...] = ()
    """SHA-256 of each key; without any, nobody can call for this tenant."""
    priority: int | None = None
    """Goes before the priority of a route; 0 is the most urgent."""
    allowed_regions: tuple[str, ...] = ()
    """Regions in which its requests may be served and kept, besides what the route allows; without
    any, all of them."""


def digest_key(key: str) -> Result[bytes, InvalidInputError]:
    """Give the digest of a key that an operator sent.

    Returns:
        An error, which never shows the key, if it can't stand in a header.
    """
    if not _can_stand_in_header(key):
        return Err(InvalidInputError(detail="a key is empty, too long or can't stand in a header"))
    return Ok(_digest(key))


def find_tenant_error(tenants: Iterable[Tenant]) -> str:
    """Give what makes tenants invalid together: the place and the reason; empty if nothing does."""
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for tenant in tenants:
        if not _can_stand_in_header(tenant.name):
            return f"tenant {tenant.name!r}: name is empty or can't stand in a header"
        if tenant.name in names:
            return f"tenant {tenant.name!r}: name is there twice"
        names.add(tenant.name)
        fault = find_region_error(tenant.allowed_regions)
        if fault:
            return f"tenant {tenant.name!r}: {fault}"
        for digest in tenant.key_digests:
            owner = owners.setdefault(digest, tenant.name)
            if owner != tenant.name:
                return f"tenant {tenant.name!r}: shares a key with {owner!r}"
    return ""


class TenantTable:
    """Looks the tenant of a request up by its key."""

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        """Index tenants."""
        self._by_name: dict[str, Tenant] = {}
        self._by_digest: dict[bytes, Tenant] = {}
        for tenant in tenants:
            self._by_name[tenant.name] = tenant
            self._by_digest.update(dict.fromkeys(tenant.key_digests, tenant))

    def __len__(self) -> int:
        """Tenants; without any, callers need no key."""
        return len(self._by_name)

    def by_name(self, name: str) -> Tenant | None:
        """Give a tenant by its name."""
        return self._by_name.get(name)

    def regions_of(self, name: str) -> tuple[str, ...]:
        """Give the regions that bind a tenant; none of one that isn't there."""
        tenant = self._by_name.get(name)
        return tenant.allowed_regions if tenant is not None else ()

    def find(self, authorization: str) -> Tenant | None:
        """Give the tenant of an `Authorization` header; None if its key is nobody's."""
        scheme, _space, key = authorization.partition(" ")
        key = key.strip(" ")
        if scheme.lower() != KEY_SCHEME or not _can_stand_in_header(key):
            return None
        return self._by_digest.get(_digest(key))


def _can_stand_in_header(text: str) -> bool:
    return 0 < len(text) <= MAXIMUM_KEY_CHARACTERS and all(
        _FIRST_VISIBLE <= c <= _LAST_VISIBLE for c in text
    )


def _digest(key: str) -> bytes:
    return sha256(key.encode("ascii")).digest()
