"""Price and gain of the configuration lease, by simulation on a virtual clock.

Usage: python benchmarks/configuration_lease.py [SEEDS]

For each duration of the lease and each kind of trouble it prints the share of lookups that
ended in an answer, and how long a back end that was drained outside a cut-off zone still
got new work from the gateway inside.
"""

import sys
from collections.abc import Callable, Iterator

import msgspec

from merlinstand_lab.records.kinds import CallerOutcome, CallerRecord, OperatorRecord, StartRecord
from merlinstand_lab.simulator import faults as ft
from merlinstand_lab.simulator.deployment import TATRASOFT_SIZES, FleetPlan, Parts, lay_out
from merlinstand_lab.simulator.runner import Run
from merlinstand_lab.simulator.scenario import Plan
from merlinstand_lab.simulator.whole_fleet import drain_script

LEASES_SECONDS = (2.0, 3.0, 4.0, 4.5, 5.0, 6.0, 10.0, 20.0)
TROUBLE_AT = 12.0
DRAIN_AFTER_SECONDS = 0.0
TROUBLE_SECONDS = 20.0
CUT_ZONE = 1
"""Zone of `gateway-2` and `book-app-2`; the majority of control stays outside."""
GATEWAY = "gateway-2"
BACKEND = "book-app-2"
LOOKUPS_PER_SECOND = 20.0


class Figures(msgspec.Struct):
    """Sums over the seeds of one row."""

    answered: int = 0
    lookups: int = 0
    answered_at_gateway: int = 0
    lookups_at_gateway: int = 0
    longest_stale_seconds: float = 0.0


def zone_cut(leases_seconds: float, trouble_seconds: float) -> Plan:
    """Cut one zone off from the others, but not from callers, and drain a server in it."""
    zone = TATRASOFT_SIZES.topology.zones[CUT_ZONE]
    cut = ft.CutZone(at=TROUBLE_AT, zones=(zone,), seconds=trouble_seconds, spare_clients=True)
    return plan(leases_seconds, cut)


def leader_freeze(leases_seconds: float, trouble_seconds: float) -> Plan:
    """Freeze the control leader: nobody gets a proof until another one leads."""
    freeze = ft.Freeze(at=TROUBLE_AT, node=ft.LEADER, seconds=trouble_seconds)
    return plan(leases_seconds, freeze)


def plan(lease_seconds: float, fault: ft.AnyFault) -> Plan:
    """Return a whole deployment with one fault and one drain."""
    fleet = FleetPlan(
        sizes=TATRASOFT_SIZES,
        parts=Parts.WHOLE,
        lookups_per_second=LOOKUPS_PER_SECOND,
        completions_per_second=0.0,
        replacement_delay_seconds=60.0,
        configuration_lease_seconds=lease_seconds,
    )
    drain_at = TROUBLE_AT + DRAIN_AFTER_SECONDS
    return Plan(
        fleet=fleet,
        faults=(fault,),
        script=drain_script(BACKEND, drain_at, fault.healed_at() - drain_at),
        recovery_seconds=1.0,
    )


def records(run: Run, stream: str) -> Iterator[object]:
    """Return the records of one kind of outsider."""
    for name, found in run.simulation.records.items():
        if name.split("-", 1)[0] == stream:
            yield from found


def measure(made: Plan, seed: int, figures: Figures) -> None:
    """Run one seed and add what its outsiders saw."""
    run = Run(made, seed)
    run.simulation.run_until(made.duration_seconds())
    healed_at = made.healed_at()
    address = {place.node_id: place.http_address for place in lay_out(made.fleet).gateways}[GATEWAY]
    for record in records(run, "callers"):
        assert isinstance(record, CallerRecord)
        if record.kind != "lookup" or not TROUBLE_AT <= record.sent_at < healed_at:
            continue
        answered = record.outcome is CallerOutcome.ANSWER
        figures.lookups += 1
        figures.answered += answered
        if record.gateway == address:
            figures.lookups_at_gateway += 1
            figures.answered_at_gateway += answered
    add_staleness(run, healed_at, figures)


def add_staleness(run: Run, healed_at: float, figures: Figures) -> None:
    """Note how long the drained server still got new work."""
    drained_at = min(
        (
            record.ended_at
            for record in records(run, "operators")
            if isinstance(record, OperatorRecord)
            and record.command.get("key") == f"drain/{BACKEND}"
            and record.command.get("command") == "put_object"
            and record.ended_at is not None
        ),
        default=None,
    )
    if drained_at is None:
        return
    for record in records(run, "started"):
        if (
            isinstance(record, StartRecord)
            and record.backend_id == BACKEND
            and drained_at < record.started_at < healed_at
        ):
            stale = record.started_at - drained_at
            figures.longest_stale_seconds = max(figures.longest_stale_seconds, stale)


def share(part: int, whole: int) -> str:
    """Return a share in percent."""
    return f"{100.0 * part / whole:.1f} %" if whole else "-"


def show(title: str, make_plan: Callable[[float, float], Plan], seconds: float, seeds: int) -> None:
    """Print one table."""
    print(f"\n{title}, {seconds:g} s, {seeds} seeds")
    print("| lease, s | lookups answered | at the cut-off gateway | drained server worked, s |")
    print("|---|---|---|---|")
    for lease_seconds in LEASES_SECONDS:
        figures = Figures()
        for seed in range(1, seeds + 1):
            measure(make_plan(lease_seconds, seconds), seed, figures)
        print(
            f"| {lease_seconds:g} | {share(figures.answered, figures.lookups)} of {figures.lookups}"
            f" | {share(figures.answered_at_gateway, figures.lookups_at_gateway)}"
            f" of {figures.lookups_at_gateway} | {figures.longest_stale_seconds:.1f} |",
            flush=True,
        )


def main() -> None:
    """Print all tables."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    show("zone cut", zone_cut, 5.0, seeds)
    show("zone cut", zone_cut, TROUBLE_SECONDS, seeds)
    show("leader frozen", leader_freeze, TROUBLE_SECONDS, seeds)


if __name__ == "__main__":
    main()
