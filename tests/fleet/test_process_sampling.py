"""Reading a process's totals."""

from pathlib import Path

from merlinstand_lab.fleet.process_sampling import (
    CLOCK_TICKS_PER_SECOND,
    cost_between,
    read_process_use,
)


def _write_process(folder: Path, ticks: int, resident_kibibytes: int) -> None:
    process = folder / "42"
    process.mkdir(exist_ok=True)
    before_times = "S 1 42 42 0 -1 4194304 100 0 0 0"
    (process / "stat").write_text(f"42 (a) b) {before_times} {ticks} 50 0 0 20 0 1 0")
    (process / "status").write_text(
        f"Name:\ta\nVmHWM:\t 2000 kB\nVmRSS:\t {resident_kibibytes} kB\nThreads:\t3\n"
    )


def test_cpu_and_memory_are_read_past_a_parenthesis_in_the_name(tmp_path: Path) -> None:
    _write_process(tmp_path, 150, 1000)
    use = read_process_use(42, tmp_path)
    assert use.cpu_seconds == 200 / CLOCK_TICKS_PER_SECOND
    assert use.resident_bytes == 1000 * 1024
    assert use.peak_resident_bytes == 2000 * 1024
    assert use.threads == 3


def test_cost_is_the_difference_over_the_time(tmp_path: Path) -> None:
    _write_process(tmp_path, 50, 1000)
    before = read_process_use(42, tmp_path)
    _write_process(tmp_path, 50 + CLOCK_TICKS_PER_SECOND, 1500)
    cost = cost_between(before, read_process_use(42, tmp_path), 4.0)
    assert cost.core_share == 0.25
    assert cost.resident_bytes == 1500 * 1024
