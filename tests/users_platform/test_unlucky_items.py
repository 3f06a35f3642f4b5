"""An item under which engines crashed is at an engine again as soon as one has room.

Guards against a sound item that is sent to no engine any more after several engines crashed while
they ran it (LOST).
"""

from random import Random

import pytest

from tests.users_platform.callers import JobAccepted, JobRead
from tests.users_platform.checks import complete_steps, records, violations
from tests.users_platform.servers import Arrival, Engine
from tests.users_platform.world import RESTART_DELAY_SECONDS, SimulatedDeployment

RUN_DURATION_SECONDS = 60.0
POLL_SECONDS = 0.01
WAIT_LIMIT_SECONDS = 2.0
"""An item is at an engine again within this time, counted from the return of the engines."""
ITEM = "t0-0-1-1"


class UnluckyItem:
    """Crashes the engine that runs an item, some times, a moment after each start of a run."""

    def __init__(
        self, deployment: SimulatedDeployment, item_id: str, crashes: int, delay_seconds: float
    ) -> None:
        self.crashed_at: list[float] = []
        self._deployment = deployment
        self._item_id = item_id
        self._left = crashes
        self._delay_seconds = delay_seconds
        self._seen = 0
        deployment.at(POLL_SECONDS, self._poll)

    @property
    def runs_at(self) -> list[float]:
        """Start times of the item's runs."""
        times = self._deployment.simulation.record_times.get("runs", [])
        runs = zip(records(self._deployment, "runs"), times, strict=True)
        return [time for run, time in runs if self._is_own(run)]

    def _is_own(self, run: object) -> bool:
        return isinstance(run, Arrival) and run.request_id == self._item_id

    def _poll(self) -> None:
        deployment = self._deployment
        runs = records(deployment, "runs")
        for run in runs[self._seen :]:
            if self._is_own(run) and self._left > 0:
                self._left -= 1
                at = deployment.simulation.clock.now + self._delay_seconds
                deployment.at(at, self._crash, run.server)
        self._seen = len(runs)
        deployment.at(deployment.simulation.clock.now + POLL_SECONDS, self._poll)

    def _crash(self, server: str) -> None:
        for name in self._deployment.engines:
            process = self._deployment.process(name)
            if process.running and getattr(process.reducer, "instance", "") == server:
                now = self._deployment.simulation.clock.now
                self.crashed_at.append(now)
                self._deployment.kill(name, now, RESTART_DELAY_SECONDS)


def long_waits(item: UnluckyItem) -> list[str]:
    """Return each time for which the item was at no engine although engines had returned."""
    limit = RESTART_DELAY_SECONDS + WAIT_LIMIT_SECONDS
    found = []
    for crashed_at in item.crashed_at:
        next_run = min((at for at in item.runs_at if at > crashed_at), default=float("inf"))
        if next_run - crashed_at > limit:
            found.append(f"at no engine from {crashed_at:.2f} to {next_run:.2f}")
    return found


def listed_items(deployment: SimulatedDeployment) -> set[str]:
    reads = (r for r in records(deployment, "jobs") if isinstance(r, JobRead))
    return {result["Id"] for read in reads for result in read.results}


def accepted_items(deployment: SimulatedDeployment) -> set[str]:
    jobs = (r for r in records(deployment, "jobs") if isinstance(r, JobAccepted))
    return {item for job in jobs for item in job.items}


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("delay_seconds", [0.05, 0.4])
@pytest.mark.parametrize("crashes", [3, 7])
@pytest.mark.parametrize("keeps_id", [False, True], ids=["new ids", "same ids"])
def test_an_item_is_run_again_after_any_number_of_crashes(
    keeps_id: bool, crashes: int, delay_seconds: float, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Engine, "event_interval_seconds", 0.5)
    monkeypatch.setattr(Engine, "keeps_id", keeps_id)
    deployment = SimulatedDeployment(seed, steps=3)
    item = UnluckyItem(deployment, ITEM, crashes, delay_seconds)
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    assert len(item.crashed_at) == crashes
    assert long_waits(item) == []
    assert accepted_items(deployment) == listed_items(deployment)
    assert complete_steps(deployment) == 3
    assert violations(deployment) == []


@pytest.mark.parametrize("seed", range(3))
def test_items_of_two_trainers_outlive_crashes_and_leading_keepers(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Engine, "event_interval_seconds", 0.5)
    random = Random(seed)
    deployment = SimulatedDeployment(seed, models=("m0", "m1"), steps=3)
    items = [
        UnluckyItem(deployment, f"t{trainer}-0-1-{number}", 5, random.uniform(0.02, 0.6))
        for trainer in range(2)
        for number in range(2)
    ]

    def kill_leader() -> None:
        leader = deployment.leading_keeper()
        deployment.process(leader).kill()
        deployment.at(
            deployment.simulation.clock.now + 1.5,
            lambda: deployment.simulation.start_if_down(deployment.process(leader)),
        )

    for _ in range(3):
        deployment.at(random.uniform(7.0, 25.0), kill_leader)
    deployment.simulation.run_until(RUN_DURATION_SECONDS + 20.0)
    assert sum(len(item.crashed_at) for item in items) >= 8
    assert accepted_items(deployment) == listed_items(deployment)
    assert complete_steps(deployment) == 6
    assert violations(deployment) == []


def draw_day(seed: int, monkeypatch: pytest.MonkeyPatch) -> tuple[SimulatedDeployment, int]:
    """Draw a day with unlucky items and killed daemons; return it with its number of steps."""
    random = Random(seed)
    monkeypatch.setattr(Engine, "event_interval_seconds", random.choice([0.2, 0.5, 0.8]))
    monkeypatch.setattr(Engine, "keeps_id", random.random() < 0.5)
    models = ("m0",) if random.random() < 0.5 else ("m0", "m1")
    deployment = SimulatedDeployment(seed, models=models, steps=3)
    for _ in range(random.randint(1, 3)):
        trainer, step = random.randrange(len(models)), random.randrange(2)
        item_id = f"t{trainer}-{step}-{random.randrange(4)}-{random.randrange(3)}"
        UnluckyItem(deployment, item_id, random.randint(3, 12), random.uniform(0.02, 0.7))
    for _ in range(random.randint(0, 3)):
        daemon = random.choice([*deployment.keepers, *deployment.controls, *deployment.gateways])
        deployment.kill(daemon, random.uniform(7.0, 30.0), random.uniform(0.2, 2.0))
    return deployment, 3 * len(models)


@pytest.mark.parametrize("seed", [61000, 61001, 61002])
def test_drawn_days_with_unlucky_items_lose_none(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    deployment, steps = draw_day(seed, monkeypatch)
    deployment.simulation.run_until(100.0)
    assert accepted_items(deployment) == listed_items(deployment)
    assert complete_steps(deployment) == steps
    assert violations(deployment) == []
