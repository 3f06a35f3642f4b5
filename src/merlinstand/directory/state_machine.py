"""State machine of the replicated directory, on every control replica.

Holds the routes document, the weight versions, and the initial members and retirements of the batch
keepers. Backends, usage, call intents, evacuations and suspects have classes of their own, which
apply the commands that concern them. Applying a command is deterministic and never raises.
"""

from collections.abc import Mapping

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import KeeperGroup
from merlinstand.cluster.routes import RoutesDocument, live_services
from merlinstand.common.ids import BackendId
from merlinstand.directory.backend_history import BackendHistory
from merlinstand.directory.backend_table import BackendTable
from merlinstand.directory.commands import (
    AssumeCold,
    BootstrapKeepers,
    DirectoryCommand,
    ExpireBackend,
    PublishWeights,
    PutBackend,
    PutBackends,
    PutDocument,
    RemoveBackend,
    RetireKeeper,
)
from merlinstand.directory.former_backends import StoredRegistrations
from merlinstand.directory.returned_backends import ReturnedBackend
from merlinstand.evacuation.commands import EndEvacuation, EvacuateZone
from merlinstand.evacuation.replica import Evacuations, StoredEvacuations
from merlinstand.fenced_calls.call_intents import CallIntent, CallIntents
from merlinstand.fenced_calls.commands import RecordCallIntent
from merlinstand.metering.commands import (
    BeginMetering,
    CloseUsageWindow,
    CompleteUsageWindow,
    RecordUsage,
)
from merlinstand.metering.ledger import StoredUsage, UsageLedger
from merlinstand.quarantine.commands import AllowTrials, BeginTrial, EndTrial, RecordCrashes
from merlinstand.quarantine.replica import ReplicatedSuspects, StoredSuspects


class DirectorySnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Snapshot of the complete state, as written to disk and sent to other replicas."""

    document: RoutesDocument | None
    raw_document: bytes
    document_revision: int
    backends: tuple[Backend, ...]
    sequences: dict[BackendId, int]
    removed: tuple[BackendId, ...]
    backends_revision: int
    weights: dict[str, int]
    weights_revision: int
    founding: KeeperGroup | None
    retiring: dict[str, str]
    usage: StoredUsage | None = None
    turns: dict[str, CallIntent] = {}
    arrivals: StoredRegistrations = StoredRegistrations()
    evacuations: StoredEvacuations = StoredEvacuations()
    returned: dict[BackendId, ReturnedBackend] = {}
    suspects: StoredSuspects = StoredSuspects()


_DECODER = msgspec.msgpack.Decoder(DirectorySnapshot)


class DirectoryState:
    """The directory, as one control replica has applied it."""

    def __init__(self) -> None:
        self.document: RoutesDocument | None = None
        self.raw_document = b""
        self.document_revision = 0
        """Log position of the document's newest change; the other `_revision`s count likewise."""
        self.table = BackendTable()
        self.backends_revision = 0
        self.backend_history = BackendHistory()
        """Not part of a snapshot; the next three attributes aren't either."""
        self.live_services: frozenset[str] = frozenset()
        """Services that gateways send requests to."""
        self.live_services_revision = 0
        self.live_backends_revision = 0
        """Log position of the newest change of a backend of the live services."""
        self.weights: dict[str, int] = {}
        self.weights_revision = 0
        self.founding: KeeperGroup | None = None
        self.retiring: dict[str, str] = {}
        """Machine names of the keepers to retire, by node id."""

        self.usage = UsageLedger()
        self.call_intents = CallIntents()
        self.evacuations = Evacuations()
        self.suspects = ReplicatedSuspects()

    @property
    def backends(self) -> Mapping[BackendId, Backend]:
        """Registered backends by id; those in evacuated zones are not marked as draining."""
        return self.table.backends

    @property
    def evacuated_zones(self) -> tuple[str, ...]:
        """Evacuated zones, whose backends get no requests."""
        return self.evacuations.zones

    def apply(self, index: int, command: DirectoryCommand, group_time: float = 0.0) -> None:
        """Apply a committed command.

        Args:
            index: Log position of the command; greater than that of every earlier command.
            command: The committed command.
            group_time: Time of the command's proposal by the group's replicated clock, in seconds.
        """
        match command:
            case PutDocument():
                self._put_document(index, command)
            case PublishWeights():
                self._publish_weights(index, command)
            case PutBackend() | PutBackends() | RemoveBackend() | ExpireBackend() | AssumeCold():
                self.table.apply(command, group_time)
                self._record_backend_changes(index)
            case BootstrapKeepers():
                if self.founding is None:
                    self.founding = command.group
            case RetireKeeper():
                self.retiring.setdefault(command.node_id, command.name)
            case EvacuateZone():
                self.evacuations.evacuate(command.zone, index, group_time)
            case EndEvacuation():
                if self.evacuations.end_evacuation(command.zone, index, group_time):
                    self._mark_zone_returned(command.zone, index, group_time)
            case RecordCallIntent():
                self.call_intents.record(command.subject, command.holder, group_time)
            case RecordUsage() | BeginMetering() | CloseUsageWindow() | CompleteUsageWindow():
                self.usage.apply(command)
            case RecordCrashes() | BeginTrial() | EndTrial() | AllowTrials():
                self.suspects.apply(command, index, group_time)

    def _publish_weights(self, index: int, command: PublishWeights) -> None:
        if command.version > self.weights.get(command.model, 0):
            self.weights[command.model] = command.version
            self.weights_revision = index

    def _put_document(self, index: int, command: PutDocument) -> None:
        held = -1 if self.document is None else self.document.version
        if command.document.version > held:
            self.document = command.document
            self.raw_document = command.raw
            self.document_revision = index
            self._update_live_services(index)

    def _mark_zone_returned(self, zone: str, index: int, group_time: float) -> None:
        """Mark the backends of a zone as cold, as they got no requests during the evacuation."""
        services = self.document.services if self.document is not None else ()
        limited = {s.name for s in services if s.cold_requests_per_second > 0.0}
        self.table.mark_zone_returned(zone, limited, group_time)
        self._record_backend_changes(index)

    def _record_backend_changes(self, index: int) -> None:
        for changed in self.table.take_changed():
            self.backends_revision = index
            self.backend_history.record(index, changed.backend_id)
            if changed.service in self.live_services:
                self.live_backends_revision = index

    def _update_live_services(self, index: int) -> None:
        live = live_services(self.document)
        if live != self.live_services:
            # Gateways are sent only the backends of live services, so they lack the backends of
            # services that have just become live.
            self.live_services = live
            self.live_services_revision = index
            self.live_backends_revision = index

    def snapshot(self) -> bytes:
        """Return the complete state as MessagePack (`DirectorySnapshot`)."""
        return msgspec.msgpack.encode(
            DirectorySnapshot(
                document=self.document,
                raw_document=self.raw_document,
                document_revision=self.document_revision,
                backends=tuple(self.table.backends.values()),
                sequences=self.table.sequences,
                removed=tuple(self.table.removed),
                backends_revision=self.backends_revision,
                weights=self.weights,
                weights_revision=self.weights_revision,
                founding=self.founding,
                retiring=self.retiring,
                usage=self.usage.stored(),
                turns=self.call_intents.latest,
                arrivals=self.table.registrations.stored(),
                evacuations=self.evacuations.stored(),
                returned=self.table.unconfirmed.backends,
                suspects=self.suspects.stored(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the complete state with that of a snapshot.

        Raises:
            msgspec.DecodeError: The bytes are not a valid snapshot.
        """
        snapshot = _DECODER.decode(data)
        self.document = snapshot.document
        self.raw_document = snapshot.raw_document
        self.document_revision = snapshot.document_revision
        self.table = BackendTable()
        self.table.restore(snapshot.backends, snapshot.sequences)
        self.table.removed = dict.fromkeys(snapshot.removed)
        self.table.registrations.restore(snapshot.arrivals)
        self.table.unconfirmed.backends = dict(snapshot.returned)
        self.backends_revision = snapshot.backends_revision
        self.backend_history = BackendHistory(snapshot.backends_revision)
        self.live_services = live_services(snapshot.document)
        newest = max(snapshot.backends_revision, snapshot.document_revision)
        self.live_services_revision = newest
        self.live_backends_revision = newest
        self.weights = dict(snapshot.weights)
        self.weights_revision = snapshot.weights_revision
        self.founding = snapshot.founding
        self.retiring = dict(snapshot.retiring)
        if snapshot.usage is not None:
            self.usage.restore(snapshot.usage)
        self.call_intents.latest = dict(snapshot.turns)
        self.evacuations.restore(snapshot.evacuations)
        self.suspects.restore(snapshot.suspects)
