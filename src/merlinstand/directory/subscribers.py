"""The daemons that follow the directory, as its leader sees them (soft state)."""

from collections.abc import Iterable

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import DaemonReport, Keeper, KeeperGroup, KeeperOrders, keeper_of
from merlinstand.common.ids import NodeId
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.directory.view import DirectoryChanges, encode_changes
from merlinstand.metering.windows import GatewayHeard

KEEPER_ROLE = "keeper"
GATEWAY_ROLE = "gateway"
REPORT_FRESH_SECONDS = 2.5
"""A daemon that has not reported for this long counts as unreachable."""
ENCODED_LIMIT = 64
"""Encoded changes kept, for daemons that lack the same."""


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
    heard_at: float
    document_revision: int = -1
    backends_revision: int = -1
    weights_revision: int = -1
    keepers_mark: str = ""
    zones_revision: int | None = None
    """None if it doesn't know evacuations: then it is told none."""
    suspects_revision: int | None = None
    """None if it doesn't know suspects: then it is told none."""

    @property
    def is_gateway(self) -> bool:
        """Whether it is told only the back ends that gateways send requests to: engines of batch
        items change with each weight version, and gateways are the most by far."""
        return self.report.role == GATEWAY_ROLE

    def held(self) -> _Revisions:
        """What it holds."""
        return _Revisions(
            self.document_revision,
            self.backends_revision,
            self.weights_revision,
            self.keepers_mark,
            self.zones_revision,
            self.suspects_revision,
        )

    def note_told(self, present: _Revisions) -> None:
        """It was sent whatever it lacked."""
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
        self._wishes = KeeperOrders()
        self._founding: KeeperGroup | None = None
        self._mark = ""
        self._counter = 0
        self._encoded: dict[_Lack, bytes] = {}

    def clear(self) -> None:
        """Forget everybody: a new leadership hears them again."""
        self._by_node.clear()
        self._keepers_by_node.clear()
        self._encoded.clear()

    def knows(self, node_id: NodeId) -> bool:
        """Whether a daemon has reported to this leadership."""
        return node_id in self._by_node

    def note(self, node_id: NodeId, subscriber: Subscriber) -> bool:
        """Take a report; tells whether it changes what daemons are told of the keepers."""
        held = self._keepers_by_node.get(node_id)
        is_keeper = subscriber.report.role == KEEPER_ROLE
        is_news = is_keeper and (held is None or _differs(held.report, subscriber.report))
        self._by_node[node_id] = subscriber
        if is_keeper:
            self._keepers_by_node[node_id] = subscriber
        return is_news

    def fresh(self, now: float) -> list[tuple[NodeId, Subscriber]]:
        """Daemons that reported lately."""
        return [
            (node_id, subscriber)
            for node_id, subscriber in self._by_node.items()
            if now - subscriber.heard_at < REPORT_FRESH_SECONDS
        ]

    def heard_gateways(self) -> list[GatewayHeard]:
        """When each gateway was heard last, however long ago."""
        return [
            GatewayHeard(node_id, subscriber.heard_at)
            for node_id, subscriber in self._by_node.items()
            if subscriber.is_gateway
        ]

    def keeper_reports(self, now: float) -> list[DaemonReport]:
        """Reports of the batch keepers heard lately."""
        return [
            subscriber.report
            for subscriber in self._keepers_by_node.values()
            if now - subscriber.heard_at < REPORT_FRESH_SECONDS
        ]

    def leading_keeper(self, now: float) -> DaemonReport | None:
        """The report of the keepers' leader."""
        leaders = [report for report in self.keeper_reports(now) if report.is_leader]
        return max(leaders, key=lambda report: report.term, default=None)

    def refresh(
        self,
        controls: tuple[tuple[str, str], ...],
        founding: KeeperGroup | None,
        retiring: tuple[str, ...],
        term: int,
        now: float,
    ) -> None:
        """Bring the soft section up to date and give it a new mark if it changed."""
        leader = self.leading_keeper(now)
        copies = leader.members if leader is not None else ()
        reports = sorted(self.keeper_reports(now), key=lambda report: report.node_id)
        keepers = tuple(keeper_of(report, copies) for report in reports)
        wishes = KeeperOrders(retiring)
        section = (keepers, controls, wishes, founding)
        held = (self._keepers, self._controls, self._wishes, self._founding)
        if section != held or not self._mark.startswith(f"{term}."):
            self._keepers, self._controls, self._wishes, self._founding = section
            self._counter += 1
            self._mark = f"{term}.{self._counter}"

    def encoded_changes_for(self, subscriber: Subscriber, state: DirectoryState) -> bytes:
        """What a daemon lacks, encoded; it counts as told from now on. Empty if it lacks nothing.

        Many daemons lack the same at the same time: it is encoded and compressed once for them.
        """
        present = self._present(state, subscriber)
        if subscriber.held() == present:
            return b""
        lack = _Lack(subscriber.is_gateway, subscriber.held(), present)
        data = self._encoded.get(lack)
        if data is None:
            changes = self._changes_for(subscriber, present.backends, state)
            data = encode_changes(changes) if changes is not None else b""
            if len(self._encoded) >= ENCODED_LIMIT:
                self._encoded.clear()
            self._encoded[lack] = data
        subscriber.note_told(present)
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
        return _Revisions(document, backends, weights, self._mark, zones, suspects)

    def _changes_for(
        self, subscriber: Subscriber, backends_revision: int, state: DirectoryState
    ) -> DirectoryChanges | None:
        parts: dict[str, object] = {}
        if state.document is not None and subscriber.document_revision < state.document_revision:
            parts |= {
                "document_revision": state.document_revision,
                "document": state.document,
            }
        parts |= _backend_parts(subscriber, backends_revision, state)
        if subscriber.weights_revision < state.weights_revision:
            parts |= {
                "weights_revision": state.weights_revision,
                "weights": dict(state.weights),
            }
        zones_held = subscriber.zones_revision
        if zones_held is not None and zones_held < state.evacuations.revision:
            parts |= {
                "zones_revision": state.evacuations.revision,
                "evacuated": state.evacuations.zones,
            }
        suspects_held = subscriber.suspects_revision
        if suspects_held is not None and suspects_held < state.suspects.revision:
            parts |= {
                "suspects_revision": state.suspects.revision,
                "suspects": state.suspects.view(),
            }
        if subscriber.keepers_mark != self._mark:
            parts |= {
                "keepers_mark": self._mark,
                "keepers": self._keepers,
                "founding": self._founding,
                "keeper_orders": self._wishes,
                "controls": self._controls,
            }
        return DirectoryChanges(**parts) if parts else None  # type: ignore[arg-type]


