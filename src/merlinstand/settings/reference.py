"""The reference page of settings, made from the Structs and the docstrings of their fields.

A unit is the end of a field's name, a meaning the docstring below it, which is read from the
source.
"""

import ast
import enum
import inspect
import textwrap
from collections.abc import Iterator
from typing import Any, get_origin, get_type_hints

import msgspec

from merlinstand.configuration.objects import Backend, Job, Limits, PolicySource, Pool
from merlinstand.settings.deployment import (
    ControlTable,
    DaemonTable,
    DeploymentSettings,
)

INTRODUCTION = """\
# Settings

Made by `merlinstand settings reference > docs/SETTINGS.md`; a test compares it with the code.
Unknown keys are refused. `merlinstand settings check FILE` checks a deployment file;
`merlinstand config apply FILE` checks a configuration file and puts it in force.
"""

DEPLOYMENT_INTRODUCTION = """\
# The deployment file

One file for all processes of a deployment (`examples/vitrina/merlinstand.toml`). It is read when
a process starts; the flags `--address`, `--http-address`, `--zone` and `--data-folder` go
before it.
"""

CONFIGURATION_INTRODUCTION = """\
# The configuration file

Objects that control replicates and every daemon follows (`examples/vitrina/configuration.toml`).
"""

_NO_UNIT = "-"


class SettingRow(msgspec.Struct, frozen=True):
    """One setting of the reference."""

    key: str
    type_name: str
    unit: str
    default: str
    meaning: str


class SettingTable(msgspec.Struct, frozen=True):
    """One table of a file."""

    heading: str
    meaning: str
    rows: tuple[SettingRow, ...]


def reference_page() -> str:
    """Give the whole page as Markdown."""
    parts = [INTRODUCTION, DEPLOYMENT_INTRODUCTION]
    parts += [_markdown(table) for table in deployment_tables()]
    parts.append(CONFIGURATION_INTRODUCTION)
    parts += [_markdown(table) for table in configuration_tables()]
    return "\n".join(parts)


def deployment_tables() -> tuple[SettingTable, ...]:
    """Give the tables of a deployment file."""
    top = [
        make_table("[[control]]", ControlTable),
        make_table("[[gateway]], [[coordinator]]", DaemonTable),
    ]
    return (*_nested_tables("", DeploymentSettings), *top)


def configuration_tables() -> tuple[SettingTable, ...]:
    """Give the tables of a configuration file."""
    return (
        make_table("[[pool]]", Pool),
        make_table("[[pool.backends]]", Backend),
        make_table("[[job]]", Job),
        make_table("[job.policy], or a policy file", PolicySource),
        make_table("[[limits]]", Limits),
    )


def make_table(heading: str, struct: type[msgspec.Struct]) -> SettingTable:
    """Describe the values of one Struct; nested Structs have tables of their own."""
    meanings: dict[str, str] = {}
    for base in reversed(struct.__mro__[: struct.__mro__.index(msgspec.Struct)]):
        meanings.update(field_docstrings(base))
    hints = get_type_hints(struct)
    rows = tuple(
        SettingRow(
            key=field.name,
            type_name=_type_name(hints[field.name]),
            unit=_unit(field.name, hints[field.name]),
            default=_default(field),
            meaning=meanings.get(field.name, ""),
        )
        for field in msgspec.structs.fields(struct)
        if _struct_in(hints[field.name]) is None
    )
    return SettingTable(heading, _first_line(struct), rows)


def field_docstrings(struct: type) -> dict[str, str]:
    """Read the docstrings that stand below the fields of a class."""
    (definition,) = ast.parse(textwrap.dedent(inspect.getsource(struct))).body
    assert isinstance(definition, ast.ClassDef)
    found: dict[str, str] = {}
    for field, following in zip(definition.body, definition.body[1:], strict=False):
        if not (isinstance(field, ast.AnnAssign) and isinstance(field.target, ast.Name)):
            continue
        if isinstance(following, ast.Expr) and isinstance(following.value, ast.Constant):
            found[field.target.id] = " ".join(str(following.value.value).split())
    return found


def _nested_tables(path: str, struct: type[msgspec.Struct]) -> Iterator[SettingTable]:
    hints = get_type_hints(struct)
    for field in msgspec.structs.fields(struct):
        nested = _struct_in(hints[field.name])
        if nested is None or nested in (ControlTable, DaemonTable):
            continue
        place = f"{path}.{field.name}" if path else field.name
        table = make_table(f"[{place}]", nested)
        if table.rows:
            yield table
        yield from _nested_tables(place, nested)


def _struct_in(hint: Any) -> type[msgspec.Struct] | None:
    """Give the Struct that a hint names, also within a tuple or beside None."""
    for candidate in (hint, *getattr(hint, "__args__", ())):
        if isinstance(candidate, type) and issubclass(candidate, msgspec.Struct):
            return candidate
    return None


def _type_name(hint: Any) -> str:
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return "string"
    names = {str: "string", int: "integer", float: "number", bool: "boolean"}
    if hint in names:
        return names[hint]
    arguments = [one for one in hint.__args__ if one is not Ellipsis and one is not type(None)]
    inner = _type_name(arguments[0])
    return f"list of {inner}s" if get_origin(hint) is tuple else inner


def _unit(key: str, hint: Any) -> str:
    if _type_name(hint) not in ("integer", "number"):
        return _NO_UNIT
    suffixes = {"_per_second": "1/s", "_seconds": "s", "_bytes": "bytes", "_versions": "versions"}
    for suffix, unit in suffixes.items():
        if key.endswith(suffix):
            return unit
    return "count" if _type_name(hint) == "integer" else "ratio"


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    value = field.default
    if isinstance(value, enum.Enum):
        value = value.value
    if value is None:
        return "none"
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    if isinstance(value, tuple):
        return "`[" + ", ".join(f'"{one}"' for one in value) + "]`"
    return f'`"{value}"`' if isinstance(value, str) else f"`{value}`"


def _first_line(struct: type) -> str:
    lines = inspect.getdoc(struct) or ""
    first = lines.split("\n\n")[0].replace("\n", " ")
    # Docstrings of tables begin with the table's name, which the heading has already.
    _place, colon, rest = first.partition("`: ")
    return rest[:1].upper() + rest[1:] if colon else ("" if first.startswith("`[") else first)


def _markdown(table: SettingTable) -> str:
    lines = [f"## `{table.heading}`", ""]
    if table.meaning:
        lines += [table.meaning, ""]
    lines += ["| key | type | unit | default | meaning |", "|---|---|---|---|---|"]
    for row in table.rows:
        meaning = row.meaning.replace("|", "\\|")
        lines.append(f"| `{row.key}` | {row.type_name} | {row.unit} | {row.default} | {meaning} |")
    return "\n".join(lines) + "\n"
