"""Scenarios of the control group alone."""

import random

from merlinstand_lab.simulator import faults as ft
from merlinstand_lab.simulator.deployment import TATRASOFT_SIZES, VITRINA_SIZES, FleetPlan, Parts
from merlinstand_lab.simulator.operator_settings import RandomWrites
from merlinstand_lab.simulator.plan import Plan, scenario
from merlinstand_lab.simulator.scenarios import schedules as sc

NODES = ("control-1", "control-2", "control-3")
REPAIR_DELAY_SECONDS = 4.0
"""Seconds of silence until a voter is replaced; chosen, not measured."""
REPAIR_RECOVERY_SECONDS = 25.0
"""Seconds from the last heal, a repair included; chosen, not measured."""


def control_fleet(source: random.Random, **changes: object) -> FleetPlan:
    """Return a control group of either deployment."""
    sizes = source.choice((VITRINA_SIZES, TATRASOFT_SIZES))
    return FleetPlan(sizes=sizes, parts=Parts.CONTROL, **changes)  # type: ignore[arg-type]


def control_plan(source: random.Random, faults: list[ft.AnyFault], **changes: object) -> Plan:
    """Return a plan with racing operators up to the end of the observation."""
    fleet = changes.pop("fleet", None) or control_fleet(source)
    plan = Plan(fleet=fleet, faults=tuple(faults), **changes)  # type: ignore[arg-type]
    return with_writes(plan, interval_seconds=source.choice((0.2, 0.5, 1.0)))


def with_writes(plan: Plan, interval_seconds: float, operators: int = 2) -> Plan:
    """Add operators that race until shortly before the end."""
    writes = RandomWrites(
        operators=operators,
        interval_seconds=interval_seconds,
        stop_at=plan.duration_seconds() - 6.0,
    )
    return Plan(
        fleet=plan.fleet,
        faults=plan.faults,
        writes=writes,
        script=plan.script,
        recovery_seconds=plan.recovery_seconds,
        minimum_duration_seconds=plan.minimum_duration_seconds,
        replaced_voters=plan.replaced_voters,
    )


@scenario("leader-kill")
def leader_kill(source: random.Random) -> Plan:
    """The control leader dies between any two effects, up to three times."""
    times = sc.some_times(source, source.randint(1, 3), sc.FIRST_FAULT_SECONDS, 12.0)
    return control_plan(source, [sc.kill(source, ft.LEADER, at) for at in times])


@scenario("leader-freeze")
def leader_freeze(source: random.Random) -> Plan:
    """The control leader is frozen for long, then everything arrives at once."""
    times = sc.some_times(source, source.randint(1, 3), sc.FIRST_FAULT_SECONDS, 12.0)
    return control_plan(source, [sc.freeze(source, ft.LEADER, at) for at in times])


@scenario("silent-cut")
def silent_cut(source: random.Random) -> Plan:
    """A control replica is cut off in silence, sometimes for long."""
    times = sc.some_times(source, source.randint(1, 3), sc.FIRST_FAULT_SECONDS, 12.0)
    faults: list[ft.AnyFault] = [
        sc.isolate(source, source.choice((ft.LEADER, ft.FOLLOWER)), at, 20.0) for at in times
    ]
    return control_plan(source, faults)


@scenario("one-way-cut")
def one_way_cut(source: random.Random) -> Plan:
    """Packets of a control replica vanish in one direction only."""
    times = sc.some_times(source, source.randint(1, 4), sc.FIRST_FAULT_SECONDS, 12.0)
    faults: list[ft.AnyFault] = []
    for at in times:
        node = source.choice((ft.LEADER, ft.FOLLOWER))
        if source.random() < 0.3:
            pair = source.sample(NODES, 2)
            faults.append(
                ft.Cut(
                    at=at,
                    seconds=source.uniform(0.5, 15.0),
                    sources=(pair[0],),
                    destinations=(pair[1],),
                    both_ways=False,
                )
            )
        else:
            faults.append(sc.one_way(source, node, at, 15.0))
    return control_plan(source, faults)


@scenario("torn-tail")
def torn_tail(source: random.Random) -> Plan:
    """Replicas lose power in the middle of writes, also all of them at once."""
    faults: list[ft.AnyFault] = []
    for at in sc.some_times(source, source.randint(1, 3), sc.FIRST_FAULT_SECONDS, 10.0):
        nodes = NODES if source.random() < 0.4 else tuple(source.sample(NODES, 2))
        for node in nodes:
            faults.append(sc.slow_disk(source, node, max(0.0, at - 1.0)))
            faults.append(
                ft.Kill(
                    at=at + source.uniform(0.0, 0.02),
                    node=node,
                    after_effects=source.randrange(0, 6),
                    down_seconds=source.uniform(0.2, 3.0),
                    power_loss=True,
                )
            )
    return control_plan(source, faults)