def _differs(held: DaemonReport, told: DaemonReport) -> bool:
    """Whether a keeper tells anything new, but for the time."""
    return msgspec.structs.replace(held, wall_seconds=told.wall_seconds) != told


def _backend_parts(
    subscriber: Subscriber, present: int, state: DirectoryState
) -> dict[str, object]:
    """The back ends that a daemon lacks: the changed ones if they are known, else all.

    Args:
        subscriber: The daemon; a gateway is told those that gateways send requests to.
        present: Revision of what there is for it.
        state: The directory.
    """
    held = subscriber.backends_revision
    if held >= present:
        return {}
    parts: dict[str, object] = {"backends_revision": present}
    lacks_services = subscriber.is_gateway and held < state.live_services_revision
    table = state.table.backends
    news = None if lacks_services else state.backend_history.since(held, table)
    if news is None:
        return parts | {"backends": _told(table.values(), subscriber, state)}
    return parts | {
        "backends": _told(news.changed, subscriber, state),
        "backends_since": held,
        "backends_gone": news.gone,
    }


def _told(
    backends: Iterable[Backend], subscriber: Subscriber, state: DirectoryState
) -> tuple[Backend, ...]:
    """Those of some back ends that a daemon is told of."""
    if not subscriber.is_gateway:
        return tuple(backends)
    return tuple(backend for backend in backends if backend.service in state.live_services)
