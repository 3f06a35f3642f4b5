"""Which leases this coordinator wants, and who is known to hold the others."""

from collections.abc import Iterable

import xxhash

from merlinstand.configuration.objects import JobMode, JobPhase
from merlinstand.coordinator.context import Context
from merlinstand.session.lease_keeper import LEASE_RETRY_SECONDS
from merlinstand.session.view import ConfigurationView

LONGEST_RETRY_SECONDS = 16.0
"""Longest time between two questions of a standby for a lease that is held elsewhere."""

STANDBY_DELAY_SECONDS = 3.0
"""A coordinator that is not the preferred holder of a new resource waits so long before it
asks too, so that resources spread over the coordinators."""


def job_resource(job: str) -> str:
    """Return the lease resource of a job."""
    return f"job/{job}"


def engines_resource(pool: str) -> str:
    """Return the lease resource of a pool's engines."""
    return f"engines/{pool}"


class Leadership:
    """Wants the leases of all jobs and of the engine pools that merlinstand swaps.

    A pool without an active job belongs to the team's own scripts: orders of two sides would
    overtake each other for ever.
    """

    def __init__(self, node_id: str) -> None:
        """Begin wanting nothing."""
        self._node_id = node_id
        self._seen_at: dict[str, float] = {}
        self._retry_seconds: dict[str, float] = {}
        """How eagerly each wanted resource is asked for."""
        self._coordinators: frozenset[str] = frozenset()
        self._positions: dict[str, int] = {}
        """This coordinator's position for each resource seen, among `_coordinators`."""
        self.holders: dict[str, str] = {}
        """Last known holder of each resource held elsewhere."""

    def update(self, context: Context) -> None:
        """Want new resources, and give up those that are gone."""
        self._update_coordinators(context.view)
        resources = set(_resources(context.view))
        for resource in sorted(resources):
            self._want(resource, context)
        for resource in sorted(self._seen_at.keys() - resources):
            self._give_up(resource, context)

    def _want(self, resource: str, context: Context) -> None:
        first_seen = self._seen_at.setdefault(resource, context.now)
        position = self.position(resource)
        retry_seconds = _retry_seconds(position)
        if self._retry_seconds.get(resource) == retry_seconds:
            return
        delay = 0.0 if position == 0 else STANDBY_DELAY_SECONDS
        if context.now - first_seen >= delay:
            self._retry_seconds[resource] = retry_seconds
            context.add(*context.session.request_lease(resource, context.now, retry_seconds))

    def _give_up(self, resource: str, context: Context) -> None:
        del self._seen_at[resource]
        self._positions.pop(resource, None)
        if self._retry_seconds.pop(resource, None) is not None:
            context.add(*context.session.release_lease(resource, context.now))

    def _update_coordinators(self, view: ConfigurationView) -> None:
        registered = {
            node_id for node_id, daemon in view.daemons.items() if daemon.role == "coordinator"
        }
        coordinators = frozenset(registered | {self._node_id})
        if coordinators != self._coordinators:
            self._coordinators = coordinators
            self._positions.clear()

    def position(self, resource: str) -> int:
        """Return how many coordinators are preferred to this one."""
        position = self._positions.get(resource)
        if position is None:
            own = _rank(self._node_id, resource)
            position = sum(_rank(other, resource) > own for other in self._coordinators)
            self._positions[resource] = position
        return position


def _retry_seconds(position: int) -> float:
    """Return how often the coordinator at a position asks for a lease held elsewhere.

    All asking every second costs each coordinator in proportion to all resources. The
    first ones ask often, so that a lease finds its next holder quickly; the later ones are
    needed only when those are gone as well.
    """
    doublings = max(0, position - 1)
    return min(LEASE_RETRY_SECONDS * 2.0**doublings, LONGEST_RETRY_SECONDS)


def _resources(view: ConfigurationView) -> Iterable[str]:
    for name, job in view.jobs.items():
        if job.phase is JobPhase.CANCELLED:
            continue
        yield job_resource(name)
        if job.mode is JobMode.ACTIVE and job.pool in view.pools:
            yield engines_resource(job.pool)


def _rank(node_id: str, resource: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{node_id}|{resource}".encode()), node_id
