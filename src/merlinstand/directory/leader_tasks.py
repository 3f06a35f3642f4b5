"""The control leader's periodic work, four times a second, and the start and end of its leadership.

The state is in the components that this module calls, except for the choice of the initial members
of the batch keepers' group. Part of the control daemon's reducer, which calls it only while its
replica may act as leader.
"""

from collections.abc import Callable

from merlinstand.cluster.daemons import KeeperGroup
from merlinstand.consensus.replica import Replica
from merlinstand.directory.commands import BootstrapKeepers, DirectoryCommand
from merlinstand.directory.heartbeats import Heartbeats
from merlinstand.directory.publisher import DirectoryPublisher
from merlinstand.directory.settings import DirectorySettings
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.directory.subscribers import REPORT_TIMEOUT_SECONDS
from merlinstand.keeper_group.founding import KeeperBootstrap
from merlinstand.keeper_group.retirement import KeepersView
from merlinstand.kernel.effects import Effect, LogEvent
from merlinstand.metering.leader import MeteringLeader
from merlinstand.quarantine.leader import QuarantineLeader


class LeaderTasks:
    """Periodic work of one control daemon while it is the leader."""

    def __init__(
        self,
        settings: DirectorySettings,
        replica: Replica,
        state: DirectoryState,
        heartbeats: Heartbeats,
        metering: MeteringLeader,
        quarantine: QuarantineLeader,
        publisher: DirectoryPublisher,
        try_to_propose: Callable[[DirectoryCommand, float], list[Effect] | None],
    ) -> None:
        """Create an instance; `begin_leading` starts a leadership term.

        Args:
            settings: The daemon's settings.
            replica: The consensus replica, for term and group time.
            state: The replicated directory.
            heartbeats: Expires backends without heartbeats and proposes changes.
            metering: Closes and reports the tenants' usage windows.
            quarantine: Ends trials and quarantines.
            publisher: Receives the daemons' reports and sends them changes.
            try_to_propose: Proposes a command; returns None if it can't be proposed now.
        """
        self._settings = settings
        self._replica = replica
        self._state = state
        self._heartbeats = heartbeats
        self._metering = metering
        self._quarantine = quarantine
        self._publisher = publisher
        self._try_to_propose = try_to_propose
        self._leader_since = 0.0
        self._founding = self._new_founding()

    def _new_founding(self) -> KeeperBootstrap:
        return KeeperBootstrap(self._settings.keeper_group_size, self._settings.placement)

    def begin_leading(self, now: float) -> None:
        """Begin a leadership term: discard reports received in an earlier term."""
        self._leader_since = now
        self._founding = self._new_founding()
        self._heartbeats.begin_leading(now)
        self._publisher.begin_leading()
        self._quarantine.lost_senders.begin(now)
        self._metering.begin(self._replica.term, now)

    def end_leading(self) -> list[Effect]:
        """End the leadership term: cancel calls to the platform that are in flight."""
        return self._metering.end()

    def tick(self, now: float) -> list[Effect]:
        """Do the periodic work, at local time `now`."""
        effects = self._heartbeats.expire_silent(now)
        effects.extend(self._heartbeats.flush(now))
        effects.extend(self._bootstrap_keepers(now))
        gateways = self._publisher.subscribers.gateway_contacts()
        effects.extend(self._metering.tick(gateways, self._replica.group_time(now), now))
        effects.extend(self._quarantine.tick(self._replica.group_time(now), now))
        effects.extend(self._publisher.push(now))
        return effects

    def _bootstrap_keepers(self, now: float) -> list[Effect]:
        """Choose the initial members of the keepers' group, unless a choice is committed."""
        if self._state.founding is not None:
            return []
        members = self._founding.choose_founders(
            self._publisher.subscribers.keeper_reports(now), now
        )
        if not members:
            return []
        fields = {"members": ",".join(keeper.node_id for keeper in members)}
        command = BootstrapKeepers(KeeperGroup(tuple(members)))
        return [
            LogEvent("keepers.founding", fields),
            *(self._try_to_propose(command, now) or []),
        ]

    def keepers_view(self, now: float) -> KeepersView:
        """Return what this leader knows of the batch keepers."""
        return KeepersView(
            reports=self._publisher.subscribers.keeper_reports(now),
            retiring=self._state.retiring,
            has_all_reports=now - self._leader_since >= REPORT_TIMEOUT_SECONDS,
            group_size=self._settings.keeper_group_size,
        )
