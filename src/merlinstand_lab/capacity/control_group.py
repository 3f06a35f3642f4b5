"""A real control group: every replica a process of its own."""

from pathlib import Path

from merlinstand.control.settings import ControlTimings
from merlinstand_lab.capacity.operator_client import OperatorClient
from merlinstand_lab.capacity.topology import control_members, control_spec
from merlinstand_lab.capacity.worker_process import WorkerProcess


class ControlGroup:
    """Control replicas as child processes, and an operator before them."""

    def __init__(self, replicas: int, folder: Path) -> None:
        """Start the replicas; `wait_ready` follows."""
        self.members = control_members(replicas)
        self.workers = {
            member.node_id: WorkerProcess(
                member.node_id,
                [control_spec(member, self.members, folder, ControlTimings())],
                folder,
            )
            for member in self.members
        }
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

    def stop(self) -> None:
        """End every replica."""
        for worker in self.workers.values():
            worker.stop()
