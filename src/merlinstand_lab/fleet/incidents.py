"""What happens on the way of a run: operators' work, planned stops, faults."""

import functools
import time
from collections.abc import Callable

import gevent
import msgspec

from merlinstand.configuration.objects import Drain, Job, JobPhase, Limits
from merlinstand_lab.fleet.configuration_file import delete_command, put_command
from merlinstand_lab.fleet.fleet import Fleet
from merlinstand_lab.fleet.http import request_json
from merlinstand_lab.fleet.operator import OperatorClient, find_object
from merlinstand_lab.fleet.plan import FleetPlan
from merlinstand_lab.standins.settings import TrainerSettings

_LEAVE_SECONDS = 8.0
"""How long a back end stays drained or leaving: longer than the promise's few seconds."""

_PAUSE_SECONDS = 10.0
"""Seconds that the job stays paused; chosen, not measured."""
_HURT_SECONDS = 4.0
"""Seconds between two changes of a hurt stand-in; chosen, not measured."""
_FREEZE_SECONDS = 8.0
"""Seconds, more than an election takes; chosen, not measured."""
_REWOUND_BATCHES = 2
"""Batches that a trainer falls back; chosen, not measured."""
_REWIND_TRIES = 5
"""Tries against a trainer that moves on meanwhile; chosen, not measured."""


class Incident(msgspec.Struct, frozen=True):
    """Something that begins once every trainer made a number of steps."""

    after_steps: int
    title: str
    run: Callable[[], object]


def in_rounds(schedule: list[Incident], rounds: int, steps: int) -> list[Incident]:
    """Repeat a schedule every so many steps.

    Args:
        schedule: One round, in order.
        rounds: How often.
        steps: Steps of a round.
    """
    return [
        msgspec.structs.replace(incident, after_steps=incident.after_steps + number * steps)
        for number in range(rounds)
        for incident in schedule
    ]


class _Member(msgspec.Struct, frozen=True):
    node_id: str
    leader: bool = False


class _Members(msgspec.Struct, frozen=True):
    members: list[_Member]


class _Position(msgspec.Struct, frozen=True):
    consumer: str
    next_batch: int


class _Ledger(msgspec.Struct, frozen=True):
    consumers: list[_Position]


class _Lease(msgspec.Struct, frozen=True):
    resource: str
    holder: str


class _Leases(msgspec.Struct, frozen=True):
    leases: list[_Lease]


