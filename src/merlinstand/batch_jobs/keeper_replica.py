"""This keeper's part in the group that replicates the batch jobs.

Run by every keeper. Owns the replica of the log: when it starts, as what kind of member, what the
directory learns of it, and, while it leads, proposals and the removal of retiring members. Relies
on the keeper's daemon to perform what a step of the replica brings.
"""

from collections.abc import Callable

from result import Err

from merlinstand.batch_jobs.settings import KeeperSettings
from merlinstand.batch_jobs.state_machine import JobCommand, encode_command
from merlinstand.cluster.daemons import DaemonReport, Keeper
from merlinstand.common.ids import NodeId, Zone
from merlinstand.consensus.first_start import has_first_start_record, persist_first_start
from merlinstand.consensus.membership import Member
from merlinstand.consensus.recovery import holds_membership
from merlinstand.consensus.replica import Replica
from merlinstand.consensus.settings import PeerSettings, ReplicaSettings
from merlinstand.consensus.step import Proposal, Step
from merlinstand.consensus.timings import timings_for_election_timeout
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.directory.subscribers import KEEPER_ROLE
from merlinstand.kernel.effects import Effect, LogEvent
from merlinstand.kernel.events import Started


class KeeperReplica:
    """The replica, once it has started, and what surrounds it."""

    def __init__(
        self,
        settings: KeeperSettings,
        follower: DirectoryFollower,
        perform: Callable[[Step, float], list[Effect]],
    ) -> None:
        """Make one that has not started.

        Args:
            settings: Of the keeper.
            follower: The directory: the group's founders, other keepers, and those that retire.
            perform: Performs a step of the replica at a local time.
        """
        self._settings = settings
        self._follower = follower
        self.perform = perform
        self.replica: Replica | None = None
        self.is_stopping = False
        """Whether the process is about to stop: it acts as leader no more."""
        self._started: Started | None = None
        """Held until the replica starts."""
        self._may_found = settings.may_found
        """Whether this is the first start of all, or it was and the group is not founded yet."""
        self._removal_requested: set[str] = set()
        """Node ids of retiring members whose removal is in the log."""

    def start(self, event: Started, now: float) -> list[Effect]:
        """Start the replica if it was a member before; else its group has to be known first."""
        self._started = event
        self._may_found = self._may_found or has_first_start_record(event)
        effects = persist_first_start(event, self._settings.may_found)
        alone = self._replica_settings((), ())
        if holds_membership(alone, event):
            # The group's members stand in the log: no need to wait for the directory.
            effects.extend(self._start_replica(alone, event, now))
        return effects

    def start_if_founded(self, now: float) -> list[Effect]:
        """Start the replica once the directory names the group's founders."""
        founding = self._follower.founding
        if self.replica is not None or founding is None or self._started is None:
            return []
        founders = {keeper.node_id for keeper in founding.members}
        others = tuple(k for k in self._follower.keepers if k.node_id not in founders)
        settings = self._replica_settings(founding.members, others)
        return self._start_replica(settings, self._started, now)

    def _start_replica(self, settings: ReplicaSettings, event: Started, now: float) -> list[Effect]:
        self.replica = Replica(settings)
        # Its records are as large as the whole journal, and are in the replica's log from here on.
        self._started = None
        return self.perform(self.replica.start(event, now), now)

    def _replica_settings(
        self, founders: tuple[Keeper, ...], others: tuple[Keeper, ...]
    ) -> ReplicaSettings:
        settings = self._settings
        return ReplicaSettings(
            node_id=NodeId(settings.node_id),
            address=settings.internal_address,
            zone=Zone(settings.zone),
            members=tuple(_peer_settings(keeper) for keeper in founders),
            standbys=tuple(_peer_settings(keeper) for keeper in others),
            bootstrap=self._may_found,
            target_size=settings.group_size,
            placement=settings.placement,
            timings=timings_for_election_timeout(
                settings.election_timeout_seconds, settings.repair_delay_seconds
            ),
        )

    def may_act(self, now: float) -> bool:
        """Whether this keeper leads, no other can be acting as leader, and it doesn't stop."""
        return self.replica is not None and self.replica.may_act(now) and not self.is_stopping

    def group_time(self, now: float) -> float:
        """The group's own time in seconds at a local time; 0 before the replica starts."""
        return self.replica.group_time(now) if self.replica is not None else 0.0

    @property
    def members(self) -> tuple[Member, ...]:
        """Members of the group as this replica's log has them."""
        return self.replica.membership.members() if self.replica is not None else ()

    @property
    def other_leader(self) -> str:
        """`ip:port` of the HTTP interface of another keeper that leads; empty if none is known."""
        leader = self.replica.leader if self.replica is not None else None
        if leader is None or leader == self._settings.node_id:
            return ""
        port = self._settings.http_address.rpartition(":")[2]
        return f"{leader}:{port}"

    def append(self, command: JobCommand, now: float) -> Proposal | None:
        """Append a command to the log; None if that can't be done now: it certainly was not.

        Whoever waits for its position must be noted before the step of the proposal is performed,
        which may deliver it.
        """
        if self.replica is None or not self.may_act(now):
            return None
        result = self.replica.propose(encode_command(command), now)
        return None if isinstance(result, Err) else result.ok_value

    def propose(self, command: JobCommand, now: float) -> list[Effect] | None:
        """Append a command whose position nobody waits for; None if that can't be done now."""
        proposal = self.append(command, now)
        return None if proposal is None else self.perform(proposal.step, now)

    def remove_retiring(self, now: float) -> list[Effect]:
        """Take keepers out of the group that operators want emptied; leader only."""
        assert self.replica is not None
        effects: list[Effect] = []
        for node_id in self._follower.retiring:
            if node_id in self._removal_requested:
                continue
            result = self.replica.request_replacement(None, NodeId(node_id), now)
            if not isinstance(result, Err):
                self._removal_requested.add(node_id)
                effects.append(LogEvent("keeper.retires", {"keeper": node_id}))
                effects.extend(self.perform(result.ok_value.step, now))
        return effects

    def report(self, now: float) -> DaemonReport:
        """Give what the control leader is to know of this keeper."""
        settings = self._settings
        leads = self.may_act(now)
        members = self.members if leads else ()
        return DaemonReport(
            node_id=settings.node_id,
            name=settings.name,
            role=KEEPER_ROLE,
            zone=settings.zone,
            address=settings.internal_address,
            http_address=settings.http_address,
            may_bootstrap=self._may_found,
            is_leader=leads,
            term=self.replica.term if self.replica is not None else 0,
            members=tuple(str(member.identity.node_id) for member in members),
            wall_seconds=self._follower.wall_seconds(now),
        )


def _peer_settings(keeper: Keeper) -> PeerSettings:
    return PeerSettings(
        node_id=NodeId(keeper.node_id), address=keeper.address, zone=Zone(keeper.zone)
    )
