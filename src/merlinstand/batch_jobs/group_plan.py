"""The groups that are put off at present (state of the leading keeper)."""

from collections.abc import Callable, Iterable

from merlinstand.batch_jobs.engines import EngineStates, typical_event_seconds
from merlinstand.batch_jobs.item_run import ItemRun
from merlinstand.batch_jobs.overload import (
    EngineCapacity,
    GroupKey,
    GroupLoad,
    engine_capacity,
    group_loads,
    groups_to_put_off,
)
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.common.ids import BackendId
from merlinstand.directory.routes import RouteTable
from merlinstand.kernel.effects import Effect, LogEvent

WEIGH_SECONDS = 0.25
"""The groups are weighed this often: a few events of each run pass in between."""


class GroupPlan:
    """What is put off; weighed anew a few times a second."""

    def __init__(
        self,
        routes: Callable[[], RouteTable],
        engines: EngineStates,
        follows: Callable[[BackendId, str], bool],
        expected_rest: Callable[[ItemRun], float],
    ) -> None:
        """Begin with nothing put off.

        Args:
            routes: Gives the present routes.
            engines: All engines.
            follows: Whether an engine is there for a model in the first place.
            expected_rest: Events that an item is expected to have yet.
        """
        self._routes = routes
        self._engines = engines
        self._follows = follows
        self._expected_rest = expected_rest
        self._put_off: dict[GroupKey, float] = {}
        """Events that they still need."""
        self._weigh_at = 0.0

    def put_off_events(self, run: ItemRun) -> float | None:
        """Give the events that an item's group still needs if it is put off, else None."""
        return self._put_off.get(GroupKey(run.job_id, run.item.group)) if self._put_off else None

    def weigh_soon(self) -> None:
        """A job came: decide anew at the next turn."""
        self._weigh_at = 0.0

    def weigh(
        self, runs: Iterable[ItemRun], jobs: dict[str, JobState], group_time: float, now: float
    ) -> list[Effect]:
        """Decide anew, if it is time to.

        Args:
            runs: Items without a result.
            jobs: All kept jobs.
            group_time: Present time in seconds, by the clock that jobs were accepted by.
            now: Local time.
        """
        if now < self._weigh_at:
            return []
        self._weigh_at = now + WEIGH_SECONDS
        by_model: dict[tuple[str, str], list[GroupLoad]] = {}
        for load in group_loads(runs, jobs, self._due_seconds, self._expected_rest):
            job = jobs[load.key.job_id]
            by_model.setdefault((self._service_of(job), job.job.model), []).append(load)
        put_off: dict[GroupKey, float] = {}
        for (service, model), loads in by_model.items():
            capacity = self._capacity(service, model, now)
            chosen = groups_to_put_off(loads, capacity, group_time)
            put_off |= {load.key: load.rest_events for load in loads if load.key in chosen}
        had, self._put_off = bool(self._put_off), put_off
        if bool(put_off) == had:
            return []
        groups = sum(len(loads) for loads in by_model.values())
        return [LogEvent("groups.weighed", {"put_off": len(put_off), "groups": groups})]

    def _due_seconds(self, job: JobState) -> float:
        route = self._routes().find(job.job.host, job.job.path)
        return route.result_deadline_seconds if route is not None else 0.0

    def _service_of(self, job: JobState) -> str:
        route = self._routes().find(job.job.host, job.job.path)
        return route.targets[0].service if route is not None else ""

    def _capacity(self, service: str, model: str, now: float) -> EngineCapacity:
        states = self._engines.of_service(service)
        held = self._routes().services.get(service)
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
