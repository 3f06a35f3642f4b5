"""The table of slopes that the page points to."""

from pathlib import Path

from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.slope_table import write_slope_table


def _row(size: float, value: float) -> Measured:
    return Measured(
        measurement="daemons",
        role="daemon",
        size_name="daemons",
        size=size,
        metric="control_bytes_per_second_per_daemon",
        value=value,
    )


def test_the_table_gives_the_value_at_the_target_and_how_far_it_lies_beyond(
    tmp_path: Path,
) -> None:
    rows = [_row(size, 100.0 + size) for size in (70.0, 160.0, 315.0)]
    text = write_slope_table(tmp_path, rows).read_text(encoding="utf-8")
    line = next(line for line in text.splitlines() if line.startswith("| daemon "))
    cells = [cell.strip() for cell in line.split("|")]
    assert cells[-4:-1] == ["730", "2", "10000"]


def test_a_value_without_a_slope_stands_in_the_table_too(tmp_path: Path) -> None:
    text = write_slope_table(tmp_path, [_row(70.0, 170.0)]).read_text(encoding="utf-8")
    assert "| 170 |" in text
