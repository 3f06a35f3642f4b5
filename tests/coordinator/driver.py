"""Test driver of a coordinator: its events, clock, disk, control group and trainers."""

import json
from collections.abc import Sequence
from types import MappingProxyType
from typing import Any

from merlinstand.common.ids import NodeId, RequestId
from merlinstand.configuration.objects import (
    Backend,
    Drain,
    Job,
    Pool,
    PoolKind,
    Weights,
    WeightVersion,
)
from merlinstand.control.queries import LedgerQuery
from merlinstand.coordinator.daemon import TICK_TIMER, CoordinatorDaemon
from merlinstand.coordinator.settings import CoordinatorSettings
from merlinstand.kernel.effects import (
    AppendRecords,
    CancelCall,
    Effect,
    Respond,
    SaveSnapshot,
    StartCall,
    StopProcess,
)
from merlinstand.kernel.events import (
    Event,
    MessageReceived,
    RecordsSynced,
    RequestAborted,
    RequestReceived,
    SnapshotSaved,
    Started,
    StopRequested,
    TimerFired,
)
from merlinstand.session.control_session import SessionStep
from merlinstand.session.lease_keeper import HeldLease
from merlinstand.session.notices import (
    CommandFinished,
    ConfigurationChanged,
    LeaseGained,
    LeaseLost,
    Notice,
    QueryFinished,
)
from merlinstand.session.view import ConfigurationView
from tests.coordinator.engine_side import EngineSide
from tests.coordinator.names import JOB, MODEL, POOL
from tests.coordinator.scripted_control import Control, ScriptedSession, Waiting


def engine_pool(count: int = 2) -> Pool:
    """Return a pool of engines in one zone."""
    backends = tuple(
        Backend(f"engine-{number}", f"10.0.1.{number}:80", "hall-a") for number in range(count)
    )
    return Pool(name=POOL, kind=PoolKind.ENGINE, model=MODEL, backends=backends)


def make_job(**changes: Any) -> Job:
    """Return a job with small batches."""
    fields: dict[str, Any] = {
        "name": JOB,
        "model": MODEL,
        "pool": POOL,
        "batch_size": 4,
        "prompts": ("first prompt", "second prompt", "third prompt"),
        "maximum_tokens": 100,
    }
    return Job(**{**fields, **changes})


