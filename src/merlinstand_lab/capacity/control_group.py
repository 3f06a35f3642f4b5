"""A real control group: every replica a process of its own."""

import time
from pathlib import Path

import msgspec

from merlinstand.configuration.objects import ConfigurationObject
from merlinstand.runtime.record_writer import RecordWriter
from merlinstand_lab.capacity.topology import control_members, control_spec
from merlinstand_lab.capacity.worker_process import WorkerProcess
from merlinstand_lab.fleet.configuration_file import put_command
from merlinstand_lab.fleet.operator import OperatorClient

PATIENCE_SECONDS = 60.0
"""Seconds until a command or a read counts as failed; chosen, not measured."""
POLL_SECONDS = 0.1
"""Seconds; chosen, not measured."""


class NotServedError(Exception):
    """Control refused a command, or no replica answered in time."""


class _Member(msgspec.Struct, frozen=True):
    node_id: str
    leader: bool = False


class _Members(msgspec.Struct, frozen=True):
    members: list[_Member]


class ControlGroup:
    """Control replicas as child processes, and an operator before them."""

    def __init__(self, replicas: int, folder: Path) -> None:
        """Start the replicas; `wait_ready` follows."""
        self.members = control_members(replicas)
        self.workers = {
            member.node_id: WorkerProcess(
                member.node_id,
                [control_spec(member, self.members, folder)],
                folder,
            )
            for member in self.members
        }
        addresses = [member.http_address for member in self.members]
        records = RecordWriter(str(folder))
        self.operator = OperatorClient("capacity", addresses, "", records, PATIENCE_SECONDS)

    def wait_ready(self) -> None:
        """Block until the replicas have started and one of them leads."""
        for worker in self.workers.values():
            worker.wait_started()
        self.leader_id()

    def put(self, key: str, value: ConfigurationObject) -> int:
        """Create or replace a configuration object and return its revision.

        Raises:
            NotServedError: It was refused, or not answered in time.
        """
        answer = self.operator.send(put_command(key, value, expected_revision=None))
        if answer is None or answer.outcome.outcome != "done":
            raise NotServedError(f"{key}: {answer}")
        return answer.revision

    def leader_id(self) -> str:
        """Return the node id of the leader.

        Raises:
            NotServedError: No replica named one in time.
        """
        end = time.monotonic() + PATIENCE_SECONDS
        while time.monotonic() < end:
            found = self.operator.get("/v1/members", _Members)
            for member in found.members if isinstance(found, _Members) else []:
                if member.leader:
                    return member.node_id
            time.sleep(POLL_SECONDS)
        raise NotServedError("no replica says who leads")

    def stop(self) -> None:
        """End every replica."""
        for worker in self.workers.values():
            worker.stop()
