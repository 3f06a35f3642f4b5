"""Reads the TOML file of configuration objects for `merlinstand config apply`.

Validates each object with the check that control repeats (`control/validation`), so that an
operator sees an error before anything is sent.
"""

import msgspec
from result import Err, Ok, Result

from merlinstand.configuration.objects import (
    ConfigurationObject,
    Job,
    Limits,
    PolicySource,
    Pool,
    encode_object,
)
from merlinstand.control.validation import InvalidObject, check_object
from merlinstand.settings.errors import SettingsError
from merlinstand.settings.toml_file import load_toml


class ConfigurationFile(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the file: `[[pool]]`, `[[job]]` and `[[limits]]` tables."""

    pool: tuple[Pool, ...] = ()
    job: tuple[Job, ...] = ()
    limits: tuple[Limits, ...] = ()


KeyedObject = tuple[str, ConfigurationObject]
"""The key of an object (`KIND/NAME`) and the object."""


def load_configuration(path: str) -> Result[tuple[KeyedObject, ...], SettingsError]:
    """Read and validate a file's objects, ordered with pools before the jobs that refer to them."""
    loaded = load_toml(path, ConfigurationFile)
    if isinstance(loaded, Err):
        return loaded
    content = loaded.ok_value
    objects: list[KeyedObject] = [(f"pool/{pool.name}", pool) for pool in content.pool]
    objects += [(f"limits/{limits.caller}", limits) for limits in content.limits]
    objects += [(f"job/{job.name}", job) for job in content.job]
    seen: set[str] = set()
    for key, _value in objects:
        if key in seen:
            return Err(
                SettingsError(file=path, path=key, expected="each name only once in the file")
            )
        seen.add(key)
    error = _find_error(path, objects)
    return Ok(tuple(objects)) if error is None else Err(error)


def _find_error(path: str, objects: list[KeyedObject]) -> SettingsError | None:
    """Return the error of the first invalid object; control repeats the same checks."""
    for key, value in objects:
        detail = _describe_object_error(key, value)
        if detail:
            return SettingsError(file=path, path=key, expected=f"a valid object ({detail})")
        error = _find_policy_error(path, key, value.policy) if isinstance(value, Job) else None
        if error is not None:
            return error
    return None


def _describe_object_error(key: str, value: ConfigurationObject) -> str:
    try:
        payload = encode_object(value)
    except OverflowError:
        return "an integer is outside 64 bits"
    checked = check_object(key, payload)
    return checked.detail.removeprefix(f"{key}: ") if isinstance(checked, InvalidObject) else ""


def _find_policy_error(path: str, key: str, source: PolicySource) -> SettingsError | None:
    from merlinstand.policy.check import check_policy

    checked = check_policy(source)
    if not isinstance(checked, Err):
        return None
    error = checked.err_value
    return SettingsError(
        file=path,
        path=f"{key}: policy.{error.field}",
        value=repr(getattr(source, error.field)),
        expected=f"a valid policy ({error.detail})",
    )
