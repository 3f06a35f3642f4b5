"""Admission: whether a caller may use a route, and what may be done with a request now.

Gateways check keys before anything else. Every process that sends requests to backends checks the
quarantine before each attempt. Other grounds for rejection are plain look-ups:
`cluster.regions.common_regions`, `directory.follower.is_evacuated` and
`cluster.routes.RouteTable.find`; `rejection` holds the reasons and what callers are told.
"""

import enum

import msgspec

from merlinstand.cluster.routes import Route
from merlinstand.cluster.tenants import Tenant
from merlinstand.common.errors import MerlinstandError, UnauthorizedError, UnavailableError
from merlinstand.decisions.rejection import Reason, retry_after_seconds
from merlinstand.quarantine.blame import SuspectStatus


class Admission(enum.Enum):
    """What may be done with a request now, given the crashes it is suspected of."""

    ALLOWED = "allowed"
    """The request is not suspected of any crash."""
    ISOLATED = "isolated"
    """The request may be sent to one backend at a time, away from other suspected requests."""
    NOT_LAST_BACKEND = "not_last_backend"
    """As `ISOLATED`, but not to the last healthy backend of its service."""
    WAIT = "wait"
    """The request may be sent once the control leader permits a trial run."""
    REJECTED = "rejected"
    """The request must not be sent."""


def admit(
    suspect_status: SuspectStatus | None, has_permit: bool, trial_wait_seconds: float
) -> Admission:
    """Return what may be done with a request; call it before each attempt.

    A request that crashes backends must reach at most three of them, while a request that only ran
    beside the culprit must still be served. A suspected request is therefore isolated at first;
    after a further crash it is kept off the last healthy backend, and after the third crash it is
    sent only as a permitted trial.

    Args:
        suspect_status: How strongly the request is suspected of crashes; None if not at all.
        has_permit: Whether this process has the control leader's permit for one trial.
        trial_wait_seconds: Time until a permit may be requested; 0 if it may be now.
    """
    match suspect_status:
        case None:
            return Admission.ALLOWED
        case SuspectStatus.SUSPECT:
            return Admission.ISOLATED
        case SuspectStatus.REPEAT_SUSPECT:
            return Admission.NOT_LAST_BACKEND
        case SuspectStatus.QUARANTINED:
            return Admission.REJECTED
        case SuspectStatus.UNPROVEN:
            if has_permit:
                return Admission.NOT_LAST_BACKEND
            return Admission.REJECTED if trial_wait_seconds > 0.0 else Admission.WAIT


class KeyRules(msgspec.Struct, frozen=True):
    """The conditions under which callers' keys are checked at one moment."""

    has_tenants: bool
    """Whether the routes document names any tenants; without tenants no request needs a key."""
    is_strict: bool
    """Whether a key that may have been revoked must not be used."""
    maximum_leader_silence_seconds: float
    """If strict, the state of keys counts as unknown when the last contact with the control leader
    is older than this."""
    seconds_since_leader_contact: float
    """Time since the last message from the control leader."""


def find_key_error(
    route: Route | None, tenant: Tenant | None, rules: KeyRules
) -> MerlinstandError | None:
    """Return why a caller may not use a route or batch calls; None if it may.

    Args:
        route: The route; None if none was found.
        tenant: The tenant whose key the caller sent; None without a known key.
        rules: The conditions that apply now.
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
