"""Turns a workload, a variant and a seed into a plan of the simulator."""

import random

from merlinstand_lab.experiments.settings import Variant, Workload
from merlinstand_lab.simulator import faults as ft
from merlinstand_lab.simulator.deployment import (
    TATRASOFT_SIZES,
    VITRINA_SIZES,
    FleetPlan,
    Parts,
    Sizes,
)
from merlinstand_lab.simulator.scenario import WHOLE_RECOVERY_SECONDS, Plan
from merlinstand_lab.simulator.scenarios import schedules

DEPLOYMENTS: dict[str, Sizes] = {"vitrina": VITRINA_SIZES, "tatrasoft": TATRASOFT_SIZES}
FIRST_FAULT_SECONDS = 45.0
"""Faults begin when the first step is under way."""
FIRST_FREEZE_SECONDS = 20.0
"""Freezes of services begin when lookups have run for a while."""
STEPS_AFTER_LAST_FAULT = 3.2
"""Steps of a trainer that are left after the last fault, so that its recovery can be seen."""
GATEWAYS = ("gateway-1", "gateway-2", "gateway-3")
LONGEST_DOWN_SECONDS = 20.0


def make_plan(workload: Workload, variant: Variant, seed: int) -> Plan:
    """Return the plan of one run; the faults hang on the seed, not on the variant."""
    sizes = DEPLOYMENTS[workload.deployment]
    fleet = FleetPlan(
        sizes=sizes,
        parts=Parts.WHOLE,
        standbys=1,
        trainer_step_seconds=workload.trainer_step_seconds,
        lookups_per_second=workload.lookups_per_second,
        bookings_per_second=workload.bookings_per_second,
        completions_per_second=workload.completions_per_second,
        batch_size=workload.batch_size,
        trainers=workload.trainers,
        maximum_tokens=workload.maximum_tokens,
        maximum_staleness_versions=workload.maximum_staleness_versions,
        scheduler=variant.scheduler,
        generation=variant.generation,
        rollout=variant.rollout,
        requests=variant.requests,
        engine_profile=workload.engine,
        weight_bytes=workload.weight_bytes,
        flood_per_second=workload.flood_per_second,
        flood_start_seconds=workload.duration_seconds / 3,
    )
    return Plan(
        fleet=fleet,
        faults=fault_schedule(workload, sizes, seed) + service_freezes(workload, sizes, seed),
        recovery_seconds=recovery_seconds(workload),
        minimum_duration_seconds=workload.duration_seconds,
    )


def recovery_seconds(workload: Workload) -> float:
    """Return within which time after the last fault a trainer must have its next batch.

    A trainer that has just begun a step asks for nothing until the step ends.
    """
    return WHOLE_RECOVERY_SECONDS + workload.trainer_step_seconds


def fault_schedule(workload: Workload, sizes: Sizes, seed: int) -> tuple[ft.AnyFault, ...]:
    """Return random faults of every kind, spread over the run."""
    source = random.Random(f"{seed}/experiment-faults")
    spread = _fault_seconds(workload, FIRST_FAULT_SECONDS)
    count = round(workload.faults_per_minute * spread / 60.0)
    engines = tuple(f"{sizes.engine_pool}-{number + 1}" for number in range(sizes.engines))
    services = tuple(f"{sizes.service_pool}-{number + 1}" for number in range(sizes.services))
    faults: list[ft.AnyFault] = []
    for at in schedules.some_times(source, count, FIRST_FAULT_SECONDS, spread):
        faults.append(_one_fault(source, engines, services, at))
    return tuple(faults)


def service_freezes(workload: Workload, sizes: Sizes, seed: int) -> tuple[ft.AnyFault, ...]:
    """Return freezes of service servers at random times after the first seconds."""
    source = random.Random(f"{seed}/experiment-freezes")
    spread = _fault_seconds(workload, FIRST_FREEZE_SECONDS)
    count = round(workload.service_freezes_per_minute * spread / 60.0)
    return tuple(
        schedules.freeze(
            source,
            f"{sizes.service_pool}-{source.randint(1, sizes.services)}",
            at,
            LONGEST_DOWN_SECONDS,
        )
        for at in schedules.some_times(source, count, FIRST_FREEZE_SECONDS, spread)
    )


def _fault_seconds(workload: Workload, first_seconds: float) -> float:
    """Return for how long faults may begin, so that the last one's recovery can be seen."""
    last_seconds = (
        LONGEST_DOWN_SECONDS
        + recovery_seconds(workload)
        + STEPS_AFTER_LAST_FAULT * workload.trainer_step_seconds
    )
    return max(0.0, workload.duration_seconds - first_seconds - last_seconds)


def _one_fault(
    source: random.Random, engines: tuple[str, ...], services: tuple[str, ...], at: float
) -> ft.AnyFault:
    """Return one fault of the brief's list."""
    engine = source.choice(engines)
    # The coordinator's machine fails in every variant: scripts run there in the baseline.
    nodes = (engine, "coordinator-1", ft.LEADER, source.choice(GATEWAYS), source.choice(services))
    kind = source.randrange(5)
    if kind == 0:
        return ft.LabFaultOrder(at=at, node=engine, kind="swap_failure")
    if kind == 1:
        return schedules.kill(source, engine, at, LONGEST_DOWN_SECONDS)
    if kind == 2:
        return schedules.isolate(source, source.choice(nodes), at, LONGEST_DOWN_SECONDS)
    if kind == 3:
        return schedules.freeze(source, source.choice(nodes), at, LONGEST_DOWN_SECONDS)
    return schedules.kill(source, source.choice(nodes), at, LONGEST_DOWN_SECONDS)
