"""Any order of faults around cold back ends: the bound on what reaches them must hold.

`python -m tests.cold_servers.cold_machine [EXAMPLES]` plays many more orders than the test does.
"""

import enum
import sys
from collections import deque
from collections.abc import Callable

import msgspec
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.routes import RoutesDocument, Service
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.cold_servers.grants import MAXIMUM_SEND_DELAY_SECONDS
from merlinstand.cold_servers.leader import GrantIssuer
from merlinstand.common.ids import BackendId, NodeId
from merlinstand.directory.commands import PutBackend, PutDocument
from merlinstand.directory.state_machine import DirectoryState

BEARS = 9.2
OVERSHOOT = 1.5
SLACK = 5.0
BOUND = BEARS * OVERSHOOT + SLACK
TICK_SECONDS = 0.02
SENDERS = 4
SERVICE = "llm"
COLD = tuple(
    Backend(backend_id=BackendId(f"e{n}"), service=SERVICE, address=f"a{n}:1", is_cold=True)
    for n in range(2)
)
EXAMPLES = 25
STEPS = 25
THEN = st.sampled_from((0.0, 0.1, 0.3, 1.3))
"""Seconds for which everybody works after a fault."""
ONE = st.integers(0, SENDERS - 1)
ONE_OR_ALL = st.sampled_from((None, *range(SENDERS)))
PUSHES = st.integers(1, 10)
"""As many as come in half a second."""


def make_state(backends: tuple[Backend, ...] = COLD, bears: float = BEARS) -> DirectoryState:
    """A directory with back ends of one service."""
    state = DirectoryState()
    service = Service(name=SERVICE, cold_requests_per_second=bears)
    state.apply(1, PutDocument(RoutesDocument(version=1, services=(service,)), b""))
    for index, backend in enumerate(backends, 2):
        state.apply(index, PutBackend(backend, 1))
    return state


def make_feeding(state: DirectoryState) -> GrantIssuer:
    """A leader's side, with the usual bound."""
    return GrantIssuer(state, OVERSHOOT, SLACK, lambda _backend, _now: None)


class Work(enum.Enum):
    """What a sender has to do."""

    NONE = "none"
    HELD_BACK = "held back"
    """It wishes and does not send, as one whose slots are full."""
    MORE_THAN_IT_MAY = "more than it may"


class Sender(msgspec.Struct):
    """A daemon that sends to cold back ends."""

    name: NodeId
    budget: ColdBackendBudget
    is_cut: bool = False
    is_deaf: bool = False
    is_frozen: bool = False
    work: Work = Work.MORE_THAN_IT_MAY
    inbox: list[bytes] = msgspec.field(default_factory=list)
    newest: bytes = b""
    """The answer taken last."""


def make_budget() -> ColdBackendBudget:
    """A daemon's side where the service is limited."""
    return ColdBackendBudget(lambda _service: BEARS)


