"""Finds keys that no Struct declares.

Structs of other packages may accept unknown fields, so the check walks the types itself.
"""

from typing import Any

import msgspec
from msgspec import inspect


class UnknownKey(msgspec.Struct, frozen=True):
    """A key that no Struct declares, most often a misspelt one."""

    path: str
    value: Any
    known_keys: tuple[str, ...]


def find_unknown_key(settings_type: type, raw: Any) -> UnknownKey | None:
    """Return the first unknown key of a decoded file, or None."""
    return _find(inspect.type_info(settings_type), raw, "")


def _find(type_info: inspect.Type, raw: Any, path: str) -> UnknownKey | None:
    if isinstance(type_info, inspect.StructType) and isinstance(raw, dict):
        return _find_in_struct(type_info, raw, path)
    if isinstance(type_info, inspect.CollectionType) and isinstance(raw, list):
        return _first(
            _find(type_info.item_type, item, f"{path}[{index}]") for index, item in enumerate(raw)
        )
    if isinstance(type_info, inspect.VarTupleType) and isinstance(raw, list):
        return _first(
            _find(type_info.item_type, item, f"{path}[{index}]") for index, item in enumerate(raw)
        )
    if isinstance(type_info, inspect.DictType) and isinstance(raw, dict):
        return _first(
            _find(type_info.value_type, value, _join(path, key)) for key, value in raw.items()
        )
    if isinstance(type_info, inspect.UnionType):
        structs = [member for member in type_info.types if isinstance(member, inspect.StructType)]
        # A union of several Structs is resolved by its tag, which msgspec validates.
        return _find(structs[0], raw, path) if len(structs) == 1 else None
    return None


def _find_in_struct(
    type_info: inspect.StructType, raw: dict[str, Any], path: str
) -> UnknownKey | None:
    fields = {field.encode_name: field for field in type_info.fields}
    for key, value in raw.items():
        if key == type_info.tag_field:
            continue
        if key not in fields:
            return UnknownKey(_join(path, key), value, tuple(fields))
        unknown = _find(fields[key].type, value, _join(path, key))
        if unknown is not None:
            return unknown
    return None


def _first(candidates: Any) -> UnknownKey | None:
    return next((key for key in candidates if key is not None), None)


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
