"""Which models' weights each engine follows, shared out anew as engines and demand change.

Part of the leading keeper's weight loader. Owns the assignment of this leadership; engines are
shared out by `engine_assignment`, and where they are of unequal speed by `engine_shares`. A new
leader begins with what the engines show of the assignment before it, so that few of them change
their model.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence

from merlinstand.batch_jobs.engine_assignment import (
    Assignment,
    apparent_assignment,
    assign_engines,
)
from merlinstand.batch_jobs.engine_shares import (
    NO_NEED,
    EngineRate,
    ModelNeed,
    are_uneven,
    latenesses,
    need_of_jobs,
    share_engines,
)
from merlinstand.batch_jobs.engines import EngineState, EngineStates
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.cluster.routes import Service
from merlinstand.common.ids import BackendId
from merlinstand.common.median import median
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.kernel.effects import Effect, LogEvent, SetGauge

ASSIGNMENT_SECONDS = 10.0
"""Seconds after which the engines are shared out anew though none came or went, as demand changes.
Chosen, not measured."""
EXCHANGE_SECONDS = 2.0
"""Seconds between two exchanges of uneven engines: a load of both ends in it."""
RESIDENCE_SECONDS = 10.0
"""Shortest time in seconds that an engine follows a model before it is exchanged: more than two
steps of a trainer, so that what a load costs is won back."""
SHARED_ENGINES_LIMIT = 256
"""Engines of one service that are shared out by their speeds; more are dealt by number. Weighing
thousands at once holds the leader up, and each model has fast ones among so many."""


class ModelAssignments:
    """The assignment of one leadership."""

    def __init__(
        self,
        follower: DirectoryFollower,
        engines: EngineStates,
        demand_of: Callable[[str], float],
        recent_jobs: Callable[[str], Sequence[JobState]],
    ) -> None:
        """Begin without an assignment.

        Args:
            follower: The directory, for the services' models and the named versions.
            engines: All engines.
            demand_of: Work lately asked for of a model, in tokens.
            recent_jobs: Newest jobs of a model, newest first.
        """
        self._follower = follower
        self._engines = engines
        self._demand_of = demand_of
        self._recent_jobs = recent_jobs
        self._assignment: Assignment = {}
        self._assigned_for: tuple[object, ...] = ()
        """Services, their models and sound engines that the assignment was made for."""
        self._assign_again_at = 0.0
        self._look_again_at = 0.0
        """When to look next whether engines are uneven."""
        self._uneven: set[str] = set()
        """Services that were found to have uneven engines."""
        self._changed_at: dict[BackendId, float] = {}
        """When an engine was last given another model."""
        self._lateness: dict[str, float] = {}
        """Of the models of uneven services, as it was last weighed."""

    def forget(self) -> None:
        """A leadership begins or is over."""
        self._assigned_for = ()
        self._assignment = {}
        self._uneven.clear()
        self._changed_at.clear()
        self._lateness.clear()

    def is_assigned(self, backend_id: BackendId, model: str) -> bool:
        """Whether an engine's weights of a model are kept new."""
        return model in self._assignment.get(backend_id, ())

    def update(self, now: float) -> list[Effect]:
        """Share the engines out anew when some came or went, and now and then."""
        services = [s for s in self._follower.routes.services.values() if s.models]
        sound = {service.name: self._sound_engines(service.name) for service in services}
        basis = tuple(
            (s.name, s.models, tuple(state.backend.backend_id for state in sound[s.name]))
            for s in services
        )
        is_due = basis != self._assigned_for or now >= self._assign_again_at
        if not is_due and not self._has_turned_uneven(services, sound, now):
            return []
        self._assigned_for = basis
        held = self._assignment or self._apparent_assignment()
        assignment: Assignment = {}
        self._uneven.intersection_update(sound)
        self._lateness.clear()
        for service in services:
            assignment |= self._share_out(service, sound[service.name], held, now)
        self._assign_again_at = now + (EXCHANGE_SECONDS if self._uneven else ASSIGNMENT_SECONDS)
        return self._take(assignment, held, now)

    def _has_turned_uneven(
        self, services: Sequence[Service], sound: Mapping[str, list[EngineState]], now: float
    ) -> bool:
        """Whether a service's engines turn out to be uneven; looked at now and then."""
        if self._uneven or now < self._look_again_at:
            return False
        self._look_again_at = now + EXCHANGE_SECONDS
        return any(self._is_uneven(service, _rates(sound[service.name])) for service in services)

    def _is_uneven(self, service: Service, rates: Sequence[EngineRate]) -> bool:
        """Whether engines of several models differ, and what the models need is known."""
        if not 1 < len(service.models) <= len(rates) <= SHARED_ENGINES_LIMIT:
            return False
        if not are_uneven(rates):
            return False
        return len(self._needs(service)) == len(service.models)

    def _share_out(
        self, service: Service, engines: list[EngineState], held: Assignment, now: float
    ) -> Assignment:
        """Share one service's engines out: by their speeds where these differ."""
        rates = _rates(engines)
        if len(rates) > SHARED_ENGINES_LIMIT:
            self._uneven.discard(service.name)
        elif self._is_uneven(service, rates):
            self._uneven.add(service.name)
        if service.name in self._uneven and len(engines) >= len(service.models):
            needs = dict.fromkeys(service.models, NO_NEED) | self._needs(service)
            shared = share_engines(rates, needs, held, self._settled(rates, now))
            self._lateness |= latenesses(rates, needs, shared)
            return shared
        demand = {model: self._demand_of(model) + 1.0 for model in service.models}
        return assign_engines([state.backend.backend_id for state in engines], demand, held)

    def _settled(self, rates: Sequence[EngineRate], now: float) -> frozenset[BackendId]:
        """Engines that may change their model."""
        return frozenset(
            rate.backend_id
            for rate in rates
            if now - self._changed_at.get(rate.backend_id, float("-inf")) >= RESIDENCE_SECONDS
        )

    def _needs(self, service: Service) -> dict[str, ModelNeed]:
        """What the newest jobs of each model ask for, of models of which that is known."""
        needs: dict[str, ModelNeed] = {}
        for model in service.models:
            jobs = self._recent_jobs(model)
            need = need_of_jobs(jobs, self._due_seconds(jobs[0])) if jobs else None
            if need is not None:
                needs[model] = need
        return needs

    def _due_seconds(self, job: JobState) -> float:
        route = self._follower.routes.find(job.job.host, job.job.path)
        return route.result_deadline_seconds if route is not None else 0.0

    def _take(self, assignment: Assignment, held: Assignment, now: float) -> list[Effect]:
        """Go by a new assignment; tell of engines that were given another model."""
        effects: list[Effect] = []
        for backend_id, models in assignment.items():
            before = held.get(backend_id)
            if before and before != models:
                self._changed_at[backend_id] = now
                effects.append(LogEvent("engine.follows", self._change(backend_id, before, models)))
        self._changed_at = {b: at for b, at in self._changed_at.items() if b in assignment}
        self._assignment = assignment
        return effects + self._gauges()

    def _change(
        self, backend_id: BackendId, before: frozenset[str], models: frozenset[str]
    ) -> dict[str, object]:
        """What the log says of an engine that follows other models now."""
        worst = max(self._lateness, key=lambda model: self._lateness[model], default="")
        return {
            "backend": backend_id,
            "before": ",".join(sorted(before)),
            "models": ",".join(sorted(models)),
            "worst": worst,
        }

    def _gauges(self) -> list[Effect]:
        """How uneven engines are shared out; nothing where they are even."""
        counts = Counter(model for models in self._assignment.values() for model in models)
        worst = max(self._lateness.values(), default=0.0)
        effects: list[Effect] = []
        for model, lateness in self._lateness.items():
            share = lateness / worst if 0.0 < worst < float("inf") else 0.0
            labels = {"model": model}
            effects.append(SetGauge("batch_engines", counts[model], labels))
            effects.append(SetGauge("batch_lateness_share", round(share, 3), labels))
        return effects

    def _sound_engines(self, service: str) -> list[EngineState]:
        """Engines that stay and work; the own region's first, so that all models get some."""
        sound = [
            state
            for state in self._engines.of_service(service)
            if not state.backend.is_draining and not state.is_suspect
        ]
        sound.sort(key=lambda state: (state.is_remote, state.backend.backend_id))
        return sound

    def _apparent_assignment(self) -> Assignment:
        """What a leader before this one has decided, as far as the engines show it."""
        return apparent_assignment(
            {
                state.backend.backend_id: {
                    model: self._follower.weights.get(model, 1) - state.version_of(model)
                    for model in service.models
                }
                for service in self._follower.routes.services.values()
                for state in self._engines.of_service(service.name)
            }
        )


def _rates(engines: Sequence[EngineState]) -> list[EngineRate]:
    """What engines can do; one that was not measured counts as a typical one."""
    known = [state.steady.value for state in engines if state.steady.value]
    typical = median(known) if known else 1.0
    return [
        EngineRate(state.backend.backend_id, state.slots, state.steady.value or typical)
        for state in engines
    ]
