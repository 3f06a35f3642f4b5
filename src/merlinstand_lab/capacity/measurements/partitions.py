"""Loss of a zone, and regions that lose each other and meet again."""

import time
from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec

from merlinstand.configuration.objects import Limits
from merlinstand_lab.capacity.deployment import Deployment, DeploymentSize
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.targets import TARGET
from merlinstand_lab.capacity.topology import region_of, zone_name
from merlinstand_lab.capacity.window import Subject
from merlinstand_lab.capacity.worker_spec import AnyOrder, Block, Kill, Start

CUT_SECONDS = 20.0
POLL_SECONDS = 0.1
TIMEOUT_SECONDS = 90.0


class PartitionPlan(msgspec.Struct, frozen=True, kw_only=True):
    """How large the deployment is."""

    daemons: int = TARGET.daemons
    replicas: int = TARGET.control_machines
    cut_seconds: float = CUT_SECONDS


def measure_partitions(folder: Path, plan: PartitionPlan) -> list[Measured]:
    """Lose the leader's zone, then cut one region off, then all three from each other."""
    size = DeploymentSize(replicas=plan.replicas, daemons=plan.daemons, servers=plan.daemons * 5)
    subject = Subject("partitions", "daemons", plan.daemons)
    with Deployment(size, folder / "partitions") as deployment:
        run = _PartitionRun(deployment, subject, plan)
        rows = run.lose_leader_zone()
        rows += run.cut_one_region()
        rows += run.cut_all_regions()
    return rows


class _PartitionRun:
    """Brings the cuts about and watches the daemons."""

    def __init__(self, deployment: Deployment, subject: Subject, plan: PartitionPlan) -> None:
        self._control = deployment.control
        self._fleet = deployment.fleet
        self._subject = subject
        self._plan = plan
        self._changes = 0
        self._last_revision = 0
        self._zones = {
            node_id: zone_name(int(node_id.rpartition("-")[2])) for node_id in self._fleet.node_ids
        }
        self._zones.update({member.node_id: member.zone for member in self._control.members})

    def lose_leader_zone(self) -> list[Measured]:
        """Freeze the leader in silence and kill all daemons of its zone; then bring them back."""
        leader = self._control.leader_id()
        zone = self._zones[leader]
        lost = [node for node in self._fleet.node_ids if self._zones[node] == zone]
        self._control.workers[leader].freeze()
        self._fleet.order_nodes(Kill, lost)
        accepted, in_force = self._change_among(frozenset(lost))
        self._control.workers[leader].thaw()
        begun = time.monotonic()
        self._fleet.order_nodes(Start, lost)
        back = self._wait_all_work(self._last_revision, begun)
        return [
            self._subject.row("zone-lost", "lost_daemons", float(len(lost))),
            self._subject.row("zone-lost", "change_accepted_seconds", accepted),
            self._subject.row("zone-lost", "change_in_force_at_survivors_seconds", in_force),
            self._subject.row("zone-lost", "zone_back_seconds", back),
        ]

    def cut_one_region(self) -> list[Measured]:
        """Cut off the region with the fewest replicas that does not hold the leader."""
        leader_region = region_of(self._zones[self._control.leader_id()])
        region = next(name for name in ("region-2", "region-1") if name != leader_region)
        cut = self._nodes_of(region)
        self._part([cut, self._others(cut)])
        begun = time.monotonic()
        accepted, in_force = self._change_among(frozenset(cut))
        stopped = self._wait_stopped(cut, begun)
        time.sleep(max(0.0, self._plan.cut_seconds - (time.monotonic() - begun)))
        back = self._join()
        return [
            self._subject.row("region-cut", "cut_daemons", float(len(cut))),
            self._subject.row("region-cut", "change_accepted_seconds", accepted),
            self._subject.row("region-cut", "change_in_force_at_majority_seconds", in_force),
            self._subject.row("region-cut", "all_cut_daemons_stopped_new_work_seconds", stopped),
            self._subject.row("region-cut", "all_current_after_join_seconds", back),
        ]

    def cut_all_regions(self) -> list[Measured]:
        """Cut every region from every other: no quorum anywhere."""
        groups = [self._nodes_of(f"region-{number}") for number in range(TARGET.regions)]
        self._part(groups)
        begun = time.monotonic()
        stopped = self._wait_stopped(self._fleet.node_ids, begun)
        time.sleep(max(0.0, self._plan.cut_seconds - (time.monotonic() - begun)))
        back = self._join()
        return [
            self._subject.row("regions-parted", "all_daemons_stopped_new_work_seconds", stopped),
            self._subject.row("regions-parted", "all_current_after_join_seconds", back),
        ]

    def _change_among(self, absent: frozenset[str]) -> tuple[float, float]:
        """Change the configuration; return times of acceptance and of being in force."""
        self._changes += 1
        begun = time.monotonic()
        limits = Limits(caller="web", requests_per_second=500.0 + self._changes)
        answer = self._control.operator.put("limits/web", limits)
        self._last_revision = answer.revision
        if not self._fleet.wait_revision(answer.revision, TIMEOUT_SECONDS, absent):
            raise TimeoutError("the change is not in force at all reachable daemons")
        reached = self._fleet.in_force_seconds(answer.revision, begun)
        return answer.accepted_at - begun, max(reached)

    def _part(self, groups: list[list[str]]) -> None:
        """Let no message pass between groups; connections stay open."""
        for group in groups:
            peers = tuple(self._others(group))
            members = set(group)
            self._fleet.order_nodes(_blocking(peers), group)
            for node_id, worker in self._control.workers.items():
                if node_id in members:
                    worker.order(Block((), peers))

    def _join(self) -> float:
        """Let all messages pass again; return when all daemons are current and take work."""
        for worker in self._control.workers.values():
            worker.order(Block((), ()))
        self._fleet.order_all(Block((), ()))
        begun = time.monotonic()
        _, _ = self._change_among(frozenset())
        return self._wait_all_work(self._last_revision, begun)

    def _wait_all_work(self, revision: int, begun: float) -> float:
        if not self._fleet.wait_joined(revision, TIMEOUT_SECONDS):
            raise TimeoutError("not all daemons take new work again")
        return time.monotonic() - begun

    def _wait_stopped(self, node_ids: Iterable[str], begun: float) -> float:
        """Return when the last of the nodes stopped taking new work."""
        wanted = set(node_ids)
        while time.monotonic() - begun < TIMEOUT_SECONDS:
            counts = [count for report in self._fleet.reports() for count in report.counts]
            if not any(count.takes_new_work for count in counts if count.node_id in wanted):
                return time.monotonic() - begun
            time.sleep(POLL_SECONDS)
        raise TimeoutError("cut daemons still take new work")

    def _nodes_of(self, region: str) -> list[str]:
        return [node for node, zone in self._zones.items() if region_of(zone) == region]

    def _others(self, group: Iterable[str]) -> list[str]:
        members = set(group)
        return [node for node in self._zones if node not in members]


def _blocking(peers: tuple[str, ...]) -> Callable[[tuple[str, ...]], AnyOrder]:
    return lambda node_ids: Block(node_ids, peers)
