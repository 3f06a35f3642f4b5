"""One encoded example of everything that leaves a process or is stored, built from its type.

Values follow from a field's place alone: a field or class that is renamed in Python gives the
same bytes, and a field whose encoded name, place, type or default changes gives others.

    python -m tests.pinned.encoded --write     write the examples anew
"""

import enum
import json
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
from msgspec import inspect

from merlinstand.batch_calls import calls as batch_calls
from merlinstand.batch_jobs import state_machine as batch_state
from merlinstand.cold_servers import grants as cold_grants
from merlinstand.configuration import objects as configuration
from merlinstand.consensus import membership
from merlinstand.consensus import records as consensus_records
from merlinstand.control import commands as control_commands
from merlinstand.control import ledger as control_ledger
from merlinstand.control import queries as control_queries
from merlinstand.control import state_machine as control_state
from merlinstand.coordinator import journal as coordinator_journal
from merlinstand.directory import commands as directory_commands
from merlinstand.directory import heartbeat_intake as beat_intake
from merlinstand.directory import state_machine as directory_state
from merlinstand.directory import view
from merlinstand.metering import usage
from merlinstand.protocol.codec import decode_message, encode_message
from merlinstand.protocol.registry import MESSAGE_NAMES, message_class
from merlinstand.quarantine import messages as suspect_news
from merlinstand.session import durable_state
from merlinstand.settings.deployment import DeploymentSettings
from merlinstand_platform.document import read_document
from merlinstand_platform.settings import NodeFile

FOLDER = Path(__file__).parent
EXAMPLES_FILE = FOLDER / "encoded.json"

STORED_AND_SENT: dict[str, Any] = {
    "batch call": batch_calls.BatchCall,
    "batch reply": batch_calls.BatchReply,
    "batch command": batch_state.JobCommand,
    "batch snapshot": batch_state.StoredJobs,
    "pool": configuration.Pool,
    "job": configuration.Job,
    "weights": configuration.Weights,
    "drain": configuration.Drain,
    "limits": configuration.Limits,
    "daemon": configuration.Daemon,
    "consensus record": consensus_records.Record,
    "consensus snapshot": consensus_records.Snapshot,
    "membership": membership.Membership,
    "control command": control_commands.AnyCommand,
    "control outcome": control_commands.AnyOutcome,
    "control log entry": control_state.LoggedCommand,
    "control snapshot": control_state.StateSnapshot,
    "ledger samples": tuple[control_ledger.BatchSample, ...],
    "control query": control_queries.AnyQuery,
    "control answer": control_queries.AnyAnswer,
    "coordinator record": coordinator_journal.SamplesFinished | coordinator_journal.SlotsClosed,
    "heartbeats": beat_intake.HeartbeatBatch,
    "directory command": directory_commands.DirectoryCommand,
    "directory snapshot": directory_state.DirectorySnapshot,
    "directory changes": view.DirectoryChanges,
    "daemon report": view.DaemonReport,
    "server ends": suspect_news.SuspectReport,
    "cold demands": cold_grants.GrantRequests,
    "cold grants": cold_grants.ColdGrants,
    "usage": usage.UsageReport,
    "session record": durable_state.SessionRecord,
}
"""What is encoded as msgpack, by what it is."""
CONFIGURATION_FILE = FOLDER / "configuration.json"
"""An operator's configuration with every field that is read."""
SETTINGS_FILES: dict[str, Any] = {
    "deployment file": DeploymentSettings,
    "platform settings file": NodeFile,
}
"""What is read from files: names, types and defaults."""


class _Values:
    """Gives distinct values, the same ones each time."""

    def __init__(self) -> None:
        self._number = 0

    def number(self) -> int:
        self._number += 1
        return self._number

    def build(self, kind: inspect.Type, depth: int = 0) -> Any:
        """Give a plain value of a type; structures stay mappings, enumerations their values."""
        match kind:
            case inspect.Metadata(type=inner):
                return self.build(inner, depth)
            case inspect.NoneType():
                return None
            case inspect.BoolType():
                return self.number() % 2 == 1
            case inspect.IntType():
                return self.number()
            case inspect.FloatType():
                return self.number() + 0.5
            case inspect.StrType():
                return f"text-{self.number()}"
            case inspect.BytesType():
                return b"bytes-%d" % self.number()
            case inspect.EnumType(cls=cls):
                members: list[enum.Enum] = list(cls)
                return members[self.number() % len(members)].value
            case inspect.LiteralType(values=values):
                return values[self.number() % len(values)]
            case inspect.ListType(item_type=item) | inspect.VarTupleType(item_type=item):
                return [self.build(item, depth + 1) for _ in range(2)]
            case inspect.SetType(item_type=item) | inspect.FrozenSetType(item_type=item):
                return [self.build(item, depth + 1)]
            case inspect.TupleType(item_types=items):
                return [self.build(item, depth + 1) for item in items]
            case inspect.DictType(key_type=key, value_type=value):
                return {self.build(key, depth + 1): self.build(value, depth + 1)}
            case inspect.UnionType(types=types):
                present = [inner for inner in types if not isinstance(inner, inspect.NoneType)]
                return self.build(present[self.number() % len(present)], depth)
            case inspect.StructType():
                return self.struct(kind, depth)
            case inspect.AnyType() | inspect.RawType():
                return {"any": self.number()}
        raise TypeError(f"no example of {kind!r}")

    def struct(self, kind: inspect.StructType, depth: int, only_required: bool = False) -> Any:
        """Give a structure, whole or with nothing that has a default."""
        fields = [field for field in kind.fields if field.required or not only_required]
        if kind.array_like:
            values = [self.build(field.type, depth + 1) for field in fields]
            return values if kind.tag is None else [kind.tag, *values]
        plain: dict[str, Any] = {}
        if kind.tag_field is not None:
            plain[kind.tag_field] = kind.tag
        for field in fields:
            plain[field.encode_name] = self.build(field.type, depth + 1)
        return plain


