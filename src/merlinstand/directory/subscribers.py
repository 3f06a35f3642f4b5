"""The daemons that follow the directory, as its leader sees them.

Owns each daemon's newest report and the revisions that it holds, and the section about keepers,
which is made of these reports. Soft state of the control leader, empty at the start of a
leadership; bounded by the daemons of the deployment.
"""

from collections.abc import Iterable

import msgspec
from msgspec.structs import replace

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import (
    DaemonReport,
    Keeper,
    KeeperGroup,
    KeeperRetirements,
    keeper_from_report,
)
from merlinstand.common.ids import NodeId
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.directory.view import DirectoryChanges, encode_changes
from merlinstand.metering.windows import GatewayContact

KEEPER_ROLE = "keeper"
"""Role of batch keepers, as they report it."""
GATEWAY_ROLE = "gateway"
"""Role of gateways, as they report it."""
REPORT_TIMEOUT_SECONDS = 2.5
"""A daemon that has not reported for this long counts as unreachable: eight of its pulls are
missing. Chosen, not measured."""
MAXIMUM_ENCODED_CHANGES = 64
"""Encoded changes kept, for daemons that lack the same; chosen, not measured."""


class _Revisions(msgspec.Struct, frozen=True):
    """Of each section: what a daemon holds, or what there is for it."""

    document: int
    backends: int
    weights: int
    keepers: str
    zones: int | None
    """None for a daemon that doesn't know evacuations."""
    suspects: int | None
    """None for a daemon that doesn't know suspects."""


class _Lack(msgspec.Struct, frozen=True):
    """What a daemon holds, and what there is."""

    is_gateway: bool
    held: _Revisions
    present: _Revisions


class Subscriber(msgspec.Struct):
    """One daemon and what it holds."""

    report: DaemonReport
    last_report_at: float
    document_revision: int = -1
    backends_revision: int = -1
    weights_revision: int = -1
    keepers_mark: str = ""
    zones_revision: int | None = None
    """None if it doesn't know evacuations: then it is sent none."""
    suspects_revision: int | None = None
    """None if it doesn't know suspects: then it is sent none."""

    @property
    def is_gateway(self) -> bool:
        """Whether it is sent only the back ends that gateways send requests to: engines of batch
        items change with each weight version, and gateways are the most by far."""
        return self.report.role == GATEWAY_ROLE

    def held_revisions(self) -> _Revisions:
        """What it holds."""
        return _Revisions(
            self.document_revision,
            self.backends_revision,
            self.weights_revision,
            self.keepers_mark,
            self.zones_revision,
            self.suspects_revision,
        )

    def record_sent(self, present: _Revisions) -> None:
        """It was sent whatever it lacked; if that is lost, its next pull says so."""
        self.document_revision = max(self.document_revision, present.document)
        self.backends_revision = max(self.backends_revision, present.backends)
        self.weights_revision = max(self.weights_revision, present.weights)
        self.keepers_mark = present.keepers
        self.zones_revision = present.zones
        self.suspects_revision = present.suspects


