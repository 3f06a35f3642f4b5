"""Configuration objects with compare-and-set on the revision of each key."""

from merlinstand.configuration.objects import (
    ConfigurationObject,
    Job,
    JobPhase,
    Pool,
    PoolKind,
    Weights,
    decode_object,
    encode_object,
)
from merlinstand.configuration.table import ConfigurationTable, TableState
from merlinstand.control.commands import (
    AnyOutcome,
    DeleteObject,
    Done,
    PublishWeights,
    PutObject,
    Refused,
)
from merlinstand.control.validation import InvalidObject, check_object
from merlinstand.control.weights import next_weights

MAXIMUM_OBJECTS = 50_000
"""Maximum number of configuration objects; every daemon keeps all of them in memory."""


class ObjectStore:
    """The accepted configuration: encoded for replication, decoded for checks."""

    def __init__(self) -> None:
        self.table = ConfigurationTable()
        self._values: dict[str, ConfigurationObject] = {}

    def find_job(self, name: str) -> Job | None:
        """Return a job."""
        value = self._values.get(f"job/{name}")
        return value if isinstance(value, Job) else None

    def find_weights(self, model: str) -> Weights | None:
        """Return the published versions of a model."""
        value = self._values.get(f"weights/{model}")
        return value if isinstance(value, Weights) else None

    def put(self, command: PutObject, revision: int) -> AnyOutcome:
        """Create or replace an object if its revision is the expected one.

        Putting an identical object changes nothing and returns the key's present revision.
        """
        checked = check_object(command.key, command.value)
        if isinstance(checked, InvalidObject):
            return Refused(code="invalid_input", detail=checked.detail)
        refusal = self._check_revision(command.key, command.expected_revision)
        if refusal is None:
            refusal = self._check_references(checked.value)
        if refusal is not None:
            return refusal
        present = self.table.entries.get(command.key)
        if present is not None and present.payload == command.value:
            return Done(revision=present.revision)
        if present is None and len(self.table.entries) >= MAXIMUM_OBJECTS:
            return Refused(code="busy", detail="too many objects")
        self._store(command.key, checked.value, command.value, revision)
        return Done(revision=revision)

    def delete(self, command: DeleteObject, revision: int) -> AnyOutcome:
        """Delete an object if its revision is the expected one and nothing refers to it."""
        if command.key.startswith("weights/"):
            return Refused(code="invalid_input", detail="published weights are not deleted")
        refusal = self._check_revision(command.key, command.expected_revision)
        if refusal is not None:
            return refusal
        if command.key not in self.table.entries:
            return Refused(code="not_found", detail=f"{command.key} does not exist")
        refusal = self._check_not_referenced(command.key)
        if refusal is not None:
            return refusal
        del self._values[command.key]
        self.table.delete(command.key, revision)
        return Done(revision=revision)

    def publish(self, command: PublishWeights, revision: int, group_time: float) -> AnyOutcome:
        """Add the next version of a model; of two commands for the same version the first wins."""
        key = f"weights/{command.model}"
        weights = next_weights(self.find_weights(command.model), command, group_time)
        if isinstance(weights, Refused):
            return weights
        self._store(key, weights, encode_object(weights), revision)
        return Done(revision=revision)

    def restore(self, state: TableState) -> None:
        """Replace the content by that of a snapshot."""
        self.table.restore(state)
        self._values = {
            key: decode_object(key, entry.payload) for key, entry in state.entries.items()
        }

    def _store(self, key: str, value: ConfigurationObject, payload: bytes, revision: int) -> None:
        self._values[key] = value
        self.table.put(key, payload, revision)

    def _check_revision(self, key: str, expected: int | None) -> Refused | None:
        current = self.table.revision_of(key)
        if expected is None or expected == current:
            return None
        detail = f"{key} is at revision {current}, expected {expected}"
        return Refused(code="conflict", detail=detail, current_revision=current)

    def _check_references(self, value: ConfigurationObject) -> Refused | None:
        if not isinstance(value, Job):
            return None
        pool = self._values.get(f"pool/{value.pool}")
        if not isinstance(pool, Pool) or pool.kind is not PoolKind.ENGINE:
            return Refused(code="invalid_input", detail=f"{value.pool} is not an engine pool")
        if pool.model != value.model:
            detail = f"pool {pool.name} serves model {pool.model}, not {value.model}"
            return Refused(code="invalid_input", detail=detail)
        present = self.find_job(value.name)
        is_cancelled = present is not None and present.phase is JobPhase.CANCELLED
        if is_cancelled and value.phase is not JobPhase.CANCELLED:
            detail = f"job {value.name} was cancelled for good; make one under another name"
            return Refused(code="conflict", detail=detail)
        if present is not None and present.samples_per_prompt != value.samples_per_prompt:
            # Slot numbers and sample ids are derived from samples_per_prompt.
            return Refused(code="invalid_input", detail="samples_per_prompt can't be changed")
        return None

    def _check_not_referenced(self, key: str) -> Refused | None:
        kind, _, name = key.partition("/")
        if kind != "pool":
            return None
        for value in self._values.values():
            if isinstance(value, Job) and value.pool == name:
                return Refused(code="conflict", detail=f"job {value.name} uses pool {name}")
        return None
