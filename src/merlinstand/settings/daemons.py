"""From the deployment file to the settings of single daemons.

Read by the command line when it runs a daemon or looks for control, and by the laboratory. Each
role gets a `HostSettings` for the runtime and the settings of its own package.
"""

from pathlib import Path
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from merlinstand.common.errors import NotFoundError
from merlinstand.control.settings import ControlMember, ControlSettings
from merlinstand.coordinator.settings import CoordinatorSettings
from merlinstand.gateway.settings import GatewaySettings
from merlinstand.runtime.host_settings import HostSettings, TlsFiles
from merlinstand.settings.checks import check_deployment
from merlinstand.settings.deployment import (
    ControlTable,
    DaemonTable,
    DeploymentSettings,
)
from merlinstand.settings.errors import SettingsError
from merlinstand.settings.toml_file import load_toml

Table = TypeVar("Table", ControlTable, DaemonTable)

NODE_PLACEHOLDER = "{node}"
"""Stands for the process's name in the paths of `[tls]`."""


class Overrides(msgspec.Struct, frozen=True, kw_only=True):
    """What flags of the command line put in place of the file's values; empty = the file's."""

    address: str = ""
    http_address: str = ""
    zone: str = ""


class DaemonEntry(msgspec.Struct, frozen=True):
    """One daemon of a deployment, for those who start or reach them."""

    role: str
    """`control`, `gateway` or `coordinator`."""
    node_id: str
    zone: str
    address: str
    http_address: str
    standby: bool = False


class ControlDaemonSettings(msgspec.Struct, frozen=True):
    """Everything a control process needs."""

    host: HostSettings
    role: ControlSettings


class GatewayDaemonSettings(msgspec.Struct, frozen=True):
    """Everything a gateway process needs."""

    host: HostSettings
    role: GatewaySettings


class CoordinatorDaemonSettings(msgspec.Struct, frozen=True):
    """Everything a coordinator process needs."""

    host: HostSettings
    role: CoordinatorSettings


def load_deployment(path: str) -> Result[DeploymentSettings, SettingsError]:
    """Read and check a deployment file."""
    loaded = load_toml(path, DeploymentSettings)
    if isinstance(loaded, Err):
        return loaded
    fault = check_deployment(path, loaded.ok_value)
    return loaded if fault is None else Err(fault)


def override_node(
    path: str, settings: DeploymentSettings, node: str, overrides: Overrides
) -> Result[DeploymentSettings, SettingsError]:
    """Put flags in place of the file's values for one node, and check the whole again."""
    changed = msgspec.structs.replace(
        settings,
        control=_override_one(settings.control, node, overrides),
        gateway=_override_one(settings.gateway, node, overrides),
        coordinator=_override_one(settings.coordinator, node, overrides),
    )
    fault = check_deployment(f"{path} with the flags given", changed)
    return Ok(changed) if fault is None else Err(fault)


def list_daemons(settings: DeploymentSettings) -> tuple[DaemonEntry, ...]:
    """Give all daemons of a deployment, control first."""
    entries = [
        DaemonEntry(
            "control", table.node, table.zone, table.address, table.http_address, table.standby
        )
        for table in settings.control
    ]
    for role, tables in (("gateway", settings.gateway), ("coordinator", settings.coordinator)):
        entries += [
            DaemonEntry(role, table.node, table.zone, table.address, table.http_address)
            for table in tables
        ]
    return tuple(entries)


def control_daemon(
    settings: DeploymentSettings, node: str, data_folder: str = ""
) -> Result[ControlDaemonSettings, NotFoundError]:
    """Give the settings of one control replica; the folder goes before the file's."""
    found = _find(settings.control, node, "control")
    if isinstance(found, Err):
        return found
    table = found.ok_value
    role = ControlSettings(
        node_id=node,
        zone=table.zone,
        members=tuple(_member(one) for one in settings.control if not one.standby),
        standbys=tuple(_member(one) for one in settings.control if one.standby),
        http_address=table.http_address,
        operator_token=settings.operators.token,
        timings=settings.control_options.timings,
    )
    return Ok(ControlDaemonSettings(_host_settings(settings, table, data_folder), role))


