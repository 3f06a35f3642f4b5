"""Which processes a fleet has and how each is started."""

from pathlib import Path

import msgspec
from result import Err, Ok, Result

from merlinstand.settings.daemons import DaemonEntry, list_daemons, load_deployment
from merlinstand.settings.deployment import DeploymentSettings
from merlinstand.settings.errors import SettingsError
from merlinstand_lab.fleet.processes import ProcessSpec, program
from merlinstand_lab.fleet.settings import LabSettings, load_lab_settings
from merlinstand_lab.standins.settings import StandinSettings

_DAEMON_MODULE = "merlinstand.cli.main"
_LAB_MODULE = "merlinstand_lab.cli.main"


class FleetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that a run needs to know beforehand."""

    folder: Path
    """Folder of the settings files."""
    output: Path
    deployment: DeploymentSettings
    lab: LabSettings
    daemons: tuple[DaemonEntry, ...]
    specs: tuple[ProcessSpec, ...]
    """In the order of their start."""

    @property
    def controls(self) -> list[str]:
        """HTTP addresses of the control replicas."""
        return [one.http_address for one in self.daemons if one.role == "control"]

    @property
    def configuration_path(self) -> Path:
        """The objects that an operator applies."""
        return self.folder / "configuration.toml"

    def addresses(self) -> list[str]:
        """Every address that must be free."""
        addresses = [spec.http_address for spec in self.specs]
        addresses += [spec.health_address for spec in self.specs if spec.health_address]
        return addresses + [spec.internal_address for spec in self.specs if spec.internal_address]


def make_plan(
    folder: Path, output: Path, *, with_scripts: bool = False
) -> Result[FleetPlan, SettingsError]:
    """Read the settings of a fleet.

    Args:
        folder: Where the settings files are.
        output: Where records, logs and data of the run go.
        with_scripts: Whether the team's old scripts run beside.
    """
    deployment = load_deployment(str(folder / "merlinstand.toml"))
    if isinstance(deployment, Err):
        return deployment
    lab = load_lab_settings(str(folder / "lab.toml"))
    if isinstance(lab, Err):
        return lab
    daemons = list_daemons(deployment.ok_value)
    platform = [_standin_spec(folder, output, *one) for one in lab.ok_value.platform_standins()]
    users = lab.ok_value.load_standins()
    if with_scripts:
        missing = _missing_scripts(folder, lab.ok_value)
        if missing is not None:
            return Err(missing)
        users = lab.ok_value.old_scripts() + users
    load = [_standin_spec(folder, output, *one) for one in users]
    own = [_daemon_spec(folder, output, daemon) for daemon in daemons]
    plan = FleetPlan(
        folder=folder,
        output=output,
        deployment=deployment.ok_value,
        lab=lab.ok_value,
        daemons=daemons,
        specs=(*platform, *own, *load),
    )
    return Ok(plan)


def _missing_scripts(folder: Path, lab: LabSettings) -> SettingsError | None:
    """Return what a fleet lacks for the old scripts to feed its first trainer."""
    detail = "the settings have no old scripts"
    file = str(folder / "lab.toml")
    if lab.scripts is None:
        return SettingsError(detail=detail, file=file, path="scripts", expected="a table [scripts]")
    if lab.trainer[0].scripts != lab.scripts.address:
        return SettingsError(
            detail=detail,
            file=file,
            path="trainer[0].scripts",
            value=lab.trainer[0].scripts,
            expected=f"the address of [scripts], {lab.scripts.address}",
        )
    return None


def _daemon_spec(folder: Path, output: Path, daemon: DaemonEntry) -> ProcessSpec:
    """Command line of a daemon."""
    return ProcessSpec(
        name=daemon.node_id,
        role=daemon.role,
        arguments=program(
            _DAEMON_MODULE,
            "merlinstand",
            daemon.role,
            "--settings",
            str(folder / "merlinstand.toml"),
            "--node",
            daemon.node_id,
            "--data-folder",
            str(output / "data" / daemon.node_id),
        ),
        http_address=daemon.http_address,
        health_address=daemon.health_address,
        internal_address=daemon.address,
    )


def _standin_spec(folder: Path, output: Path, kind: str, settings: StandinSettings) -> ProcessSpec:
    """Command line of a stand-in."""
    return ProcessSpec(
        name=settings.node_id,
        role=kind,
        arguments=program(
            _LAB_MODULE,
            "merlinstand-lab",
            "standin",
            kind,
            "--settings",
            str(folder / "lab.toml"),
            "--node",
            settings.node_id,
            "--records",
            str(output),
        ),
        http_address=settings.address,
    )
