"""A TOML file of configuration objects, for `merlinstand config apply`.

Checks each object as control will do again (`control/validation`), so that an operator hears of a
fault before anything is sent.
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
    """The whole file: `[[pool]]`, `[[job]]` and `[[limits]]` tables."""

    pool: tuple[Pool, ...] = ()
    job: tuple[Job, ...] = ()
    limits: tuple[Limits, ...] = ()


KeyedObject = tuple[str, ConfigurationObject]
"""An object with its key."""


def load_configuration(path: str) -> Result[tuple[KeyedObject, ...], SettingsError]:
    """Read and check a file's objects, pools first: jobs name pools."""
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
    fault = _find_fault(path, objects)
    return Ok(tuple(objects)) if fault is None else Err(fault)


def _find_fault(path: str, objects: list[KeyedObject]) -> SettingsError | None:
    """Check each object by itself, as control will do again."""
    for key, value in objects:
        detail = _object_fault(key, value)
        if detail:
            return SettingsError(file=path, path=key, expected=f"a valid object ({detail})")
        fault = _policy_fault(path, key, value.policy) if isinstance(value, Job) else None
        if fault is not None:
            return fault
    return None


def _object_fault(key: str, value: ConfigurationObject) -> str:
    try:
        payload = encode_object(value)
    except OverflowError:
        return "an integer is outside 64 bits"
    checked = check_object(key, payload)
    return checked.detail.removeprefix(f"{key}: ") if isinstance(checked, InvalidObject) else ""


def _policy_fault(path: str, key: str, source: PolicySource) -> SettingsError | None:
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
