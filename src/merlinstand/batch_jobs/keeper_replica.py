"""This keeper's replica in the consensus group that replicates the batch jobs.

This module starts the replica as a voter or standby and reports its status to the directory. In the
leader, it also proposes commands and removes retiring members. The keeper's daemon performs the
replica's steps.
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
    """Starts and uses this keeper's replica of the log."""

    def __init__(
        self,
        settings: KeeperSettings,
        follower: DirectoryFollower,
        perform: Callable[[Step, float], list[Effect]],
    ) -> None:
        """Create the object; `start` or `start_if_bootstrapped` starts the replica.

        Args:
            settings: Settings of the keeper.
            follower: The directory, for the group's founders, other keepers and retiring keepers.
            perform: Performs a step of the replica at a local time.
        """
        self._settings = settings
        self._follower = follower
        self.perform = perform
        self.replica: Replica | None = None
        self.is_stopping = False
        """Whether the process is about to stop, so that it no longer acts as leader."""
        self._started_event: Started | None = None
        """The event with the stored records, until the replica starts."""
        self._may_bootstrap = settings.may_found
        """Whether this replica may create the group: on the first start of the deployment, or on a
        restart before the group exists."""
        self._removal_requested: set[str] = set()
        """Node ids of retiring members whose removal was proposed."""

    def start(self, event: Started, now: float) -> list[Effect]:
        """Start the replica if its log contains the group's members.

        Otherwise it starts once the directory names the founders; see `start_if_bootstrapped`.
        """
        self._started_event = event
        self._may_bootstrap = self._may_bootstrap or has_first_start_record(event)
        effects = persist_first_start(event, self._settings.may_found)
        settings_without_peers = self._replica_settings((), ())
        if holds_membership(settings_without_peers, event):
            # The log contains the group's members, so there is no need to wait for the directory.
            effects.extend(self._start_replica(settings_without_peers, event, now))
        return effects

    def start_if_bootstrapped(self, now: float) -> list[Effect]:
        """Start the replica once the directory names the group's founders."""
        founding = self._follower.founding
        if self.replica is not None or founding is None or self._started_event is None:
            return []
        founders = {keeper.node_id for keeper in founding.members}
        others = tuple(k for k in self._follower.keepers if k.node_id not in founders)
        settings = self._replica_settings(founding.members, others)
        return self._start_replica(settings, self._started_event, now)

    def _start_replica(self, settings: ReplicaSettings, event: Started, now: float) -> list[Effect]:
        self.replica = Replica(settings)
        # Frees the stored records, which are as large as the journal and now in the replica's log.
        self._started_event = None
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
            bootstrap=self._may_bootstrap,
            target_size=settings.group_size,
            placement=settings.placement,
            timings=timings_for_election_timeout(
                settings.election_timeout_seconds, settings.repair_delay_seconds
            ),
        )

    def may_act(self, now: float) -> bool:
        """Return whether this keeper may act as leader.

        It may do so if no other keeper can be acting as leader (see `Replica.may_act`) and the
        process is not stopping.
        """
        return self.replica is not None and self.replica.may_act(now) and not self.is_stopping

    def group_time(self, now: float) -> float:
        """Return the group time in seconds at a local time; 0 before the replica starts."""
        return self.replica.group_time(now) if self.replica is not None else 0.0

    @property
    def members(self) -> tuple[Member, ...]:
        """Members of the group according to this replica's log."""
        return self.replica.membership.members() if self.replica is not None else ()

    @property
    def other_leader_address(self) -> str:
        """`ip:port` of the leader's HTTP interface; empty if it is unknown or this keeper leads."""
        leader = self.replica.leader if self.replica is not None else None
        if leader is None or leader == self._settings.node_id:
            return ""
        port = self._settings.http_address.rpartition(":")[2]
        return f"{leader}:{port}"

    def append(self, command: JobCommand, now: float) -> Proposal | None:
        """Append a command to the log.

        The step in the returned proposal may already commit the command, so a caller that waits for
        the commit must register the log index before it performs the step.

        Returns:
            The proposal; None if nothing was appended, because this keeper may not act as leader or
            the replica refused the command.
        """
        if self.replica is None or not self.may_act(now):
            return None
        result = self.replica.propose(encode_command(command), now)
        return None if isinstance(result, Err) else result.ok_value

    def propose(self, command: JobCommand, now: float) -> list[Effect] | None:
        """Append a command without waiting for its commit; None if nothing was appended."""
        proposal = self.append(command, now)
        return None if proposal is None else self.perform(proposal.step, now)

    def remove_retiring(self, now: float) -> list[Effect]:
        """Remove retiring keepers from the group; leader only."""
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
        """Return this keeper's status report for the control leader."""
        settings = self._settings
        is_leading = self.may_act(now)
        members = self.members if is_leading else ()
        return DaemonReport(
            node_id=settings.node_id,
            name=settings.name,
            role=KEEPER_ROLE,
            zone=settings.zone,
            address=settings.internal_address,
            http_address=settings.http_address,
            may_bootstrap=self._may_bootstrap,
            is_leader=is_leading,
            term=self.replica.term if self.replica is not None else 0,
            members=tuple(str(member.identity.node_id) for member in members),
            wall_seconds=self._follower.wall_seconds(now),
        )


def _peer_settings(keeper: Keeper) -> PeerSettings:
    return PeerSettings(
        node_id=NodeId(keeper.node_id), address=keeper.address, zone=Zone(keeper.zone)
    )