class ColdMachine(RuleBasedStateMachine):
    """Senders, leaders that follow each other, and a network that delays and loses."""

    def __init__(self) -> None:
        """Begin with a leader and senders that are all in touch."""
        super().__init__()
        self.now = 100.0
        self.state = make_state()
        self.feeding = make_feeding(self.state)
        self.leader_frozen_until = 0.0
        self.one_way_seconds = 0.001
        self.send_delay_seconds = 0.0
        self.senders = [Sender(NodeId(f"d{n}"), make_budget()) for n in range(SENDERS)]
        self.on_the_way: list[tuple[float, Callable[[], None]]] = []
        self.left: dict[BackendId, deque[float]] = {b.backend_id: deque() for b in COLD}
        """When requests left, of the last seconds."""
        self.most = 0

    @initialize(seconds=st.floats(0.0, 2.0))
    def wait_first(self, seconds: float) -> None:
        """Let buckets fill."""
        self.run(seconds)

    # Faults

    @rule(
        seconds=st.floats(0.05, 1.5),
        one_way=st.sampled_from((0.001, 0.02, 0.1, 0.6)),
        send_delay=st.floats(0.0, MAXIMUM_SEND_DELAY_SECONDS),
    )
    def go_on(self, seconds: float, one_way: float, send_delay: float) -> None:
        """Let everybody work under some delays."""
        self.one_way_seconds = one_way
        self.send_delay_seconds = send_delay
        self.run(seconds)

    def some(self, who: int | None) -> list[Sender]:
        """One sender, or all."""
        return self.senders if who is None else [self.senders[who]]

    @rule(who=ONE_OR_ALL, then=THEN)
    def cut_or_heal(self, who: int | None, then: float) -> None:
        """Senders lose control, or hear it again."""
        for sender in self.some(who):
            sender.is_cut = not sender.is_cut
        self.run(then)

    @rule(who=ONE_OR_ALL, then=THEN)
    def deafen_or_heal(self, who: int | None, then: float) -> None:
        """What control tells some senders is held up, not what they wish; or that is over."""
        for sender in self.some(who):
            sender.is_deaf = not sender.is_deaf
        self.run(then)

    @rule(who=ONE_OR_ALL, then=THEN)
    def freeze_or_thaw(self, who: int | None, then: float) -> None:
        """Senders stand still, or go on with all that came meanwhile."""
        for sender in self.some(who):
            sender.is_frozen = not sender.is_frozen
            inbox, sender.inbox = sender.inbox, []
            for data in inbox:
                self.take(sender, data)
        self.run(then)

    @rule(who=ONE, then=THEN)
    def restart(self, who: int, then: float) -> None:
        """A sender begins anew; what is on its way to it arrives all the same."""
        self.senders[who].budget = make_budget()
        self.run(then)

    @rule(who=ONE_OR_ALL, work=st.sampled_from(Work), then=THEN)
    def change_work(self, who: int | None, work: Work, then: float) -> None:
        """A sender, or each of them, has other work from now on."""
        for sender in self.some(who):
            sender.work = work
        self.run(then)

    @rule(who=ONE, pushes=PUSHES, then=THEN)
    def hear_again(self, who: int, pushes: int, then: float) -> None:
        """A sender is told again and again what it was told last, as by pushes."""
        sender = self.senders[who]
        if sender.newest and not sender.is_frozen:
            for _ in range(pushes):
                self.take(sender, sender.newest)
        self.run(then)

    @rule(changes=st.integers(1, 5), then=THEN)
    def change_leader(self, changes: int, then: float) -> None:
        """Other control daemons lead from now on; the ones before may act no more."""
        for _ in range(changes):
            self.feeding = make_feeding(self.state)
            self.feeding.begin()
            self.leader_frozen_until = 0.0
            self.run(then)

    @rule(seconds=st.floats(0.05, 0.8))
    def freeze_leader(self, seconds: float) -> None:
        """The leader stands still for a while."""
        self.leader_frozen_until = self.now + seconds

    # Work

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_SECONDS
            due = [item for item in self.on_the_way if item[0] <= self.now]
            self.on_the_way = [item for item in self.on_the_way if item[0] > self.now]
            for _when, arrive in due:
                arrive()
            for sender in self.senders:
                if not sender.is_frozen:
                    self.let_work(sender)

    def let_work(self, sender: Sender) -> None:
        """Send what may be sent, and wish more."""
        budget = sender.budget
        if sender.work is Work.NONE:
            return
        if sender.work is Work.MORE_THAN_IT_MAY:
            for backend in COLD:
                while budget.may_send_to(backend, self.now):
                    budget.record_send(backend, self.now)
                    self.note_left(backend.backend_id, self.now + self.send_delay_seconds)
        budget.request_grants("m", 5, COLD)
        if budget.is_request_due(self.now):
            data = budget.next_request(self.now)
            assert data is not None
            if not sender.is_cut:
                leader = self.feeding
                self.after(self.one_way_seconds, lambda: self.answer(leader, sender, data))

    def answer(self, leader: GrantIssuer, sender: Sender, data: bytes) -> None:
        """Wishes reach a leader, if it still may act."""
        if leader is not self.feeding:
            return
        if self.now < self.leader_frozen_until:
            left = self.leader_frozen_until - self.now
            self.after(left, lambda: self.answer(leader, sender, data))
            return
        answer = leader.handle_requests(sender.name, False, data, self.now).data
        assert answer is not None
        self.after(self.one_way_seconds, lambda: self.arrive(sender, answer))

    def arrive(self, sender: Sender, data: bytes) -> None:
        """An answer reaches a sender, or waits for its thaw."""
        if sender.is_cut or sender.is_deaf:
            # Sent again by the transport until the cut is over.
            self.after(0.2, lambda: self.arrive(sender, data))
        elif sender.is_frozen:
            sender.inbox.append(data)
        else:
            self.take(sender, data)

    def take(self, sender: Sender, data: bytes) -> None:
        """A sender is told what it may send."""
        sender.newest = data
        sender.budget.apply_grants(data, self.now)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Let something happen later."""
        self.on_the_way.append((self.now + seconds, action))

    def note_left(self, backend_id: BackendId, when: float) -> None:
        """A request leaves for a back end."""
        times = self.left[backend_id]
        times.append(when)
        newest = sorted(time for time in times if time > when - 4.0)
        self.left[backend_id] = deque(newest)
        for index, first in enumerate(newest):
            within = sum(1 for time in newest[index:] if time <= first + 1.0)
            self.most = max(self.most, within)

    @invariant()
    def no_flood(self) -> None:
        """In no second more requests leave for one back end than it bears at the most."""
        assert self.most <= BOUND


def play(examples: int, shrinks: bool = True) -> None:
    """Play some orders of faults.

    Args:
        examples: How many.
        shrinks: Whether a short one is looked for if one fails.

    Raises:
        AssertionError: One of them breaks the bound.
    """
    run_state_machine_as_test(  # type: ignore[no-untyped-call]
        ColdMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=STEPS,
            deadline=None,
            derandomize=True,
            phases=(Phase.generate, Phase.shrink) if shrinks else (Phase.generate,),
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


if __name__ == "__main__":
    play(int(sys.argv[1]) if len(sys.argv) > 1 else EXAMPLES)
