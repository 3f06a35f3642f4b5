"""Limits, on results written by hand."""

import math

import msgspec

from merlinstand_lab.experiments.bars import BarResult, check_bars
from merlinstand_lab.experiments.measures import Measures
from merlinstand_lab.experiments.results import ExperimentResult, RunOutcome
from merlinstand_lab.experiments.settings import Experiment, Variant
from merlinstand_lab.simulator.deployment import Scheduler

NOTHING = Measures(**dict.fromkeys(Measures.__struct_fields__))
GOOD = msgspec.structs.replace(
    NOTHING,
    idle_share=0.11,
    lower_bound_idle_share=0.1,
    staleness_p99=1.0,
    staleness_maximum=2.0,
    lookup_p99_in_rollouts_seconds=0.011,
    lookup_p99_outside_rollouts_seconds=0.01,
    doubled_samples=0,
)
SLOW = msgspec.structs.replace(GOOD, idle_share=0.8)
EXPERIMENT = Experiment(
    name="e",
    question="?",
    baseline="scripts",
    variants=(
        Variant(name="scripts", scheduler=Scheduler.SCRIPTS),
        Variant(name="merlinstand"),
    ),
)


def run(variant: str, seed: int, measures: Measures, **violations: int) -> RunOutcome:
    return RunOutcome(
        variant=variant, seed=seed, measures=measures, violations=violations, real_seconds=1.0
    )


def missed(*merlinstand: RunOutcome) -> list[str]:
    outcomes = [run("scripts", outcome.seed, SLOW) for outcome in merlinstand]
    result = ExperimentResult(experiment=EXPERIMENT, outcomes=(*outcomes, *merlinstand))
    return [bar.name for bar in check_bars(result) if not bar.is_met]


def test_good_figures_keep_every_limit() -> None:
    assert missed(run("merlinstand", 1, GOOD), run("merlinstand", 2, GOOD)) == []


def test_the_baseline_is_not_held_against_limits() -> None:
    result = ExperimentResult(
        experiment=EXPERIMENT, outcomes=(run("scripts", 1, SLOW), run("merlinstand", 1, GOOD))
    )
    assert {bar.variant for bar in check_bars(result)} == {"merlinstand"}


def test_idle_above_the_bound_and_above_a_fifth_of_the_baseline() -> None:
    idle = msgspec.structs.replace(GOOD, idle_share=0.2)
    assert missed(run("merlinstand", 1, idle)) == [
        "idle share / lower bound",
        "idle share, against the baseline's",
    ]


def test_one_seed_with_stale_samples_is_enough() -> None:
    stale = msgspec.structs.replace(GOOD, staleness_p99=2.0, staleness_maximum=3.0)
    assert missed(run("merlinstand", 1, GOOD), run("merlinstand", 2, stale)) == [
        "staleness p99 (versions)",
        "staleness maximum (versions)",
    ]


def test_slow_lookups_in_rollouts_doubled_samples_and_violations() -> None:
    bad = msgspec.structs.replace(GOOD, lookup_p99_in_rollouts_seconds=0.02, doubled_samples=1)
    assert missed(run("merlinstand", 1, bad, delivery=3)) == [
        "lookup p99 in rollouts / outside",
        "doubled samples",
        "violations",
    ]


def test_a_figure_that_is_missing_meets_nothing() -> None:
    assert not BarResult(variant="v", name="n", value=math.nan, limit=1.0).is_met
    assert "staleness p99 (versions)" in missed(run("merlinstand", 1, NOTHING))
