"""Simulates the control group: the real ledger behind a session whose responses the test sends."""

from collections.abc import Sequence
from typing import Any

import msgspec

from merlinstand.common.ids import CommandId
from merlinstand.configuration.objects import (
    Job,
)
from merlinstand.control.commands import Command, CommitBatch, Refused
from merlinstand.control.ledger import JobLedger
from merlinstand.control.queries import LedgerQuery, Query
from merlinstand.control.weights import StalenessBound
from merlinstand.kernel.effects import (
    Effect,
)
from merlinstand.kernel.events import (
    Event,
    MessageReceived,
    Started,
)
from merlinstand.session.control_session import ControlSession, SessionStep
from merlinstand.session.lease_keeper import LEASE_RETRY_SECONDS, HeldLease
from merlinstand.session.view import ConfigurationView


class Waiting(msgspec.Struct):
    """A pending command or query."""

    request_id: CommandId
    content: Any


class ScriptedSession(ControlSession):
    """A session whose responses the test sends."""

    def __init__(self, run: str) -> None:
        self.scripted_view = ConfigurationView()
        self.may_take = True
        self.held: dict[str, HeldLease] = {}
        self.wanted: list[str] = []
        self.waiting: list[Waiting] = []
        self.stopped = False
        self.refreshes = 0
        self.next_step = SessionStep()
        self._run = run
        self._made = 0

    @property
    def view(self) -> ConfigurationView:
        return self.scripted_view

    @property
    def run_name(self) -> str:
        return self._run

    @property
    def is_idle(self) -> bool:
        return not self.waiting

    def start(self, event: Started, now: float) -> SessionStep:
        return SessionStep()

    def handles(self, event: Event) -> bool:
        return isinstance(event, MessageReceived)

    def reduce(self, event: Event, now: float) -> SessionStep:
        step, self.next_step = self.next_step, SessionStep()
        return step

    def _wait(self, content: Any) -> CommandId:
        self._made += 1
        request_id = CommandId(f"{self._run}/{self._made}")
        self.waiting.append(Waiting(request_id, content))
        return request_id

    def submit(
        self,
        command: Command,
        now: float,
        *,
        command_id: CommandId | None = None,
        timeout_seconds: float | None = None,
    ) -> tuple[CommandId, Sequence[Effect]]:
        return self._wait(command), ()

    def query(
        self, query: Query, now: float, *, timeout_seconds: float = 5.0
    ) -> tuple[CommandId, Sequence[Effect]]:
        return self._wait(query), ()

    def may_take_new_work(self, now: float) -> bool:
        return self.may_take

    def refresh(self, now: float) -> Sequence[Effect]:
        self.refreshes += 1
        return ()

    def request_lease(
        self, resource: str, now: float, retry_seconds: float = LEASE_RETRY_SECONDS
    ) -> Sequence[Effect]:
        self.wanted.append(resource)
        return ()

    def release_lease(self, resource: str, now: float) -> Sequence[Effect]:
        self.held.pop(resource, None)
        return ()

    def lease(self, resource: str, now: float) -> HeldLease | None:
        held = self.held.get(resource)
        return held if held is not None and now < held.expires_at else None

    def durable_records(self) -> tuple[bytes, ...]:
        return (b"session-record",)

    def stop(self, now: float) -> Sequence[Effect]:
        self.stopped = True
        return ()


class Control:
    """State that outlives coordinators: ledger, published versions and lease epochs."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.ledger = JobLedger()
        self.epoch = 0
        self.newest = 0
        self.committed: list[CommitBatch] = []

    def answer(self, content: Any) -> Any:
        if isinstance(content, LedgerQuery):
            return self.ledger.answer(self.job)
        assert isinstance(content, CommitBatch)
        if content.lease_epoch != self.epoch:
            return Refused(code="fenced", detail="older epoch")
        oldest = self.newest - self.job.policy.maximum_staleness_versions
        outcome = self.ledger.commit(content, StalenessBound(self.newest, oldest))
        if not isinstance(outcome, Refused):
            self.committed.append(content)
        return outcome
