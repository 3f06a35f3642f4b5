"""Types and defaults of the deployment file, which is shared by all processes of a deployment.

The docstring of a field is its description in docs/SETTINGS.md.
"""

import msgspec

from merlinstand.control.settings import ControlTimings
from merlinstand.coordinator.settings import (
    DRAIN_SECONDS,
    MAXIMUM_JOURNAL_RECORDS,
    TICK_SECONDS,
    GenerationSettings,
    RolloutSettings,
)
from merlinstand.gateway.settings import (
    AdmissionSettings,
    ClaimSettings,
    HealthSettings,
    RequestSettings,
    StopSettings,
)
from merlinstand.routing.settings import RouterSettings
from merlinstand.runtime.host_settings import HttpLimits, TlsFiles
from merlinstand.session.settings import CoordinatorSessionTimings, SessionTimings


class DeploymentTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[deployment]`."""

    name: str
    """Name of the deployment; informational."""
    region: str
    """Region of the deployment; informational."""
    zones: tuple[str, ...]
    """Zones that processes may be assigned to."""


class ControlTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[[control]]`: one control replica."""

    node: str
    """Name of the process, unique in the file; also the name of its data folder."""
    zone: str
    """Zone it runs in, one of `deployment.zones`."""
    address: str
    """`ip:port` of the internal protocol."""
    http_address: str
    """`ip:port` of the operators' API."""
    health_address: str
    """`ip:port` of `/livez`, `/readyz` and `/metrics`, which are served at no other address."""
    standby: bool = False
    """Not an initial voter; becomes a voter when one is lost."""


class DaemonTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[[gateway]]` or `[[coordinator]]`: one daemon."""

    node: str
    """Name of the process, unique in the file; also the name of its data folder."""
    zone: str
    """Zone it runs in, one of `deployment.zones`."""
    address: str
    """`ip:port` of the internal protocol."""
    http_address: str
    """`ip:port` for callers or trainers."""
    health_address: str
    """`ip:port` of `/livez`, `/readyz` and `/metrics`, which are served at no other address."""


class OperatorsTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[operators]`."""

    token: str = ""
    """Bearer token; required when a control replica's API is not bound to loopback."""


class DataTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[data]`."""

    folder: str = "data"
    """Each process keeps its files in `FOLDER/NODE`; relative to the working directory."""


class PlatformTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[platform]`: services outside the deployment."""

    machine_list: str = ""
    """`ip:port` of the service that lists live and leaving machines."""


class LogsTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[logs]`."""

    level: str = "info"
    """`debug`, `info`, `warning` or `error`."""


class ControlOptions(msgspec.Struct, frozen=True, kw_only=True):
    """`[control_options]`."""

    timings: ControlTimings = ControlTimings()


class GatewayOptions(msgspec.Struct, frozen=True, kw_only=True):
    """`[gateway_options]`."""

    session: SessionTimings = SessionTimings()
    admission: AdmissionSettings = AdmissionSettings()
    requests: RequestSettings = RequestSettings()
    claims: ClaimSettings = ClaimSettings()
    stop: StopSettings = StopSettings()
    health: HealthSettings = HealthSettings()
    routing: RouterSettings = RouterSettings()


class CoordinatorOptions(msgspec.Struct, frozen=True, kw_only=True):
    """`[coordinator_options]`."""

    session: CoordinatorSessionTimings = CoordinatorSessionTimings()
    tick_seconds: float = TICK_SECONDS
    """Interval of the scheduler."""
    maximum_journal_records: int = MAXIMUM_JOURNAL_RECORDS
    """Journal records after which a snapshot replaces them."""
    drain_seconds: float = DRAIN_SECONDS
    """Maximum time a planned stop waits for generations in flight before handing over."""
    generation: GenerationSettings = GenerationSettings()
    rollout: RolloutSettings = RolloutSettings()


class DeploymentSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the deployment file."""

    deployment: DeploymentTable
    control: tuple[ControlTable, ...]
    gateway: tuple[DaemonTable, ...] = ()
    coordinator: tuple[DaemonTable, ...] = ()
    operators: OperatorsTable = OperatorsTable()
    data: DataTable = DataTable()
    platform: PlatformTable = PlatformTable()
    logs: LogsTable = LogsTable()
    http: HttpLimits = HttpLimits()
    tls: TlsFiles | None = None
    control_options: ControlOptions = ControlOptions()
    gateway_options: GatewayOptions = GatewayOptions()
    coordinator_options: CoordinatorOptions = CoordinatorOptions()
