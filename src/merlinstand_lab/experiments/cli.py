"""`merlinstand-lab experiment`."""

import math
import sys
from pathlib import Path

import click
import msgspec
from result import Err

from merlinstand.settings.toml_file import load_toml
from merlinstand_lab.experiments.bars import check_bars
from merlinstand_lab.experiments.results import ExperimentResult, save_result
from merlinstand_lab.experiments.runner import collect, run_experiment
from merlinstand_lab.experiments.settings import Experiment
from merlinstand_lab.experiments.statistics import Interval

SHOWN_MEASURES = (
    "steps",
    "idle_share",
    "idle_share_after_first",
    "lower_bound_idle_share",
    "staleness_mean",
    "staleness_p99",
    "staleness_maximum",
    "lookup_p99_seconds",
    "lookup_p99_in_rollouts_seconds",
    "lookup_p99_outside_rollouts_seconds",
    "lookups_answered_share",
    "generated_but_unused_share",
    "doubled_samples",
)


def _interval_text(interval: Interval) -> str:
    if math.isnan(interval.mean):
        return "-"
    return f"{interval.mean:.4g} [{interval.low:.4g}, {interval.high:.4g}]"


def _share_text(share: float | None) -> str:
    return "-" if share is None else f"{share:.3f}"


def _print_variant(result: ExperimentResult, variant: str) -> None:
    click.echo(f"\n{variant}")
    for measure in SHOWN_MEASURES:
        line = f"  {measure:38} {_interval_text(result.summary(variant, measure)):36}"
        if variant != result.experiment.baseline:
            difference = result.against_baseline(variant, measure)
            line += f" difference {_interval_text(difference)}"
        click.echo(line)
    click.echo(f"  violations: {result.violations(variant) or 'none'}")


def _print_bars(result: ExperimentResult) -> None:
    click.echo("\nlimits")
    for bar in check_bars(result):
        verdict = "met" if bar.is_met else "NOT MET"
        click.echo(
            f"  {bar.variant:20} {bar.name:36} {bar.value:8.4g} <= {bar.limit:<8.4g} {verdict}"
        )


@click.command("experiment", short_help="Compare variants over paired seeds.")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--jobs", default=1, show_default=True, help="Processes to run in.")
@click.option("--seeds", type=int, help="Number of seeds, instead of the file's.")
@click.option(
    "--out", type=click.Path(path_type=Path), help="Result file [out/experiments/NAME.json]."
)
def command(file: Path, jobs: int, seeds: int | None, out: Path | None) -> None:
    """Run every variant of an experiment under the same seeds and compare them.

    Example: merlinstand-lab experiment benchmarks/experiments/vitrina-calm.toml --jobs 4
    """
    loaded = load_toml(str(file), Experiment)
    if isinstance(loaded, Err):
        click.echo(loaded.err_value.detail, err=True)
        sys.exit(int(type(loaded.err_value).exit_code))
    experiment = loaded.ok_value
    if seeds is not None:
        experiment = msgspec.structs.replace(experiment, seeds=seeds)
    outcomes = []
    total = experiment.seeds * len(experiment.variants)
    for outcome in run_experiment(experiment, jobs):
        outcomes.append(outcome)
        click.echo(
            f"{len(outcomes)}/{total} {outcome.variant} seed {outcome.seed}:"
            f" idle {_share_text(outcome.measures.idle_share)}, {outcome.real_seconds:.1f} s"
        )
        for example in outcome.examples:
            click.echo(f"    {example}")
    result = collect(experiment, outcomes)
    click.echo(f"\n{experiment.name}: {experiment.question}")
    click.echo(f"means over {experiment.seeds} seeds with 95% bootstrap intervals")
    for variant in experiment.variants:
        _print_variant(result, variant.name)
    _print_bars(result)
    path = out or Path("out/experiments") / f"{experiment.name}.json"
    save_result(result, path)
    click.echo(f"\nsaved {path}")
