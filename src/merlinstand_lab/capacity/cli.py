"""`merlinstand-lab capacity`: cost against size, slope by slope."""

import shutil
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from merlinstand_lab.capacity.results import Measured, group_series, read_measured, write_measured

DEFAULT_OUTPUT = Path("docs/capacity")


@click.group(name="capacity")
@click.option(
    "--output",
    type=click.Path(path_type=Path, file_okay=False),
    default=DEFAULT_OUTPUT,
    show_default=True,
    help="Folder of the CSV files and plots.",
)
@click.pass_context
def command(context: click.Context, output: Path) -> None:
    """Measure what each role costs against the size of the deployment.

    Example: merlinstand-lab capacity daemons --sizes 70,160,320,630
    """
    context.obj = output


def finish(output: Path, name: str, rows: list[Measured]) -> None:
    """Write a measurement's CSV file and print its slopes."""
    path = write_measured(output, name, rows)
    click.echo(f"{len(rows)} rows in {path}")
    print_slopes(rows)


@contextmanager
def run_folder() -> Iterator[Path]:
    """Give a folder for the files of one measurement's processes; kept if it fails."""
    path = Path(tempfile.mkdtemp(prefix="merlinstand-capacity-"))
    try:
        yield path
    except BaseException:
        click.echo(f"files of the failed run are kept in {path}", err=True)
        raise
    shutil.rmtree(path, ignore_errors=True)


def print_slopes(rows: list[Measured]) -> None:
    """Print one line a series: fitted line, confidence and residual."""
    for series in group_series(rows):
        slope = series.slope()
        if slope is None:
            values = ", ".join(f"{value:.4g}" for value in series.values)
            click.echo(f"{series.name}: {values}")
            continue
        click.echo(
            f"{series.name}: {slope.intercept:.4g} + {slope.slope:.4g} x"
            f" (slope +-{slope.slope_half_width:.2g}, worst residual"
            f" {slope.relative_residual:.1%}, {slope.points} points)"
        )


@command.command()
@click.pass_obj
def codecs(output: Path) -> None:
    """Size and processor time of the large messages.

    Example: merlinstand-lab capacity codecs
    """
    from merlinstand_lab.capacity.measurements.codecs import measure_codecs

    finish(output, "codecs", measure_codecs())


class IntegerList(click.ParamType):
    """Comma-separated integers."""

    name = "N,N,…"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, ...]:
        """Read the list."""
        if isinstance(value, tuple):
            return value
        try:
            return tuple(int(part) for part in str(value).split(","))
        except ValueError:
            self.fail(f"{value!r} is no list of integers", param, ctx)


INTEGERS = IntegerList()


@command.command()
@click.option("--replicas", type=INTEGERS, default="3,7", show_default=True)
@click.option("--sizes", type=INTEGERS, default="70,160,320,630", show_default=True)
@click.option("--seconds", default=20.0, show_default=True, help="Length of each window.")
@click.option("--lease-every", default=21, show_default=True, help="Which daemons keep leases.")
@click.pass_obj
def daemons(
    output: Path,
    replicas: tuple[int, ...],
    sizes: tuple[int, ...],
    seconds: float,
    lease_every: int,
) -> None:
    """Steady cost of control against the number of daemons.

    Example: merlinstand-lab capacity daemons --replicas 7 --sizes 70,160,320,630
    """
    from merlinstand_lab.capacity.measurements.daemons import measure_daemons

    with run_folder() as folder:
        for group in replicas:
            rows = measure_daemons(folder, (group,), sizes, seconds, lease_every)
            finish(output, rows[0].measurement, rows)


@command.command()
@click.option("--replicas", default=7, show_default=True)
@click.option("--sizes", type=INTEGERS, default="70,160,320,630", show_default=True)
@click.option("--changes", default=20, show_default=True)
@click.option("--frozen-changes", default=6, show_default=True)
@click.pass_obj
def spread(
    output: Path, replicas: int, sizes: tuple[int, ...], changes: int, frozen_changes: int
) -> None:
    """Time until a configuration is in force at every daemon, also with a replica frozen.

    Example: merlinstand-lab capacity spread --sizes 70,160,320,630
    """
    from merlinstand_lab.capacity.measurements.spread import SpreadPlan, measure_spread

    plan = SpreadPlan(
        replicas=replicas, daemons=sizes, changes=changes, frozen_changes=frozen_changes
    )
    with run_folder() as folder:
        rows = measure_spread(folder, plan)
    finish(output, rows[0].measurement, rows)


