"""Limits that an experiment's figures are held against."""

import math

import msgspec

from merlinstand_lab.experiments.results import ExperimentResult
from merlinstand_lab.simulator.deployment import Scheduler


class BarResult(msgspec.Struct, frozen=True, kw_only=True):
    """One limit and the figure of one variant."""

    variant: str
    name: str
    value: float
    limit: float

    @property
    def is_met(self) -> bool:
        """Whether the figure keeps the limit; a figure that is not a number does not."""
        return self.value <= self.limit


def check_bars(result: ExperimentResult) -> list[BarResult]:
    """Hold every variant that merlinstand schedules against the experiment's limits."""
    return [
        bar
        for variant in result.experiment.variants
        if variant.scheduler is Scheduler.MERLINSTAND
        for bar in _bars_of(result, variant.name)
    ]


def _bars_of(result: ExperimentResult, variant: str) -> list[BarResult]:
    bars = result.experiment.bars
    baseline = result.experiment.baseline
    idle = _mean(result, variant, "idle_share")
    bound = _mean(result, variant, "lower_bound_idle_share")
    baseline_idle = _mean(result, baseline, "idle_share")
    # Where even the bound is above the wanted share of the baseline, the bound's own limit
    # is what can be asked for.
    baseline_limit = max(bars.idle_over_baseline * baseline_idle, bars.idle_over_bound * bound)
    wanted = [
        ("idle share / lower bound", _ratio(idle, bound), bars.idle_over_bound),
        ("staleness p99 (versions)", _worst(result, variant, "staleness_p99"), bars.staleness_p99),
        (
            "staleness maximum (versions)",
            _worst(result, variant, "staleness_maximum"),
            float(result.experiment.workload.maximum_staleness_versions),
        ),
        (
            "lookup p99 in rollouts / outside",
            _ratio(
                _mean(result, variant, "lookup_p99_in_rollouts_seconds"),
                _mean(result, variant, "lookup_p99_outside_rollouts_seconds"),
            ),
            bars.lookups_in_rollouts,
        ),
        ("doubled samples", _worst(result, variant, "doubled_samples"), 0.0),
        ("violations", float(sum(result.violations(variant).values())), 0.0),
    ]
    if variant != baseline:
        wanted.insert(1, ("idle share, against the baseline's", idle, baseline_limit))
    return [
        BarResult(variant=variant, name=name, value=value, limit=limit)
        for name, value, limit in wanted
    ]


def _mean(result: ExperimentResult, variant: str, measure: str) -> float:
    return result.summary(variant, measure).mean


def _worst(result: ExperimentResult, variant: str, measure: str) -> float:
    """Return the largest value over the seeds; not a number when a seed has none."""
    values = result.values(variant, measure)
    if any(math.isnan(value) for value in values):
        return math.nan
    return max(values, default=math.nan)


def _ratio(value: float, other: float) -> float:
    return value / other if other else math.nan
