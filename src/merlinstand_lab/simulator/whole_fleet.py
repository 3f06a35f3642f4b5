"""The other roles and every stand-in of a whole deployment."""

from collections.abc import Mapping

from merlinstand.coordinator.daemon import CoordinatorDaemon
from merlinstand.coordinator.settings import CoordinatorSettings
from merlinstand.gateway.daemon import GatewayDaemon
from merlinstand.gateway.settings import GatewaySettings
from merlinstand_lab.simulator.assembly import Assembly
from merlinstand_lab.simulator.deployment import OPERATOR_TOKEN, FleetPlan, Place, Places, Scheduler
from merlinstand_lab.simulator.operator_settings import ScriptedCommand
from merlinstand_lab.standins import settings as st
from merlinstand_lab.standins.callers import Callers
from merlinstand_lab.standins.engine import EngineServer
from merlinstand_lab.standins.machine_list import MachineList
from merlinstand_lab.standins.scorer import Scorer
from merlinstand_lab.standins.scripts import Scripts
from merlinstand_lab.standins.service import ServiceServer
from merlinstand_lab.standins.trainer import Trainer
from merlinstand_lab.standins.weight_store import WeightStore

JOB = "simulated-job"
PROMPTS = 64
"""Prompts of the simulated job; chosen, not measured."""
ENGINE_PROFILE = st.EngineProfile(chunk_interval_seconds=1.0)
"""Coarser chunks than in real runs: fewer events, the same decisions."""
CALLERS_START_SECONDS = 4.0
"""Callers begin when the pools have been configured."""


def add_whole_fleet(assembly: Assembly) -> None:
    """Add gateways, coordinators and stand-ins."""
    _add_gateways(assembly)
    scheduler = assembly.plan.scheduler
    if scheduler is Scheduler.SCRIPTS:
        _add_scripts(assembly, assembly.places.coordinators[0])
    else:
        _add_coordinators(assembly)
    if scheduler is Scheduler.BOTH:
        _add_scripts(assembly, assembly.places.scripts, sample_prefix="scripts/")
    _add_back_ends(assembly)
    _add_platform(assembly)
    _add_users(assembly)


def _add_gateways(assembly: Assembly) -> None:
    places = assembly.places
    members = tuple(place.member() for place in places.controls + places.standbys)
    for place in places.gateways:
        settings = GatewaySettings(
            node_id=place.node_id,
            zone=place.zone,
            address=place.internal_address,
            http_address=place.http_address,
            control_members=members,
            peers=tuple(peer.member() for peer in places.gateways if peer is not place),
            machine_list_address=places.machine_list.http_address,
        )
        assembly.add_product(place, lambda settings=settings: GatewayDaemon(settings))  # type: ignore[misc]


def _add_coordinators(assembly: Assembly) -> None:
    places = assembly.places
    members = tuple(place.member() for place in places.controls + places.standbys)
    for place in places.coordinators:
        settings = CoordinatorSettings(
            node_id=place.node_id,
            zone=place.zone,
            address=place.internal_address,
            http_address=place.http_address,
            control_members=members,
            machine_list_address=places.machine_list.http_address,
        )
        assembly.add_product(place, lambda settings=settings: CoordinatorDaemon(settings))  # type: ignore[misc]


def _add_scripts(assembly: Assembly, place: Place, sample_prefix: str = "") -> None:
    """Add the baseline's scripts, in place of the coordinators or beside them."""
    places, plan = assembly.places, assembly.plan
    settings = st.ScriptsSettings(
        node_id=place.node_id,
        address=place.http_address,
        job=JOB,
        model=plan.sizes.engine_pool,
        engines=tuple(engine.http_address for engine in places.engines),
        weight_store=places.weight_store.http_address,
        batch_size=plan.batch_size,
        prompts=prompts(),
        maximum_tokens=plan.maximum_tokens,
        sample_prefix=sample_prefix,
    )
    assembly.add_outsider(place, lambda: Scripts(settings))


def prompts() -> tuple[str, ...]:
    """Return the prompts of the simulated job."""
    return tuple(f"Describe article {number}." for number in range(PROMPTS))


def _add_back_ends(assembly: Assembly) -> None:
    sizes = assembly.plan.sizes
    for place in assembly.places.engines:
        engine = st.EngineSettings(
            node_id=place.node_id,
            address=place.http_address,
            zone=place.zone,
            model=sizes.engine_pool,
            profile=ENGINE_PROFILE,
        )
        assembly.add_outsider(place, lambda engine=engine: EngineServer(engine), keeps_disk=False)  # type: ignore[misc]
    for place in assembly.places.services:
        service = st.ServiceSettings(
            node_id=place.node_id,
            address=place.http_address,
            zone=place.zone,
            service=sizes.service_pool,
        )
        assembly.add_outsider(
            place,
            lambda service=service: ServiceServer(service),  # type: ignore[misc]
            keeps_disk=False,
        )


