"""Follows the directory, in a daemon that isn't a control daemon.

Holds the daemon's copy of the directory, and collects what the daemon reports with each pull:
usage, how many requests it wants to send to cold backends (such as ones that have just started),
crashed backends and load. `leader_contact` finds the leader, `backend_view` holds the
backends. Part of the reducers of gateways and batch keepers, which call `pull` at `PULL_TIMER` and
`apply_update` with each update.
"""

from collections.abc import Callable, Collection, Iterable

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import DaemonReport, Keeper, KeeperGroup
from merlinstand.cluster.routes import RoutesDocument, RouteTable
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import NodeId
from merlinstand.directory.backend_view import BackendView
from merlinstand.directory.leader_contact import LEADER_UNREACHABLE_SECONDS, LeaderContact
from merlinstand.directory.view import DirectoryChanges, decode_changes, encode_report
from merlinstand.evacuation.follower import EvacuatedZones
from merlinstand.kernel.effects import (
    Effect,
    LogEvent,
    ReadWallClock,
    SendMessage,
    SetTimer,
)
from merlinstand.kernel.events import WallClockRead
from merlinstand.metering.true_time import FollowerClock
from merlinstand.protocol.generated.directory.ttypes import DirectoryPull, DirectoryUpdate
from merlinstand.quarantine.follower import SuspectTable
from merlinstand.server_load.follower import LoadFollower

PULL_TIMER = "directory.pull"
"""Timer on which the owner calls `pull`."""


