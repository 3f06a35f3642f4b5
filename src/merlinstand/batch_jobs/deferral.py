"""Tracks the deferred groups for the leading keeper's runner.

Collects the remaining work by service and model and the capacity of the assigned engines, and
applies `overload` to them. Models that share engines are reviewed together, because capacity that
one model does not use is available to the other models. Deferred items still run, after all other
items.
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

REVIEW_INTERVAL_SECONDS = 0.25
"""Interval between reviews of the deferred groups; in this time, each run generates a few
events."""


ModelKey = tuple[str, str]
"""Service name and the name of one of its models."""


class GroupDeferral:
    """The deferred groups, reviewed every `REVIEW_INTERVAL_SECONDS`."""

    def __init__(
        self,
        follower: DirectoryFollower,
        engines: EngineStates,
        is_assigned: Callable[[BackendId, str], bool],
        expected_remaining_events: Callable[[ItemRun], float],
    ) -> None:
        """Create the tracker; no group is deferred before the first `review`.

        Args:
            follower: The directory, for routes and services.
            engines: All engines.
            is_assigned: Whether an engine is assigned a model, and so keeps its weights current.
            expected_remaining_events: Returns the events that an item is expected to still
                generate.
        """
        self._follower = follower
        self._engines = engines
        self._is_assigned = is_assigned
        self._expected_remaining_events = expected_remaining_events
        self._deferred: dict[GroupKey, float] = {}
        """Remaining events by deferred group."""
        self._next_review_at = 0.0

    def deferred_remaining_events(self, run: ItemRun) -> float | None:
        """Return the remaining events of an item's group if the group is deferred, else None."""
        return self._deferred.get(GroupKey(run.job_id, run.item.group)) if self._deferred else None

    def request_review(self) -> None:
        """Make the next call of `review` due, because a job was accepted."""
        self._next_review_at = 0.0

    def review(
        self, runs: Iterable[ItemRun], jobs: dict[str, JobState], group_time: float, now: float
    ) -> list[Effect]:
        """Update the set of deferred groups if a review is due.

        Args:
            runs: Items without a result.
            jobs: All retained jobs by id.
            group_time: Current time in seconds on the clock that stamps accepted jobs.
            now: Local time in seconds.
        """
        if now < self._next_review_at:
            return []
        self._next_review_at = now + REVIEW_INTERVAL_SECONDS
        by_model = self._loads_by_model(runs, jobs)
        deferred: dict[GroupKey, float] = {}
        for pool in self._pools(by_model):
            loads = [load for key in pool for load in by_model[key]]
            capacity = self._capacity(pool, now)
            chosen = groups_to_defer(loads, capacity, group_time)
            deferred |= {load.key: load.remaining_events for load in loads if load.key in chosen}
        had_deferred, self._deferred = bool(self._deferred), deferred
        if bool(deferred) == had_deferred:
            return []
        groups = sum(len(loads) for loads in by_model.values())
        return [LogEvent("groups.deferred", {"deferred": len(deferred), "groups": groups})]

    def _loads_by_model(
        self, runs: Iterable[ItemRun], jobs: dict[str, JobState]
    ) -> dict[ModelKey, list[GroupLoad]]:
        """Group the remaining work by service and model."""
        by_model: dict[ModelKey, list[GroupLoad]] = {}
        for load in group_loads(
            runs, jobs, self._deadline_seconds, self._expected_remaining_events
        ):
            job = jobs[load.key.job_id]
            by_model.setdefault((self._service_of(job), job.job.model), []).append(load)
        return by_model

    def _route_of(self, job: JobState) -> Route | None:
        return self._follower.routes.find(job.job.host, job.job.path)

    def _deadline_seconds(self, job: JobState) -> float:
        route = self._route_of(job)
        return route.result_deadline_seconds if route is not None else 0.0

    def _service_of(self, job: JobState) -> str:
        """Return the service that runs a job's items; if the route has several, the first."""
        route = self._route_of(job)
        return route.targets[0].service if route is not None else ""

    def _pools(self, keys: Iterable[ModelKey]) -> list[list[ModelKey]]:
        """Partition models into pools connected, directly or transitively, by shared engines."""
        pools = {key: [key] for key in keys}
        for service in {service for service, _model in pools}:
            for state in self._engines.of_service(service):
                sharing = [key for key in pools if self._is_assigned_to(state, key)]
                for key in sharing[1:]:
                    _merge_pools(pools, sharing[0], key)
        return [pool for key, pool in pools.items() if pool[0] == key]

    def _is_assigned_to(self, state: EngineState, key: ModelKey) -> bool:
        """Whether an engine is assigned a model of its service."""
        service, model = key
        is_of_service = state.backend.service == service and bool(model)
        return is_of_service and self._is_assigned(state.backend.backend_id, model)

    def _capacity(self, pool: list[ModelKey], now: float) -> EngineCapacity:
        """Return the capacity of a pool's engines; no model outside has work for them."""
        service, model = pool[0]
        states = self._engines.of_service(service)
        known_service = self._follower.routes.services.get(service)
        uses_any_engine = not model or known_service is None or not known_service.models
        engines = [
            state
            for state in states
            if uses_any_engine or any(self._is_assigned_to(state, key) for key in pool)
        ]
        return engine_capacity(engines, median_event_seconds(states, now), now)


def _merge_pools(pools: dict[ModelKey, list[ModelKey]], one: ModelKey, other: ModelKey) -> None:
    """Merge two pools."""
    if pools[one] is pools[other]:
        return
    merged = pools[one] + pools[other]
    for key in merged:
        pools[key] = merged