def _members(kind: inspect.Type) -> tuple[inspect.Type, ...]:
    return kind.types if isinstance(kind, inspect.UnionType) else (kind,)


def plain_examples(kind: Any) -> Iterator[Any]:
    """Give plain values of a type: each member of a union, whole and with required fields only."""
    for member in _members(inspect.type_info(kind)):
        yield _Values().build(member)
        if isinstance(member, inspect.StructType):
            yield _Values().struct(member, 0, only_required=True)


def stored_examples() -> dict[str, list[str]]:
    """Give what is stored and sent, encoded, in hexadecimal."""
    return {
        label: [encode(kind, plain).hex() for plain in plain_examples(kind)]
        for label, kind in STORED_AND_SENT.items()
    }


def encode(kind: Any, plain: Any) -> bytes:
    """Encode a plain value as its type."""
    value = msgspec.convert(plain, kind, builtin_types=(bytes,))
    return msgspec.msgpack.encode(value)


def message_examples() -> dict[str, str]:
    """Give each message between processes, encoded, in hexadecimal."""
    return {name: encode_message(_message(message_class(name))).hex() for name in MESSAGE_NAMES}


def _message(known_class: Any) -> Any:
    values = _Values()
    return _fill(known_class, values)


def _fill(known_class: Any, values: _Values) -> Any:
    message = known_class()
    for spec in known_class.thrift_spec:
        if spec is not None:
            setattr(message, spec[2], _thrift_value(spec[1], spec[3], values))
    return message


def _thrift_value(kind: int, detail: Any, values: _Values) -> Any:
    from thrift.Thrift import TType

    makers: dict[int, Callable[[], Any]] = {
        TType.BOOL: lambda: values.number() % 2 == 1,
        TType.BYTE: values.number,
        TType.I16: values.number,
        TType.I32: values.number,
        TType.I64: values.number,
        TType.DOUBLE: lambda: values.number() + 0.5,
        TType.STRING: lambda: (
            b"bytes-%d" % values.number() if detail == "BINARY" else f"text-{values.number()}"
        ),
        TType.STRUCT: lambda: _fill(detail[0], values),
        TType.LIST: lambda: [_thrift_value(detail[0], detail[1], values) for _ in range(2)],
    }
    return makers[kind]()


def settings_examples() -> dict[str, list[Any]]:
    """Give what settings files are read as: whole, and the defaults of what is left out."""
    return {
        label: [_read_back(kind, plain) for plain in plain_examples(kind)]
        for label, kind in SETTINGS_FILES.items()
    }


def _read_back(kind: Any, plain: Any) -> Any:
    return {"file": plain, "read": msgspec.to_builtins(msgspec.convert(plain, kind), str_keys=True)}


def configuration_example() -> str:
    """Give what an operator's configuration is stored as, in hexadecimal."""
    document = read_document(CONFIGURATION_FILE.read_bytes()).unwrap()
    return msgspec.msgpack.encode(document).hex()


def all_examples() -> dict[str, Any]:
    """Give everything that is pinned."""
    return {
        "messages": message_examples(),
        "stored and sent": stored_examples(),
        "settings": settings_examples(),
        "configuration": configuration_example(),
    }


def pinned() -> dict[str, Any]:
    """Give the examples that are kept in the repository."""
    examples: dict[str, Any] = json.loads(EXAMPLES_FILE.read_text())
    return examples


def decoded_again(label: str, data: bytes) -> bytes:
    """Decode what is stored or sent, and encode it again."""
    return msgspec.msgpack.encode(msgspec.msgpack.decode(data, type=STORED_AND_SENT[label]))


def message_again(data: bytes) -> bytes:
    """Decode a message, and encode it again."""
    return encode_message(decode_message(data).unwrap())


if __name__ == "__main__":
    if sys.argv[1:] == ["--write"]:
        EXAMPLES_FILE.write_text(json.dumps(all_examples(), indent=1) + "\n")
