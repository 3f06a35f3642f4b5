"""Which models' weights each engine follows, shared out anew as engines and demand change.

Part of the leading keeper's weight loader. Owns the assignment of this leadership; the rule by
which engines are shared out is `engine_assignment`. A new leader begins with what the engines show
of the assignment before it, so that few of them change their model.
"""

from collections.abc import Callable

from merlinstand.batch_jobs.engine_assignment import (
    Assignment,
    apparent_assignment,
    assign_engines,
)
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.common.ids import BackendId
from merlinstand.directory.follower import DirectoryFollower

ASSIGNMENT_SECONDS = 10.0
"""Seconds after which the engines are shared out anew though none came or went, as demand changes.
Chosen, not measured."""


class FollowedModels:
    """The assignment of one leadership."""

    def __init__(
        self,
        follower: DirectoryFollower,
        engines: EngineStates,
        demand_of: Callable[[str], float],
    ) -> None:
        """Begin without an assignment.

        Args:
            follower: The directory, for the services' models and the named versions.
            engines: All engines.
            demand_of: Work lately asked for of a model, in tokens.
        """
        self._follower = follower
        self._engines = engines
        self._demand_of = demand_of
        self._assignment: Assignment = {}
        self._assigned_for: tuple[object, ...] = ()
        """Services, their models and sound engines that the assignment was made for."""
        self._assign_again_at = 0.0

    def forget(self) -> None:
        """A leadership begins or is over."""
        self._assigned_for = ()
        self._assignment = {}

    def follows(self, backend_id: BackendId, model: str) -> bool:
        """Whether an engine's weights of a model are kept new."""
        return model in self._assignment.get(backend_id, ())

    def update(self, now: float) -> None:
        """Share the engines out anew when some came or went, and now and then."""
        services = [s for s in self._follower.routes.services.values() if s.models]
        sound = {service.name: self._sound_engines(service.name) for service in services}
        basis = tuple((s.name, s.models, tuple(sound[s.name])) for s in services)
        if basis == self._assigned_for and now < self._assign_again_at:
            return
        self._assigned_for = basis
        self._assign_again_at = now + ASSIGNMENT_SECONDS
        held = self._assignment or self._apparent_assignment()
        assignment: Assignment = {}
        for service in services:
            demand = {model: self._demand_of(model) + 1.0 for model in service.models}
            assignment |= assign_engines(sound[service.name], demand, held)
        self._assignment = assignment

    def _sound_engines(self, service: str) -> list[BackendId]:
        """Engines that stay and work; the own region's first, so that all models get some."""
        sound = [
            state
            for state in self._engines.of_service(service)
            if not state.backend.is_leaving and not state.is_suspect
        ]
        sound.sort(key=lambda state: (state.is_remote, state.backend.backend_id))
        return [state.backend.backend_id for state in sound]

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
