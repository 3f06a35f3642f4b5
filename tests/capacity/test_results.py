"""CSV files of measurements."""

from pathlib import Path

from merlinstand_lab.capacity.marks import mark_of
from merlinstand_lab.capacity.results import (
    Measured,
    group_series,
    read_measured,
    write_measured,
)


def _rows() -> list[Measured]:
    return [
        Measured(
            measurement="daemons",
            role="daemon",
            size_name="daemons",
            size=size,
            metric="control_cpu_share_per_daemon",
            value=0.001,
            elapsed_seconds=20.0,
            load_average=1.5,
        )
        for size in (160.0, 70.0, 630.0)
    ]


def test_rows_survive_the_file(tmp_path: Path) -> None:
    write_measured(tmp_path, "daemons", _rows())
    assert read_measured(tmp_path) == _rows()


def test_series_are_ordered_and_marked(tmp_path: Path) -> None:
    (series,) = group_series(_rows())
    assert series.sizes == (70.0, 160.0, 630.0)
    mark = mark_of(series)
    assert mark.target_size == 630
    assert mark.bound == 0.013