@scenario("lost-disk")
def lost_disk(source: random.Random) -> Plan:
    """A control machine loses its whole disk and returns under a new incarnation."""
    at = sc.FIRST_FAULT_SECONDS + source.uniform(0.0, 4.0)
    loss = ft.Kill(
        at=at,
        node=source.choice((ft.LEADER, ft.FOLLOWER)),
        down_seconds=source.choice((0.5, 3.0, 15.0)),
        power_loss=True,
        lose_disk=True,
    )
    extra = sc.harmless_to_data(source, NODES, source.randint(0, 1), at, 10.0)
    return control_plan(
        source,
        [loss, *extra],
        fleet=control_fleet(source, replacement_delay_seconds=REPAIR_DELAY_SECONDS),
        recovery_seconds=REPAIR_RECOVERY_SECONDS,
        replaced_voters=True,
    )


@scenario("second-loss-after-repair")
def second_loss_after_repair(source: random.Random) -> Plan:
    """A second machine is lost right after the first was repaired, with disk and all."""
    first, second = source.sample(NODES, 2)
    at = sc.FIRST_FAULT_SECONDS + source.uniform(0.0, 3.0)
    repaired = at + REPAIR_DELAY_SECONDS + source.uniform(6.0, 10.0)
    faults: list[ft.AnyFault] = [
        ft.Kill(at=at, node=first, down_seconds=40.0, power_loss=True, lose_disk=True),
        ft.Kill(
            at=repaired,
            node=second,
            down_seconds=source.uniform(1.0, 20.0),
            power_loss=True,
            lose_disk=source.random() < 0.7,
        ),
    ]
    return control_plan(
        source,
        faults,
        fleet=control_fleet(source, replacement_delay_seconds=REPAIR_DELAY_SECONDS),
        recovery_seconds=REPAIR_RECOVERY_SECONDS,
        replaced_voters=True,
    )


@scenario("restart-behind")
def restart_behind(source: random.Random) -> Plan:
    """A replica starts again behind hundreds of changes and needs a snapshot."""
    at = sc.FIRST_FAULT_SECONDS
    faults: list[ft.AnyFault] = [
        ft.Kill(
            at=at,
            node=source.choice((ft.LEADER, ft.FOLLOWER)),
            down_seconds=source.uniform(8.0, 14.0),
            power_loss=True,
        )
    ]
    if source.random() < 0.5:
        faults.append(sc.kill(source, ft.LEADER, at + source.uniform(14.0, 18.0)))
    fleet = control_fleet(source, replacement_delay_seconds=60.0, snapshot_every_entries=40)
    plan = Plan(fleet=fleet, faults=tuple(faults))
    return with_writes(plan, interval_seconds=0.1, operators=5)


@scenario("operator-race")
def operator_race(source: random.Random) -> Plan:
    """Operators race each other with equal revisions while links are poor."""
    faults: list[ft.AnyFault] = [
        sc.degrade(source, (source.choice((*NODES, "operators")),), at)
        for at in sc.some_times(source, 2, sc.FIRST_FAULT_SECONDS, 8.0)
    ]
    faults.extend(sc.harmless_to_data(source, NODES, source.randint(0, 2), 6.0, 10.0))
    plan = Plan(fleet=control_fleet(source), faults=tuple(faults))
    return with_writes(plan, interval_seconds=0.2, operators=4)


@scenario("command-resend")
def command_resend(source: random.Random) -> Plan:
    """Answers to operators are lost, and they send the same commands again."""
    faults: list[ft.AnyFault] = [
        ft.Isolate(
            at=at,
            node="operators",
            seconds=source.uniform(0.2, 4.0),
            inward=True,
            outward=source.random() < 0.3,
        )
        for at in sc.some_times(source, source.randint(2, 4), sc.FIRST_FAULT_SECONDS, 15.0)
    ]
    faults.extend(
        sc.kill(source, ft.LEADER, at)
        for at in sc.some_times(source, source.randint(0, 2), sc.FIRST_FAULT_SECONDS, 12.0)
    )
    return control_plan(source, faults)


@scenario("kill-at-heal")
def kill_at_heal(source: random.Random) -> Plan:
    """A replica that was cut off comes back behind in the moment in which the leader dies."""
    faults: list[ft.AnyFault] = []
    at = sc.FIRST_FAULT_SECONDS + source.uniform(0.0, 2.0)
    for _ in range(source.randint(1, 3)):
        seconds = source.uniform(0.5, 3.0)
        node = source.choice(NODES)
        inward = source.random() < 0.7
        outward = not inward or source.random() < 0.5
        faults.append(ft.Isolate(at=at, node=node, seconds=seconds, inward=inward, outward=outward))
        kill = sc.kill(source, ft.LEADER, at + seconds + source.uniform(-0.3, 0.1))
        faults.append(kill)
        at = kill.healed_at() + source.uniform(0.0, 2.0)
    return control_plan(source, faults)


@scenario("control-chaos")
def control_chaos(source: random.Random) -> Plan:
    """Any faults of the control group, together and twice, also while it is founded."""
    start = source.choice((0.5, 2.0, sc.FIRST_FAULT_SECONDS))
    faults = sc.harmless_to_data(source, NODES, source.randint(3, 8), start, 15.0)
    return control_plan(source, faults, fleet=control_fleet(source, replacement_delay_seconds=60.0))
