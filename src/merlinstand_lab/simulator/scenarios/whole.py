"""Scenarios of whole deployments, with stand-ins for everything outside."""

import random

from merlinstand_lab.simulator import faults as ft
from merlinstand_lab.simulator.deployment import (
    TATRASOFT_SIZES,
    VITRINA_SIZES,
    FleetPlan,
    Parts,
    Sizes,
    lay_out,
)
from merlinstand_lab.simulator.operator_settings import ScriptedCommand
from merlinstand_lab.simulator.plan import WHOLE_RECOVERY_SECONDS, Plan, scenario
from merlinstand_lab.simulator.scenarios import schedules as sc
from merlinstand_lab.simulator.scenarios.control import NODES, with_writes
from merlinstand_lab.simulator.whole_fleet import drain_script

GATEWAYS = ("gateway-1", "gateway-2", "gateway-3")
COORDINATORS = ("coordinator-1", "coordinator-2")
FIRST_FAULT_SECONDS = 10.0
"""Seconds of virtual time; chosen, not measured."""
SAMPLES_PER_PROMPT = (1, 2, 4)
"""Divisors of the batch size: a prompt's samples stay together."""
FAULT_SPREAD_SECONDS = 15.0
"""Seconds within which faults strike; chosen, not measured."""


def either(source: random.Random) -> Sizes:
    """Choose one of the two deployments of the brief."""
    return source.choice((VITRINA_SIZES, TATRASOFT_SIZES))


def whole_plan(
    source: random.Random,
    sizes: Sizes,
    faults: list[ft.AnyFault],
    script: tuple[ScriptedCommand, ...] = (),
    **changes: object,
) -> Plan:
    """Return a plan of a whole deployment with a few racing operators."""
    fleet = FleetPlan(
        sizes=sizes,
        parts=Parts.WHOLE,
        standbys=1,
        samples_per_prompt=source.choice(SAMPLES_PER_PROMPT),
        **changes,  # type: ignore[arg-type]
    )
    plan = Plan(
        fleet=fleet,
        faults=tuple(faults),
        script=script,
        recovery_seconds=WHOLE_RECOVERY_SECONDS,
        minimum_duration_seconds=60.0,
    )
    return with_writes(plan, interval_seconds=4.0)


def times(source: random.Random, least: int, most: int) -> list[float]:
    """Return random times at which faults strike."""
    count = source.randint(least, most)
    return sc.some_times(source, count, FIRST_FAULT_SECONDS, FAULT_SPREAD_SECONDS)


def engines(sizes: Sizes) -> tuple[str, ...]:
    """Return the names of a deployment's engines."""
    return tuple(f"{sizes.engine_pool}-{number + 1}" for number in range(sizes.engines))


def services(sizes: Sizes) -> tuple[str, ...]:
    """Return the names of a deployment's service servers."""
    return tuple(f"{sizes.service_pool}-{number + 1}" for number in range(sizes.services))


@scenario("calm")
def calm(source: random.Random) -> Plan:
    """Nothing fails."""
    return whole_plan(source, either(source), [])


@scenario("gateway-kill-during-booking")
def gateway_kill_during_booking(source: random.Random) -> Plan:
    """Gateways die in the middle of bookings that must run at most once."""
    faults: list[ft.AnyFault] = [
        sc.kill(source, source.choice(GATEWAYS), at) for at in times(source, 2, 5)
    ]
    return whole_plan(source, TATRASOFT_SIZES, faults, bookings_per_second=6.0)


@scenario("control-failover-during-claim")
def control_failover_during_claim(source: random.Random) -> Plan:
    """The control leader dies, freezes or is cut off while bookings are claimed."""
    faults: list[ft.AnyFault] = []
    for at in times(source, 1, 4):
        fault = source.choice((sc.kill, sc.freeze, sc.isolate, sc.one_way))
        faults.append(fault(source, ft.LEADER, at))
    return whole_plan(source, TATRASOFT_SIZES, faults, bookings_per_second=6.0)


@scenario("coordinator-kill")
def coordinator_kill(source: random.Random) -> Plan:
    """Coordinators die in the middle of a step, also both."""
    faults: list[ft.AnyFault] = [
        sc.kill(source, source.choice(COORDINATORS), at) for at in times(source, 1, 4)
    ]
    return whole_plan(source, either(source), faults)


@scenario("coordinator-freeze")
def coordinator_freeze(source: random.Random) -> Plan:
    """A coordinator is frozen, loses its leases meanwhile and wakes up."""
    faults: list[ft.AnyFault] = []
    for at in times(source, 1, 3):
        node = source.choice(COORDINATORS)
        fault = source.choice((sc.freeze, sc.freeze, sc.isolate, sc.one_way))
        faults.append(fault(source, node, at, 20.0))
    return whole_plan(source, either(source), faults)


@scenario("trainer-resend")
def trainer_resend(source: random.Random) -> Plan:
    """Answers to the trainer are lost or late, and it asks again."""
    faults: list[ft.AnyFault] = []
    for at in times(source, 2, 5):
        kind = source.randrange(3)
        if kind == 0:
            pair = (source.choice(COORDINATORS),), ("trainer-1",)
            faults.append(
                ft.Cut(
                    at=at,
                    seconds=source.uniform(0.5, 12.0),
                    sources=pair[0],
                    destinations=pair[1],
                    both_ways=False,
                )
            )
        elif kind == 1:
            faults.append(sc.isolate(source, "trainer-1", at))
        else:
            faults.append(sc.freeze(source, source.choice(COORDINATORS), at, 5.0))
    return whole_plan(source, either(source), faults)


