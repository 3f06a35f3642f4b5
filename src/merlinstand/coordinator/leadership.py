"""Which leases this coordinator wants, and who is known to hold the others."""

from collections.abc import Iterable

import xxhash

from merlinstand.configuration.objects import JobMode, JobPhase
from merlinstand.coordinator.context import Context
from merlinstand.session.view import ConfigurationView

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
        self._wanted: set[str] = set()
        self.holders: dict[str, str] = {}
        """Last known holder of each resource held elsewhere."""

    def update(self, context: Context) -> None:
        """Want new resources, and give up those that are gone."""
        resources = set(_resources(context.view))
        for resource in sorted(resources - self._wanted):
            first_seen = self._seen_at.setdefault(resource, context.now)
            delay = 0.0 if self._prefers(context.view, resource) else STANDBY_DELAY_SECONDS
            if context.now - first_seen >= delay:
                self._wanted.add(resource)
                context.add(*context.session.want_lease(resource, context.now))
        for resource in sorted(self._wanted - resources):
            self._wanted.discard(resource)
            self._seen_at.pop(resource, None)
            context.add(*context.session.give_up_lease(resource, context.now))

    def _prefers(self, view: ConfigurationView, resource: str) -> bool:
        coordinators = {
            node_id for node_id, daemon in view.daemons.items() if daemon.role == "coordinator"
        }
        coordinators.add(self._node_id)
        return max(coordinators, key=lambda node_id: _rank(node_id, resource)) == self._node_id


def _resources(view: ConfigurationView) -> Iterable[str]:
    for name, job in view.jobs.items():
        if job.phase is JobPhase.CANCELLED:
            continue
        yield job_resource(name)
        if job.mode is JobMode.ACTIVE and job.pool in view.pools:
            yield engines_resource(job.pool)


def _rank(node_id: str, resource: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{node_id}|{resource}".encode()), node_id
