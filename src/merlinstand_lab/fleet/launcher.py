"""One run of a fleet: start, watch, stop, verify."""

import shutil
import time
from collections.abc import Callable
from pathlib import Path

import gevent
import msgspec
from result import Err

from merlinstand.runtime.record_writer import RecordWriter
from merlinstand_lab.checkers.limits import CheckLimits
from merlinstand_lab.fleet.configuration_file import read_put_commands
from merlinstand_lab.fleet.fleet import Fleet
from merlinstand_lab.fleet.http import get_typed
from merlinstand_lab.fleet.incidents import Incident, Incidents, in_rounds
from merlinstand_lab.fleet.job_move import JobMove, as_mirror
from merlinstand_lab.fleet.memory import MemorySampler
from merlinstand_lab.fleet.operator import OperatorClient
from merlinstand_lab.fleet.plan import FleetPlan
from merlinstand_lab.fleet.processes import busy_addresses
from merlinstand_lab.records.kinds import RunRecord
from merlinstand_lab.standins.callers import CallersProgress
from merlinstand_lab.standins.trainer import TrainerProgress

_PROGRESS_SECONDS = 3.0
"""Seconds between two lines of progress; chosen, not measured."""
_POLL_SECONDS = 0.5
"""Seconds between two looks at the fleet; chosen, not measured."""
_OPERATOR_PATIENCE_SECONDS = 30.0
"""Seconds until a command counts as not answered; chosen, not measured."""
_SETTLE_SECONDS = 3.0
"""Calm time between the last incident and the end, so that its effects are seen."""
_RECOVERED_SECONDS = 8.0
"""Time after the recovery's bound in which everything must work."""
_SPREAD_SECONDS = 2.0
"""Time for the applied configuration to reach every daemon before callers begin."""
_LOG_TAIL_LINES = 15
"""Lines; chosen, not measured."""


class RunFailedError(msgspec.Struct, frozen=True, kw_only=True):
    """Why a run did not come to its end."""

    detail: str


class RunOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a run, before its records are verified."""

    failure: RunFailedError | None
    elapsed_seconds: float
    bad_exits: dict[str, int | None]
    """Processes that did not stop with exit code 0; None if they had to be killed."""


class Launcher:
    """Runs a fleet once."""

    def __init__(
        self,
        plan: FleetPlan,
        faults: str,
        say: Callable[[str], None],
        *,
        moves: bool = False,
        rounds: int = 1,
    ) -> None:
        """Prepare a run.

        Args:
            plan: Processes and settings.
            faults: `none`, `kill` or `all` (also a half-failed swap, a hurt scorer, a freeze).
            say: Shows one line of progress.
            moves: Whether the job moves between the old scripts and merlinstand.
            rounds: How often to go through the steps and incidents of a run.
        """
        self._plan = plan
        self._faults = faults
        self._moves = moves
        self._rounds = rounds
        self._say = say
        self._began_at = time.monotonic()
        self._shown_at = 0.0
        self._trainers: dict[str, TrainerProgress] = {}
        self._callers = CallersProgress(sent=0, outcomes={})

    def run(self) -> RunOutcome:
        """Run from start to planned stop; children never outlive this call."""
        busy = busy_addresses(self._plan.addresses())
        if busy:
            detail = f"addresses in use: {', '.join(busy)}"
            return self._outcome(RunFailedError(detail=detail), {})
        _clear(self._plan.output)
        records = RecordWriter(str(self._plan.output))
        fleet = Fleet(self._plan, records)
        bad_exits: dict[str, int | None] = {}
        try:
            failure = self._go_until_interrupted(fleet, records)
            self._say("stopping")
            bad_exits = fleet.stop_all()
        finally:
            fleet.kill_all()
        records.write("run", self._run_record())
        records.close()
        return self._outcome(failure, bad_exits)

    def _go_until_interrupted(self, fleet: Fleet, records: RecordWriter) -> RunFailedError | None:
        """Run; an interrupt from the keyboard ends the run as a failed one."""
        try:
            return self._go(fleet, records)
        except KeyboardInterrupt:
            return RunFailedError(detail="interrupted")

    def _go(self, fleet: Fleet, records: RecordWriter) -> RunFailedError | None:
        """Start, configure, watch; returns what went wrong, if anything."""
        token = self._plan.deployment.operators.token
        operator = OperatorClient(
            "operator", self._plan.controls, token, records, _OPERATOR_PATIENCE_SECONDS
        )
        failure = (
            self._start_system(fleet)
            or self._configure(operator)
            or self._wait_ready(fleet, "gateway", "coordinator")
        )
        if failure is None:
            gevent.sleep(_SPREAD_SECONDS)
            fleet.start_roles("scripts", "trainer", "callers")
            incidents = Incidents(self._plan, fleet, operator, self._say)
            schedule = incidents.schedule(self._faults)
            schedule = in_rounds(schedule, self._rounds, self._plan.lab.run.minimum_steps)
            if self._moves:
                failure = self._wait_ready(fleet, "scripts", "trainer")
                schedule += JobMove(self._plan, operator, self._say).schedule()
                schedule.sort(key=lambda incident: incident.after_steps)
            memory = MemorySampler(fleet, records)
            failure = failure or self._watch(fleet, schedule)
            memory.stop()
        return failure

    def _start_system(self, fleet: Fleet) -> RunFailedError | None:
        """Start the platform, then the system, and wait for control."""
        platform = ("weight-store", "scorer", "machine-list", "engine", "service")
        own = ("control", "gateway", "coordinator")
        self._say(f"starting {len(self._plan.specs)} processes")
        fleet.start_roles(*platform, *own)
        return self._wait_ready(fleet, "control")

    def _wait_ready(self, fleet: Fleet, *roles: str) -> RunFailedError | None:
        """Wait for every process of some roles."""
        missing = fleet.wait_ready(fleet.of_roles(*roles), self._plan.lab.run.start_seconds)
        return self._not_ready(fleet, missing) if missing else None

    def _not_ready(self, fleet: Fleet, names: list[str]) -> RunFailedError:
        """Name processes that did not come up, with the ends of their logs."""
        tails = "\n".join(
            f"--- {name}\n{fleet.processes[name].log_tail(_LOG_TAIL_LINES)}" for name in names
        )
        return RunFailedError(detail=f"not ready in time: {', '.join(names)}\n{tails}")

    def _configure(self, operator: OperatorClient) -> RunFailedError | None:
        """Apply every object of the configuration file."""
        commands = read_put_commands(str(self._plan.configuration_path))
        if isinstance(commands, Err):
            return RunFailedError(detail=commands.err_value.describe())
        for put in commands.ok_value:
            command = as_mirror(put) if self._moves else put
            answer = operator.send(command)
            if answer is None or answer.outcome.outcome != "done":
                why = "no answer" if answer is None else f"{answer.outcome}"
                return RunFailedError(detail=f"control refused {command['key']}: {why}")
            self._say(f"applied {command['key']} at revision {answer.revision}")
        return None

    def _watch(self, fleet: Fleet, schedule: list[Incident]) -> RunFailedError | None:
        """Show progress, bring the incidents about, until the run is complete."""
        run = self._plan.lab.run
        pending = list(schedule)
        under_way: list[gevent.Greenlet] = []
        calm_since = time.monotonic()
        maximum_seconds = run.maximum_seconds * self._rounds
        deadline = time.monotonic() + maximum_seconds
        while time.monotonic() < deadline:
            gevent.sleep(_POLL_SECONDS)
            failure = self._crashed(fleet) or self._failed_incident(under_way)
            if failure is not None:
                return failure
            self._refresh()
            self._show_at_intervals()
            while pending and self._fewest_steps() >= pending[0].after_steps:
                under_way.append(self._begin(pending.pop(0)))
            if pending or not all(job.ready() for job in under_way):
                calm_since = time.monotonic()
            calm_seconds = time.monotonic() - calm_since
            complete = self._fewest_steps(own_only=True) >= self._minimum_steps()
            if complete and calm_seconds >= self._calm_seconds():
                return None
        return RunFailedError(detail=f"not complete after {maximum_seconds:g} s")

    def _minimum_steps(self) -> int:
        """Steps that merlinstand has to feed."""
        return self._plan.lab.run.minimum_steps * self._rounds

    def _calm_seconds(self) -> float:
        """How long a run goes on after its last incident: recovery must be seen."""
        if self._faults == "none":
            return _SETTLE_SECONDS
        return CheckLimits().liveness_seconds + _RECOVERED_SECONDS

    def _begin(self, incident: Incident) -> gevent.Greenlet:
        """Begin an incident beside the watching."""
        self._say(incident.title)
        return gevent.spawn(incident.run)

    def _failed_incident(self, incidents: list[gevent.Greenlet]) -> RunFailedError | None:
        """Return the failure of an incident that raised, if one did."""
        raised = [job.exception for job in incidents if job.exception is not None]
        return RunFailedError(detail=f"an incident failed: {raised[0]!r}") if raised else None

    def _fewest_steps(self, *, own_only: bool = False) -> int:
        """Steps of the slowest trainer, all or only those that merlinstand fed."""
        if len(self._trainers) < len(self._plan.lab.trainer):
            return 0
        return min(
            one.steps - (one.steps_fed_by_scripts if own_only else 0)
            for one in self._trainers.values()
        )

    def _crashed(self, fleet: Fleet) -> RunFailedError | None:
        """Name processes that ended by themselves, if any did."""
        crashed = fleet.crashed()
        if not crashed:
            return None
        parts = []
        for one in crashed:
            parts.append(f"{one.spec.name} ended with exit code {one.exit_code()}")
            parts.append(one.log_tail(_LOG_TAIL_LINES))
        return RunFailedError(detail="\n".join(parts))

    def _refresh(self) -> None:
        """Ask trainers and callers how far they are."""
        for trainer in self._plan.lab.trainer:
            progress = get_typed(trainer.address, "/lab/progress", TrainerProgress)
            if progress is not None:
                self._trainers[trainer.consumer] = progress
        callers = get_typed(self._plan.lab.callers.address, "/lab/progress", CallersProgress)
        self._callers = callers or self._callers

    def _show_at_intervals(self) -> None:
        """Show a line of progress now and then."""
        now = time.monotonic()
        if now - self._shown_at >= _PROGRESS_SECONDS:
            self._shown_at = now
            self._show()

    def _show(self) -> None:
        """Show one line of progress."""
        elapsed = time.monotonic() - self._began_at
        trainers = ", ".join(
            f"{one.consumer}: step {one.steps}, weights {one.version}"
            f"{' (waiting)' if one.waiting else ''}"
            for one in self._trainers.values()
        )
        outcomes = ", ".join(f"{name} {count}" for name, count in self._callers.outcomes.items())
        self._say(
            f"{elapsed:5.0f} s  {trainers or 'no trainer yet'}  |  callers: {outcomes or '-'}"
        )

    def _run_record(self) -> RunRecord:
        """What this run was."""
        lab = self._plan.lab
        backends = (*lab.engine, *lab.service)
        return RunRecord(
            name=lab.run.name,
            started_at=self._began_at,
            ended_at=time.monotonic(),
            minimum_steps=self._minimum_steps(),
            consumers=[trainer.consumer for trainer in lab.trainer],
            backend_addresses={one.node_id: one.address for one in backends},
        )

    def _outcome(
        self, failure: RunFailedError | None, bad_exits: dict[str, int | None]
    ) -> RunOutcome:
        """Sum the run up."""
        return RunOutcome(
            failure=failure,
            elapsed_seconds=time.monotonic() - self._began_at,
            bad_exits=bad_exits,
        )


def _clear(output: Path) -> None:
    """Remove what an earlier run left in its own output folder."""
    for name in ("data", "logs"):
        shutil.rmtree(output / name, ignore_errors=True)
    output.mkdir(parents=True, exist_ok=True)
    for record_file in output.glob("*.jsonl"):
        record_file.unlink()
