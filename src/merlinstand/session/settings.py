"""Settings of a daemon's session with the control group."""

import msgspec

from merlinstand.common import constants
from merlinstand.control.settings import ControlMember


class SessionTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Timings of a session."""

    pull_interval_seconds: float = constants.CONFIGURATION_PULL_INTERVAL_SECONDS
    """Interval at which the daemon pulls the configuration."""
    pull_timeout_seconds: float = 0.6
    """Time without a proof after which the daemon pulls from another replica."""
    configuration_lease_seconds: float = constants.CONFIGURATION_LEASE_SECONDS
    """Age of the newest freshness proof from which the daemon accepts no new work."""
    resend_seconds: float = 0.5
    """Time without a reply after which a command or query is resent, to the next replica."""
    lease_duration_seconds: float = constants.RESOURCE_LEASE_SECONDS
    """Duration of the leases that the daemon requests."""
    preferred_retry_seconds: float = 60.0
    """Interval at which a session that failed over retries its preferred replica."""


class CoordinatorSessionTimings(SessionTimings, frozen=True, kw_only=True):
    """Timings of a coordinator's session.

    Coordinators are few and act on new weights immediately, so they pull more often.
    """

    pull_interval_seconds: float = 0.25
    """Interval at which the daemon pulls the configuration."""


class DaemonSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings common to gateways and coordinators."""

    node_id: str
    zone: str
    address: str
    """Address on which the internal protocol listens, `ip:port`."""
    http_address: str
    """HTTP address for callers or trainers, health checks and metrics, `ip:port`."""
    control_members: tuple[ControlMember, ...]
    """Control replicas, standbys included."""
    peers: tuple[ControlMember, ...] = ()
    """Peer daemons that may relay the configuration, in addition to the registered ones."""
    machine_list_address: str = ""
    """`ip:port` of the platform's list of live and leaving machines; empty if there is none."""
    session: SessionTimings = SessionTimings()


class SessionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a daemon's session."""

    node_id: str
    role: str
    """`gateway` or `coordinator`."""
    zone: str
    address: str
    """This daemon's internal protocol address."""
    http_address: str
    members: tuple[ControlMember, ...]
    """Control replicas, standbys included."""
    peers: tuple[ControlMember, ...] = ()
    """Peer daemons that may relay the configuration, in addition to the registered ones."""
    owns_journal: bool = True
    """Whether the session may snapshot the process's journal itself.

    False if the embedding daemon also writes records; it must then put
    `ControlSession.durable_records()` into each `SaveSnapshot.records`.
    """
    maximum_pending_commands: int = 4_096
    timings: SessionTimings = SessionTimings()


def session_settings(
    settings: DaemonSettings, role: str, *, owns_journal: bool = True
) -> SessionSettings:
    """Return the settings of a daemon's session with the control group.

    Args:
        settings: The daemon's settings.
        role: `gateway` or `coordinator`.
        owns_journal: See `SessionSettings.owns_journal`.
    """
    return SessionSettings(
        node_id=settings.node_id,
        role=role,
        zone=settings.zone,
        address=settings.address,
        http_address=settings.http_address,
        members=settings.control_members,
        peers=settings.peers,
        owns_journal=owns_journal,
        timings=settings.session,
    )