def gateway_daemon(
    settings: DeploymentSettings, node: str, data_folder: str = ""
) -> Result[GatewayDaemonSettings, NotFoundError]:
    """Give the settings of one gateway; the folder goes before the file's."""
    found = _find(settings.gateway, node, "gateway")
    if isinstance(found, Err):
        return found
    table = found.ok_value
    options = msgspec.structs.asdict(settings.gateway_options)
    role = GatewaySettings(**_identity(settings, table), **options)
    return Ok(GatewayDaemonSettings(_host_settings(settings, table, data_folder), role))


def coordinator_daemon(
    settings: DeploymentSettings, node: str, data_folder: str = ""
) -> Result[CoordinatorDaemonSettings, NotFoundError]:
    """Give the settings of one coordinator; the folder goes before the file's."""
    found = _find(settings.coordinator, node, "coordinator")
    if isinstance(found, Err):
        return found
    table = found.ok_value
    options = msgspec.structs.asdict(settings.coordinator_options)
    role = CoordinatorSettings(**_identity(settings, table), **options)
    return Ok(CoordinatorDaemonSettings(_host_settings(settings, table, data_folder), role))


def _find(tables: tuple[Table, ...], node: str, role: str) -> Result[Table, NotFoundError]:
    for table in tables:
        if table.node == node:
            return Ok(table)
    known = ", ".join(table.node for table in tables) or "none"
    return Err(NotFoundError(detail=f"no [[{role}]] with node = {node!r}; there are: {known}"))


def _identity(settings: DeploymentSettings, table: DaemonTable) -> dict[str, Any]:
    """Give the fields of `DaemonSettings`; the others are those of the role's options."""
    return {
        "node_id": table.node,
        "zone": table.zone,
        "address": table.address,
        "http_address": table.http_address,
        "control_members": _control_members(settings),
        "peers": _relays(settings, table.node),
        "machine_list_address": settings.platform.machine_list,
    }


def _override_one(tables: tuple[Table, ...], node: str, overrides: Overrides) -> tuple[Table, ...]:
    return tuple(
        msgspec.structs.replace(
            table,
            address=overrides.address or table.address,
            http_address=overrides.http_address or table.http_address,
            zone=overrides.zone or table.zone,
        )
        if table.node == node
        else table
        for table in tables
    )


def _host_settings(
    settings: DeploymentSettings, table: ControlTable | DaemonTable, data_folder: str
) -> HostSettings:
    folder = data_folder or str(Path(settings.data.folder) / table.node)
    return HostSettings(
        node_id=table.node,
        http_address=table.http_address,
        internal_address=table.address,
        data_folder=folder,
        peers={
            one.node_id: one.address for one in list_daemons(settings) if one.node_id != table.node
        },
        http_limits=settings.http,
        tls=None if settings.tls is None else _own_tls(settings.tls, table.node),
        log_level=settings.logs.level,
    )


def _own_tls(files: TlsFiles, node: str) -> TlsFiles:
    return msgspec.structs.replace(
        files,
        certificate=files.certificate.replace(NODE_PLACEHOLDER, node),
        private_key=files.private_key.replace(NODE_PLACEHOLDER, node),
    )


def _control_members(settings: DeploymentSettings) -> tuple[ControlMember, ...]:
    return tuple(_member(table) for table in settings.control)


def _relays(settings: DeploymentSettings, node: str) -> tuple[ControlMember, ...]:
    """Give the daemons that may pass the configuration on to this one."""
    return tuple(
        _member(table) for table in settings.gateway + settings.coordinator if table.node != node
    )


def _member(table: ControlTable | DaemonTable) -> ControlMember:
    return ControlMember(table.node, table.address, table.zone, table.http_address)
