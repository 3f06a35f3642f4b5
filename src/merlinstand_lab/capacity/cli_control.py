"""Subcommands that measure the control group and what daemons ask of it."""

import click

from merlinstand_lab.capacity.run import INTEGERS, OutputOptions, run_measurement


@click.command()
@click.option("--replicas", type=INTEGERS, default="3,7", show_default=True)
@click.option("--sizes", type=INTEGERS, default="70,160,320,630", show_default=True)
@click.option("--seconds", default=20.0, show_default=True, help="Length of each window.")
@click.option("--lease-every", default=21, show_default=True, help="Which daemons keep leases.")
@click.pass_obj
def daemons(
    options: OutputOptions,
    replicas: tuple[int, ...],
    sizes: tuple[int, ...],
    seconds: float,
    lease_every: int,
) -> None:
    """Steady cost of control against the number of daemons.

    Example: merlinstand-lab capacity daemons --replicas 7 --sizes 70,160,320,630
    """
    from merlinstand_lab.capacity.measurements.daemons import measure_daemons

    run_measurement(
        options, lambda folder: measure_daemons(folder, replicas, sizes, seconds, lease_every)
    )


@click.command()
@click.option("--replicas", default=7, show_default=True)
@click.option("--sizes", type=INTEGERS, default="70,160,320,630", show_default=True)
@click.option("--changes", default=20, show_default=True)
@click.option("--frozen-changes", default=6, show_default=True)
@click.pass_obj
def spread(
    options: OutputOptions,
    replicas: int,
    sizes: tuple[int, ...],
    changes: int,
    frozen_changes: int,
) -> None:
    """Time until a configuration is in force at every daemon, also with a replica frozen.

    Example: merlinstand-lab capacity spread --sizes 70,160,320,630
    """
    from merlinstand_lab.capacity.measurements.spread import SpreadPlan, measure_spread

    plan = SpreadPlan(
        replicas=replicas, daemons=sizes, changes=changes, frozen_changes=frozen_changes
    )
    run_measurement(options, lambda folder: measure_spread(folder, plan))


@click.command()
@click.option("--replicas", type=INTEGERS, default="1,3,5,7", show_default=True)
@click.option("--windows", type=INTEGERS, default="1,4,16,64", show_default=True)
@click.option("--seconds", default=8.0, show_default=True, help="Length of each window.")
@click.pass_obj
def commits(
    options: OutputOptions, replicas: tuple[int, ...], windows: tuple[int, ...], seconds: float
) -> None:
    """Commands committed a second, and what one costs the leader.

    Example: merlinstand-lab capacity commits --replicas 7
    """
    from merlinstand_lab.capacity.measurements.commits import CommitPlan, measure_commits

    plan = CommitPlan(replicas=replicas, windows=windows, window_seconds=seconds)
    run_measurement(options, lambda folder: measure_commits(folder, plan))


@click.command()
@click.option("--samples", type=INTEGERS, default="256,512,1024,2048", show_default=True)
@click.option("--replicas", default=7, show_default=True)
@click.option("--seconds", default=10.0, show_default=True, help="Length of each window.")
@click.pass_obj
def ledger(options: OutputOptions, samples: tuple[int, ...], replicas: int, seconds: float) -> None:
    """Batches of all trainers through the ledger.

    Example: merlinstand-lab capacity ledger --samples 256,512,1024,2048
    """
    from merlinstand_lab.capacity.measurements.ledger import LedgerPlan, measure_ledger

    plan = LedgerPlan(samples=samples, replicas=replicas, window_seconds=seconds)
    run_measurement(options, lambda folder: measure_ledger(folder, plan))


@click.command()
@click.option("--daemons", default=630, show_default=True)
@click.option("--replicas", default=7, show_default=True)
@click.option("--failures", default=67, show_default=True)
@click.option("--restarts", default=670, show_default=True)
@click.option("--seconds", default=180.0, show_default=True, help="Time for all of them.")
@click.pass_obj
def churn(
    options: OutputOptions,
    daemons: int,
    replicas: int,
    failures: int,
    restarts: int,
    seconds: float,
) -> None:
    """A day's failures and restarts compressed into minutes.

    Example: merlinstand-lab capacity churn --seconds 180
    """
    from merlinstand_lab.capacity.measurements.churn import ChurnPlan, measure_churn

    plan = ChurnPlan(
        daemons=daemons, replicas=replicas, failures=failures, restarts=restarts, seconds=seconds
    )
    run_measurement(options, lambda folder: measure_churn(folder, plan))


@click.command()
@click.option("--daemons", default=630, show_default=True)
@click.option("--replicas", default=7, show_default=True)
@click.option("--cut-seconds", default=20.0, show_default=True)
@click.pass_obj
def partitions(options: OutputOptions, daemons: int, replicas: int, cut_seconds: float) -> None:
    """Loss of a zone, and regions that lose each other and meet again.

    Example: merlinstand-lab capacity partitions
    """
    from merlinstand_lab.capacity.measurements.partitions import (
        PartitionPlan,
        measure_partitions,
    )

    plan = PartitionPlan(daemons=daemons, replicas=replicas, cut_seconds=cut_seconds)
    run_measurement(options, lambda folder: measure_partitions(folder, plan))


@click.command()
@click.option("--sizes", type=INTEGERS, default="4,8,16,30", show_default=True)
@click.option("--pools", default=34, show_default=True)
@click.option("--replicas", default=7, show_default=True)
@click.option("--seconds", default=15.0, show_default=True, help="Length of each window.")
@click.pass_obj
def coordinators(
    options: OutputOptions, sizes: tuple[int, ...], pools: int, replicas: int, seconds: float
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
    run_measurement(options, lambda folder: measure_coordinators(folder, plan))


@click.command()
@click.option("--sizes", type=INTEGERS, default="70,160,320,630", show_default=True)
@click.option("--replicas", default=7, show_default=True)
@click.pass_obj
def starts(options: OutputOptions, sizes: tuple[int, ...], replicas: int) -> None:
    """Blank daemons that all start at once, as after a loss of power.

    Example: merlinstand-lab capacity starts --sizes 70,160,320,630
    """
    from merlinstand_lab.capacity.measurements.starts import measure_starts

    run_measurement(options, lambda folder: measure_starts(folder, sizes, replicas))


COMMANDS = (daemons, starts, spread, commits, ledger, churn, partitions, coordinators)
