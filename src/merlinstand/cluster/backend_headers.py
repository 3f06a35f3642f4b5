"""What a back end is told of whose request it gets."""

from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.routes import Route
from merlinstand.cluster.tenants import AUTHORIZATION_HEADER, Tenant, TenantTable

LOWEST_PRIORITY = 9
"""Back ends know the priorities 0 to 9; an operator's larger number counts as the last of them."""


def backend_headers(
    headers: dict[str, str],
    route: Route,
    tenant: str,
    tenants: TenantTable,
    names: HeaderNames,
) -> dict[str, str]:
    """Replace a caller's key by the name of its tenant, whatever the caller said of it.

    Args:
        headers: Names in lower case; given back as they are where there are no tenants.
        route: Tells the priority, if the tenant has none of its own.
        tenant: Empty for a request that needs no key.
        tenants: All of them.
        names: Header names.
    """
    if not tenant and not tenants:
        return headers
    withheld = (AUTHORIZATION_HEADER, names.tenant)
    passed = {name: value for name, value in headers.items() if name not in withheld}
    if tenant:
        passed[names.tenant] = tenant
    passed[names.priority] = str(effective_priority(route, tenants.by_name(tenant)))
    return passed


def effective_priority(route: Route, tenant: Tenant | None) -> int:
    """Give a request's priority: its tenant's if that has one, else its route's."""
    of_tenant = tenant.priority if tenant is not None else None
    priority = route.priority if of_tenant is None else of_tenant
    return min(LOWEST_PRIORITY, max(0, priority))
