"""Scenarios of whole deployments in which faults and operators' work coincide."""

import random

from merlinstand_lab.simulator import faults as ft
from merlinstand_lab.simulator.deployment import FleetPlan, Sizes, lay_out
from merlinstand_lab.simulator.operator_settings import ScriptedCommand
from merlinstand_lab.simulator.plan import Plan, scenario
from merlinstand_lab.simulator.scenarios import schedules as sc
from merlinstand_lab.simulator.scenarios.control import NODES
from merlinstand_lab.simulator.scenarios.whole import (
    COORDINATORS,
    FAULT_SPREAD_SECONDS,
    FIRST_FAULT_SECONDS,
    GATEWAYS,
    either,
    engines,
    services,
    times,
    whole_plan,
)
from merlinstand_lab.simulator.whole_fleet import drain_script, pause_script

TRAINERS = ("trainer-1", "trainer-2")
LEAST_LEAVING_SECONDS = 8.0
"""Longer than the few seconds within which a leaving back end gets no more work."""
MOST_LEAVING_SECONDS = 14.0
"""Seconds; chosen, not measured."""
LOOKUPS_PER_SECOND_AT_CUT = 20.0
"""Lookups a second; chosen, not measured."""
REPAIR_SECONDS = 10.0
"""A control machine that was silent for this long is replaced from the standbys."""


def cut_zone(source: random.Random, sizes: Sizes, at: float, longest: float = 15.0) -> ft.CutZone:
    """Return a silent cut of one zone, with or without its clients."""
    return ft.CutZone(
        at=at,
        zones=(source.choice(sizes.topology.zones),),
        seconds=source.uniform(2.0, longest),
        spare_clients=source.random() < 0.5,
    )


def leaving_backends(
    source: random.Random, sizes: Sizes
) -> tuple[tuple[ScriptedCommand, ...], ft.MachineLeaving]:
    """Return a drain, a pause of the job, and a machine that the platform's list marks."""
    plan = FleetPlan(sizes=sizes)
    places = lay_out(plan)
    drained, leaving = source.sample(places.engines + places.services, 2)
    at = FIRST_FAULT_SECONDS + source.uniform(0.0, 4.0)
    seconds = source.uniform(LEAST_LEAVING_SECONDS, MOST_LEAVING_SECONDS)
    script = drain_script(drained.node_id, at, seconds)
    script += pause_script(plan, places, at + seconds, source.uniform(9.0, 12.0))
    machine = ft.MachineLeaving(
        at=FIRST_FAULT_SECONDS + source.uniform(0.0, FAULT_SPREAD_SECONDS),
        address=leaving.http_address,
        seconds=source.uniform(LEAST_LEAVING_SECONDS, MOST_LEAVING_SECONDS),
    )
    return script, machine


@scenario("leave-under-faults")
def leave_under_faults(source: random.Random) -> Plan:
    """Back ends leave and a job is paused while daemons are cut off, frozen and killed."""
    sizes = either(source)
    script, machine = leaving_backends(source, sizes)
    faults: list[ft.AnyFault] = [machine]
    for at in times(source, 1, 4):
        if source.random() < 0.3:
            faults.append(cut_zone(source, sizes, at))
            continue
        fault = source.choice((sc.kill, sc.freeze, sc.isolate, sc.one_way))
        faults.append(fault(source, source.choice((*GATEWAYS, *COORDINATORS, ft.LEADER)), at))
    return whole_plan(source, sizes, faults, script, completions_per_second=1.0)


