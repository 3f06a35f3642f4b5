"""Rows of measurements as CSV files, one file a measurement."""

import csv
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from merlinstand_lab.capacity.slopes import MINIMUM_POINTS, Slope, fit_slope


class Measured(msgspec.Struct, frozen=True, kw_only=True):
    """One measured value at one size."""

    measurement: str
    """Which measurement gave it: the subcommand's name."""
    role: str
    """Which process it belongs to: `control-leader`, `gateway`, …"""
    size_name: str
    """What was varied: `daemons`, `servers`, `samples`, …"""
    size: float
    metric: str
    """What was measured, with its unit: `cpu_seconds_per_second`, …"""
    value: float
    elapsed_seconds: float = 0.0
    load_average: float = 0.0
    """The machine's one-minute load average when the value was taken."""


class Series(msgspec.Struct, frozen=True, kw_only=True):
    """The values of one metric of one role over the sizes."""

    measurement: str
    role: str
    size_name: str
    metric: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    @property
    def name(self) -> str:
        """Unique name, also of the plot's file."""
        return f"{self.measurement}-{self.role}-{self.metric}-by-{self.size_name}"

    def slope(self) -> Slope | None:
        """Fit a line, or return None where there are too few sizes."""
        if len(self.sizes) < MINIMUM_POINTS or len(set(self.sizes)) < 2:
            return None
        return fit_slope(self.sizes, self.values)


def write_measured(folder: Path, measurement: str, rows: Iterable[Measured]) -> Path:
    """Replace a measurement's CSV file and return its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{measurement}.csv"
    with path.open("w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(Measured.__struct_fields__)
        for row in rows:
            writer.writerow(_format(value) for value in msgspec.structs.astuple(row))
    return path


def add_measured(
    folder: Path, measurement: str, rows: Sequence[Measured], *, keep_other_sizes: bool
) -> Path:
    """Write a measurement's CSV file, perhaps with its earlier rows of other sizes."""
    path = folder / f"{measurement}.csv"
    kept: list[Measured] = []
    if keep_other_sizes and path.exists():
        measured_now = {(row.size_name, row.size) for row in rows}
        kept = [row for row in read_file(path) if (row.size_name, row.size) not in measured_now]
    return write_measured(folder, measurement, [*kept, *rows])


def read_measured(folder: Path) -> list[Measured]:
    """Read every measurement's CSV file of a folder."""
    return [row for path in sorted(folder.glob("*.csv")) for row in read_file(path)]


def read_file(path: Path) -> list[Measured]:
    """Read one measurement's CSV file."""
    with path.open(newline="", encoding="utf-8") as file:
        return [msgspec.convert(line, Measured, strict=False) for line in csv.DictReader(file)]


def group_series(rows: Sequence[Measured]) -> list[Series]:
    """Group rows into series, each ordered by size."""
    groups: dict[tuple[str, str, str, str], list[Measured]] = {}
    for row in rows:
        key = (row.measurement, row.role, row.size_name, row.metric)
        groups.setdefault(key, []).append(row)
    return [_series(key, group) for key, group in groups.items()]


def _series(key: tuple[str, str, str, str], rows: list[Measured]) -> Series:
    ordered = sorted(rows, key=lambda row: row.size)
    measurement, role, size_name, metric = key
    return Series(
        measurement=measurement,
        role=role,
        size_name=size_name,
        metric=metric,
        sizes=tuple(row.size for row in ordered),
        values=tuple(row.value for row in ordered),
    )


def _format(value: object) -> str:
    return f"{value:.6g}" if isinstance(value, float) else str(value)