@scenario("swap-fails-partway")
def swap_fails_partway(source: random.Random) -> Plan:
    """Weight swaps fail partway on some engines."""
    sizes = either(source)
    faults: list[ft.AnyFault] = [
        ft.LabFaultOrder(at=at, node=source.choice(engines(sizes)), kind="swap_failure")
        for at in times(source, 1, 4)
    ]
    return whole_plan(source, sizes, faults)


@scenario("engine-crash-mid-stream")
def engine_crash_mid_stream(source: random.Random) -> Plan:
    """Engines crash, freeze or are cut off in the middle of streams."""
    sizes = either(source)
    faults: list[ft.AnyFault] = []
    for at in times(source, 1, 4):
        fault = source.choice((sc.kill, sc.kill, sc.freeze, sc.isolate, sc.one_way))
        faults.append(fault(source, source.choice(engines(sizes)), at))
    return whole_plan(source, sizes, faults)


@scenario("service-crash")
def service_crash(source: random.Random) -> Plan:
    """Service servers crash, freeze or are cut off in the middle of bookings."""
    faults: list[ft.AnyFault] = []
    for at in times(source, 3, 6):
        fault = source.choice((sc.kill, sc.kill, sc.freeze, sc.isolate, sc.one_way))
        faults.append(fault(source, source.choice(services(TATRASOFT_SIZES)), at, 4.0))
    return whole_plan(source, TATRASOFT_SIZES, faults, bookings_per_second=10.0)


@scenario("planned-stop")
def planned_stop(source: random.Random) -> Plan:
    """Daemons are stopped by plan, under load; nothing in flight is cut off."""
    first = source.choice(GATEWAYS)
    others = [node for node in (*GATEWAYS, *COORDINATORS, *NODES) if node != first]
    nodes = [first, *source.sample(others, source.randint(0, 2))]
    faults: list[ft.AnyFault] = [
        ft.PlannedStop(at=FIRST_FAULT_SECONDS + 6.0 * number + source.random(), node=node)
        for number, node in enumerate(nodes)
    ]
    return whole_plan(
        source, either(source), faults, completions_per_second=6.0, bookings_per_second=6.0
    )


@scenario("drain")
def drain(source: random.Random) -> Plan:
    """Operators drain and undrain back ends; the platform's lagging list marks others."""
    sizes = either(source)
    places = lay_out(FleetPlan(sizes=sizes))
    script: tuple[ScriptedCommand, ...] = ()
    start = FIRST_FAULT_SECONDS
    for backend in source.sample((*engines(sizes), *services(sizes)), 2):
        script += drain_script(backend, start, source.uniform(4.0, 8.0))
        start += 10.0
    leaving = source.choice(places.engines + places.services)
    faults: list[ft.AnyFault] = [
        ft.MachineLeaving(
            at=FIRST_FAULT_SECONDS + source.uniform(0.0, 10.0),
            address=leaving.http_address,
            seconds=source.uniform(5.0, 10.0),
        )
    ]
    return whole_plan(source, sizes, faults, script)


@scenario("late-answers")
def late_answers(source: random.Random) -> Plan:
    """Answers of back ends come late, out of order, or after the caller gave up."""
    sizes = either(source)
    nodes = (*GATEWAYS, *services(sizes), *engines(sizes))
    faults: list[ft.AnyFault] = []
    for at in times(source, 2, 5):
        node = source.choice(nodes)
        kind = source.randrange(3)
        if kind == 0:
            faults.append(sc.degrade(source, (node,), at))
        elif kind == 1:
            faults.append(sc.one_way(source, node, at, 6.0))
        else:
            faults.append(sc.freeze(source, node, at, 6.0))
    return whole_plan(source, sizes, faults)


@scenario("whole-zone-cut")
def whole_zone_cut(source: random.Random) -> Plan:
    """A zone with everything in it is cut off in silence."""
    sizes = either(source)
    faults: list[ft.AnyFault] = [
        ft.CutZone(
            at=at,
            zones=(source.choice(sizes.topology.zones),),
            seconds=source.uniform(2.0, 15.0),
            spare_clients=source.random() < 0.5,
        )
        for at in times(source, 1, 2)
    ]
    return whole_plan(source, sizes, faults)


@scenario("everything-at-once")
def everything_at_once(source: random.Random) -> Plan:
    """Faults of every kind on every part, together and twice."""
    sizes = either(source)
    nodes = (*GATEWAYS, *COORDINATORS, *NODES, ft.LEADER, *engines(sizes), *services(sizes))
    faults = sc.harmless_to_data(
        source, nodes, source.randint(5, 10), FIRST_FAULT_SECONDS, FAULT_SPREAD_SECONDS
    )
    if source.random() < 0.5:
        faults.append(
            ft.LabFaultOrder(
                at=FIRST_FAULT_SECONDS + source.uniform(0.0, FAULT_SPREAD_SECONDS),
                node=source.choice(engines(sizes)),
                kind="swap_failure",
            )
        )
    return whole_plan(source, sizes, faults)
