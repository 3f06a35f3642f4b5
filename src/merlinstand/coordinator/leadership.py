"""Decides which leases this coordinator requests, and tracks who holds all other leases."""

from collections.abc import Iterable

import xxhash

from merlinstand.configuration.objects import JobMode, JobPhase
from merlinstand.coordinator.context import Context
from merlinstand.session.lease_keeper import LEASE_RETRY_SECONDS
from merlinstand.session.view import ConfigurationView

MAXIMUM_RETRY_SECONDS = 16.0
"""Longest interval at which a standby retries to acquire a lease that is held elsewhere."""

STANDBY_DELAY_SECONDS = 3.0
"""Delay before a coordinator that is not the preferred holder of a new resource requests its lease,
so that resources are spread over the coordinators."""


def job_resource(job: str) -> str:
    """Return the lease resource of a job."""
    return f"job/{job}"


def engines_resource(pool: str) -> str:
    """Return the lease resource of a pool's engines."""
    return f"engines/{pool}"


class Leadership:
    """Requests the leases of all jobs, and of the engine pools whose weights merlinstand swaps.

    The engines of a pool without an active job are controlled by the team's own scripts. Two
    controllers would keep superseding each other's orders.
    """

    def __init__(self, node_id: str) -> None:
        """No lease is requested until the first `update`."""
        self._node_id = node_id
        self._seen_at: dict[str, float] = {}
        self._retry_seconds: dict[str, float] = {}
        """Retry interval of each requested resource."""
        self._coordinators: frozenset[str] = frozenset()
        self._positions: dict[str, int] = {}
        """This coordinator's position among `_coordinators`, by resource."""
        self.holders: dict[str, str] = {}
        """Last known holder of each resource whose lease another coordinator holds."""

    def update(self, context: Context) -> None:
        """Request the leases of new resources, and release those of removed ones."""
        self._update_coordinators(context.view)
        resources = set(_resources(context.view))
        for resource in sorted(resources):
            self._request_lease(resource, context)
        for resource in sorted(self._seen_at.keys() - resources):
            self._release_lease(resource, context)

    def _request_lease(self, resource: str, context: Context) -> None:
        first_seen = self._seen_at.setdefault(resource, context.now)
        position = self.position(resource)
        retry_seconds = _retry_seconds(position)
        if self._retry_seconds.get(resource) == retry_seconds:
            return
        delay = 0.0 if position == 0 else STANDBY_DELAY_SECONDS
        if context.now - first_seen >= delay:
            self._retry_seconds[resource] = retry_seconds
            context.add(*context.session.request_lease(resource, context.now, retry_seconds))

    def _release_lease(self, resource: str, context: Context) -> None:
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
        """Return how many coordinators are preferred over this one for a resource."""
        position = self._positions.get(resource)
        if position is None:
            own = _rank(self._node_id, resource)
            position = sum(_rank(other, resource) > own for other in self._coordinators)
            self._positions[resource] = position
        return position


def _retry_seconds(position: int) -> float:
    """Return the interval at which the coordinator at a position retries to acquire a lease.

    If every coordinator retried each second, each one's load would be proportional to the number of
    all resources. The first ones retry often, for a fast failover; later ones are needed only if
    those have failed as well.
    """
    doublings = max(0, position - 1)
    return min(LEASE_RETRY_SECONDS * 2.0**doublings, MAXIMUM_RETRY_SECONDS)


def _resources(view: ConfigurationView) -> Iterable[str]:
    for name, job in view.jobs.items():
        if job.phase is JobPhase.CANCELLED:
            continue
        yield job_resource(name)
        if job.mode is JobMode.ACTIVE and job.pool in view.pools:
            yield engines_resource(job.pool)


def _rank(node_id: str, resource: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{node_id}|{resource}".encode()), node_id
