"""Each sample is delivered once under any order of requests, faults and publications."""

from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.coordinator.driver import CoordinatorDriver, make_job
from tests.coordinator.scripted_control import Control

BOUND = 2

ACTIONS = (
    "ask",
    "ask_again",
    "answer",
    "sync",
    "generate",
    "generate",
    "abort",
    "publish",
    "crash",
    "lose_disk",
    "handover",
    "late_command",
)


class Trainer:
    """A trainer that accepts only the response to its newest request."""

    def __init__(self, consumer: str) -> None:
        self.consumer = consumer
        self.last_batch = 0
        self.last_nonce = ""
        self.nonce = ""
        self.request = ""
        self.received: list[str] = []
        self.tries = 0

    def ask(self, driver: CoordinatorDriver) -> None:
        self.tries += 1
        self.nonce = f"{self.consumer}-{self.tries}"
        self.request = driver.ask(
            self.last_batch, self.nonce, consumer=self.consumer, last_nonce=self.last_nonce
        )

    def read(self, driver: CoordinatorDriver) -> dict[str, Any] | None:
        """Read the response, if there is one."""
        answer = driver.answer_to(self.request) if self.request else None
        if answer is None:
            return None
        self.request = ""
        status, body = answer
        if status != 200:
            return None
        assert (body["nonce"], body["batch"]) == (self.nonce, self.last_batch + 1)
        self.last_batch, self.last_nonce = body["batch"], body["nonce"]
        self.received.extend(sample["sample_id"] for sample in body["samples"])
        return body


class System:
    """Successive coordinators, two trainers and one control group."""

    def __init__(self) -> None:
        self.control = Control(make_job(consumers=("trainer-1", "trainer-2")))
        self.run = 0
        self.late: list[Any] = []
        self.driver = self._start([], None)
        self.trainers = [Trainer("trainer-1"), Trainer("trainer-2")]

    def _start(self, journal: list[bytes], snapshot: bytes | None) -> CoordinatorDriver:
        self.run += 1
        return CoordinatorDriver(
            control=self.control,
            run=f"coordinator/{self.run}",
            journal=journal,
            snapshot=snapshot,
            maximum_journal_records=20,
        )

    def act(self, action: str, which: int) -> None:
        driver, trainer = self.driver, self.trainers[which % 2]
        if action == "ask":
            if not trainer.request:
                trainer.ask(driver)
        elif action == "ask_again":
            trainer.ask(driver)
        elif action == "answer":
            driver.answer_control()
        elif action == "sync":
            driver.sync()
        elif action == "generate":
            driver.generate(2)
        elif action == "abort" and trainer.request:
            driver.abort(trainer.request)
            trainer.request = ""
        elif action == "publish":
            self.publish()
        elif action in ("crash", "lose_disk", "handover"):
            self.restart(keep_disk=action == "crash")
        elif action == "late_command" and self.late:
            # A command of a crashed coordinator reaches the control group late.
            self.control.answer(self.late.pop(which % len(self.late)))
        self.read()

    def publish(self) -> None:
        self.driver.publish(self.control.newest + 1)
        self.driver.serve_all(self.control.newest)

    def restart(self, *, keep_disk: bool) -> None:
        self.late.extend(waiting.content for waiting in self.driver.session.waiting)
        for trainer in self.trainers:
            trainer.request = ""
        old = self.driver
        journal, snapshot = (old.journal, old.snapshot) if keep_disk else ([], None)
        self.driver = self._start(journal, snapshot)

    def read(self) -> None:
        for trainer in self.trainers:
            body = trainer.read(self.driver)
            if body is not None:
                oldest = min(v[0] for s in body["samples"] for v in s["weight_versions"])
                assert self.control.newest - oldest <= BOUND, "over the bound at receipt"

    def finish(self) -> None:
        """Check that both trainers make progress once there are no more faults."""
        before = [trainer.last_batch for trainer in self.trainers]
        for _ in range(4):
            for trainer in self.trainers:
                trainer.ask(self.driver)
            self.driver.generate(4)
            self.driver.settle()
            self.read()
        for trainer, earlier in zip(self.trainers, before, strict=True):
            assert trainer.last_batch >= earlier + 2, "no progress after the last fault"

    def check(self) -> None:
        received = [sample for trainer in self.trainers for sample in trainer.received]
        assert len(received) == len(set(received)), "a sample was delivered twice"


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(st.tuples(st.sampled_from(ACTIONS), st.integers(0, 7)), max_size=40))
def test_every_sample_is_delivered_exactly_once(steps: list[tuple[str, int]]) -> None:
    system = System()
    for action, which in steps:
        system.act(action, which)
        system.check()
    system.finish()
    system.check()
