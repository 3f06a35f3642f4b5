"""Puts a deployment's processes into a simulation."""

from collections.abc import Callable

from merlinstand.common.constants import MAXIMUM_CLOCK_DRIFT
from merlinstand.control.daemon import ControlDaemon
from merlinstand.control.settings import ControlSettings, ControlTimings
from merlinstand.kernel.reducer import Reducer
from merlinstand.session.settings import SessionSettings
from merlinstand_lab.simulator.deployment import (
    OPERATOR_TOKEN,
    FleetPlan,
    Place,
    Places,
    lay_out,
)
from merlinstand_lab.simulator.lease_worker import LeaseWorker, LeaseWorkerSettings
from merlinstand_lab.simulator.operator_settings import OperatorSettings
from merlinstand_lab.simulator.operators import Operators
from merlinstand_lab.simulator.process_spec import ProcessSpec
from merlinstand_lab.simulator.simulation import Simulation

LARGEST_CLOCK_OFFSET_SECONDS = 100_000.0
"""Seconds; chosen, not measured: machines' monotonic clocks begin at any moment."""
PRODUCT_START_SPREAD_SECONDS = 0.5
"""Seconds within which the processes start; chosen, not measured."""


class Assembly:
    """Adds the processes of one plan to one simulation."""

    def __init__(self, simulation: Simulation, plan: FleetPlan) -> None:
        """Lay the deployment out; nothing is added yet."""
        self.simulation = simulation
        self.plan = plan
        self.places: Places = lay_out(plan)
        self._random = simulation.random_for("assembly")

    @property
    def control_nodes(self) -> tuple[str, ...]:
        """Every node that may be a control replica."""
        return tuple(place.node_id for place in self.places.controls + self.places.standbys)

    @property
    def control_http_addresses(self) -> tuple[str, ...]:
        """HTTP addresses of every control replica."""
        return tuple(place.http_address for place in self.places.controls + self.places.standbys)

    def add_product(self, place: Place, make_reducer: Callable[[], Reducer]) -> None:
        """Add one of the system's own processes, with a clock of its own."""
        self.simulation.add_process(
            ProcessSpec(
                node_id=place.node_id,
                zone=place.zone,
                http_address=place.http_address,
                internal_address=place.internal_address,
                make_reducer=make_reducer,
                clock_offset_seconds=self._random.uniform(0.0, LARGEST_CLOCK_OFFSET_SECONDS),
                clock_drift=self._random.uniform(-1.0, 1.0) * MAXIMUM_CLOCK_DRIFT,
            ),
            start_at=self._random.uniform(0.0, PRODUCT_START_SPREAD_SECONDS),
        )

    def add_outsider(
        self,
        place: Place,
        make_reducer: Callable[[], Reducer],
        keeps_disk: bool = True,
        start_at: float = 0.0,
    ) -> None:
        """Add a stand-in; all of them share one clock, so that their records compare."""
        self.simulation.add_process(
            ProcessSpec(
                node_id=place.node_id,
                zone=place.zone,
                http_address=place.http_address,
                make_reducer=make_reducer,
                keeps_disk=keeps_disk,
            ),
            start_at=start_at,
        )

    def add_control_group(self) -> None:
        """Add the founding replicas and the standbys."""
        members = tuple(place.member() for place in self.places.controls)
        standbys = tuple(place.member() for place in self.places.standbys)
        timings = ControlTimings(
            replacement_delay_seconds=self.plan.replacement_delay_seconds,
            snapshot_every_entries=self.plan.snapshot_every_entries,
        )
        for place in self.places.controls + self.places.standbys:
            settings = ControlSettings(
                node_id=place.node_id,
                zone=place.zone,
                members=members,
                standbys=standbys,
                http_address=place.http_address,
                operator_token=OPERATOR_TOKEN,
                timings=timings,
            )
            self.add_product(place, lambda settings=settings: ControlDaemon(settings))  # type: ignore[misc]

    def add_operators(self, settings: OperatorSettings) -> None:
        """Add the process that plays all operators."""
        self.add_outsider(self.places.operators, lambda: Operators(settings))

    def add_session_daemons(self) -> None:
        """Add daemons that only follow the configuration and compete for leases."""
        members = tuple(place.member() for place in self.places.controls + self.places.standbys)
        for number, place in enumerate(self.places.sessions):
            peers = tuple(peer.member() for peer in self.places.sessions if peer is not place)
            settings = LeaseWorkerSettings(
                session=SessionSettings(
                    node_id=place.node_id,
                    role="gateway",
                    zone=place.zone,
                    address=place.internal_address,
                    http_address=place.http_address,
                    members=members,
                    peers=peers,
                ),
                resource=f"job/raced-{number % 2 + 1}",
            )
            self.add_product(place, lambda settings=settings: LeaseWorker(settings))  # type: ignore[misc]
