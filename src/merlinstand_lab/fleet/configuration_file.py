"""`configuration.toml` as the commands of an operator."""

import tomllib
from pathlib import Path
from typing import Any

_NAME_FIELDS = {"pool": "name", "job": "name", "limits": "caller", "drain": "backend_id"}
"""Field of each kind that completes the object's key."""


def read_put_commands(path: Path) -> list[dict[str, object]]:
    """Return one `put_object` command for each object, pools before jobs.

    Raises:
        KeyError: An object has no name, or its kind is unknown.
    """
    document: dict[str, list[dict[str, Any]]] = tomllib.loads(path.read_text())
    commands: list[dict[str, object]] = []
    for kind in sorted(document, key=lambda name: list(_NAME_FIELDS).index(name)):
        for value in document[kind]:
            key = f"{kind}/{value[_NAME_FIELDS[kind]]}"
            commands.append(put_command(key, value, expected_revision=0))
    return commands


def put_command(
    key: str, value: dict[str, Any], expected_revision: int | None
) -> dict[str, object]:
    """Return a `put_object` command."""
    return {
        "command": "put_object",
        "key": key,
        "object": value,
        "expected_revision": expected_revision,
    }


def delete_command(key: str) -> dict[str, object]:
    """Return a `delete_object` command."""
    return {"command": "delete_object", "key": key, "expected_revision": None}