@command.command()
@click.option("--replicas", type=INTEGERS, default="1,3,5,7", show_default=True)
@click.option("--windows", type=INTEGERS, default="1,4,16,64", show_default=True)
@click.option("--seconds", default=8.0, show_default=True, help="Length of each window.")
@click.pass_obj
def commits(
    output: Path, replicas: tuple[int, ...], windows: tuple[int, ...], seconds: float
) -> None:
    """Commands committed a second, and what one costs the leader.

    Example: merlinstand-lab capacity commits --replicas 7
    """
    from merlinstand_lab.capacity.measurements.commits import CommitPlan, measure_commits

    for group in replicas:
        plan = CommitPlan(replicas=(group,), windows=windows, window_seconds=seconds)
        with run_folder() as folder:
            rows = measure_commits(folder, plan)
        finish(output, rows[0].measurement, rows)


@command.command()
@click.option("--samples", type=INTEGERS, default="256,512,1024,2048", show_default=True)
@click.option("--replicas", default=7, show_default=True)
@click.option("--seconds", default=10.0, show_default=True, help="Length of each window.")
@click.pass_obj
def ledger(output: Path, samples: tuple[int, ...], replicas: int, seconds: float) -> None:
    """Batches of all trainers through the ledger.

    Example: merlinstand-lab capacity ledger --samples 256,512,1024,2048
    """
    from merlinstand_lab.capacity.measurements.ledger import LedgerPlan, measure_ledger

    plan = LedgerPlan(samples=samples, replicas=replicas, window_seconds=seconds)
    with run_folder() as folder:
        rows = measure_ledger(folder, plan)
    finish(output, "ledger", rows)


@command.command()
@click.option("--streams", "counts", type=INTEGERS, default="20,40,80,160", show_default=True)
@click.option("--tokens-per-chunk", type=INTEGERS, default="1,4,16", show_default=True)
@click.option("--seconds", default=8.0, show_default=True, help="Length of each window.")
@click.option("--direct", is_flag=True, help="Without the gateway: the cost of the load itself.")
@click.pass_obj
def streams(
    output: Path,
    counts: tuple[int, ...],
    tokens_per_chunk: tuple[int, ...],
    seconds: float,
    direct: bool,
) -> None:
    """Streamed tokens through one gateway, at several tokens a chunk.

    Example: merlinstand-lab capacity streams --tokens-per-chunk 1,4,16
    """
    from merlinstand_lab.capacity.measurements.streams import measure_streams

    with run_folder() as folder:
        rows = measure_streams(folder, counts, tokens_per_chunk, seconds, direct)
    finish(output, rows[0].measurement, rows)


@command.command()
@click.option("--rates", type=INTEGERS, default="25,50,100,200,400", show_default=True)
@click.option("--seconds", default=8.0, show_default=True, help="Length of each window.")
@click.option("--direct", is_flag=True, help="Without the gateway: the cost of the load itself.")
@click.pass_obj
def lookups(output: Path, rates: tuple[int, ...], seconds: float, direct: bool) -> None:
    """Short requests through one gateway.

    Example: merlinstand-lab capacity lookups --rates 50,100,200,400
    """
    from merlinstand_lab.capacity.measurements.lookups import measure_lookups

    with run_folder() as folder:
        rows = measure_lookups(folder, rates, seconds, direct)
    finish(output, rows[0].measurement, rows)