class DirectoryFollower:
    """One daemon's copy of the directory, updated by pulls and pushes."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        report: Callable[[float], DaemonReport],
        usage: Callable[[int], bytes | None] = lambda _acknowledged: None,
    ) -> None:
        """Create a copy that is empty until the first update.

        Args:
            seeds: Internal addresses of some control daemons, `ip:port`.
            report: Returns this daemon's report at a local time.
            usage: Takes the sequence number of the newest committed usage report, and returns the
                encoded usage counts if they have changed since that report; otherwise None.
        """
        self._report = report
        self._usage = usage
        self._acknowledged_usage = 0
        """Sequence number of the newest usage report that is committed."""
        self._contact = LeaderContact(seeds)
        self.cold_budget = ColdBackendBudget(self._cold_limit_per_second)
        """How many requests the leader allows this daemon to send to cold backends."""
        self.suspects = SuspectTable()
        """Requests suspected of crashing backends, and what this daemon reports about them."""
        self.load = LoadFollower()
        """Load of the backends: this daemon's counts, and the leader's summary."""
        self._clock = FollowerClock()
        self.document_revision = -1
        self.backends_revision = -1
        self.weights_revision = -1
        self.keepers_mark = ""
        self.routes = RouteTable(RoutesDocument(version=-1))
        self._view = BackendView()
        self.weights: dict[str, int] = {}
        self.keepers: tuple[Keeper, ...] = ()
        self.founding: KeeperGroup | None = None
        self.retiring: tuple[str, ...] = ()

    @property
    def has_document(self) -> bool:
        """Whether a routes document was received."""
        return self.document_revision >= 0

    @property
    def backends(self) -> Collection[Backend]:
        """All backends that this daemon received; those in evacuated zones appear as draining."""
        return self._view.backends

    @property
    def view_revision(self) -> int:
        """Increases with every change of `backends`."""
        return self._view.revision

    @property
    def evacuated(self) -> EvacuatedZones:
        """Evacuated zones, whose backends get no requests."""
        return self._view.evacuated

    def seconds_since_leader_contact(self, now: float) -> float:
        """Return the time since the leader's last response; infinite before the first one.

        This copy holds everything that the leader had committed before that response.
        """
        return self._contact.seconds_since_contact(now)

    def is_leader_unreachable(self, now: float) -> bool:
        """Return whether contact with the leader was lost, by a crash or a network partition."""
        return (
            self.has_document
            and self.seconds_since_leader_contact(now) > LEADER_UNREACHABLE_SECONDS
        )

    def start(self, now: float) -> list[Effect]:
        """Send the first pull and set `PULL_TIMER`."""
        return self._contact.known_addresses() + self.pull(now)

    def pull(self, now: float) -> list[Effect]:
        """Request changes and send this daemon's reports; to be called on each `PULL_TIMER`."""
        interval_seconds = self._contact.pull_interval_seconds(not self.has_document, now)
        interval_seconds = min(interval_seconds, self.load.report_interval_seconds(now))
        effects: list[Effect] = [SetTimer(PULL_TIMER, interval_seconds)]
        message = DirectoryPull(
            report=encode_report(self._report(now)),
            document_revision=self.document_revision,
            backends_revision=self.backends_revision,
            weights_revision=self.weights_revision,
            keepers_mark=self.keepers_mark,
            zones_revision=self.evacuated.revision,
            usage=self._usage(self._acknowledged_usage),
            cold_wishes=self.cold_budget.next_request(now),
            suspects_revision=self.suspects.revision,
            suspect_news=self.suspects.next_report(now),
            server_load=self.load.next_report(now),
        )
        self._clock.record_pull_sent(now)
        if self._clock.start_read_if_due(now):
            effects.append(ReadWallClock())
        effects.extend(SendMessage(node_id, message) for node_id in self._contact.pull_targets(now))
        return effects

    def pull_if_due(self, now: float) -> list[Effect]:
        """Pull now if a request for grants or a report is due; to be called after each event."""
        is_due = (
            self.cold_budget.is_request_due(now)
            or self.suspects.is_report_due(now)
            or self.load.is_report_due(now)
        )
        return self.pull(now) if is_due else []

    def _cold_limit_per_second(self, service_name: str) -> float:
        service = self.routes.services.get(service_name)
        return 0.0 if service is None else service.cold_requests_per_second

    def record_wall_clock(self, event: WallClockRead, now: float) -> None:
        """Record a reading of the machine's clock; the next pull reports it."""
        self._clock.record_reading(event.wall_seconds, now)

    def wall_seconds(self, now: float) -> float:
        """Return what this machine's clock will show when a report sent now reaches the leader.

        Returns 0 before the first reading of the clock.
        """
        return self._clock.wall_seconds(now)

    def true_seconds(self, now: float) -> float | None:
        """Return true time in seconds since 1970; None before the leader's first response."""
        return self._clock.true_seconds(now)

    def apply_update(self, sender: NodeId, update: DirectoryUpdate, now: float) -> list[Effect]:
        """Apply an update from a control daemon; an update from an earlier term is ignored."""
        if not update.from_leader:
            learned = self._contact.learn_leader(update)
            return learned + self.pull(now) if learned else []
        if update.term < self._contact.term:
            return []
        effects: list[Effect] = []
        if self._contact.record_leader(sender, update.term, now):
            effects.append(LogEvent("directory.following", {"leader": sender, "term": update.term}))
        if update.true_seconds is not None:
            self._clock.record_response(update.true_seconds, now)
        if update.usage_mark is not None:
            self._acknowledged_usage = update.usage_mark
        if update.changes:
            try:
                changes = decode_changes(update.changes)
            except DECODE_ERRORS:
                return effects
            effects.extend(self._apply(changes, now))
        if update.cold_grants is not None:
            self.cold_budget.apply_grants(update.cold_grants, now)
        if update.suspects_mark is not None:
            self.suspects.acknowledge(update.suspects_mark)
        if update.load_summary is not None:
            effects.extend(self.load.apply_summary(update.load_summary, now))
        return effects

    def _apply(self, changes: DirectoryChanges, now: float) -> list[Effect]:
        """Apply the sections of an update that are newer than this copy's."""
        effects: list[Effect] = []
        document = changes.document
        if document is not None and changes.document_revision > self.document_revision:
            self.document_revision = changes.document_revision
            self.routes = RouteTable(document)
            effects.append(LogEvent("directory.document", {"version": document.version}))
        if changes.backends is not None and changes.backends_revision > self.backends_revision:
            self._apply_backends(changes, changes.backends)
        has_backends = self.backends_revision >= changes.backends_revision
        zones_revision = changes.zones_revision
        effects.extend(self._view.update_evacuated(changes.evacuated, zones_revision, has_backends))
        if changes.suspects is not None:
            self.suspects.apply_view(changes.suspects, changes.suspects_revision, now)
        if changes.weights is not None and changes.weights_revision > self.weights_revision:
            self.weights_revision = changes.weights_revision
            self.weights = changes.weights
        if changes.keepers is not None:
            self.keepers_mark = changes.keepers_mark
            self.keepers = changes.keepers
            self.founding = changes.founding
            self.retiring = changes.keeper_retirements.retiring
            effects.extend(self._contact.update_control_daemons(changes.control_daemons or ()))
        return effects

    def _apply_backends(self, changes: DirectoryChanges, backends: tuple[Backend, ...]) -> None:
        """Replace all backends, or apply those that changed."""
        if changes.backends_since < 0:
            self._view.replace_all(backends)
        elif changes.backends_since > self.backends_revision:
            # An update before this one was lost. The next pull reports this copy's revision, from
            # which the leader sends the missing changes.
            return
        else:
            self._view.apply_changes(changes.backends_removed, backends)
        self.backends_revision = changes.backends_revision
        self.cold_budget.retain_only(self._view.ids)

    def set_backends(self, backends: Iterable[Backend]) -> None:
        """Replace all backends; `backends_revision` is unchanged."""
        self._view.replace_all(backends)

    def leading_keeper(self) -> Keeper | None:
        """Return the batch keeper that leads according to the keepers' reports; None if unknown."""
        leaders = [keeper for keeper in self.keepers if keeper.is_leader]
        return max(leaders, key=lambda keeper: keeper.term, default=None)

    def backends_of(self, service: str) -> tuple[Backend, ...]:
        """Return the backends of a service, draining ones included; see `backends`."""
        return self._view.of_service(service)

    def health_path_of(self, service_name: str) -> str:
        """Return the health check path of a service's backends; empty if there is none."""
        service = self.routes.services.get(service_name)
        return "" if service is None else service.health_path

    def maximum_connections_of(self, service_name: str) -> int:
        """Return how many connections of all clients one backend accepts; 0 if unknown."""
        service = self.routes.services.get(service_name)
        return 0 if service is None else service.maximum_connections

    def is_evacuated(self, service: str) -> bool:
        """Return whether all usable backends of a service are in evacuated zones."""
        return self._view.is_evacuated(service)
