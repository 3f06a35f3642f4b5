"""Why a call, a command or a query was sent: found again when its answer arrives."""

import msgspec

from merlinstand.coordinator.engine_protocol import EngineOrder


class Purpose(msgspec.Struct, frozen=True):
    """Base of all purposes."""


class GenerationCall(Purpose, frozen=True):
    """A stream of one generation."""

    job: str
    generation_id: str


class ScoreCall(Purpose, frozen=True):
    """A request to a job's scorer."""

    job: str
    slot: int


class ExportCall(Purpose, frozen=True):
    """A KV export of a generation whose engine is leaving."""

    job: str
    generation_id: str
    source: str
    """Address of the exporting engine."""


class StatusCall(Purpose, frozen=True):
    """A read of an engine's status."""

    pool: str
    backend_id: str


class OrderCall(Purpose, frozen=True):
    """An order to an engine."""

    pool: str
    backend_id: str
    order: EngineOrder


class PromptCall(Purpose, frozen=True):
    """A read of a job's prompt source."""

    job: str
    offset: int


class MachineListCall(Purpose, frozen=True):
    """A read of the platform's list of machines."""


class CancelRequestCall(Purpose, frozen=True):
    """A cancel sent to an engine; its answer does not matter."""


class BatchCommit(Purpose, frozen=True):
    """A `CommitBatch` of a consumer."""

    job: str
    consumer: str
    epoch: int


class LedgerRead(Purpose, frozen=True):
    """A read of a job's ledger."""

    job: str
    epoch: int
