"""Sends daemons the changes of the directory that they lack, in responses to pulls and by pushes.

Part of every control daemon's reducer: the leader responds with the changes, any other replica only
names the leader. `subscribers` tracks which changes each daemon lacks. The parts of a pull that
concern metering, cold backends, quarantine and server load are passed to the `leader` modules of
those packages.
"""

from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cold_servers.leader import GrantIssuer
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import NodeId
from merlinstand.consensus.replica import Replica
from merlinstand.directory.settings import DirectorySettings
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.directory.subscribers import KEEPER_ROLE, Subscriber, Subscribers
from merlinstand.directory.view import decode_report
from merlinstand.kernel.effects import Effect, LogEvent, SendMessage
from merlinstand.kernel.throttle import Throttle
from merlinstand.metering.leader import MeteringLeader
from merlinstand.protocol.generated.directory.ttypes import DirectoryPull, DirectoryUpdate
from merlinstand.quarantine.leader import QuarantineLeader
from merlinstand.server_load.leader import LoadLeader

PUSH_TIMER = "directory.push"
"""Timer on which the owner calls `push`."""
PUSH_INTERVAL_SECONDS = 0.05
"""Shortest time between two pushes, except for urgent changes; see `Throttle`. While 3,000 backends
load weights, the directory changes every few ms."""


class DirectoryPublisher:
    """Answers pulls and pushes changes, for all daemons that follow the directory."""

    def __init__(
        self,
        settings: DirectorySettings,
        replica: Replica,
        state: DirectoryState,
        metering: MeteringLeader,
        grants: GrantIssuer,
        quarantine: QuarantineLeader,
        load: LoadLeader,
    ) -> None:
        """Create an instance; daemons subscribe by their first pull.

        Args:
            settings: The daemon's settings.
            replica: The consensus replica.
            state: The replicated directory.
            metering: Receives the daemons' clock readings and usage; provides true time.
            grants: Grants daemons a number of requests that they may send to cold backends.
            quarantine: Receives reports of crashed backends.
            load: Receives reports of the backends' load; provides the load summary.
        """
        self._settings = settings
        self._replica = replica
        self._state = state
        self._metering = metering
        self._grants = grants
        self._quarantine = quarantine
        self._load = load
        self.subscribers = Subscribers()
        self._throttle = Throttle(PUSH_TIMER, PUSH_INTERVAL_SECONDS)
        self._is_push_scheduled = False

    def begin_leading(self) -> None:
        """Begin a leadership term: forget subscribers, and empty the token buckets for grants."""
        self.subscribers.clear()
        self._grants.begin()
        self._quarantine.begin()
        self._load.reset()

    def handle_pull(self, sender: NodeId, pull: DirectoryPull, now: float) -> list[Effect]:
        """Record a daemon's report and answer with the changes that it lacks."""
        if not self._replica.may_act(now):
            return [SendMessage(sender, self._update(b""))]
        try:
            report = decode_report(pull.report)
        except DECODE_ERRORS as error:
            fields = {"daemon": sender, "detail": str(error)}
            return [LogEvent("daemon.malformed", fields, "warning")]
        subscriber = _make_subscriber(report, pull, now)
        is_new = not self.subscribers.has_reported(sender)
        if subscriber.document_revision < 0:
            self._quarantine.lost_senders.record_restart(now)
        changes_keepers = self.subscribers.record_report(sender, subscriber)
        if changes_keepers:
            self._refresh_keepers(now)
        effects: list[Effect] = [_log_first_report(report)] if is_new else []
        effects.extend(self._answer(sender, subscriber, pull, now))
        return effects + self.schedule_push(now) if changes_keepers else effects

    def _answer(
        self, sender: NodeId, subscriber: Subscriber, pull: DirectoryPull, now: float
    ) -> list[Effect]:
        """Answer a pull, even if nothing changed: the response shows that the leader is alive."""
        report = subscriber.report
        update = self._update(self.subscribers.encoded_changes_for(subscriber, self._state))
        # 1. True time and the tenants' usage.
        self._metering.record_clock(sender, report.wall_seconds, now)
        usage = self._metering.handle_usage(sender, pull.usage)
        update.true_seconds = self._metering.true_seconds(now)
        update.usage_mark = usage.acknowledged
        # 2. How many requests the daemon may send to cold backends.
        is_batch = report.role == KEEPER_ROLE
        grants = self._grants.handle_requests(sender, is_batch, pull.cold_wishes, now)
        update.cold_grants = grants.data
        # 3. Crashed backends, and the requests that were in flight at them.
        group_time = self._replica.group_time(now)
        crashes = self._quarantine.handle_report(sender, pull.suspect_news, group_time, now)
        update.suspects_mark = crashes.acknowledged
        # 4. Load of the backends.
        load = self._load.handle_report(sender, subscriber.is_gateway, pull.server_load, now)
        update.load_summary = load.data
        send = SendMessage(sender, update)
        return [*usage.effects, *grants.effects, send, *crashes.effects, *load.effects]

    def schedule_push(self, now: float) -> list[Effect]:
        """Push changes, at once or when the throttle allows it.

        For urgent changes the daemon calls `push` instead.
        """
        if self._is_push_scheduled or not self._replica.may_act(now):
            return []
        self._is_push_scheduled = True
        return self._throttle.run_or_schedule(self.push, now)

    def push(self, now: float) -> list[Effect]:
        """Send every daemon the changes that it lacks; also called when `PUSH_TIMER` fires."""
        self._is_push_scheduled = False
        if not self._replica.may_act(now):
            return []
        self._throttle.record_run(now)
        self._refresh_keepers(now)
        effects: list[Effect] = []
        for node_id, subscriber in self.subscribers.reachable(now):
            data = self.subscribers.encoded_changes_for(subscriber, self._state)
            if data:
                effects.append(SendMessage(node_id, self._update(data)))
        return effects

    def _refresh_keepers(self, now: float) -> None:
        members = self._replica.membership.members()
        control_daemons = tuple((str(m.identity.node_id), m.address) for m in members)
        self.subscribers.refresh_keepers(
            control_daemons,
            self._state.founding,
            tuple(self._state.retiring),
            self._replica.term,
            now,
        )

    def _update(self, changes: bytes) -> DirectoryUpdate:
        is_leader = self._replica.is_leader
        address = self._replica.leader_address or ""
        if is_leader:
            address = self._settings.internal_address
        return DirectoryUpdate(
            from_leader=is_leader,
            leader=str(self._replica.leader or ""),
            leader_address=address,
            changes=changes,
            term=self._replica.term,
        )


def _make_subscriber(report: DaemonReport, pull: DirectoryPull, now: float) -> Subscriber:
    return Subscriber(
        report=report,
        last_report_at=now,
        document_revision=pull.document_revision,
        backends_revision=pull.backends_revision,
        weights_revision=pull.weights_revision,
        keepers_mark=pull.keepers_mark,
        zones_revision=pull.zones_revision,
        suspects_revision=pull.suspects_revision,
    )


def _log_first_report(report: DaemonReport) -> Effect:
    """Return the log event for the first report of a daemon to this leader."""
    fields = {
        "daemon": report.node_id,
        "name": report.name,
        "role": report.role,
        "zone": report.zone,
        "address": report.address,
    }
    return LogEvent("daemon.reported", fields)
