"""All records of one run, real or simulated."""

from collections.abc import Iterable
from pathlib import Path
from typing import TypeVar, cast

import msgspec

from merlinstand_lab.records.kinds import (
    STREAM_TYPES,
    ActivationRecord,
    BackendStateRecord,
    CallerRecord,
    FaultRecord,
    GenerationRecord,
    MachineRecord,
    MemoryRecord,
    OperatorRecord,
    Record,
    RunRecord,
    SampleRecord,
    ServiceRecord,
    StartRecord,
    StepRecord,
    StopRecord,
    StoreRecord,
)

AnyRecord = TypeVar("AnyRecord", bound=Record)


class UnreadableLine(msgspec.Struct, frozen=True):
    """A line that is no record of its stream."""

    stream: str
    line_number: int
    detail: str


class RecordSet:
    """Records by stream, in the order they were written."""

    def __init__(self) -> None:
        """Begin empty."""
        self._streams: dict[str, list[Record]] = {}
        self.unreadable: list[UnreadableLine] = []

    @classmethod
    def load(cls, folder: Path) -> "RecordSet":
        """Read every `*.jsonl` of a folder."""
        records = cls()
        for path in sorted(folder.glob("*.jsonl")):
            records._load_stream(path)
        return records

    def add(self, stream: str, record: Record) -> None:
        """Add one record."""
        self._streams.setdefault(stream, []).append(record)

    def streams(self) -> list[tuple[str, list[Record]]]:
        """Return the streams with their records."""
        return sorted(self._streams.items())

    def of_kind(self, kind: str, record_type: type[AnyRecord]) -> list[AnyRecord]:
        """Return the records of every stream of a kind."""
        assert STREAM_TYPES[kind] is record_type
        found: list[AnyRecord] = []
        for stream, records in sorted(self._streams.items()):
            if stream_kind(stream) == kind:
                found += cast(Iterable[AnyRecord], records)
        return found

    @property
    def samples(self) -> list[SampleRecord]:
        """Samples received by trainers."""
        return self.of_kind("trainer", SampleRecord)

    @property
    def steps(self) -> list[StepRecord]:
        """Steps of trainers."""
        return self.of_kind("idle", StepRecord)

    @property
    def generations(self) -> list[GenerationRecord]:
        """Generations that ended at engines."""
        return self.of_kind("engine", GenerationRecord)

    @property
    def starts(self) -> list[StartRecord]:
        """Requests begun by back ends."""
        return self.of_kind("started", StartRecord)

    @property
    def activations(self) -> list[ActivationRecord]:
        """Versions that engines began to serve."""
        return self.of_kind("versions", ActivationRecord)

    @property
    def services(self) -> list[ServiceRecord]:
        """Requests run by services."""
        return self.of_kind("service", ServiceRecord)

    @property
    def callers(self) -> list[CallerRecord]:
        """Requests sent by callers."""
        return self.of_kind("callers", CallerRecord)

    @property
    def stored(self) -> list[StoreRecord]:
        """Versions put into the store."""
        return self.of_kind("store", StoreRecord)

    @property
    def operators(self) -> list[OperatorRecord]:
        """Commands of operators."""
        return self.of_kind("operators", OperatorRecord)

    @property
    def states(self) -> list[BackendStateRecord]:
        """States that back ends reported."""
        return self.of_kind("state", BackendStateRecord)

    @property
    def machines(self) -> list[MachineRecord]:
        """Changes of the platform's list."""
        return self.of_kind("machines", MachineRecord)

    @property
    def stops(self) -> list[StopRecord]:
        """Planned stops."""
        return self.of_kind("stops", StopRecord)

    @property
    def faults(self) -> list[FaultRecord]:
        """Faults brought about."""
        return self.of_kind("faults", FaultRecord)

    @property
    def memory(self) -> list[MemoryRecord]:
        """Memory of the system's processes."""
        return self.of_kind("memory", MemoryRecord)

    @property
    def run(self) -> RunRecord | None:
        """What the run was, if it came to its end."""
        runs = self.of_kind("run", RunRecord)
        return runs[-1] if runs else None

    def _load_stream(self, path: Path) -> None:
        """Read one file; a line that is no record is kept as unreadable."""
        stream = path.stem
        record_type = STREAM_TYPES.get(stream_kind(stream))
        if record_type is None:
            self.unreadable.append(UnreadableLine(stream, 0, "unknown kind of record file"))
            return
        decoder = msgspec.json.Decoder(record_type)
        for number, line in enumerate(path.read_bytes().splitlines(), start=1):
            try:
                self.add(stream, decoder.decode(line))
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                self.unreadable.append(UnreadableLine(stream, number, str(error)))


def stream_kind(stream: str) -> str:
    """Return the kind of a stream: its name up to the first hyphen."""
    return stream.split("-", 1)[0]
