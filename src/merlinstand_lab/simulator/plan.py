"""Plans of runs, and named recipes that turn a seed into a plan."""

import random
from collections.abc import Callable

import msgspec

from merlinstand_lab.simulator.deployment import FleetPlan, Parts
from merlinstand_lab.simulator.faults import AnyFault, last_heal
from merlinstand_lab.simulator.operator_settings import RandomWrites, ScriptedCommand

CONTROL_RECOVERY_SECONDS = 10.0
"""Bound on the time from the last heal until control answers every command quickly."""
WHOLE_RECOVERY_SECONDS = 40.0
"""Bound on the time from the last heal until trainers, engines and callers are served."""
OBSERVATION_SECONDS = 12.0
"""How long a healthy deployment is watched after the bound."""


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that one run does; plain data, so that it can be printed and shrunk."""

    fleet: FleetPlan
    faults: tuple[AnyFault, ...] = ()
    writes: RandomWrites | None = None
    script: tuple[ScriptedCommand, ...] = ()
    recovery_seconds: float = CONTROL_RECOVERY_SECONDS
    minimum_duration_seconds: float = 20.0
    replaced_voters: bool = False
    """A voter may have been replaced: the group must be whole again by itself."""

    def parts_with_daemons(self) -> bool:
        """Whether daemons beside control follow the configuration."""
        return self.fleet.parts is not Parts.CONTROL

    def healed_at(self) -> float:
        """Return when the last fault has healed."""
        return last_heal(self.faults)

    def recovered_at(self) -> float:
        """Return from when on everything must be whole."""
        return self.healed_at() + self.recovery_seconds

    def duration_seconds(self) -> float:
        """Return the virtual time that the run covers."""
        return max(self.minimum_duration_seconds, self.recovered_at() + OBSERVATION_SECONDS)


MakePlan = Callable[[random.Random], Plan]


class Scenario(msgspec.Struct, frozen=True):
    """A named recipe."""

    name: str
    description: str
    make_plan: MakePlan

    def plan(self, seed: int) -> Plan:
        """Return the plan of a seed."""
        return self.make_plan(random.Random(f"{seed}/plan/{self.name}"))


REGISTRY: dict[str, Scenario] = {}
"""Filled by the modules under `scenarios` when they are imported."""


def scenario(name: str) -> Callable[[MakePlan], MakePlan]:
    """Register a recipe under a name; its docstring becomes the description."""

    def register(make_plan: MakePlan) -> MakePlan:
        description = (make_plan.__doc__ or "").strip().splitlines()[0]
        REGISTRY[name] = Scenario(name, description, make_plan)
        return make_plan

    return register
