"""Purposes of calls, commands and queries, looked up when the response arrives."""

import msgspec

from merlinstand.coordinator.engine_protocol import EngineOrder


class Purpose(msgspec.Struct, frozen=True):
    """Base of all purposes."""


class GenerationCall(Purpose, frozen=True):
    """A generation's stream."""

    job: str
    generation_id: str


class ScoreCall(Purpose, frozen=True):
    """A request to a job's scorer."""

    job: str
    slot: int


class ExportCall(Purpose, frozen=True):
    """A KV cache export of a generation whose engine is leaving."""

    job: str
    generation_id: str
    source: str
    """Address of the exporting engine."""


class StatusCall(Purpose, frozen=True):
    """A request for an engine's status."""

    pool: str
    backend_id: str


class OrderCall(Purpose, frozen=True):
    """An order (a command to load or activate weights) sent to an engine."""

    pool: str
    backend_id: str
    order: EngineOrder


class PromptCall(Purpose, frozen=True):
    """A request to a job's prompt source."""

    job: str
    offset: int


class MachineListCall(Purpose, frozen=True):
    """A request for the platform's list of machines."""


class CancelRequestCall(Purpose, frozen=True):
    """A cancellation sent to an engine; its response is ignored."""


class BatchCommit(Purpose, frozen=True):
    """A `CommitBatch` command of a consumer."""

    job: str
    consumer: str
    epoch: int


class LedgerRead(Purpose, frozen=True):
    """A read of a job's ledger."""

    job: str
    epoch: int
