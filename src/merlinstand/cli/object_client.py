"""Reads and writes typed configuration objects through the operators' client.

A change is based on the revision that was read and refused if the object has changed since.
"""

from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from merlinstand.cli.answers import CommandDone
from merlinstand.cli.errors import MalformedAnswerError
from merlinstand.cli.operator_client import OperatorClient
from merlinstand.common.errors import MerlinstandError, NotFoundError
from merlinstand.configuration.objects import OBJECT_TYPES, ConfigurationObject

MUST_NOT_EXIST = 0
"""Expected revision of an object that is to be created."""


class SeenObject(msgspec.Struct, frozen=True):
    """An object and the revision at which it was read."""

    key: str
    revision: int
    value: Any
    """An instance of the key's class."""


Value = TypeVar("Value")


def read_objects(
    client: OperatorClient, prefix: str
) -> Result[tuple[SeenObject, ...], MerlinstandError]:
    """Read all objects whose keys begin with a prefix."""
    answer = client.configuration(prefix)
    if isinstance(answer, Err):
        return answer
    seen: list[SeenObject] = []
    for item in answer.ok_value.objects:
        object_type = OBJECT_TYPES.get(item.key.split("/", 1)[0])
        if object_type is None:
            continue
        try:
            value: Any = msgspec.convert(item.value, object_type)
        except msgspec.ValidationError as error:
            return Err(MalformedAnswerError(detail=f"{item.key}: {error}"))
        seen.append(SeenObject(item.key, item.revision, value))
    return Ok(tuple(seen))


def read_object(client: OperatorClient, key: str) -> Result[SeenObject, MerlinstandError]:
    """Read one object."""
    found = read_objects(client, key)
    if isinstance(found, Err):
        return found
    for seen in found.ok_value:
        if seen.key == key:
            return Ok(seen)
    return Err(NotFoundError(detail=f"there is no {key}"))


def put_object(
    client: OperatorClient,
    key: str,
    value: ConfigurationObject,
    seen_revision: int,
    change: Any = None,
) -> Result[CommandDone, MerlinstandError]:
    """Create or replace an object, unless it changed meanwhile.

    Args:
        client: Where to send it.
        key: The object's key.
        value: Its new value.
        seen_revision: Revision that the change is based on; the operator's own
            `--expected-revision` goes before it.
        change: What the operator asked to change; the whole value if None.
    """
    expected_revision = _expected(client, seen_revision)
    return put_seen_object(client, key, value, expected_revision, change)


def put_seen_object(
    client: OperatorClient,
    key: str,
    value: ConfigurationObject,
    seen_revision: int,
    change: Any = None,
) -> Result[CommandDone, MerlinstandError]:
    """Put an object as `put_object` does, whatever `--expected-revision` says."""
    wanted = msgspec.to_builtins(value)
    return client.command(
        {
            "command": "put_object",
            "key": key,
            "object": wanted,
            "expected_revision": seen_revision,
        },
        intent=["put", key, wanted if change is None else msgspec.to_builtins(change)],
    )


def delete_object(
    client: OperatorClient, key: str, seen_revision: int
) -> Result[CommandDone, MerlinstandError]:
    """Delete an object, unless it changed meanwhile."""
    return client.command(
        {
            "command": "delete_object",
            "key": key,
            "expected_revision": _expected(client, seen_revision),
        },
        intent=["delete", key],
    )


def _expected(client: OperatorClient, seen_revision: int) -> int:
    given = client.settings.expected_revision
    return seen_revision if given is None else given
