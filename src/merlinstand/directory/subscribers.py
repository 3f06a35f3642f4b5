"""The daemons that follow the directory: their newest reports, and the changes that they lack.

Also builds the section about batch keepers from the keepers' reports. Kept in the control leader's
memory only, empty at the start of a leadership term, and bounded by the number of daemons.
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
"""A daemon without a report for this long, eight pull intervals, counts as unreachable."""
MAXIMUM_ENCODED_CHANGES = 64
"""Size of the cache of encoded changes, which daemons that lack the same changes share."""


class _Revisions(msgspec.Struct, frozen=True):
    """Revision of each section: either those a daemon holds, or the newest ones available to it."""

    document: int
    backends: int
    weights: int
    keepers: str
    zones: int | None
    """None for a daemon of an earlier version without evacuations."""
    suspects: int | None
    """None for a daemon of an earlier version without quarantine."""


class _ChangesKey(msgspec.Struct, frozen=True):
    """Cache key of encoded changes: what a daemon holds, and what is available."""

    is_gateway: bool
    held: _Revisions
    current: _Revisions


class Subscriber(msgspec.Struct):
    """One daemon, with its newest report and the revisions that it holds."""

    report: DaemonReport
    last_report_at: float
    document_revision: int = -1
    backends_revision: int = -1
    weights_revision: int = -1
    keepers_mark: str = ""
    zones_revision: int | None = None
    """None for a daemon of an earlier version without evacuations, which is not sent any."""
    suspects_revision: int | None = None
    """None for a daemon of an earlier version without quarantine, which is sent no suspects."""

    @property
    def is_gateway(self) -> bool:
        """Whether the daemon is a gateway.

        A gateway is sent only the backends of services that gateways send requests to. Engines that
        only run batch items change with each weight version, and most daemons are gateways, so
        sending them these engines would be costly.
        """
        return self.report.role == GATEWAY_ROLE

    def held_revisions(self) -> _Revisions:
        """Return the revision of each section that the daemon holds."""
        return _Revisions(
            self.document_revision,
            self.backends_revision,
            self.weights_revision,
            self.keepers_mark,
            self.zones_revision,
            self.suspects_revision,
        )

    def record_sent(self, current: _Revisions) -> None:
        """Record that the daemon was sent all changes.

        If they are lost, the revisions in the daemon's next pull replace this record.
        """
        self.document_revision = max(self.document_revision, current.document)
        self.backends_revision = max(self.backends_revision, current.backends)
        self.weights_revision = max(self.weights_revision, current.weights)
        self.keepers_mark = current.keepers
        self.zones_revision = current.zones
        self.suspects_revision = current.suspects


class Subscribers:
    """All daemons that reported to this leader in the current leadership term."""

    def __init__(self) -> None:
        self._by_node: dict[NodeId, Subscriber] = {}
        self._keepers_by_node: dict[NodeId, Subscriber] = {}
        """Index of the batch keepers in `_by_node`, since they are few and read often."""
        self._keepers: tuple[Keeper, ...] = ()
        self._control_daemons: tuple[tuple[str, str], ...] = ()
        self._keeper_retirements = KeeperRetirements()
        self._founding: KeeperGroup | None = None
        self._keepers_mark = ""
        self._keepers_changes = 0
        self._encoded: dict[_ChangesKey, bytes] = {}

    def clear(self) -> None:
        """Delete all daemons, since they report again to a new leader."""
        self._by_node.clear()
        self._keepers_by_node.clear()
        self._encoded.clear()

    def has_reported(self, node_id: NodeId) -> bool:
        """Return whether a daemon has reported in this leadership term."""
        return node_id in self._by_node

    def record_report(self, node_id: NodeId, subscriber: Subscriber) -> bool:
        """Record a report; returns whether it changes the section about keepers."""
        held = self._keepers_by_node.get(node_id)
        is_keeper = subscriber.report.role == KEEPER_ROLE
        changes_keepers = is_keeper and (
            held is None or _has_keeper_change(held.report, subscriber.report)
        )
        self._by_node[node_id] = subscriber
        if is_keeper:
            self._keepers_by_node[node_id] = subscriber
        return changes_keepers

    def reachable(self, now: float) -> list[tuple[NodeId, Subscriber]]:
        """Return the daemons that reported within `REPORT_TIMEOUT_SECONDS`."""
        return [
            (node_id, subscriber)
            for node_id, subscriber in self._by_node.items()
            if now - subscriber.last_report_at < REPORT_TIMEOUT_SECONDS
        ]

    def report_ages_seconds(self, now: float) -> Iterable[float]:
        """Return the age of each daemon's newest report."""
        return (now - subscriber.last_report_at for subscriber in self._by_node.values())

    def gateway_contacts(self) -> list[GatewayContact]:
        """Return the time of each gateway's newest report, however old."""
        return [
            GatewayContact(node_id, subscriber.last_report_at)
            for node_id, subscriber in self._by_node.items()
            if subscriber.is_gateway
        ]

    def gateway_zones(self, now: float) -> dict[NodeId, str]:
        """Return the zone of each reachable gateway."""
        return {
            node_id: subscriber.report.zone
            for node_id, subscriber in self.reachable(now)
            if subscriber.is_gateway
        }

    def keeper_reports(self, now: float) -> list[DaemonReport]:
        """Return the reports of the reachable batch keepers."""
        return [
            subscriber.report
            for subscriber in self._keepers_by_node.values()
            if now - subscriber.last_report_at < REPORT_TIMEOUT_SECONDS
        ]

    def leading_keeper(self, now: float) -> DaemonReport | None:
        """Return the report of the keepers' leader; None if no leader is reachable."""
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
        """Update the section about keepers; its mark changes if the content or the term changed."""
        leader = self.leading_keeper(now)
        replicas = leader.members if leader is not None else ()
        reports = sorted(self.keeper_reports(now), key=lambda report: report.node_id)
        keepers = tuple(keeper_from_report(report, replicas) for report in reports)
        retirements = KeeperRetirements(retiring)
        section = (keepers, control_daemons, retirements, founding)
        held = (self._keepers, self._control_daemons, self._keeper_retirements, self._founding)
        if section != held or not self._keepers_mark.startswith(f"{term}."):
            self._keepers, self._control_daemons, self._keeper_retirements, self._founding = section
            self._keepers_changes += 1
            self._keepers_mark = f"{term}.{self._keepers_changes}"

    def encoded_changes_for(self, subscriber: Subscriber, state: DirectoryState) -> bytes:
        """Return the changes that a daemon lacks, encoded, and mark them as sent.

        Returns empty bytes if the daemon lacks none. Many daemons lack the same changes at the same
        time; these are encoded and compressed only once.
        """
        current = self._current_revisions(state, subscriber)
        if subscriber.held_revisions() == current:
            return b""
        key = _ChangesKey(subscriber.is_gateway, subscriber.held_revisions(), current)
        data = self._encoded.get(key)
        if data is None:
            changes = self._changes_for(subscriber, current.backends, state)
            data = encode_changes(changes) if changes is not None else b""
            if len(self._encoded) >= MAXIMUM_ENCODED_CHANGES:
                self._encoded.clear()
            self._encoded[key] = data
        subscriber.record_sent(current)
        return data

    def _current_revisions(self, state: DirectoryState, subscriber: Subscriber) -> _Revisions:
        """Return the newest revisions available for a daemon."""
        is_gateway = subscriber.is_gateway
        backends = state.live_backends_revision if is_gateway else state.backends_revision
        zones = None if subscriber.zones_revision is None else state.evacuations.revision
        supports_suspects = subscriber.suspects_revision is not None
        suspects = state.suspects.revision if supports_suspects else None
        document = state.document_revision if state.document is not None else -1
        weights = state.weights_revision
        return _Revisions(document, backends, weights, self._keepers_mark, zones, suspects)

    def _changes_for(
        self, subscriber: Subscriber, backends_revision: int, state: DirectoryState
    ) -> DirectoryChanges | None:
        """Return the sections that a daemon lacks; None if the daemon has all."""
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
            keeper_retirements=self._keeper_retirements,
            control_daemons=self._control_daemons,
        )


