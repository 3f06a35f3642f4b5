"""Checks of a deployment file that go beyond the types of single values.

Pure. The first fault is told, with its place in the file.
"""

from collections.abc import Iterator

from result import Err

from merlinstand.runtime.addresses import parse_address
from merlinstand.settings.deployment import ControlTable, DaemonTable, DeploymentSettings
from merlinstand.settings.errors import Fault, SettingsError
from merlinstand.settings.numbers import check_numbers

LOG_LEVELS = ("debug", "info", "warning", "error")


def check_deployment(file: str, settings: DeploymentSettings) -> SettingsError | None:
    """Give the first fault, if there is one.

    Args:
        file: The file's name, for the error.
        settings: What was read from it.
    """
    for check in (_check_members, _check_nodes, _check_addresses, _check_rest, check_numbers):
        fault = next(check(settings), None)
        if fault is not None:
            return SettingsError(
                file=file, path=fault.path, value=repr(fault.value), expected=fault.expected
            )
    return None


def _check_members(settings: DeploymentSettings) -> Iterator[Fault]:
    voters = [table for table in settings.control if not table.standby]
    if len(voters) % 2 == 0:
        yield Fault("control", len(voters), "an odd number of replicas with standby = false")


def _check_nodes(settings: DeploymentSettings) -> Iterator[Fault]:
    seen: set[str] = set()
    for path, table in _tables(settings):
        if not table.node or "/" in table.node or table.node.startswith("."):
            yield Fault(f"{path}.node", table.node, "a name that can be a folder's name")
        if table.node in seen:
            yield Fault(f"{path}.node", table.node, "a name used only once in the file")
        seen.add(table.node)
        if table.zone not in settings.deployment.zones:
            yield Fault(
                f"{path}.zone", table.zone, f"one of {', '.join(settings.deployment.zones)}"
            )


def _check_addresses(settings: DeploymentSettings) -> Iterator[Fault]:
    seen: set[str] = set()
    for path, table in _tables(settings):
        for key, address in (("address", table.address), ("http_address", table.http_address)):
            parsed = parse_address(address)
            if isinstance(parsed, Err):
                yield Fault(f"{path}.{key}", address, "ip:port")
            elif address in seen and parsed.ok_value.port:
                yield Fault(f"{path}.{key}", address, "an address used only once in the file")
            seen.add(address)
    machine_list = settings.platform.machine_list
    if machine_list and isinstance(parse_address(machine_list), Err):
        yield Fault("platform.machine_list", machine_list, "ip:port, or empty")


def _check_rest(settings: DeploymentSettings) -> Iterator[Fault]:
    if settings.logs.level not in LOG_LEVELS:
        yield Fault("logs.level", settings.logs.level, f"one of {', '.join(LOG_LEVELS)}")
    if settings.operators.token:
        return
    for number, table in enumerate(settings.control):
        address = parse_address(table.http_address)
        if not isinstance(address, Err) and not address.ok_value.is_loopback():
            expected = f"a token, because control[{number}].http_address is not on loopback"
            yield Fault("operators.token", "", expected)


def _tables(settings: DeploymentSettings) -> Iterator[tuple[str, ControlTable | DaemonTable]]:
    for name in ("control", "gateway", "coordinator"):
        for number, table in enumerate(getattr(settings, name)):
            yield f"{name}[{number}]", table