def _add_platform(assembly: Assembly) -> None:
    places = assembly.places
    store = st.WeightStoreSettings(
        node_id=places.weight_store.node_id, address=places.weight_store.http_address
    )
    assembly.add_outsider(places.weight_store, lambda: WeightStore(store))
    scorer = st.ScorerSettings(node_id=places.scorer.node_id, address=places.scorer.http_address)
    assembly.add_outsider(places.scorer, lambda: Scorer(scorer))
    machines = st.MachineListSettings(
        node_id=places.machine_list.node_id,
        address=places.machine_list.http_address,
        machines=tuple(
            st.MachineEntry(address=place.http_address)
            for place in places.engines + places.services
        ),
    )
    assembly.add_outsider(places.machine_list, lambda: MachineList(machines))


def _add_users(assembly: Assembly) -> None:
    places, plan = assembly.places, assembly.plan
    for place in places.trainers:
        trainer = st.TrainerSettings(
            node_id=place.node_id,
            address=place.http_address,
            zone=place.zone,
            consumer=place.node_id,
            job=JOB,
            model=plan.sizes.engine_pool,
            coordinators=tuple(peer.http_address for peer in places.coordinators),
            controls=assembly.control_http_addresses,
            weight_store=places.weight_store.http_address,
            scripts=places.scripts.http_address if plan.scheduler is Scheduler.BOTH else "",
            operator_token=OPERATOR_TOKEN,
            publishes=place in places.trainers[: plan.publishers],
        )
        assembly.add_outsider(place, lambda trainer=trainer: Trainer(trainer))  # type: ignore[misc]
    callers = st.CallersSettings(
        node_id=places.callers.node_id,
        address=places.callers.http_address,
        gateways=tuple(place.http_address for place in places.gateways),
        service=plan.sizes.service_pool,
        model=plan.sizes.engine_pool,
        lookups_per_second=plan.lookups_per_second,
        bookings_per_second=plan.bookings_per_second,
        completions_per_second=plan.completions_per_second,
        booking_repeatable=not plan.sizes.bookings,
    )
    assembly.add_outsider(places.callers, lambda: Callers(callers), start_at=CALLERS_START_SECONDS)


def _put(key: str, value: Mapping[str, object], at: float) -> ScriptedCommand:
    command = {"command": "put_object", "key": key, "object": value, "expected_revision": None}
    return ScriptedCommand(at=at, command=command)


def _backends(places: tuple[Place, ...]) -> list[dict[str, object]]:
    return [
        {"backend_id": place.node_id, "address": place.http_address, "zone": place.zone}
        for place in places
    ]


def configuration_script(plan: FleetPlan, places: Places, at: float) -> tuple[ScriptedCommand, ...]:
    """Return the commands that configure pools and the job."""
    sizes = plan.sizes
    engine_pool = {
        "name": sizes.engine_pool,
        "kind": "engine",
        "model": sizes.engine_pool,
        "backends": _backends(places.engines),
    }
    service_pool = {
        "name": sizes.service_pool,
        "kind": "service",
        "backends": _backends(places.services),
        "not_repeatable_paths": ["/"] if sizes.bookings else [],
        "request_timeout_seconds": 2.0,
    }
    return (
        _put(f"pool/{sizes.engine_pool}", engine_pool, at),
        _put(f"pool/{sizes.service_pool}", service_pool, at),
        _put(f"job/{JOB}", _job_object(plan, places, "running"), at),
    )


def _job_object(plan: FleetPlan, places: Places, phase: str) -> dict[str, object]:
    return {
        "name": JOB,
        "model": plan.sizes.engine_pool,
        "pool": plan.sizes.engine_pool,
        "consumers": [place.node_id for place in places.trainers],
        "batch_size": plan.batch_size,
        "samples_per_prompt": plan.samples_per_prompt,
        "prompts": list(prompts()),
        "maximum_tokens": plan.maximum_tokens,
        "scorer": places.scorer.http_address,
        "policy": {"maximum_staleness_versions": plan.maximum_staleness_versions},
        "phase": phase,
    }


def drain_script(backend_id: str, at: float, seconds: float) -> tuple[ScriptedCommand, ...]:
    """Return the commands that drain one back end for a while."""
    drain = _put(f"drain/{backend_id}", {"backend_id": backend_id, "reason": "simulated"}, at)
    undrain = {"command": "delete_object", "key": f"drain/{backend_id}", "expected_revision": None}
    return (drain, ScriptedCommand(at=at + seconds, command=undrain))


def pause_script(
    plan: FleetPlan, places: Places, at: float, seconds: float
) -> tuple[ScriptedCommand, ...]:
    """Return the commands that pause the job for a while."""
    return (
        _put(f"job/{JOB}", _job_object(plan, places, "paused"), at),
        _put(f"job/{JOB}", _job_object(plan, places, "running"), at + seconds),
    )
