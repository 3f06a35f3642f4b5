"""Subcommands that measure requests, streams, servers and weights."""

import click

from merlinstand_lab.capacity.run import INTEGERS, OutputOptions, run_measurement


@click.command()
@click.option("--streams", "counts", type=INTEGERS, default="20,40,80,160", show_default=True)
@click.option("--tokens-per-chunk", type=INTEGERS, default="1,4,16", show_default=True)
@click.option("--seconds", default=8.0, show_default=True, help="Length of each window.")
@click.option("--direct", is_flag=True, help="Without the gateway: the cost of the load itself.")
@click.pass_obj
def streams(
    options: OutputOptions,
    counts: tuple[int, ...],
    tokens_per_chunk: tuple[int, ...],
    seconds: float,
    direct: bool,
) -> None:
    """Streamed tokens through one gateway, at several tokens a chunk.

    Example: merlinstand-lab capacity streams --tokens-per-chunk 1,4,16
    """
    from merlinstand_lab.capacity.measurements.streams import measure_streams

    run_measurement(
        options, lambda folder: measure_streams(folder, counts, tokens_per_chunk, seconds, direct)
    )


@click.command()
@click.option("--rates", type=INTEGERS, default="25,50,100,200,400", show_default=True)
@click.option("--seconds", default=8.0, show_default=True, help="Length of each window.")
@click.option("--direct", is_flag=True, help="Without the gateway: the cost of the load itself.")
@click.pass_obj
def lookups(options: OutputOptions, rates: tuple[int, ...], seconds: float, direct: bool) -> None:
    """Short requests through one gateway.

    Example: merlinstand-lab capacity lookups --rates 50,100,200,400
    """
    from merlinstand_lab.capacity.measurements.lookups import measure_lookups

    run_measurement(options, lambda folder: measure_lookups(folder, rates, seconds, direct))


@click.command()
@click.option("--sizes", type=INTEGERS, default="25,50,100,200", show_default=True)
@click.option("--seconds", default=15.0, show_default=True, help="Length of each window.")
@click.pass_obj
def engines(options: OutputOptions, sizes: tuple[int, ...], seconds: float) -> None:
    """One coordinator against the engines of its pools.

    Example: merlinstand-lab capacity engines --sizes 25,50,100,200
    """
    from merlinstand_lab.capacity.measurements.engines import EnginePlan, measure_engines

    plan = EnginePlan(engines=sizes, window_seconds=seconds)
    run_measurement(options, lambda folder: measure_engines(folder, plan))


@click.command()
@click.option("--sizes", type=INTEGERS, default="425,850,1700,3400", show_default=True)
@click.option("--seconds", default=15.0, show_default=True, help="Length of each window.")
@click.pass_obj
def servers(options: OutputOptions, sizes: tuple[int, ...], seconds: float) -> None:
    """One idle gateway against all servers of the deployment.

    Example: merlinstand-lab capacity servers --sizes 425,850,1700,3400
    """
    from merlinstand_lab.capacity.measurements.engines import EnginePlan, measure_servers

    plan = EnginePlan(servers=sizes, window_seconds=seconds)
    run_measurement(options, lambda folder: measure_servers(folder, plan))


@click.command()
@click.option("--sizes", type=INTEGERS, default="100,200,400,800", show_default=True)
@click.option("--load-seconds", default=0.5, show_default=True, help="Time of one load.")
@click.option(
    "--store-bytes-per-second", default=0.0, show_default=True, help="Ask a store of this rate."
)
@click.option("--store-transfers", default=8, show_default=True, help="Transfers at one time.")
@click.option("--parallel-loads", default=8, show_default=True, help="Loads of a pool at a time.")
@click.pass_obj
def rollouts(
    options: OutputOptions,
    sizes: tuple[int, ...],
    load_seconds: float,
    store_bytes_per_second: float,
    store_transfers: int,
    parallel_loads: int,
) -> None:
    """A new weight version on all servers, with and without a store's limit.

    Example: merlinstand-lab capacity rollouts --sizes 100,200,400,800
    """
    from merlinstand_lab.capacity.measurements.rollouts import RolloutPlan, measure_rollouts

    plan = RolloutPlan(
        servers=sizes,
        load_seconds=load_seconds,
        store_bytes_per_second=store_bytes_per_second,
        store_transfers=store_transfers,
        parallel_loads=parallel_loads,
    )
    run_measurement(options, lambda folder: measure_rollouts(folder, plan))


@click.command()
@click.option("--samples", type=INTEGERS, default="128,256,512,1024", show_default=True)
@click.option("--engines", "engine_count", default=16, show_default=True)
@click.option("--tokens-per-sample", default=256, show_default=True)
@click.option("--tokens-per-chunk", default=8, show_default=True)
@click.pass_obj
def steps(
    options: OutputOptions,
    samples: tuple[int, ...],
    engine_count: int,
    tokens_per_sample: int,
    tokens_per_chunk: int,
) -> None:
    """The samples of one trainer's step through one coordinator.

    Example: merlinstand-lab capacity steps --samples 128,256,512,1024
    """
    from merlinstand_lab.capacity.measurements.steps import StepPlan, measure_steps

    plan = StepPlan(
        samples=samples,
        engines=engine_count,
        tokens_per_sample=tokens_per_sample,
        tokens_per_chunk=tokens_per_chunk,
    )
    run_measurement(options, lambda folder: measure_steps(folder, plan))


COMMANDS = (streams, lookups, engines, servers, rollouts, steps)
