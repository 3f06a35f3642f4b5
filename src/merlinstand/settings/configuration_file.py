"""A TOML file of configuration objects, for `merlinstand config apply`."""

import msgspec
from result import Err, Ok, Result

from merlinstand.configuration.objects import ConfigurationObject, Job, Limits, Pool
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
    """Read a file's objects, pools first: jobs name pools."""
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
    return Ok(tuple(objects))
