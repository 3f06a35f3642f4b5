"""Headers that tell a backend the tenant and priority of a request."""

from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.routes import Route
from merlinstand.cluster.tenants import AUTHORIZATION_HEADER, Tenant, TenantTable

LOWEST_PRIORITY = 9
"""Backends accept the priorities 0 to 9; larger configured numbers are sent as 9."""


def backend_headers(
    headers: dict[str, str],
    route: Route,
    tenant: str,
    tenants: TenantTable,
    names: HeaderNames,
) -> dict[str, str]:
    """Replace a caller's key by the name of its tenant, and set the priority.

    A tenant header sent by the caller is removed, so that callers cannot impersonate a tenant.

    Args:
        headers: Names in lower case; returned unchanged if there are no tenants.
        route: Supplies the priority if the tenant has none.
        tenant: Name of the tenant; empty for a request that needs no key.
        tenants: All configured tenants.
        names: Names of the headers to set and remove.
    """
    if not tenant and not tenants:
        return headers
    removed = (AUTHORIZATION_HEADER, names.tenant)
    forwarded = {name: value for name, value in headers.items() if name not in removed}
    if tenant:
        forwarded[names.tenant] = tenant
    forwarded[names.priority] = str(effective_priority(route, tenants.by_name(tenant)))
    return forwarded


def effective_priority(route: Route, tenant: Tenant | None) -> int:
    """Return the tenant's priority if it has one, else the route's, limited to 0 to 9."""
    tenant_priority = tenant.priority if tenant is not None else None
    priority = route.priority if tenant_priority is None else tenant_priority
    return min(LOWEST_PRIORITY, max(0, priority))
