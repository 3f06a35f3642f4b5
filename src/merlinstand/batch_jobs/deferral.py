"""The groups that are deferred at present.

Part of the leading keeper's runner of items. Owns which groups are deferred, and gathers what the
rule (`overload`) needs: the work by service and model, and what the engines that follow a model
can do. Models that share engines are judged together: what one of them leaves is there for the
others. Deferred items still run, after all others.
"""

from collections.abc import Callable, Iterable

from merlinstand.batch_jobs.engines import EngineState, EngineStates, median_event_seconds
from merlinstand.batch_jobs.item_run import ItemRun
from merlinstand.batch_jobs.overload import (
    EngineCapacity,
    GroupKey,
    GroupLoad,
    engine_capacity,
    group_loads,
    groups_to_defer,
)
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.cluster.routes import Route
from merlinstand.common.ids import BackendId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.kernel.effects import Effect, LogEvent

REVIEW_SECONDS = 0.25
"""Seconds between two reviews of what is deferred: a few events of each run pass in between.
Chosen, not measured."""


ModelKey = tuple[str, str]
"""Names of a service and of a model of it."""


class GroupDeferral:
    """What is deferred; reviewed a few times a second."""

    def __init__(
        self,
        follower: DirectoryFollower,
        engines: EngineStates,
        follows: Callable[[BackendId, str], bool],
        expected_rest: Callable[[ItemRun], float],
    ) -> None:
        """Begin with nothing deferred.

        Args:
            follower: The directory, for routes and services.
            engines: All engines.
            follows: Whether an engine is there for a model in the first place.
            expected_rest: Events that an item is expected to have yet.
        """
        self._follower = follower
        self._engines = engines
        self._follows = follows
        self._expected_rest = expected_rest
        self._deferred: dict[GroupKey, float] = {}
        """Events that they still need."""
        self._review_at = 0.0

    def deferred_remaining_events(self, run: ItemRun) -> float | None:
        """Give the events that an item's group still needs if it is deferred, else None."""
        return self._deferred.get(GroupKey(run.job_id, run.item.group)) if self._deferred else None

    def request_review(self) -> None:
        """A job was accepted: decide anew at the next turn."""
        self._review_at = 0.0

    def review(
        self, runs: Iterable[ItemRun], jobs: dict[str, JobState], group_time: float, now: float
    ) -> list[Effect]:
        """Decide anew, if it is time to.

        Args:
            runs: Items without a result.
            jobs: All kept jobs.
            group_time: Present time in seconds, by the clock that jobs were accepted by.
            now: Local time.
        """
        if now < self._review_at:
            return []
        self._review_at = now + REVIEW_SECONDS
        by_model = self._loads_by_model(runs, jobs)
        deferred: dict[GroupKey, float] = {}
        for pool in self._pools(by_model):
            loads = [load for key in pool for load in by_model[key]]
            capacity = self._capacity(pool, now)
            chosen = groups_to_defer(loads, capacity, group_time)
            deferred |= {load.key: load.rest_events for load in loads if load.key in chosen}
        had, self._deferred = bool(self._deferred), deferred
        if bool(deferred) == had:
            return []
        groups = sum(len(loads) for loads in by_model.values())
        return [LogEvent("groups.deferred", {"deferred": len(deferred), "groups": groups})]

    def _loads_by_model(
        self, runs: Iterable[ItemRun], jobs: dict[str, JobState]
    ) -> dict[ModelKey, list[GroupLoad]]:
        """Sum the work up by service and model."""
        by_model: dict[ModelKey, list[GroupLoad]] = {}
        for load in group_loads(runs, jobs, self._due_seconds, self._expected_rest):
            job = jobs[load.key.job_id]
            by_model.setdefault((self._service_of(job), job.job.model), []).append(load)
        return by_model

    def _route_of(self, job: JobState) -> Route | None:
        return self._follower.routes.find(job.job.host, job.job.path)

    def _due_seconds(self, job: JobState) -> float:
        route = self._route_of(job)
        return route.result_deadline_seconds if route is not None else 0.0

    def _service_of(self, job: JobState) -> str:
        """The service that runs a job's items; of a split route the first one stands for all."""
        route = self._route_of(job)
        return route.targets[0].service if route is not None else ""

    def _pools(self, keys: Iterable[ModelKey]) -> list[list[ModelKey]]:
        """Put together the models that have an engine in common, directly or by others."""
        pools = {key: [key] for key in keys}
        for service in {service for service, _model in pools}:
            for state in self._engines.of_service(service):
                followed = [key for key in pools if self._is_for(state, key)]
                for key in followed[1:]:
                    _join(pools, followed[0], key)
        return [pool for key, pool in pools.items() if pool[0] == key]

    def _is_for(self, state: EngineState, key: ModelKey) -> bool:
        """Whether an engine follows a model of its service."""
        service, model = key
        is_of_service = state.backend.service == service and bool(model)
        return is_of_service and self._follows(state.backend.backend_id, model)

    def _capacity(self, pool: list[ModelKey], now: float) -> EngineCapacity:
        """What the models of a pool may count on together; no other model has work for these."""
        service, model = pool[0]
        states = self._engines.of_service(service)
        held = self._follower.routes.services.get(service)
        is_any_engine = not model or held is None or not held.models
        engines = [
            state
            for state in states
            if is_any_engine or any(self._is_for(state, key) for key in pool)
        ]
        return engine_capacity(engines, median_event_seconds(states, now), now)


def _join(pools: dict[ModelKey, list[ModelKey]], one: ModelKey, other: ModelKey) -> None:
    """Make one pool of two."""
    if pools[one] is pools[other]:
        return
    joined = pools[one] + pools[other]
    for key in joined:
        pools[key] = joined
