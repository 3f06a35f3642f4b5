"""What the control leader does by itself, four times a second, and at the start of a leadership.

Owns what one leadership knows of the keepers that founded their group; all else belongs to the
parts that it calls. Part of the control daemon's reducer, which calls it only while its replica may
act as leader.
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
from merlinstand.keeper_group.founding import KeeperFounding
from merlinstand.keeper_group.retirement import KeepersView
from merlinstand.kernel.effects import Effect, LogEvent
from merlinstand.metering.leader import MeteringLeader
from merlinstand.quarantine.leader import QuarantineLeader


class LeaderTasks:
    """Tasks of one control daemon while it leads."""

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
        """Begin without a leadership.

        Args:
            settings: Of the daemon.
            replica: Knows term and group time.
            state: What the group agreed on.
            heartbeats: Expires silent back ends and has changed ones agreed.
            metering: Fixes and reports the tenants' use.
            quarantine: Ends trials and quarantines.
            publisher: Sends daemons what they lack, and hears them.
            try_to_propose: Proposes a command; None if that can't be done now.
        """
        self._settings = settings
        self._replica = replica
        self._state = state
        self._heartbeats = heartbeats
        self._metering = metering
        self._quarantine = quarantine
        self._publisher = publisher
        self._try_to_propose = try_to_propose
        self._led_since = 0.0
        self._founding = self._new_founding()

    def _new_founding(self) -> KeeperFounding:
        return KeeperFounding(self._settings.keeper_group_size, self._settings.placement)

    def begin_leading(self, now: float) -> None:
        """A leadership begins: what an earlier one heard doesn't count."""
        self._led_since = now
        self._founding = self._new_founding()
        self._heartbeats.begin_leading(now)
        self._publisher.begin_leading()
        self._quarantine.lost_senders.begin(now)
        self._metering.begin(self._replica.term, now)

    def end_leading(self) -> list[Effect]:
        """The leadership is over: calls to the platform that are under way are cancelled."""
        return self._metering.end()

    def tick(self, now: float) -> list[Effect]:
        """Do what is due."""
        effects = self._heartbeats.expire_silent(now)
        effects.extend(self._heartbeats.flush(now))
        effects.extend(self._found_keepers(now))
        gateways = self._publisher.subscribers.gateway_contacts()
        effects.extend(self._metering.tick(gateways, self._replica.group_time(now), now))
        effects.extend(self._quarantine.tick(self._replica.group_time(now), now))
        effects.extend(self._publisher.push(now))
        return effects

    def _found_keepers(self, now: float) -> list[Effect]:
        """Choose the founding members of the keepers' group, once and for all."""
        if self._state.founding is not None:
            return []
        chosen = self._founding.decide(self._publisher.subscribers.keeper_reports(now), now)
        if not chosen:
            return []
        fields = {"members": ",".join(keeper.node_id for keeper in chosen)}
        command = BootstrapKeepers(KeeperGroup(tuple(chosen)))
        return [
            LogEvent("keepers.founding", fields),
            *(self._try_to_propose(command, now) or []),
        ]

    def keepers_view(self, now: float) -> KeepersView:
        """Give what this leader knows of the keepers."""
        return KeepersView(
            reports=self._publisher.subscribers.keeper_reports(now),
            retiring=self._state.retiring,
            is_complete=now - self._led_since >= REPORT_TIMEOUT_SECONDS,
            group_size=self._settings.keeper_group_size,
        )