@command.command()
@click.option("--daemons", default=630, show_default=True)
@click.option("--replicas", default=7, show_default=True)
@click.option("--failures", default=67, show_default=True)
@click.option("--restarts", default=670, show_default=True)
@click.option("--seconds", default=180.0, show_default=True, help="Time for all of them.")
@click.pass_obj
def churn(
    output: Path, daemons: int, replicas: int, failures: int, restarts: int, seconds: float
) -> None:
    """A day's failures and restarts compressed into minutes.

    Example: merlinstand-lab capacity churn --seconds 180
    """
    from merlinstand_lab.capacity.measurements.churn import ChurnPlan, measure_churn

    plan = ChurnPlan(
        daemons=daemons, replicas=replicas, failures=failures, restarts=restarts, seconds=seconds
    )
    with run_folder() as folder:
        rows = measure_churn(folder, plan)
    finish(output, "churn", rows)


@command.command()
@click.option("--daemons", default=630, show_default=True)
@click.option("--replicas", default=7, show_default=True)
@click.option("--cut-seconds", default=20.0, show_default=True)
@click.pass_obj
def partitions(output: Path, daemons: int, replicas: int, cut_seconds: float) -> None:
    """Loss of a zone, and regions that lose each other and meet again.

    Example: merlinstand-lab capacity partitions
    """
    from merlinstand_lab.capacity.measurements.partitions import (
        PartitionPlan,
        measure_partitions,
    )

    plan = PartitionPlan(daemons=daemons, replicas=replicas, cut_seconds=cut_seconds)
    with run_folder() as folder:
        rows = measure_partitions(folder, plan)
    finish(output, "partitions", rows)


@command.command()
@click.option("--sizes", type=INTEGERS, default="4,8,16,30", show_default=True)
@click.option("--pools", default=34, show_default=True)
@click.option("--replicas", default=7, show_default=True)
@click.option("--seconds", default=15.0, show_default=True, help="Length of each window.")
@click.pass_obj
def coordinators(
    output: Path, sizes: tuple[int, ...], pools: int, replicas: int, seconds: float
) -> None:
    """Load that coordinators put on control.

    Example: merlinstand-lab capacity coordinators --sizes 4,8,16,30
    """
    from merlinstand_lab.capacity.measurements.coordinators import (
        CoordinatorPlan,
        measure_coordinators,
    )

    plan = CoordinatorPlan(
        coordinators=sizes, pools=pools, replicas=replicas, window_seconds=seconds
    )
    with run_folder() as folder:
        rows = measure_coordinators(folder, plan)
    finish(output, "coordinators", rows)


@command.command()
@click.option("--sizes", type=INTEGERS, default="25,50,100,200", show_default=True)
@click.option("--seconds", default=15.0, show_default=True, help="Length of each window.")
@click.pass_obj
def engines(output: Path, sizes: tuple[int, ...], seconds: float) -> None:
    """One coordinator against the engines of its pools.

    Example: merlinstand-lab capacity engines --sizes 25,50,100,200
    """
    from merlinstand_lab.capacity.measurements.engines import EnginePlan, measure_engines

    with run_folder() as folder:
        rows = measure_engines(folder, EnginePlan(engines=sizes, window_seconds=seconds))
    finish(output, "engines", rows)


@command.command()
@click.option("--sizes", type=INTEGERS, default="425,850,1700,3400", show_default=True)
@click.option("--seconds", default=15.0, show_default=True, help="Length of each window.")
@click.pass_obj
def servers(output: Path, sizes: tuple[int, ...], seconds: float) -> None:
    """One idle gateway against all servers of the deployment.

    Example: merlinstand-lab capacity servers --sizes 425,850,1700,3400
    """
    from merlinstand_lab.capacity.measurements.engines import EnginePlan, measure_servers

    with run_folder() as folder:
        rows = measure_servers(folder, EnginePlan(servers=sizes, window_seconds=seconds))
    finish(output, "servers", rows)


@command.command()
@click.pass_obj
def plot(output: Path) -> None:
    """Redraw every plot from the CSV files.

    Example: merlinstand-lab capacity plot
    """
    from merlinstand_lab.capacity.plots import draw_all

    for path in draw_all(output):
        click.echo(str(path))


@command.command()
@click.pass_obj
def slopes(output: Path) -> None:
    """Print every fitted slope of the CSV files.

    Example: merlinstand-lab capacity slopes
    """
    print_slopes(read_measured(output))