def _has_keeper_change(held: DaemonReport, reported: DaemonReport) -> bool:
    """Return whether a keeper's report changed in more than its wall clock."""
    return replace(held, wall_seconds=reported.wall_seconds) != reported


def _with_zones_and_suspects(
    changes: DirectoryChanges, subscriber: Subscriber, state: DirectoryState
) -> DirectoryChanges:
    """Add the sections that daemons of earlier versions don't support."""
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
    changes: DirectoryChanges, subscriber: Subscriber, current: int, state: DirectoryState
) -> DirectoryChanges:
    """Add the backends that a daemon lacks: the changed ones if the history has them, else all.

    Args:
        changes: Sections that were added before.
        subscriber: The daemon; a gateway gets only backends of services that gateways send
            requests to.
        current: Newest revision of the backends available for the daemon.
        state: The replicated directory.
    """
    held = subscriber.backends_revision
    lacks_live_services = subscriber.is_gateway and held < state.live_services_revision
    table = state.table.backends
    since = None if lacks_live_services else state.backend_history.changes_since(held, table)
    if since is None:
        backends = _visible_to(subscriber, table.values(), state)
        return replace(changes, backends_revision=current, backends=backends)
    return replace(
        changes,
        backends_revision=current,
        backends=_visible_to(subscriber, since.changed, state),
        backends_since=held,
        backends_removed=since.removed,
    )


def _visible_to(
    subscriber: Subscriber, backends: Iterable[Backend], state: DirectoryState
) -> tuple[Backend, ...]:
    """Return those of the given backends that a daemon should be sent."""
    if not subscriber.is_gateway:
        return tuple(backends)
    return tuple(backend for backend in backends if backend.service in state.live_services)
