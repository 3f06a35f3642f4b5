"""Running a measurement from the command line."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from merlinstand_lab.capacity.results import Measured, read_measured
from merlinstand_lab.capacity.run import OutputOptions, run_measurement


def _row(size: float, value: float) -> Measured:
    return Measured(
        measurement="m", role="r", size_name="daemons", size=size, metric="x", value=value
    )


def _fails_at_the_largest(folder: Path) -> Iterator[Measured]:
    yield _row(70.0, 1.0)
    yield _row(160.0, 2.0)
    raise TimeoutError("not all joined")


def test_rows_of_the_sizes_before_a_failure_are_kept(tmp_path: Path) -> None:
    with pytest.raises(TimeoutError):
        run_measurement(OutputOptions(tmp_path), _fails_at_the_largest)
    assert read_measured(tmp_path) == [_row(70.0, 1.0), _row(160.0, 2.0)]


def test_earlier_rows_are_replaced_size_by_size_when_adding(tmp_path: Path) -> None:
    run_measurement(OutputOptions(tmp_path), lambda folder: [_row(70.0, 1.0), _row(630.0, 9.0)])
    run_measurement(OutputOptions(tmp_path, add=True), lambda folder: [_row(630.0, 3.0)])
    assert read_measured(tmp_path) == [_row(70.0, 1.0), _row(630.0, 3.0)]
    run_measurement(OutputOptions(tmp_path), lambda folder: [_row(630.0, 4.0)])
    assert read_measured(tmp_path) == [_row(630.0, 4.0)]
