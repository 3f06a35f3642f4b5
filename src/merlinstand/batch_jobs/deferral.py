"""The groups that are deferred at present.

Part of the leading keeper's runner of items. Owns which groups are deferred, and gathers what the
rule (`overload`) needs: the work by service and model, and what the engines that follow a model
can do. Deferred items still run, after all others.
"""

from collections.abc import Callable, Iterable

from merlinstand.batch_jobs.engines import EngineStates, typical_event_seconds
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

    def deferred_events(self, run: ItemRun) -> float | None:
        """Give the events that an item's group still needs if it is deferred, else None."""
        return self._deferred.get(GroupKey(run.job_id, run.item.group)) if self._deferred else None

    def review_soon(self) -> None:
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
        for (service, model), loads in by_model.items():
            capacity = self._capacity(service, model, now)
            chosen = groups_to_defer(loads, capacity, group_time)
            deferred |= {load.key: load.rest_events for load in loads if load.key in chosen}
        had, self._deferred = bool(self._deferred), deferred
        if bool(deferred) == had:
            return []
        groups = sum(len(loads) for loads in by_model.values())
        return [LogEvent("groups.deferred", {"deferred": len(deferred), "groups": groups})]

    def _loads_by_model(
        self, runs: Iterable[ItemRun], jobs: dict[str, JobState]
    ) -> dict[tuple[str, str], list[GroupLoad]]:
        """Sum the work up by service and model."""
        by_model: dict[tuple[str, str], list[GroupLoad]] = {}
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

    def _capacity(self, service: str, model: str, now: float) -> EngineCapacity:
        """What a model may count on; an engine of several models is shared evenly among them."""
        states = self._engines.of_service(service)
        held = self._follower.routes.services.get(service)
        models = held.models if held is not None else ()
        followers = []
        for state in states:
            backend_id = state.backend.backend_id
            if not models or not model:
                followers.append((state, 1))
            elif self._follows(backend_id, model):
                followed = sum(1 for other in models if self._follows(backend_id, other))
                followers.append((state, max(1, followed)))
        return engine_capacity(followers, typical_event_seconds(states, now), now)
