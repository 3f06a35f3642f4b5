"""A real control group: every replica a process of its own."""

from pathlib import Path

from merlinstand.control.settings import ControlMember, ControlTimings
from merlinstand_lab.capacity.operator_client import OperatorClient
from merlinstand_lab.capacity.topology import control_members, control_spec
from merlinstand_lab.capacity.worker_process import WorkerProcess


class ControlGroup:
    """Control replicas as child processes, and an operator before them."""

    def __init__(self, replicas: int, folder: Path, timings: ControlTimings | None = None) -> None:
        """Start the replicas; `wait_ready` follows."""
        self.members = control_members(replicas)
        self._folder = folder
        self._timings = timings or ControlTimings()
        self.workers = {member.node_id: self._start(member) for member in self.members}
        self.operator = OperatorClient([member.http_address for member in self.members])

    def wait_ready(self) -> None:
        """Block until the replicas have started and one of them leads."""
        for worker in self.workers.values():
            worker.wait_started()
        self.leader_id()

    def leader_id(self) -> str:
        """Return the node id of the leader."""
        for member in self.operator.get("/v1/members")["members"]:
            if member["leader"]:
                return str(member["node_id"])
        raise LookupError("no member says it leads")

    def followers(self) -> list[str]:
        """Return the node ids of all others."""
        leader = self.leader_id()
        return [node_id for node_id in self.workers if node_id != leader]

    def zone_of(self, node_id: str) -> str:
        """Return a replica's zone."""
        return next(member.zone for member in self.members if member.node_id == node_id)

    def restart(self, node_id: str) -> None:
        """Start a killed replica again on its disk."""
        member = next(member for member in self.members if member.node_id == node_id)
        self.workers[node_id] = self._start(member)
        self.workers[node_id].wait_started()

    def stop(self) -> None:
        """End every replica."""
        for worker in self.workers.values():
            worker.stop()

    def _start(self, member: ControlMember) -> WorkerProcess:
        spec = control_spec(member, self.members, self._folder, self._timings)
        return WorkerProcess(member.node_id, [spec], self._folder)
