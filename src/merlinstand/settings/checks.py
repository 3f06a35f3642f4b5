"""Validation of a deployment file beyond the types of single values.

Has no side effects. Only the first invalid value is reported, with its path in the file.
"""

from collections.abc import Iterator

from result import Err

from merlinstand.runtime.addresses import parse_address
from merlinstand.settings.deployment import ControlTable, DaemonTable, DeploymentSettings
from merlinstand.settings.errors import InvalidValue, SettingsError
from merlinstand.settings.numbers import check_numbers

LOG_LEVELS = ("debug", "info", "warning", "error")
_ADDRESS_KEYS = ("address", "http_address", "health_address")


def check_deployment(file: str, settings: DeploymentSettings) -> SettingsError | None:
    """Return an error for the first invalid value, or None if the settings are valid.

    Args:
        file: File name, for the error.
        settings: The decoded file.
    """
    for check in (
        _check_voter_count,
        _check_node_names_and_zones,
        _check_addresses,
        _check_logs_and_operators,
        check_numbers,
    ):
        invalid = next(check(settings), None)
        if invalid is not None:
            return SettingsError(
                file=file, path=invalid.path, value=repr(invalid.value), expected=invalid.expected
            )
    return None


def _check_voter_count(settings: DeploymentSettings) -> Iterator[InvalidValue]:
    voters = [table for table in settings.control if not table.standby]
    if len(voters) % 2 == 0:
        yield InvalidValue("control", len(voters), "an odd number of replicas with standby = false")


def _check_node_names_and_zones(settings: DeploymentSettings) -> Iterator[InvalidValue]:
    seen: set[str] = set()
    for path, table in _iterate_process_tables(settings):
        if not table.node or "/" in table.node or table.node.startswith("."):
            yield InvalidValue(f"{path}.node", table.node, "a name that is a valid folder name")
        if table.node in seen:
            yield InvalidValue(f"{path}.node", table.node, "a name used only once in the file")
        seen.add(table.node)
        if table.zone not in settings.deployment.zones:
            yield InvalidValue(
                f"{path}.zone", table.zone, f"one of {', '.join(settings.deployment.zones)}"
            )


def _check_addresses(settings: DeploymentSettings) -> Iterator[InvalidValue]:
    seen: set[str] = set()
    for path, table in _iterate_process_tables(settings):
        for key in _ADDRESS_KEYS:
            address: str = getattr(table, key)
            parsed = parse_address(address)
            if isinstance(parsed, Err):
                yield InvalidValue(f"{path}.{key}", address, "ip:port")
            elif address in seen and parsed.ok_value.port:
                yield InvalidValue(
                    f"{path}.{key}", address, "an address used only once in the file"
                )
            seen.add(address)
    machine_list = settings.platform.machine_list
    if machine_list and isinstance(parse_address(machine_list), Err):
        yield InvalidValue("platform.machine_list", machine_list, "ip:port, or empty")


def _check_logs_and_operators(settings: DeploymentSettings) -> Iterator[InvalidValue]:
    if settings.logs.level not in LOG_LEVELS:
        yield InvalidValue("logs.level", settings.logs.level, f"one of {', '.join(LOG_LEVELS)}")
    if settings.operators.token:
        return
    for index, table in enumerate(settings.control):
        address = parse_address(table.http_address)
        if not isinstance(address, Err) and not address.ok_value.is_loopback():
            expected = f"a token, because control[{index}].http_address is not on loopback"
            yield InvalidValue("operators.token", "", expected)


def _iterate_process_tables(
    settings: DeploymentSettings,
) -> Iterator[tuple[str, ControlTable | DaemonTable]]:
    for name in ("control", "gateway", "coordinator"):
        for index, table in enumerate(getattr(settings, name)):
            yield f"{name}[{index}]", table
