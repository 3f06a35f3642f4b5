"""Derives the settings of each daemon from the deployment file.

Used by the command line to run a daemon or to find control, and by the laboratory. Each role gets
a `HostSettings` for the runtime and the settings of its own package.
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
"""Replaced by the process's name in the paths of `[tls]`."""


class Overrides(msgspec.Struct, frozen=True, kw_only=True):
    """Command-line flags that override the file's values; an empty string keeps the value."""

    address: str = ""
    http_address: str = ""
    health_address: str = ""
    zone: str = ""


class DaemonEntry(msgspec.Struct, frozen=True):
    """Name and addresses of one daemon, for code that starts or connects to it."""

    role: str
    """`control`, `gateway` or `coordinator`."""
    node_id: str
    zone: str
    address: str
    http_address: str
    health_address: str
    standby: bool = False


class ControlDaemonSettings(msgspec.Struct, frozen=True):
    """Settings of a control process."""

    host: HostSettings
    role: ControlSettings


class GatewayDaemonSettings(msgspec.Struct, frozen=True):
    """Settings of a gateway process."""

    host: HostSettings
    role: GatewaySettings


class CoordinatorDaemonSettings(msgspec.Struct, frozen=True):
    """Settings of a coordinator process."""

    host: HostSettings
    role: CoordinatorSettings


def load_deployment(path: str) -> Result[DeploymentSettings, SettingsError]:
    """Read and validate a deployment file."""
    loaded = load_toml(path, DeploymentSettings)
    if isinstance(loaded, Err):
        return loaded
    error = check_deployment(path, loaded.ok_value)
    return loaded if error is None else Err(error)


def override_node(
    path: str, settings: DeploymentSettings, node: str, overrides: Overrides
) -> Result[DeploymentSettings, SettingsError]:
    """Override the file's values for one node and validate all settings again."""
    changed = msgspec.structs.replace(
        settings,
        control=_override_tables(settings.control, node, overrides),
        gateway=_override_tables(settings.gateway, node, overrides),
        coordinator=_override_tables(settings.coordinator, node, overrides),
    )
    error = check_deployment(f"{path} with the flags given", changed)
    return Ok(changed) if error is None else Err(error)


def list_daemons(settings: DeploymentSettings) -> tuple[DaemonEntry, ...]:
    """Return all daemons of a deployment, control replicas first."""
    entries = [
        DaemonEntry(
            "control",
            table.node,
            table.zone,
            table.address,
            table.http_address,
            table.health_address,
            table.standby,
        )
        for table in settings.control
    ]
    for role, tables in (("gateway", settings.gateway), ("coordinator", settings.coordinator)):
        entries += [
            DaemonEntry(
                role,
                table.node,
                table.zone,
                table.address,
                table.http_address,
                table.health_address,
            )
            for table in tables
        ]
    return tuple(entries)


def control_daemon(
    settings: DeploymentSettings, node: str, data_folder: str = ""
) -> Result[ControlDaemonSettings, NotFoundError]:
    """Return the settings of one control replica; a `data_folder` overrides the file."""
    found = _find_table(settings.control, node, "control")
    if isinstance(found, Err):
        return found
    table = found.ok_value
    role = ControlSettings(
        node_id=node,
        zone=table.zone,
        members=tuple(_make_member(member) for member in settings.control if not member.standby),
        standbys=tuple(_make_member(member) for member in settings.control if member.standby),
        http_address=table.http_address,
        operator_token=settings.operators.token,
        timings=settings.control_options.timings,
    )
    return Ok(ControlDaemonSettings(_host_settings(settings, table, data_folder), role))


def gateway_daemon(
    settings: DeploymentSettings, node: str, data_folder: str = ""
) -> Result[GatewayDaemonSettings, NotFoundError]:
    """Return the settings of one gateway; a `data_folder` overrides the file."""
    found = _find_table(settings.gateway, node, "gateway")
    if isinstance(found, Err):
        return found
    table = found.ok_value
    options = msgspec.structs.asdict(settings.gateway_options)
    role = GatewaySettings(**_make_common_fields(settings, table), **options)
    return Ok(GatewayDaemonSettings(_host_settings(settings, table, data_folder), role))


def coordinator_daemon(
    settings: DeploymentSettings, node: str, data_folder: str = ""
) -> Result[CoordinatorDaemonSettings, NotFoundError]:
    """Return the settings of one coordinator; a `data_folder` overrides the file."""
    found = _find_table(settings.coordinator, node, "coordinator")
    if isinstance(found, Err):
        return found
    table = found.ok_value
    options = msgspec.structs.asdict(settings.coordinator_options)
    role = CoordinatorSettings(**_make_common_fields(settings, table), **options)
    return Ok(CoordinatorDaemonSettings(_host_settings(settings, table, data_folder), role))


def _find_table(tables: tuple[Table, ...], node: str, role: str) -> Result[Table, NotFoundError]:
    for table in tables:
        if table.node == node:
            return Ok(table)
    known = ", ".join(table.node for table in tables) or "none"
    return Err(NotFoundError(detail=f"no [[{role}]] with node = {node!r}; known nodes: {known}"))


def _make_common_fields(settings: DeploymentSettings, table: DaemonTable) -> dict[str, Any]:
    """Return the fields of `DaemonSettings`; the role's options supply the remaining fields."""
    return {
        "node_id": table.node,
        "zone": table.zone,
        "address": table.address,
        "http_address": table.http_address,
        "control_members": _list_control_members(settings),
        "peers": _list_configuration_peers(settings, table.node),
        "machine_list_address": settings.platform.machine_list,
    }


def _override_tables(
    tables: tuple[Table, ...], node: str, overrides: Overrides
) -> tuple[Table, ...]:
    return tuple(
        msgspec.structs.replace(
            table,
            address=overrides.address or table.address,
            http_address=overrides.http_address or table.http_address,
            health_address=overrides.health_address or table.health_address,
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
        health_address=table.health_address,
        internal_address=table.address,
        data_folder=folder,
        peers={
            peer.node_id: peer.address
            for peer in list_daemons(settings)
            if peer.node_id != table.node
        },
        http_limits=settings.http,
        tls=None if settings.tls is None else _make_node_tls(settings.tls, table.node),
        log_level=settings.logs.level,
    )


def _make_node_tls(files: TlsFiles, node: str) -> TlsFiles:
    return msgspec.structs.replace(
        files,
        certificate=files.certificate.replace(NODE_PLACEHOLDER, node),
        private_key=files.private_key.replace(NODE_PLACEHOLDER, node),
    )


def _list_control_members(settings: DeploymentSettings) -> tuple[ControlMember, ...]:
    return tuple(_make_member(table) for table in settings.control)


def _list_configuration_peers(settings: DeploymentSettings, node: str) -> tuple[ControlMember, ...]:
    """Return the daemons that may relay the configuration to this one."""
    return tuple(
        _make_member(table)
        for table in settings.gateway + settings.coordinator
        if table.node != node
    )


def _make_member(table: ControlTable | DaemonTable) -> ControlMember:
    return ControlMember(table.node, table.address, table.zone, table.http_address)
