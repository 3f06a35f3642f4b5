"""Admit: whether a caller may use a route at all, and what may be done with a request just now.

For: the gateway (keys, before anything else) and all that sends requests to servers (quarantine,
before each try). Owns no state; relies on what its caller knows of tenants and of `quarantine`.

The other grounds on which a request is refused before it is sent are plain look-ups: regions
(`cluster.regions.common_regions`), evacuated zones (`directory.follower.is_evacuated`) and routes
(`cluster.routes.RouteTable.find`). `rejection` has the reasons and what callers are answered.
"""

import enum

import msgspec

from merlinstand.cluster.routes import Route
from merlinstand.cluster.tenants import Tenant
from merlinstand.common.errors import MerlinstandError, UnauthorizedError, UnavailableError
from merlinstand.decisions.rejection import Reason, retry_after_seconds
from merlinstand.quarantine.blame import SuspectStatus


class Admission(enum.Enum):
    """What may be done with a request now, by what is held against it."""

    ALLOWED = "allowed"
    """Nothing is held against it."""
    ISOLATED = "isolated"
    """It may be sent, away from other suspects and to one server at a time."""
    NOT_LAST_SERVER = "not_last_server"
    """The same, but not to the last sound server of its service."""
    WAIT = "wait"
    """It may be sent once the control leader permits a trial."""
    REJECTED = "rejected"
    """It must not be sent."""


def admit(standing: SuspectStatus | None, has_permit: bool, trial_wait_seconds: float) -> Admission:
    """Return what may be done with a request before each of its tries.

    A request that crashes the servers which run it is to reach three of them and no more; one that
    only ran beside it is to be served. So the first crashes cost a request its place among others,
    the next one the last server, and the third one everything but a trial.

    Args:
        standing: What is held against it; None if nothing is.
        has_permit: Whether this process has the control leader's permit to try it once.
        trial_wait_seconds: How long until a permit may be asked for; 0 if it may now.
    """
    match standing:
        case None:
            return Admission.ALLOWED
        case SuspectStatus.SUSPECT:
            return Admission.ISOLATED
        case SuspectStatus.REPEAT_SUSPECT:
            return Admission.NOT_LAST_SERVER
        case SuspectStatus.QUARANTINED:
            return Admission.REJECTED
        case SuspectStatus.UNPROVEN:
            if has_permit:
                return Admission.NOT_LAST_SERVER
            return Admission.REJECTED if trial_wait_seconds > 0.0 else Admission.WAIT


class KeyRules(msgspec.Struct, frozen=True):
    """What binds callers' keys at one moment."""

    has_tenants: bool
    """Whether the routes document names any; without, no request needs a key."""
    is_strict: bool
    """Whether a key that may have been revoked must not be used."""
    maximum_leader_silence_seconds: float
    """Strict: keys are unknown once the control leader was silent for longer than this."""
    seconds_since_leader_contact: float
    """How long ago the control leader was heard."""


def find_key_error(
    route: Route | None, tenant: Tenant | None, rules: KeyRules
) -> MerlinstandError | None:
    """Return why a caller may not use a route, or batch calls; None if it may.

    Args:
        route: None if no route was found.
        tenant: Whose key the caller sent; None without a known key.
        rules: What binds keys now.
    """
    if not rules.has_tenants or (route is not None and route.is_public):
        return None
    if (
        rules.is_strict
        and rules.seconds_since_leader_contact > rules.maximum_leader_silence_seconds
    ):
        return UnavailableError(
            detail=Reason.KEYS_UNKNOWN,
            retry_after_seconds=retry_after_seconds(Reason.KEYS_UNKNOWN),
        )
    return UnauthorizedError(detail="no known key") if tenant is None else None
