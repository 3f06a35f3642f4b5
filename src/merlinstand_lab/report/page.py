"""The HTML page of a report."""

import html
import math
from collections.abc import Callable, Iterator
from pathlib import Path
from string import Template

from merlinstand_lab.experiments.bars import check_bars
from merlinstand_lab.experiments.results import MEASURE_NAMES, ExperimentResult
from merlinstand_lab.experiments.statistics import Interval
from merlinstand_lab.report.plots import plot_measure, plot_staleness

PAGE = Template(
    """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>merlinstand experiments</title>
<style>
body { font: 15px/1.45 sans-serif; max-width: 70em; margin: 2em auto; padding: 0 1em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border-bottom: 1px solid #ccc; padding: 0.2em 0.8em; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.bad { color: #a02020; font-weight: bold; }
img { max-width: 48%; }
</style></head><body>
<h1>merlinstand experiments</h1>
<p>Simulated on a virtual clock; every variant ran under the same seeds. Means over the seeds
with 95% bootstrap intervals. Differences are paired, seed by seed, against the experiment's
baseline; bold where the interval excludes zero.</p>
$sections
</body></html>
"""
)


def write_report(results: list[ExperimentResult], folder: Path) -> Path:
    """Write the page and its plots.

    Returns:
        The page's path.
    """
    folder.mkdir(parents=True, exist_ok=True)
    sections = "\n".join(_section(result, folder) for result in results)
    page = folder / "index.html"
    page.write_text(PAGE.substitute(sections=sections), encoding="utf-8")
    return page


def _section(result: ExperimentResult, folder: Path) -> str:
    experiment = result.experiment
    images = []
    for name, draw in _plots(result):
        path = folder / f"{experiment.name}-{name}.png"
        draw(path)
        images.append(f'<img src="{path.name}" alt="{html.escape(name)}">')
    return "\n".join(
        (
            f"<h2>{html.escape(experiment.name)}</h2>",
            f"<p>{html.escape(experiment.question)}</p>",
            "<p>" + "".join(images) + "</p>",
            _bars(result),
            _table(result),
            _violations(result),
        )
    )


def _plots(result: ExperimentResult) -> Iterator[tuple[str, Callable[[Path], None]]]:
    yield (
        "idle",
        lambda path: plot_measure(
            result,
            "idle_share",
            "trainer idle share",
            path,
            bound="lower_bound_idle_share",
        ),
    )
    yield "staleness", lambda path: plot_staleness(result, path)
    yield (
        "lookups",
        lambda path: plot_measure(result, "lookup_p99_seconds", "lookup p99 (s)", path),
    )


def _bars(result: ExperimentResult) -> str:
    rows = ["<tr><th>limit</th><th>variant</th><th>figure</th><th>at most</th><th></th></tr>"]
    for bar in check_bars(result):
        verdict = "met" if bar.is_met else '<span class="bad">not met</span>'
        cells = (html.escape(bar.name), html.escape(bar.variant), f"{bar.value:.4g}")
        row = "".join(f"<td>{cell}</td>" for cell in (*cells, f"{bar.limit:.4g}", verdict))
        rows.append(f"<tr>{row}</tr>")
    return "<table>" + "\n".join(rows) + "</table>"


def _table(result: ExperimentResult) -> str:
    names = [variant.name for variant in result.experiment.variants]
    head = "".join(f"<th>{html.escape(name)}</th><th>difference</th>" for name in names)
    rows = [f"<tr><th>measure</th>{head}</tr>"]
    for measure in MEASURE_NAMES:
        cells = "".join(_cells(result, name, measure) for name in names)
        rows.append(f"<tr><td>{measure}</td>{cells}</tr>")
    return "<table>" + "\n".join(rows) + "</table>"


def _cells(result: ExperimentResult, variant: str, measure: str) -> str:
    value = f"<td>{_text(result.summary(variant, measure))}</td>"
    if variant == result.experiment.baseline:
        return value + "<td></td>"
    difference = result.against_baseline(variant, measure)
    text = _text(difference)
    return value + f"<td>{f'<b>{text}</b>' if difference.excludes_zero else text}</td>"


def _text(interval: Interval) -> str:
    if math.isnan(interval.mean):
        return "-"
    return f"{interval.mean:.4g} [{interval.low:.4g}, {interval.high:.4g}]"


def _violations(result: ExperimentResult) -> str:
    lines = []
    for variant in result.experiment.variants:
        found = result.violations(variant.name)
        text = ", ".join(f"{name}: {count}" for name, count in found.items()) or "none"
        style = ' class="bad"' if found else ""
        lines.append(f"<li{style}>{html.escape(variant.name)}: {html.escape(text)}</li>")
    return "<p>Violations reported by the checkers:</p><ul>" + "".join(lines) + "</ul>"
