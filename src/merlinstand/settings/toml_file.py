"""Reads a TOML file into a typed Struct and rejects unknown keys.

Every problem becomes a `SettingsError` with the file, the path in it, the value found and what was
expected.
"""

import re
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from merlinstand.settings.errors import (
    MAXIMUM_SHOWN_CHARACTERS,
    SettingsError,
    make_unreadable_file_error,
)
from merlinstand.settings.unknown_keys import find_unknown_key

Settings = TypeVar("Settings")

_VALIDATION_MESSAGE = re.compile(r"^(?P<problem>.*?)(?: - at `\$(?P<path>[^`]*)`)?$", re.DOTALL)
_PATH_PART = re.compile(r"\[(\d+)\]|\.?([^.\[\]]+)")


def load_toml(path: str, settings_type: type[Settings]) -> Result[Settings, SettingsError]:
    """Read and validate a file.

    Args:
        path: Path of the TOML file.
        settings_type: A msgspec Struct class.

    Returns:
        The settings, or the first error with its path in the file.
    """
    content = _read(path)
    if isinstance(content, Err):
        return content
    raw = content.ok_value
    unknown = find_unknown_key(settings_type, raw)
    if unknown is not None:
        return Err(
            SettingsError(
                file=path,
                path=unknown.path,
                value=_format_value(unknown.value),
                expected=f"one of the keys {', '.join(unknown.known_keys)}",
            )
        )
    try:
        return Ok(msgspec.convert(raw, settings_type))
    except msgspec.ValidationError as error:
        return Err(_make_validation_error(path, raw, str(error)))


def _read(path: str) -> Result[dict[str, Any], SettingsError]:
    try:
        text = Path(path).read_bytes().decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(make_unreadable_file_error(path, error))
    try:
        return Ok(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        return Err(SettingsError(file=path, expected=f"TOML ({error})"))


def _make_validation_error(path: str, raw: dict[str, Any], message: str) -> SettingsError:
    match = _VALIDATION_MESSAGE.match(message)
    problem = match["problem"] if match else message
    key_path = ((match["path"] if match else None) or "").removeprefix(".")
    missing = re.match(r"Object missing required field `([^`]+)`", problem)
    if missing:
        key = missing[1]
        key_path = f"{key_path}.{key}" if key_path else key
        return SettingsError(file=path, path=key_path, expected="a value (the key is missing)")
    expected = re.sub(r"^Expected ", "", problem).split(", got ")[0]
    return SettingsError(
        file=path, path=key_path, value=_format_value(_value_at(raw, key_path)), expected=expected
    )


def _value_at(raw: Any, key_path: str) -> Any:
    for index, key in _PATH_PART.findall(key_path):
        try:
            raw = raw[int(index)] if index else raw[key]
        except (KeyError, IndexError, TypeError):
            return None
    return raw


def _format_value(value: Any) -> str:
    if value is None:
        return ""
    text = repr(value)
    return (
        text
        if len(text) <= MAXIMUM_SHOWN_CHARACTERS
        else text[: MAXIMUM_SHOWN_CHARACTERS - 1] + "…"
    )
