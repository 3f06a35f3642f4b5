"""Simulates coordinators that compete for leases, with the real leadership, lease keepers and lease
table but no network.
"""

import random
from collections import Counter
from collections.abc import Sequence

from merlinstand.common import constants
from merlinstand.configuration.objects import Daemon, Job
from merlinstand.control.commands import AcquireLease, ReleaseLease, RenewLeases
from merlinstand.control.leases import LeaseTable
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.leadership import Leadership, job_resource
from merlinstand.coordinator.settings import CoordinatorSettings
from merlinstand.kernel.effects import Effect
from merlinstand.session.lease_keeper import LEASE_RETRY_SECONDS, LeaseKeeper, OutgoingCommand
from merlinstand.session.view import ConfigurationView
from tests.coordinator.scripted_control import ScriptedSession

STEP_SECONDS = 0.05


class KeeperSession(ScriptedSession):
    """A session with only a lease keeper."""

    def __init__(self, node_id: str, view: ConfigurationView, seed: int) -> None:
        super().__init__(node_id)
        self.scripted_view = view
        self.keeper = LeaseKeeper(node_id, 1, constants.RESOURCE_LEASE_SECONDS, random.Random(seed))

    def request_lease(
        self, resource: str, now: float, retry_seconds: float = LEASE_RETRY_SECONDS
    ) -> Sequence[Effect]:
        self.keeper.request(resource, now, retry_seconds)
        return ()

    def release_lease(self, resource: str, now: float) -> Sequence[Effect]:
        self.keeper.release(resource)
        return ()


class Participant:
    """A coordinator that requests leases."""

    def __init__(self, node_id: str, view: ConfigurationView, seed: int) -> None:
        self.session = KeeperSession(node_id, view, seed)
        settings = CoordinatorSettings(
            node_id=node_id,
            zone="zone-1",
            address="127.0.0.1:1",
            http_address="127.0.0.1:2",
            control_members=(),
        )
        self.context = Context(settings, self.session)
        self.leadership = Leadership(node_id)
        self.alive = True


class LeaseSimulation:
    """All coordinators and one lease table, in steps of virtual time."""

    def __init__(self, coordinators: int, jobs: int) -> None:
        names = [f"coordinator-{number}" for number in range(coordinators)]
        view = ConfigurationView()
        view.revision = 1
        view.daemons = {name: _daemon(name) for name in names}
        view.jobs = {f"job-{number}": _job(f"job-{number}") for number in range(jobs)}
        self.resources = [job_resource(name) for name in view.jobs]
        self.participants = {name: Participant(name, view, seed) for seed, name in enumerate(names)}
        self.table = LeaseTable()
        self.now = 0.0
        self.acquisitions: Counter[str] = Counter()
        """Number of acquisition requests by coordinator."""
        self._revision = 0

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def step(self) -> None:
        self.now += STEP_SECONDS
        for name, participant in self.participants.items():
            if participant.alive:
                participant.context.now = self.now
                participant.leadership.update(participant.context)
                self._ask(name, participant.session.keeper)

    def holder(self, resource: str) -> str:
        """Return the running holder of a resource; empty if there is none."""
        for name, participant in self.participants.items():
            if participant.alive and participant.session.keeper.lease(resource, self.now):
                return name
        return ""

    def seconds_until_held(self, resource: str, limit_seconds: float) -> float:
        began = self.now
        while not self.holder(resource) and self.now - began < limit_seconds:
            self.step()
        return self.now - began

    def _ask(self, name: str, keeper: LeaseKeeper) -> None:
        commands, _ = keeper.due_commands(self.now)
        for outgoing in commands:
            keeper.handle_outcome(outgoing.command_id, self._apply(name, outgoing), self.now)

    def _apply(self, name: str, outgoing: OutgoingCommand) -> object:
        self._revision += 1
        match outgoing.command:
            case AcquireLease() as acquire:
                self.acquisitions[name] += 1
                return self.table.acquire(acquire, self._revision, self.now)
            case RenewLeases() as renewal:
                return self.table.renew(renewal, self.now)
            case ReleaseLease() as release:
                return self.table.release(release, self._revision)
        raise AssertionError(outgoing.command)


def _daemon(name: str) -> Daemon:
    return Daemon(name, "coordinator", "127.0.0.1:1", "127.0.0.1:2", "zone-1")


def _job(name: str) -> Job:
    return Job(name=name, model="blurb", pool="blurb-llm")