class CoordinatorDriver(EngineSide):
    """A coordinator with its clock, and everything that it requested."""

    def __init__(
        self,
        job: Job | None = None,
        *,
        control: Control | None = None,
        pool: Pool | None = None,
        other_jobs: Sequence[Job] = (),
        run: str = "coordinator-1/a",
        journal: Sequence[bytes] = (),
        snapshot: bytes | None = None,
        lead: bool = True,
        **changes: Any,
    ) -> None:
        self.control = control or Control(job or make_job())
        super().__init__(pool or engine_pool())
        self.other_jobs = {other.name: other for other in other_jobs}
        self.session = ScriptedSession(run)
        settings = CoordinatorSettings(
            node_id="coordinator-1",
            zone="hall-a",
            address="10.9.0.1:1",
            http_address="10.9.0.1:2",
            control_members=(),
            **changes,
        )
        self.daemon = CoordinatorDaemon(settings, self.session)
        self.calls: list[StartCall] = []
        self.responses: dict[str, Respond] = {}
        self.journal: list[bytes] = list(journal)
        self.snapshot = snapshot
        self.unsynced: list[AppendRecords | SaveSnapshot] = []
        self.exit_code: int | None = None
        self.orders: list[tuple[str, dict[str, Any]]] = []
        self.cancelled_requests: list[str] = []
        self._asked = 0
        started = Started(NodeId("coordinator-1"), 1, 7, snapshot, tuple(journal))
        self._perform(self.daemon.start(started, self.now))
        self.publish(max(1, self.control.newest))
        for backend in self.pool.backends:
            self.serve(backend.backend_id, self.control.newest)
        if lead:
            self.lead()
            self.tick()  # Sends the status requests, which get responses immediately.

    # --- control --------------------------------------------------------------------

    def notify(self, *notices: Notice) -> None:
        """Deliver notices from the session."""
        self.session.next_step = SessionStep((), notices)
        self.send(MessageReceived(NodeId("control-1"), None))

    def lead(self) -> None:
        """Grant the job's lease with a new epoch and complete the read of the ledger."""
        self.control.epoch += 1
        resource = f"job/{JOB}"
        self.session.held[resource] = HeldLease(resource, self.control.epoch, self.now + 1e6)
        self.notify(LeaseGained(resource=resource, epoch=self.control.epoch))
        self.settle()

    def lead_engines(self, epoch: int = 1) -> None:
        """Grant the lease of the pool's engines."""
        resource = f"engines/{POOL}"
        self.session.held[resource] = HeldLease(resource, epoch, self.now + 1e6)
        self.notify(LeaseGained(resource=resource, epoch=epoch))

    def lose_lease(self, resource: str = f"job/{JOB}") -> None:
        """Revoke a lease."""
        held = self.session.held.pop(resource)
        self.notify(LeaseLost(resource=resource, epoch=held.epoch, reason="taken"))

    def configure(self, job: Job | None = None, drains: Sequence[str] = ()) -> None:
        """Apply a new configuration."""
        self.control.job = job or self.control.job
        view = ConfigurationView()
        view.revision = self.session.scripted_view.revision + 1
        view.pools = MappingProxyType({POOL: self.pool})
        view.jobs = MappingProxyType({JOB: self.control.job, **self.other_jobs})
        view.drains = MappingProxyType({name: Drain(name) for name in drains})
        versions = tuple(
            WeightVersion(number, f"digest-{number}", "10.0.9.1:80", 10, float(number))
            for number in range(1, self.control.newest + 1)
        )
        view.weights = MappingProxyType({MODEL: Weights(MODEL, versions)})
        self.session.scripted_view = view
        self.notify(ConfigurationChanged(revision=view.revision, changed_keys=()))

    def publish(self, version: int) -> None:
        """Publish weights up to a version."""
        self.control.newest = version
        self.configure()

    def settle(self) -> None:
        """Sync the disk and send all responses of the control group."""
        while self.session.waiting or self.unsynced:
            self.sync()
            self.answer_control()

    def answer_control(self) -> None:
        """Send the control group's responses to all pending requests."""
        waiting, self.session.waiting = self.session.waiting, []
        for request in waiting:
            self.answer_one(request)

    def answer_one(self, request: Waiting) -> None:
        """Send the control group's response to one command or query."""
        answer = self.control.answer(request.content)
        if isinstance(request.content, LedgerQuery):
            self.notify(QueryFinished(query_id=request.request_id, answer=answer))
        else:
            finished = CommandFinished(
                command_id=request.request_id, command=request.content, outcome=answer
            )
            self.notify(finished)

    def sync(self) -> None:
        """Sync all written records to the disk."""
        written, self.unsynced = self.unsynced, []
        for effect in written:
            if isinstance(effect, SaveSnapshot):
                self.snapshot, self.journal = effect.data, list(effect.records)
                self.send(SnapshotSaved(effect.token))
            else:
                self.journal.extend(effect.records)
                self.send(RecordsSynced(effect.token))

    # --- time and events ------------------------------------------------------------

    def send(self, event: Event) -> None:
        """Deliver an event and apply its effects."""
        self._perform(self.daemon.reduce(event, self.now))

    def tick(self, seconds: float = 0.5) -> None:
        """Advance the clock and run the scheduler; engines respond to status requests at once."""
        self.now += seconds
        self.send(TimerFired(TICK_TIMER))
        self.settle()

    def stop(self) -> None:
        """Request a planned stop."""
        self.send(StopRequested())

    def _perform(self, effects: Sequence[Effect]) -> None:
        answers: list[Event] = []
        for effect in effects:
            if isinstance(effect, StartCall):
                answers.extend(self._call(effect))
            elif isinstance(effect, CancelCall):
                self.streams.pop(effect.call_id, None)
            elif isinstance(effect, AppendRecords | SaveSnapshot):
                self.unsynced.append(effect)
            elif isinstance(effect, Respond):
                assert effect.request_id not in self.responses, (
                    "more than one response to a request"
                )
                self.responses[effect.request_id] = effect
            elif isinstance(effect, StopProcess):
                self.exit_code = effect.exit_code
        for answer in answers:
            self.send(answer)

    def _call(self, call: StartCall) -> list[Event]:
        self.calls.append(call)
        if call.path == "/v1/completions":
            self.streams[call.call_id] = self._open(call)
        elif call.path == "/v1/status":
            return self._status(call)
        elif call.path == "/v1/orders":
            self.orders.append((call.call_id, json.loads(call.body)))
        elif call.path == "/v1/cancel":
            self.cancelled_requests.append(json.loads(call.body)["request_id"])
        return []

    # --- trainers -------------------------------------------------------------------

    def ask(
        self,
        last_received: int,
        nonce: str,
        *,
        consumer: str = "trainer-1",
        version: int | None = None,
        last_nonce: str = "",
    ) -> str:
        """Send a trainer's request and return its id."""
        body = {
            "consumer": consumer,
            "last_received_batch": last_received,
            "trainer_version": self.control.newest if version is None else version,
            "nonce": nonce,
            "last_received_nonce": last_nonce,
        }
        return self.post(f"/v1/jobs/{JOB}/batches", json.dumps(body).encode())

    def post(self, path: str, body: bytes, method: str = "POST") -> str:
        """Send an HTTP request and return its id."""
        self._asked += 1
        name = f"request-{self._asked}"
        self.send(RequestReceived(RequestId(name), method, path, {}, body))
        return name

    def abort(self, name: str) -> None:
        """Disconnect the trainer of a request."""
        self.send(RequestAborted(RequestId(name)))

    def answer_to(self, name: str) -> tuple[int, dict[str, Any]] | None:
        """Return status and body of a response; None if there is none yet."""
        response = self.responses.get(name)
        return None if response is None else (response.status, json.loads(response.body))

    def batch_of(self, name: str) -> dict[str, Any]:
        """Return the batch in the response to a request."""
        answer = self.answer_to(name)
        assert answer is not None, "no response yet"
        assert answer[0] == 200, answer
        return answer[1]

    def generate(self, rounds: int = 6) -> None:
        """Run the scheduler and complete the streams that it starts, for some rounds."""
        for _ in range(rounds):
            self.tick()
            for stream in self.open_streams():
                backend_id = self.backend_of(stream.address)
                self.complete(stream, self.status_of[backend_id]["active_version"])
            self.settle()
