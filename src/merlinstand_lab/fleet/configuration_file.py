"""Configuration objects as the commands of an operator."""

import msgspec
from result import Err, Ok, Result

from merlinstand.configuration.objects import ConfigurationObject
from merlinstand.settings.configuration_file import load_configuration
from merlinstand.settings.errors import SettingsError


def read_put_commands(path: str) -> Result[list[dict[str, object]], SettingsError]:
    """Return one `put_object` command for each object of a file, pools before jobs."""
    loaded = load_configuration(path)
    if isinstance(loaded, Err):
        return loaded
    return Ok([put_command(key, value, expected_revision=0) for key, value in loaded.ok_value])


def put_command(
    key: str, value: ConfigurationObject, expected_revision: int | None
) -> dict[str, object]:
    """Return a `put_object` command."""
    return {
        "command": "put_object",
        "key": key,
        "object": msgspec.to_builtins(value),
        "expected_revision": expected_revision,
    }


def delete_command(key: str) -> dict[str, object]:
    """Return a `delete_object` command."""
    return {"command": "delete_object", "key": key, "expected_revision": None}