class Subscribers:
    """Reports of all daemons, and who lacks what."""

    def __init__(self) -> None:
        """Begin with nobody."""
        self._by_node: dict[NodeId, Subscriber] = {}
        self._keepers_by_node: dict[NodeId, Subscriber] = {}
        """The batch keepers among them: few, and looked at often."""
        self._keepers: tuple[Keeper, ...] = ()
        self._controls: tuple[tuple[str, str], ...] = ()
        self._keeper_orders = KeeperRetirements()
        self._founding: KeeperGroup | None = None
        self._keepers_mark = ""
        self._counter = 0
        self._encoded: dict[_Lack, bytes] = {}

    def clear(self) -> None:
        """Forget everybody: a new leadership hears them again."""
        self._by_node.clear()
        self._keepers_by_node.clear()
        self._encoded.clear()

    def has_reported(self, node_id: NodeId) -> bool:
        """Whether a daemon has reported to this leadership."""
        return node_id in self._by_node

    def record_report(self, node_id: NodeId, subscriber: Subscriber) -> bool:
        """Take a report; gives whether it changes what daemons are sent about the keepers."""
        held = self._keepers_by_node.get(node_id)
        is_keeper = subscriber.report.role == KEEPER_ROLE
        changes_keepers = is_keeper and (held is None or _differs(held.report, subscriber.report))
        self._by_node[node_id] = subscriber
        if is_keeper:
            self._keepers_by_node[node_id] = subscriber
        return changes_keepers

    def reachable(self, now: float) -> list[tuple[NodeId, Subscriber]]:
        """Daemons that reported lately."""
        return [
            (node_id, subscriber)
            for node_id, subscriber in self._by_node.items()
            if now - subscriber.last_report_at < REPORT_TIMEOUT_SECONDS
        ]

    def report_ages_seconds(self, now: float) -> Iterable[float]:
        """How many seconds ago each daemon was heard."""
        return (now - subscriber.last_report_at for subscriber in self._by_node.values())

    def gateway_contacts(self) -> list[GatewayContact]:
        """When each gateway was heard last, however long ago."""
        return [
            GatewayContact(node_id, subscriber.last_report_at)
            for node_id, subscriber in self._by_node.items()
            if subscriber.is_gateway
        ]

    def gateway_zones(self, now: float) -> dict[NodeId, str]:
        """The zone of each gateway that reported lately."""
        return {
            node_id: subscriber.report.zone
            for node_id, subscriber in self.reachable(now)
            if subscriber.is_gateway
        }

    def keeper_reports(self, now: float) -> list[DaemonReport]:
        """Reports of the batch keepers heard lately."""
        return [
            subscriber.report
            for subscriber in self._keepers_by_node.values()
            if now - subscriber.last_report_at < REPORT_TIMEOUT_SECONDS
        ]

    def leading_keeper(self, now: float) -> DaemonReport | None:
        """The report of the keepers' leader."""
        leaders = [report for report in self.keeper_reports(now) if report.is_leader]
        return max(leaders, key=lambda report: report.term, default=None)

    def refresh_keepers(
        self,
        control_daemons: tuple[tuple[str, str], ...],
        founding: KeeperGroup | None,
        retiring: tuple[str, ...],
        term: int,
        now: float,
    ) -> None:
        """Bring the section about keepers up to date; `keepers_mark` changes if it does."""
        leader = self.leading_keeper(now)
        copies = leader.members if leader is not None else ()
        reports = sorted(self.keeper_reports(now), key=lambda report: report.node_id)
        keepers = tuple(keeper_from_report(report, copies) for report in reports)
        orders = KeeperRetirements(retiring)
        section = (keepers, control_daemons, orders, founding)
        held = (self._keepers, self._controls, self._keeper_orders, self._founding)
        if section != held or not self._keepers_mark.startswith(f"{term}."):
            self._keepers, self._controls, self._keeper_orders, self._founding = section
            self._counter += 1
            self._keepers_mark = f"{term}.{self._counter}"

    def encoded_changes_for(self, subscriber: Subscriber, state: DirectoryState) -> bytes:
        """What a daemon lacks, encoded; it counts as sent from now on. Empty if it lacks nothing.

        Many daemons lack the same at the same time: it is encoded and compressed once for them.
        """
        present = self._present(state, subscriber)
        if subscriber.held_revisions() == present:
            return b""
        lack = _Lack(subscriber.is_gateway, subscriber.held_revisions(), present)
        data = self._encoded.get(lack)
        if data is None:
            changes = self._changes_for(subscriber, present.backends, state)
            data = encode_changes(changes) if changes is not None else b""
            if len(self._encoded) >= MAXIMUM_ENCODED_CHANGES:
                self._encoded.clear()
            self._encoded[lack] = data
        subscriber.record_sent(present)
        return data

    def _present(self, state: DirectoryState, subscriber: Subscriber) -> _Revisions:
        """What there is for a daemon."""
        is_gateway = subscriber.is_gateway
        backends = state.live_backends_revision if is_gateway else state.backends_revision
        zones = None if subscriber.zones_revision is None else state.evacuations.revision
        knows_suspects = subscriber.suspects_revision is not None
        suspects = state.suspects.revision if knows_suspects else None
        document = state.document_revision if state.document is not None else -1
        weights = state.weights_revision
        return _Revisions(document, backends, weights, self._keepers_mark, zones, suspects)

    def _changes_for(
        self, subscriber: Subscriber, backends_revision: int, state: DirectoryState
    ) -> DirectoryChanges | None:
        """Put the sections together that a daemon lacks; None if it lacks none."""
        changes = DirectoryChanges()
        if state.document is not None and subscriber.document_revision < state.document_revision:
            changes = replace(
                changes, document_revision=state.document_revision, document=state.document
            )
        if subscriber.backends_revision < backends_revision:
            changes = _with_backends(changes, subscriber, backends_revision, state)
        if subscriber.weights_revision < state.weights_revision:
            changes = replace(
                changes, weights_revision=state.weights_revision, weights=dict(state.weights)
            )
        changes = _with_zones_and_suspects(changes, subscriber, state)
        if subscriber.keepers_mark != self._keepers_mark:
            changes = self._with_keepers(changes)
        return changes if changes != DirectoryChanges() else None

    def _with_keepers(self, changes: DirectoryChanges) -> DirectoryChanges:
        return replace(
            changes,
            keepers_mark=self._keepers_mark,
            keepers=self._keepers,
            founding=self._founding,
            keeper_retirements=self._keeper_orders,
            control_daemons=self._controls,
        )


