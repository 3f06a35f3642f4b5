"""Results of an experiment as they are stored and reported."""

import math
from pathlib import Path

import msgspec

from merlinstand_lab.experiments.measures import Measures
from merlinstand_lab.experiments.settings import Experiment
from merlinstand_lab.experiments.statistics import Interval, mean_interval, paired_difference

MEASURE_NAMES = Measures.__struct_fields__


class RunOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """One seed of one variant."""

    variant: str
    seed: int
    measures: Measures
    violations: dict[str, int]
    """Violations by checker."""
    real_seconds: float
    examples: tuple[str, ...] = ()
    """The first violations, with their detail."""
    staleness: dict[str, int] = {}
    """Samples received at each staleness in versions."""


class ExperimentResult(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that a report needs."""

    experiment: Experiment
    outcomes: tuple[RunOutcome, ...]

    def values(self, variant: str, measure: str) -> list[float]:
        """Return one measure of a variant, in the order of the seeds."""
        mine = [outcome for outcome in self.outcomes if outcome.variant == variant]
        values = [
            getattr(outcome.measures, measure)
            for outcome in sorted(mine, key=lambda outcome: outcome.seed)
        ]
        return [math.nan if value is None else value for value in values]

    def summary(self, variant: str, measure: str) -> Interval:
        """Return a measure's mean over the seeds with its interval."""
        return mean_interval(self.values(variant, measure))

    def against_baseline(self, variant: str, measure: str) -> Interval:
        """Return the paired difference to the experiment's baseline."""
        baseline = self.values(self.experiment.baseline, measure)
        return paired_difference(self.values(variant, measure), baseline)

    def staleness_shares(self, variant: str) -> dict[int, float]:
        """Return the share of samples at each staleness, over all seeds of a variant."""
        counts: dict[int, int] = {}
        for outcome in self.outcomes:
            if outcome.variant == variant:
                for versions, count in outcome.staleness.items():
                    counts[int(versions)] = counts.get(int(versions), 0) + count
        total = sum(counts.values())
        return {versions: counts[versions] / total for versions in sorted(counts)}

    def violations(self, variant: str) -> dict[str, int]:
        """Return violations by checker, over all seeds of a variant."""
        total: dict[str, int] = {}
        for outcome in self.outcomes:
            if outcome.variant == variant:
                for checker, count in outcome.violations.items():
                    total[checker] = total.get(checker, 0) + count
        return dict(sorted(total.items()))


def save_result(result: ExperimentResult, path: Path) -> None:
    """Write a result as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))


def load_result(path: Path) -> ExperimentResult:
    """Read a result.

    Raises:
        msgspec.ValidationError: The file is not a result.
    """
    return msgspec.json.decode(path.read_bytes(), type=ExperimentResult)
