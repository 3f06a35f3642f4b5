"""Reads and writes typed configuration objects through the operators' client.

A change carries the revision that was read; control refuses it if the object has changed since.
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
"""Expected revision of an object that does not exist yet."""


class StoredObject(msgspec.Struct, frozen=True):
    """An object and its revision, as read from control."""

    key: str
    revision: int
    value: Any
    """Instance of the class that `OBJECT_TYPES` gives for the key."""


Value = TypeVar("Value")


def read_objects(
    client: OperatorClient, prefix: str
) -> Result[tuple[StoredObject, ...], MerlinstandError]:
    """Read all objects whose keys begin with a prefix; objects of unknown types are skipped."""
    response = client.configuration(prefix)
    if isinstance(response, Err):
        return response
    objects: list[StoredObject] = []
    for item in response.ok_value.objects:
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
    """Read the object with this key, or return `NotFoundError`."""
    found = read_objects(client, key)
    if isinstance(found, Err):
        return found
    for stored in found.ok_value:
        if stored.key == key:
            return Ok(stored)
    return Err(NotFoundError(detail=f"{key} does not exist"))


def put_object(
    client: OperatorClient,
    key: str,
    value: ConfigurationObject,
    base_revision: int,
    change: Any = None,
) -> Result[CommandResult, MerlinstandError]:
    """Create or replace an object, unless it has changed since it was read.

    Args:
        client: Client to send the command with.
        key: The object's key.
        value: Its new value.
        base_revision: Revision that the change is based on; the operator's
            `--expected-revision` takes precedence.
        change: The part that the operator asked to change, from which the command id is derived;
            the whole value if None.
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
    """Put an object like `put_object`, but ignore `--expected-revision`."""
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
    """Delete an object, unless it has changed since it was read."""
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
