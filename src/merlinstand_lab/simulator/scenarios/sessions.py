"""Scenarios of the control group with daemons that follow the configuration."""

import random

from merlinstand_lab.simulator import faults as ft
from merlinstand_lab.simulator.deployment import TATRASOFT_SIZES, VITRINA_SIZES, FleetPlan, Parts
from merlinstand_lab.simulator.plan import Plan, scenario
from merlinstand_lab.simulator.scenarios import schedules as sc
from merlinstand_lab.simulator.scenarios.control import NODES, with_writes

DAEMONS = tuple(f"daemon-{number}" for number in range(1, 7))


def sessions_plan(source: random.Random, faults: list[ft.AnyFault]) -> Plan:
    """Return a plan of a control group, six daemons and racing operators."""
    sizes = source.choice((VITRINA_SIZES, TATRASOFT_SIZES))
    fleet = FleetPlan(sizes=sizes, parts=Parts.SESSIONS)
    return with_writes(Plan(fleet=fleet, faults=tuple(faults)), interval_seconds=0.5)


@scenario("config-in-force")
def config_in_force(source: random.Random) -> Plan:
    """Changes reach every daemon through kills, freezes and cuts, and never go back."""
    nodes = (*DAEMONS, *NODES)
    faults = sc.harmless_to_data(source, nodes, source.randint(2, 6), sc.FIRST_FAULT_SECONDS, 15.0)
    return sessions_plan(source, faults)


@scenario("zone-cut")
def zone_cut(source: random.Random) -> Plan:
    """Zones are cut off from each other, and joined again."""
    plan = sessions_plan(source, [])
    zones = plan.fleet.sizes.topology.zones
    faults = tuple(
        ft.CutZone(
            at=at,
            zones=tuple(source.sample(zones, source.choice((1, 1, 2)))),
            seconds=source.uniform(1.0, 20.0),
            spare_clients=source.random() < 0.5,
        )
        for at in sc.some_times(source, source.randint(1, 2), sc.FIRST_FAULT_SECONDS, 10.0)
    )
    return with_writes(Plan(fleet=plan.fleet, faults=faults), interval_seconds=0.5)


@scenario("lease-holders")
def lease_holders(source: random.Random) -> Plan:
    """Daemons compete for leases while they and control are killed, frozen and cut off."""
    faults: list[ft.AnyFault] = []
    for at in sc.some_times(source, source.randint(2, 5), sc.FIRST_FAULT_SECONDS, 15.0):
        node = source.choice((*DAEMONS, ft.LEADER))
        fault = source.choice((sc.freeze, sc.isolate, sc.one_way, sc.kill))
        faults.append(fault(source, node, at))
    return sessions_plan(source, faults)