class Incidents:
    """The incidents of one run, in order."""

    def __init__(
        self, plan: FleetPlan, fleet: Fleet, operator: OperatorClient, say: Callable[[str], None]
    ) -> None:
        """Remember what to act on."""
        self._plan = plan
        self._fleet = fleet
        self._operator = operator
        self._say = say

    def schedule(self, faults: str) -> list[Incident]:
        """Return the incidents of a run with or without faults."""
        run = self._plan.lab.run
        incidents = []
        if run.raced_limits:
            incidents.append(Incident(2, "two operators race, one resends", self._race))
        if run.drained_backend:
            incidents.append(Incident(3, f"drain {run.drained_backend}", self._drain))
        if run.leaving_backend:
            incidents.append(Incident(6, f"{run.leaving_backend} leaves", self._leave))
        for number, name in enumerate(run.stopped_daemons):
            title = f"planned stop of {name}"
            stop = functools.partial(self._fleet.stop_and_restart, name)
            incidents.append(Incident(9 + 3 * number, title, stop))
        if faults in ("kill", "all"):
            incidents += [
                Incident(4, "kill -9 of an engine", self._kill_engine),
                Incident(7, "kill -9 of a gateway", self._kill_gateway),
                Incident(10, "kill -9 of the job's coordinator", self._kill_coordinator),
                Incident(13, "kill -9 of the control leader", self._kill_leader),
            ]
        if faults == "all":
            incidents += [
                Incident(5, "a swap fails half-way", self._fail_swap),
                Incident(6, "the operator pauses the job", self._pause),
                Incident(8, "the scorer is slow, then dead", self._hurt_scorer),
                Incident(15, "the trainer falls back, an operator rewinds", self._rewind),
                Incident(16, "the control leader freezes in silence", self._freeze_leader),
            ]
        return sorted(incidents, key=lambda incident: incident.after_steps)

    def _race(self) -> None:
        """Two operators change one object from the same revision; one sends twice."""
        caller = self._plan.lab.run.raced_limits
        key = f"limits/{caller}"
        present = find_object(self._operator, key)
        revision = 0 if present is None else present.revision
        limits = [
            Limits(caller=caller, weight=weight, requests_per_second=10.0) for weight in (0.3, 0.4)
        ]
        commands = [put_command(key, one, expected_revision=revision) for one in limits]
        command_id = self._operator.new_command_id()
        rival = self._operator.twin("rival")
        senders = [
            gevent.spawn(self._operator.send, commands[0], command_id),
            gevent.spawn(rival.send, commands[1]),
        ]
        gevent.joinall(senders, raise_error=True)
        self._operator.send(commands[0], command_id)

    def _pause(self) -> None:
        """The operator pauses the job for a while."""
        for phase in (JobPhase.PAUSED, JobPhase.RUNNING):
            item = find_object(self._operator, f"job/{self._plan.lab.trainer[0].job}")
            if item is None:
                return
            job = msgspec.structs.replace(msgspec.convert(item.value, Job), phase=phase)
            self._operator.send(put_command(item.key, job, expected_revision=item.revision))
            if phase is JobPhase.PAUSED:
                gevent.sleep(_PAUSE_SECONDS)

    def _drain(self) -> None:
        """The operator drains a back end, and takes it back."""
        backend = self._plan.lab.run.drained_backend
        key = f"drain/{backend}"
        drain = Drain(backend, "maintenance")
        self._operator.send(put_command(key, drain, expected_revision=0))
        gevent.sleep(_LEAVE_SECONDS)
        self._operator.send(delete_command(key))

    def _leave(self) -> None:
        """A back end leaves by its own word, and comes back."""
        address = self._fleet.processes[self._plan.lab.run.leaving_backend].spec.http_address
        request_json(address, "POST", "/lab/leave", {"leaving": True})
        gevent.sleep(_LEAVE_SECONDS)
        request_json(address, "POST", "/lab/leave", {"leaving": False})

    def _kill_engine(self) -> None:
        """The first engine dies."""
        self._kill(self._plan.lab.engine[0].node_id)

    def _kill_gateway(self) -> None:
        """The first gateway dies."""
        self._kill(self._fleet.of_roles("gateway")[0].spec.name)

    def _kill_coordinator(self) -> None:
        """The coordinator that holds the job's lease dies."""
        leases = self._operator.get("/v1/leases", _Leases)
        holders = [
            lease.holder
            for lease in (leases.leases if isinstance(leases, _Leases) else [])
            if lease.resource.startswith("job/") and lease.holder in self._fleet.processes
        ]
        self._kill(holders[0] if holders else self._fleet.of_roles("coordinator")[0].spec.name)

    def _kill_leader(self) -> None:
        """The control group's leader dies."""
        self._kill(self._leader())

    def _freeze_leader(self) -> None:
        """The leader stops for a long time; no connection error tells anybody."""
        name = self._leader()
        self._say(f"freeze {name}")
        self._fleet.freeze(name, _FREEZE_SECONDS)

    def _fail_swap(self) -> None:
        """The last engine's next swap fails half-way."""
        engine = self._plan.lab.engine[-1]
        started_at = time.monotonic()
        request_json(engine.address, "POST", "/lab/faults", {"kind": "swap_failure"})
        gevent.sleep(_HURT_SECONDS)
        self._fleet.record_fault("swap_failure", engine.node_id, started_at)

    def _hurt_scorer(self) -> None:
        """The scorer is slow for a while, and then does not answer at all."""
        scorer = self._plan.lab.scorer
        started_at = time.monotonic()
        for kind in ("slow", "dead", "heal"):
            request_json(scorer.address, "POST", "/lab/faults", {"kind": kind})
            gevent.sleep(_HURT_SECONDS)
        self._fleet.record_fault("scorer", scorer.node_id, started_at)

    def _rewind(self) -> None:
        """A trainer falls back to an older checkpoint, and an operator allows it."""
        trainer = self._plan.lab.trainer[0]
        target = max(1, self._next_batch(trainer) - _REWOUND_BATCHES)
        request_json(trainer.address, "POST", "/lab/rewind", {"batch": target})
        for _ in range(_REWIND_TRIES):
            command: dict[str, object] = {
                "command": "rewind_job",
                "job": trainer.job,
                "consumer": trainer.consumer,
                "batch": target,
                "expected_batch": self._next_batch(trainer),
            }
            answer = self._operator.send(command)
            if answer is None or answer.outcome.code != "conflict":
                return

    def _next_batch(self, trainer: TrainerSettings) -> int:
        """Batch that a trainer will ask for next, as the ledger says."""
        ledger = self._operator.get(f"/v1/ledger/{trainer.job}", _Ledger)
        positions = ledger.consumers if isinstance(ledger, _Ledger) else []
        found = [one.next_batch for one in positions if one.consumer == trainer.consumer]
        return found[0] if found else 1

    def _leader(self) -> str:
        """Name of the control group's leader."""
        members = self._operator.get("/v1/members", _Members)
        leaders = [
            member.node_id
            for member in (members.members if isinstance(members, _Members) else [])
            if member.leader and member.node_id in self._fleet.processes
        ]
        return leaders[0] if leaders else self._fleet.of_roles("control")[0].spec.name

    def _kill(self, name: str) -> None:
        """Kill a process and start it again, as a process supervisor would."""
        self._say(f"kill -9 {name}")
        self._fleet.kill_and_restart(name, "kill", self._plan.lab.run.restart_seconds)
        self._say(f"{name} is back")
