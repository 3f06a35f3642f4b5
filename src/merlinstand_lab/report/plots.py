"""Plots of experiment results, as PNG files."""

import math
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from merlinstand_lab.experiments.results import ExperimentResult

FIGURE_INCHES = (6.4, 3.6)
DOTS_PER_INCH = 110
HEADROOM = 1.25
"""Factor by which the axis goes beyond the bars, for figures and legend."""
BAR_COLOUR = "#4878a8"
BOUND_COLOUR = "#b04030"


def plot_measure(
    result: ExperimentResult, measure: str, label: str, path: Path, bound: str = ""
) -> None:
    """Draw one measure of every variant with its interval.

    Args:
        result: The experiment.
        measure: Name of the measure.
        label: Text of the axis, with the unit.
        path: PNG file to write.
        bound: Measure that holds a limit to draw beside each bar, if any.
    """
    figure, axes = plt.subplots(figsize=FIGURE_INCHES)
    names = [variant.name for variant in result.experiment.variants]
    for position, name in enumerate(names):
        _draw_bar(axes, result, name, measure, position)
        if bound:
            limit = result.summary(name, bound).mean
            axes.plot([position - 0.4, position + 0.4], [limit, limit], color=BOUND_COLOUR)
    if bound:
        axes.plot([], [], color=BOUND_COLOUR, label="lower bound for the same steps")
        axes.legend(frameon=False, loc="upper right")
    axes.set_xticks(range(len(names)), names)
    axes.set_ylabel(label)
    axes.set_ylim(bottom=0.0, top=axes.get_ylim()[1] * HEADROOM)
    axes.set_title(f"{result.experiment.name}, {result.experiment.seeds} seeds, 95% intervals")
    _save(figure, path)


def _draw_bar(
    axes: Axes, result: ExperimentResult, variant: str, measure: str, position: int
) -> None:
    interval = result.summary(variant, measure)
    if math.isnan(interval.mean):
        return
    errors = [[interval.mean - interval.low], [interval.high - interval.mean]]
    axes.bar(position, interval.mean, color=BAR_COLOUR, yerr=errors, capsize=4, width=0.6)
    axes.annotate(
        f"{interval.mean:.3g}",
        (position, interval.high),
        textcoords="offset points",
        xytext=(0, 4),
        ha="center",
    )


def plot_staleness(result: ExperimentResult, path: Path) -> None:
    """Draw the distribution of staleness at receipt for every variant."""
    figure, axes = plt.subplots(figsize=FIGURE_INCHES)
    variants = result.experiment.variants
    width = 0.8 / len(variants)
    highest = 0
    for number, variant in enumerate(variants):
        shares = result.staleness_shares(variant.name)
        highest = max([highest, *shares])
        positions = [versions + (number - (len(variants) - 1) / 2) * width for versions in shares]
        axes.bar(positions, list(shares.values()), width=width, label=variant.name)
    axes.set_xticks(range(highest + 1))
    axes.set_xlabel("staleness at receipt (versions)")
    axes.set_ylabel("share of samples")
    axes.set_title(f"{result.experiment.name}, {result.experiment.seeds} seeds")
    axes.legend(frameon=False)
    _save(figure, path)


def _save(figure: plt.Figure, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)
