"""Settings of a daemon's session with the control group."""

import msgspec

from merlinstand.common import constants
from merlinstand.control.settings import ControlMember


class SessionTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Tunables of a session."""

    pull_interval_seconds: float = constants.CONFIGURATION_PULL_INTERVAL_SECONDS
    """How often changes of the configuration are asked for."""
    pull_timeout_seconds: float = 0.6
    """Silence after which a pull is tried at another replica."""
    configuration_lease_seconds: float = constants.CONFIGURATION_LEASE_SECONDS
    """Age of the newest proof from which the daemon takes no new work."""
    resend_seconds: float = 0.5
    """Silence after which a command or query is sent again, to the next replica."""
    lease_duration_seconds: float = constants.RESOURCE_LEASE_SECONDS
    """Duration of the leases that the daemon asks for."""
    preferred_retry_seconds: float = 60.0
    """How often a session that failed over tries its preferred replica again."""


class CoordinatorSessionTimings(SessionTimings, frozen=True, kw_only=True):
    """Coordinators are few and act on new weights at once, so they pull more often."""

    pull_interval_seconds: float = 0.25
    """How often changes of the configuration are asked for."""


class DaemonSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What gateways and coordinators know of themselves and of the deployment."""

    node_id: str
    zone: str
    address: str
    """Where the internal protocol listens, `ip:port`."""
    http_address: str
    """Where callers or trainers, health checks and metrics are served, `ip:port`."""
    control_members: tuple[ControlMember, ...]
    """Control replicas, standbys included."""
    peers: tuple[ControlMember, ...] = ()
    """Daemons known beforehand that may relay the configuration."""
    machine_list_address: str = ""
    """`ip:port` of the platform's list of live and leaving machines; empty if there is none."""
    session: SessionTimings = SessionTimings()


class SessionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Who the daemon is and where control is."""

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
    """Daemons known beforehand that may relay the configuration."""
    owns_journal: bool = True
    """The session may snapshot the process's journal itself.

    False when the embedding daemon writes records too; it then puts
    `ControlSession.durable_records()` into each `SaveSnapshot.records`.
    """
    maximum_pending_commands: int = 4_096
    timings: SessionTimings = SessionTimings()


def session_settings(
    settings: DaemonSettings, role: str, *, owns_journal: bool = True
) -> SessionSettings:
    """Give the settings of a daemon's session with control.

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