@scenario("drain-at-cut")
def drain_at_cut(source: random.Random) -> Plan:
    """A server is drained in the moment in which its zone is cut off from control."""
    sizes = either(source)
    zone = source.choice(sizes.topology.zones)
    servers = [place for place in lay_out(FleetPlan(sizes=sizes)).services if place.zone == zone]
    at = FIRST_FAULT_SECONDS + source.uniform(0.0, 5.0)
    seconds = source.uniform(LEAST_LEAVING_SECONDS, MOST_LEAVING_SECONDS)
    cut = ft.CutZone(at=at, zones=(zone,), seconds=seconds, spare_clients=True)
    drained_at = at + source.uniform(-0.2, 0.4)
    script = drain_script(source.choice(servers).node_id, drained_at, seconds)
    return whole_plan(source, sizes, [cut], script, lookups_per_second=LOOKUPS_PER_SECOND_AT_CUT)


@scenario("version-race")
def version_race(source: random.Random) -> Plan:
    """Two trainers of one job publish equal version numbers, and answers to them are late."""
    faults: list[ft.AnyFault] = []
    for at in times(source, 1, 4):
        trainer = source.choice(TRAINERS)
        kind = source.randrange(4)
        if kind == 0:
            faults.append(sc.kill(source, ft.LEADER, at))
        elif kind == 1:
            faults.append(sc.isolate(source, trainer, at, 6.0))
        else:
            faults.append(late_batches(source, trainer, at))
    return whole_plan(
        source, either(source), faults, trainers=len(TRAINERS), publishers=len(TRAINERS)
    )


def late_batches(source: random.Random, trainer: str, at: float) -> ft.Cut:
    """Return a silent cut from one coordinator to one trainer: answers come when it heals."""
    return ft.Cut(
        at=at,
        seconds=source.uniform(0.5, 8.0),
        sources=(source.choice(COORDINATORS),),
        destinations=(trainer,),
        both_ways=False,
    )


@scenario("fleet-chaos")
def fleet_chaos(source: random.Random) -> Plan:
    """Every fault of the brief on a whole deployment, with lost disks, drains and stops."""
    sizes = either(source)
    script, machine = leaving_backends(source, sizes)
    nodes = (*GATEWAYS, *COORDINATORS, *engines(sizes), *services(sizes), "trainer-1", "scorer")
    faults: list[ft.AnyFault] = [machine]
    count = source.randint(3, 7)
    faults += sc.harmless_to_data(source, nodes, count, FIRST_FAULT_SECONDS, FAULT_SPREAD_SECONDS)
    cuts = [cut_zone(source, sizes, at, 10.0) for at in times(source, 0, 2)]
    faults += cuts
    faults += lost_machines(source, may_lose_two_disks=not cuts)
    faults.append(
        ft.LabFaultOrder(
            at=FIRST_FAULT_SECONDS + source.uniform(0.0, FAULT_SPREAD_SECONDS),
            node=source.choice(engines(sizes)),
            kind="swap_failure",
        )
    )
    stopped = source.choice((*GATEWAYS, *COORDINATORS))
    faults.append(ft.PlannedStop(at=FIRST_FAULT_SECONDS + source.uniform(0.0, 25.0), node=stopped))
    return whole_plan(source, sizes, faults, script, replacement_delay_seconds=REPAIR_SECONDS)


def lost_machines(source: random.Random, may_lose_two_disks: bool) -> list[ft.AnyFault]:
    """Return a control machine's loss, its repair, and sometimes a second loss after it.

    Args:
        source: Chooses machines and times.
        may_lose_two_disks: The first is sure to be replaced in time. A zone's cut can delay that,
            and two of three disks lost before any repair are beyond what three replicas survive.
    """
    first, second = source.sample(NODES, 2)
    at = FIRST_FAULT_SECONDS + source.uniform(0.0, FAULT_SPREAD_SECONDS)
    lost = ft.Kill(at=at, node=first, down_seconds=40.0, power_loss=True, lose_disk=True)
    if source.random() < 0.5:
        return [lost]
    again = ft.Kill(
        at=at + REPAIR_SECONDS + source.uniform(6.0, 10.0),
        node=second,
        down_seconds=source.uniform(1.0, 20.0),
        power_loss=True,
        lose_disk=source.random() < 0.7 and may_lose_two_disks,
    )
    return [lost, again]
