"""Reads and writes typed configuration objects through the operators' client.

A change is based on the revision that was read and refused if the object has changed since.
"""

from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from merlinstand.cli.answers import CommandResult
from merlinstand.cli.errors import MalformedResponseError
from merlinstand.cli.operator_client import OperatorClient
from merlinstand.common.errors import MerlinstandError, NotFoundError
from merlinstand.configuration.objects import OBJECT_TYPES, ConfigurationObject

MUST_NOT_EXIST = 0
"""Expected revision of an object that is to be created."""


class StoredObject(msgspec.Struct, frozen=True):
    """An object and the revision at which it was read."""

    key: str
    revision: int
    value: Any
    """An instance of the key's class."""


Value = TypeVar("Value")


def read_objects(
    client: OperatorClient, prefix: str
) -> Result[tuple[StoredObject, ...], MerlinstandError]:
    """Read all objects whose keys begin with a prefix."""
    answer = client.configuration(prefix)
    if isinstance(answer, Err):
        return answer
    objects: list[StoredObject] = []
    for item in answer.ok_value.objects:
        object_type = OBJECT_TYPES.get(item.key.split("/", 1)[0])
        if object_type is None:
            continue
        try:
            value: Any = msgspec.convert(item.value, object_type)
        except msgspec.ValidationError as error:
            return Err(MalformedResponseError(detail=f"{item.key}: {error}"))
        objects.append(StoredObject(item.key, item.revision, value))
    return Ok(tuple(objects))


def read_object(client: OperatorClient, key: str) -> Result[StoredObject, MerlinstandError]:
    """Read one object."""
    found = read_objects(client, key)
    if isinstance(found, Err):
        return found
    for stored in found.ok_value:
        if stored.key == key:
            return Ok(stored)
    return Err(NotFoundError(detail=f"there is no {key}"))


def put_object(
    client: OperatorClient,
    key: str,
    value: ConfigurationObject,
    base_revision: int,
    change: Any = None,
) -> Result[CommandResult, MerlinstandError]:
    """Create or replace an object, unless it changed meanwhile.

    Args:
        client: Where to send it.
        key: The object's key.
        value: Its new value.
        base_revision: Revision that the change is based on; the operator's own
            `--expected-revision` goes before it.
        change: What the operator asked to change; the whole value if None.
    """
    expected_revision = _choose_revision(client, base_revision)
    return put_object_at_revision(client, key, value, expected_revision, change)


def put_object_at_revision(
    client: OperatorClient,
    key: str,
    value: ConfigurationObject,
    base_revision: int,
    change: Any = None,
) -> Result[CommandResult, MerlinstandError]:
    """Put an object as `put_object` does, whatever `--expected-revision` says."""
    encoded_value = msgspec.to_builtins(value)
    return client.command(
        {
            "command": "put_object",
            "key": key,
            "object": encoded_value,
            "expected_revision": base_revision,
        },
        intent=["put", key, encoded_value if change is None else msgspec.to_builtins(change)],
    )


def delete_object(
    client: OperatorClient, key: str, base_revision: int
) -> Result[CommandResult, MerlinstandError]:
    """Delete an object, unless it changed meanwhile."""
    return client.command(
        {
            "command": "delete_object",
            "key": key,
            "expected_revision": _choose_revision(client, base_revision),
        },
        intent=["delete", key],
    )


def _choose_revision(client: OperatorClient, base_revision: int) -> int:
    requested_revision = client.settings.expected_revision
    return base_revision if requested_revision is None else requested_revision