def _differs(held: DaemonReport, reported: DaemonReport) -> bool:
    """Whether a keeper reports anything new, but for the time."""
    return replace(held, wall_seconds=reported.wall_seconds) != reported


def _with_zones_and_suspects(
    changes: DirectoryChanges, subscriber: Subscriber, state: DirectoryState
) -> DirectoryChanges:
    """Add the sections that daemons of earlier versions don't know."""
    zones_held = subscriber.zones_revision
    if zones_held is not None and zones_held < state.evacuations.revision:
        evacuations = state.evacuations
        changes = replace(changes, zones_revision=evacuations.revision, evacuated=evacuations.zones)
    suspects_held = subscriber.suspects_revision
    if suspects_held is not None and suspects_held < state.suspects.revision:
        suspects = state.suspects
        changes = replace(changes, suspects_revision=suspects.revision, suspects=suspects.view())
    return changes


def _with_backends(
    changes: DirectoryChanges, subscriber: Subscriber, present: int, state: DirectoryState
) -> DirectoryChanges:
    """Add the back ends that a daemon lacks: the changed ones if they are known, else all.

    Args:
        changes: Other sections.
        subscriber: The daemon; a gateway is sent those that gateways send requests to.
        present: Revision of what there is for it.
        state: The directory.
    """
    held = subscriber.backends_revision
    lacks_services = subscriber.is_gateway and held < state.live_services_revision
    table = state.table.backends
    since = None if lacks_services else state.backend_history.changes_since(held, table)
    if since is None:
        backends = _visible_to(subscriber, table.values(), state)
        return replace(changes, backends_revision=present, backends=backends)
    return replace(
        changes,
        backends_revision=present,
        backends=_visible_to(subscriber, since.changed, state),
        backends_since=held,
        backends_removed=since.removed,
    )


def _visible_to(
    subscriber: Subscriber, backends: Iterable[Backend], state: DirectoryState
) -> tuple[Backend, ...]:
    """Those of some back ends that a daemon is sent."""
    if not subscriber.is_gateway:
        return tuple(backends)
    return tuple(backend for backend in backends if backend.service in state.live_services)
