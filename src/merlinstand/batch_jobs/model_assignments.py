"""Maintains the assignment of models to engines as engines and demand change.

Part of the leading keeper's weight loader. `engine_assignment` assigns engines of similar speed,
`engine_shares` engines of different speeds. A new leader infers the previous assignment from the
engines' weight versions, so that few engines are reassigned.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence

from merlinstand.batch_jobs.engine_assignment import (
    Assignment,
    assign_engines,
    infer_assignment,
)
from merlinstand.batch_jobs.engine_shares import (
    NO_WORKLOAD,
    EngineRate,
    ModelWorkload,
    are_heterogeneous,
    assign_by_workload,
    deadline_ratios,
    workload_of_jobs,
)
from merlinstand.batch_jobs.engines import EngineState, EngineStates
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.cluster.routes import Service
from merlinstand.common.ids import BackendId
from merlinstand.common.median import median
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.kernel.effects import Effect, LogEvent, SetGauge

ASSIGNMENT_INTERVAL_SECONDS = 10.0
"""Interval between assignments while no engine joins or leaves, to adapt to demand."""
REASSIGNMENT_INTERVAL_SECONDS = 2.0
"""Interval between reassignments of heterogeneous engines; long enough for a weight load on both
engines of a swap."""
MINIMUM_ASSIGNMENT_SECONDS = 10.0
"""Minimum time between reassignments of one engine: more than two steps of a trainer, so that the
cost of the weight load is recovered."""
WORKLOAD_ASSIGNMENT_ENGINES_LIMIT = 256
"""Maximum number of engines of one service that are assigned by speed; larger services are assigned
by count. Evaluating thousands of engines would block the leader, and in a large service every model
has some fast engines anyway."""


class ModelAssignments:
    """The assignment during one leadership term."""

    def __init__(
        self,
        follower: DirectoryFollower,
        engines: EngineStates,
        demand_of: Callable[[str], float],
        recent_jobs: Callable[[str], Sequence[JobState]],
    ) -> None:
        """Create without an assignment; the first `update` makes one.

        Args:
            follower: The directory, for the services' models and the published weight versions.
            engines: All engines.
            demand_of: Returns the work recently requested of a model, in tokens.
            recent_jobs: Returns the newest jobs of a model, newest first.
        """
        self._follower = follower
        self._engines = engines
        self._demand_of = demand_of
        self._recent_jobs = recent_jobs
        self._assignment: Assignment = {}
        self._assignment_basis: tuple[object, ...] = ()
        """The services, models and healthy engines for which the current assignment was made."""
        self._next_assignment_at = 0.0
        self._next_speed_check_at = 0.0
        """Local time of the next check whether engines are heterogeneous."""
        self._heterogeneous: set[str] = set()
        """Services whose engines are assigned by speed."""
        self._reassigned_at: dict[BackendId, float] = {}
        """Local time of the last reassignment, by engine."""
        self._deadline_ratios: dict[str, float] = {}
        """`engine_shares.deadline_ratio` by model of heterogeneous services."""

    def reset(self) -> None:
        """Discard all state when a leadership term starts or ends."""
        self._assignment_basis = ()
        self._assignment = {}
        self._heterogeneous.clear()
        self._reassigned_at.clear()
        self._deadline_ratios.clear()

    def is_assigned(self, backend_id: BackendId, model: str) -> bool:
        """Whether an engine is assigned a model, and so keeps its weights current."""
        return model in self._assignment.get(backend_id, ())

    def update(self, now: float) -> list[Effect]:
        """Assign the engines again when some joined or left, and periodically."""
        services = [s for s in self._follower.routes.services.values() if s.models]
        healthy = {service.name: self._healthy_engines(service.name) for service in services}
        basis = tuple(
            (s.name, s.models, tuple(state.backend.backend_id for state in healthy[s.name]))
            for s in services
        )
        is_due = basis != self._assignment_basis or now >= self._next_assignment_at
        if not is_due and not self._has_become_heterogeneous(services, healthy, now):
            return []
        self._assignment_basis = basis
        current = self._assignment or self._infer_assignment()
        assignment: Assignment = {}
        self._heterogeneous.intersection_update(healthy)
        self._deadline_ratios.clear()
        for service in services:
            assignment |= self._assign_service(service, healthy[service.name], current, now)
        self._next_assignment_at = now + (
            REASSIGNMENT_INTERVAL_SECONDS if self._heterogeneous else ASSIGNMENT_INTERVAL_SECONDS
        )
        return self._apply(assignment, current, now)

    def _has_become_heterogeneous(
        self, services: Sequence[Service], healthy: Mapping[str, list[EngineState]], now: float
    ) -> bool:
        """Whether a service's engines are now heterogeneous; checked periodically."""
        if self._heterogeneous or now < self._next_speed_check_at:
            return False
        self._next_speed_check_at = now + REASSIGNMENT_INTERVAL_SECONDS
        return any(
            self._needs_workload_assignment(service, _engine_rates(healthy[service.name]))
            for service in services
        )

    def _needs_workload_assignment(self, service: Service, rates: Sequence[EngineRate]) -> bool:
        """Whether a service's engines are heterogeneous and its models' workloads all known."""
        if not 1 < len(service.models) <= len(rates) <= WORKLOAD_ASSIGNMENT_ENGINES_LIMIT:
            return False
        if not are_heterogeneous(rates):
            return False
        return len(self._workloads(service)) == len(service.models)

    def _assign_service(
        self, service: Service, engines: list[EngineState], current: Assignment, now: float
    ) -> Assignment:
        """Assign one service's engines: by speed where speeds differ, else by count."""
        rates = _engine_rates(engines)
        if len(rates) > WORKLOAD_ASSIGNMENT_ENGINES_LIMIT:
            self._heterogeneous.discard(service.name)
        elif self._needs_workload_assignment(service, rates):
            self._heterogeneous.add(service.name)
        if service.name in self._heterogeneous and len(engines) >= len(service.models):
            workloads = dict.fromkeys(service.models, NO_WORKLOAD) | self._workloads(service)
            assignment = assign_by_workload(
                rates, workloads, current, self._reassignable(rates, now)
            )
            self._deadline_ratios |= deadline_ratios(rates, workloads, assignment)
            return assignment
        demand = {model: self._demand_of(model) + 1.0 for model in service.models}
        return assign_engines([state.backend.backend_id for state in engines], demand, current)

    def _reassignable(self, rates: Sequence[EngineRate], now: float) -> frozenset[BackendId]:
        """Return the engines that were not reassigned recently."""
        return frozenset(
            rate.backend_id
            for rate in rates
            if now - self._reassigned_at.get(rate.backend_id, float("-inf"))
            >= MINIMUM_ASSIGNMENT_SECONDS
        )

    def _workloads(self, service: Service) -> dict[str, ModelWorkload]:
        """Return the workload of each model for which it is known from its newest jobs."""
        workloads: dict[str, ModelWorkload] = {}
        for model in service.models:
            jobs = self._recent_jobs(model)
            workload = workload_of_jobs(jobs, self._deadline_seconds(jobs[0])) if jobs else None
            if workload is not None:
                workloads[model] = workload
        return workloads

    def _deadline_seconds(self, job: JobState) -> float:
        route = self._follower.routes.find(job.job.host, job.job.path)
        return route.result_deadline_seconds if route is not None else 0.0

    def _apply(self, assignment: Assignment, current: Assignment, now: float) -> list[Effect]:
        """Apply a new assignment and log the engines that were reassigned."""
        effects: list[Effect] = []
        for backend_id, models in assignment.items():
            before = current.get(backend_id)
            if before and before != models:
                self._reassigned_at[backend_id] = now
                effects.append(
                    LogEvent("engine.reassigned", self._change_fields(backend_id, before, models))
                )
        self._reassigned_at = {b: at for b, at in self._reassigned_at.items() if b in assignment}
        self._assignment = assignment
        return effects + self._gauges()

    def _change_fields(
        self, backend_id: BackendId, before: frozenset[str], models: frozenset[str]
    ) -> dict[str, object]:
        """Return the log fields for a reassigned engine."""
        most_loaded = max(
            self._deadline_ratios, key=lambda model: self._deadline_ratios[model], default=""
        )
        return {
            "backend": backend_id,
            "before": ",".join(sorted(before)),
            "models": ",".join(sorted(models)),
            "most_loaded_model": most_loaded,
        }

    def _gauges(self) -> list[Effect]:
        """Return gauges on the assignment of heterogeneous engines; none for homogeneous ones."""
        counts = Counter(model for models in self._assignment.values() for model in models)
        maximum = max(self._deadline_ratios.values(), default=0.0)
        effects: list[Effect] = []
        for model, ratio in self._deadline_ratios.items():
            relative = ratio / maximum if 0.0 < maximum < float("inf") else 0.0
            labels = {"model": model}
            effects.append(SetGauge("batch_engines", counts[model], labels))
            effects.append(SetGauge("batch_lateness_share", round(relative, 3), labels))
        return effects

    def _healthy_engines(self, service: str) -> list[EngineState]:
        """Return the engines that are neither draining nor suspect.

        Engines in this keeper's region come first, so that each model gets some of them.
        """
        healthy = [
            state
            for state in self._engines.of_service(service)
            if not state.backend.is_draining and not state.is_suspect
        ]
        healthy.sort(key=lambda state: (state.is_remote, state.backend.backend_id))
        return healthy

    def _infer_assignment(self) -> Assignment:
        """Infer the previous leader's assignment from the engines' weight versions."""
        return infer_assignment(
            {
                state.backend.backend_id: {
                    model: self._follower.weights.get(model, 1) - state.version_of(model)
                    for model in service.models
                }
                for service in self._follower.routes.services.values()
                for state in self._engines.of_service(service.name)
            }
        )


def _engine_rates(engines: Sequence[EngineState]) -> list[EngineRate]:
    """Return the rates of engines; one without a measured speed counts as a median one."""
    known = [
        state.long_window_minimum.value for state in engines if state.long_window_minimum.value
    ]
    median_seconds = median(known) if known else 1.0
    return [
        EngineRate(
            state.backend.backend_id, state.slots, state.long_window_minimum.value or median_seconds
        )
        for state in engines
    ]
