"""The fields that users' own checks read; their names and types don't change.

A reader that knows only these can check the promises that `checkers.named_fields` checks.
Everything else in a record is further evidence, for the full verification.
"""

from pathlib import Path
from typing import TypeVar

import msgspec

from merlinstand_lab.records.kinds import CallerOutcome, Span
from merlinstand_lab.records.record_set import UnreadableLine

Line = TypeVar("Line", bound=msgspec.Struct)


class NamedSample(msgspec.Struct, frozen=True, kw_only=True):
    """`trainer-*.jsonl`: one line a sample received."""

    sample_id: str
    job: str
    prompt_id: str
    attempt: int
    batch: int
    trainer_version: int
    weight_versions: list[Span]
    received_at: float


class NamedGeneration(msgspec.Struct, frozen=True, kw_only=True):
    """`engine-*.jsonl`: one line a generation."""

    request_id: str
    spans: list[Span]
    outcome: str


class NamedServiceRun(msgspec.Struct, frozen=True, kw_only=True):
    """`service-*.jsonl`: one line a request run."""

    request_id: str
    idempotency_key: str
    repeatable: bool


class NamedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """`callers.jsonl`: one line a request."""

    request_id: str
    sent_at: float
    ended_at: float
    outcome: CallerOutcome
    answered_by: str
    digest_ok: bool


class NamedRecords:
    """The named fields of a run's records; by the node in a file's name where that counts."""

    def __init__(self, folder: Path) -> None:
        """Read the four kinds of files; other files and other fields are not looked at."""
        self.unreadable: list[UnreadableLine] = []
        self.samples = self._read(folder, "trainer", NamedSample)
        self.generations = self._read(folder, "engine", NamedGeneration)
        self.service_runs = self._read(folder, "service", NamedServiceRun)
        found = self._read(folder, "callers", NamedRequest)
        self.requests = [request for requests in found.values() for request in requests]

    def _read(self, folder: Path, kind: str, line_type: type[Line]) -> dict[str, list[Line]]:
        """Read the files of a kind, by node."""
        decoder = msgspec.json.Decoder(line_type)
        found: dict[str, list[Line]] = {}
        for path in sorted([*folder.glob(f"{kind}.jsonl"), *folder.glob(f"{kind}-*.jsonl")]):
            lines = found.setdefault(path.stem.removeprefix(kind).removeprefix("-"), [])
            for number, line in enumerate(path.read_bytes().splitlines(), start=1):
                try:
                    lines.append(decoder.decode(line))
                except (msgspec.DecodeError, UnicodeDecodeError) as error:
                    self.unreadable.append(UnreadableLine(path.stem, number, str(error)))
        return found
