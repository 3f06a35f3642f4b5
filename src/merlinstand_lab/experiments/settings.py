"""The experiment file: a workload, variants of the system, paired seeds."""

import msgspec

from merlinstand.coordinator.settings import GenerationSettings, RolloutSettings
from merlinstand.gateway.settings import RequestSettings
from merlinstand_lab.simulator.deployment import Scheduler
from merlinstand_lab.standins.settings import EngineProfile


class ExperimentSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the tables of an experiment file."""


class Workload(ExperimentSettings, frozen=True, kw_only=True):
    """What every variant must carry; equal for all of them under one seed."""

    deployment: str = "vitrina"
    """`vitrina` or `tatrasoft`: pools, zones and latencies of the brief."""
    duration_seconds: float = 900.0
    trainer_step_seconds: float = 60.0
    batch_size: int = 256
    maximum_tokens: int = 4096
    maximum_staleness_versions: int = 2
    trainers: int = 1
    lookups_per_second: float = 1.0
    bookings_per_second: float = 0.2
    completions_per_second: float = 0.05
    flood_per_second: float = 0.0
    """Lookups a second of one more caller, from a third of the run on."""
    weight_bytes: int = 2_000_000_000
    faults_per_minute: float = 0.0
    """Random faults of the brief: crashes, freezes, cuts, failed swaps, on every part."""
    service_freezes_per_minute: float = 0.0
    """Silent freezes of service servers, besides those faults."""
    engine: EngineProfile = EngineProfile()


class Variant(ExperimentSettings, frozen=True, kw_only=True):
    """One way of scheduling the workload."""

    name: str
    scheduler: Scheduler = Scheduler.MERLINSTAND
    generation: GenerationSettings = GenerationSettings()
    rollout: RolloutSettings = RolloutSettings()
    requests: RequestSettings = RequestSettings()
    """Of the gateways."""
    workload: dict[str, float] = {}
    """Numbers of the workload that differ in this variant (a flood, for example)."""


class Bars(ExperimentSettings, frozen=True, kw_only=True):
    """Limits for the variants that merlinstand schedules."""

    idle_over_bound: float = 1.15
    """Trainer idle share over its lower bound, both averaged over the seeds."""
    idle_over_baseline: float = 0.2
    """Trainer idle share over the baseline's, where the lower bound allows it."""
    staleness_p99: float = 1.0
    """Versions, in the worst seed."""
    lookups_in_rollouts: float = 1.2
    """p99 of lookups during weight rollouts over their p99 at other times."""


class Experiment(ExperimentSettings, frozen=True, kw_only=True):
    """A whole experiment file."""

    name: str
    question: str
    """What the experiment is to decide, in a sentence."""
    seeds: int = 30
    first_seed: int = 1
    baseline: str
    """Variant that the others are compared with, seed by seed."""
    workload: Workload = Workload()
    bars: Bars = Bars()
    variants: tuple[Variant, ...]

    def workload_of(self, variant: Variant) -> Workload:
        """Return the workload with a variant's own numbers."""
        return msgspec.structs.replace(self.workload, **variant.workload)
