"""State machine test: the bound on sends to cold backends holds under any order of faults.

`python -m tests.cold_servers.cold_machine [EXAMPLES]` runs more examples than the test does.
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

COLD_RATE = 9.2
OVERSHOOT = 1.5
SLACK = 5.0
BOUND = COLD_RATE * OVERSHOOT + SLACK
TICK_SECONDS = 0.02
SENDERS = 4
SERVICE = "llm"
COLD = tuple(
    Backend(backend_id=BackendId(f"e{n}"), service=SERVICE, address=f"a{n}:1", is_cold=True)
    for n in range(2)
)
EXAMPLES = 25
STEPS = 25
SECONDS_AFTER = st.sampled_from((0.0, 0.1, 0.3, 1.3))
"""Seconds for which all processes run after a fault."""
ONE = st.integers(0, SENDERS - 1)
ONE_OR_ALL = st.sampled_from((None, *range(SENDERS)))
PUSHES = st.integers(1, 10)
"""As many as arrive in half a second."""


def make_state(
    backends: tuple[Backend, ...] = COLD, cold_rate: float = COLD_RATE
) -> DirectoryState:
    """Return a directory with backends of one service."""
    state = DirectoryState()
    service = Service(name=SERVICE, cold_requests_per_second=cold_rate)
    state.apply(1, PutDocument(RoutesDocument(version=1, services=(service,)), b""))
    for index, backend in enumerate(backends, 2):
        state.apply(index, PutBackend(backend, 1))
    return state


def make_issuer(state: DirectoryState) -> GrantIssuer:
    """Return a leader's issuer with the default bound."""
    return GrantIssuer(state, OVERSHOOT, SLACK, lambda _backend, _now: None)


class Work(enum.Enum):
    """The work of a sender."""

    NONE = "none"
    WITHOUT_SENDS = "without sends"
    """Requests grants but doesn't send, like a sender whose slots are full."""
    UNLIMITED = "unlimited"


class Sender(msgspec.Struct):
    """A daemon that sends to cold backends."""

    name: NodeId
    budget: ColdBackendBudget
    is_partitioned: bool = False
    is_inbound_partitioned: bool = False
    is_paused: bool = False
    work: Work = Work.UNLIMITED
    inbox: list[bytes] = msgspec.field(default_factory=list)
    last_response: bytes = b""
    """The response applied last."""


def make_budget() -> ColdBackendBudget:
    """Return a daemon's budget for a service with a limit."""
    return ColdBackendBudget(lambda _service: COLD_RATE)


class ColdMachine(RuleBasedStateMachine):
    """Senders, successive leaders, and a network that delays and loses messages."""

    def __init__(self) -> None:
        """Create a leader and senders that are all connected."""
        super().__init__()
        self.now = 100.0
        self.state = make_state()
        self.issuer = make_issuer(self.state)
        self.leader_paused_until = 0.0
        self.one_way_seconds = 0.001
        self.send_delay_seconds = 0.0
        self.senders = [Sender(NodeId(f"d{n}"), make_budget()) for n in range(SENDERS)]
        self.in_transit: list[tuple[float, Callable[[], None]]] = []
        self.departures: dict[BackendId, deque[float]] = {b.backend_id: deque() for b in COLD}
        """Times at which requests of the last seconds left."""
        self.maximum_sends = 0

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
    def run_with_delays(self, seconds: float, one_way: float, send_delay: float) -> None:
        """Run all processes with some network and send delays."""
        self.one_way_seconds = one_way
        self.send_delay_seconds = send_delay
        self.run(seconds)

    def selected(self, who: int | None) -> list[Sender]:
        """Return one sender, or all."""
        return self.senders if who is None else [self.senders[who]]

    @rule(who=ONE_OR_ALL, seconds_after=SECONDS_AFTER)
    def toggle_partition(self, who: int | None, seconds_after: float) -> None:
        """Disconnect senders from the control daemons, or reconnect them."""
        for sender in self.selected(who):
            sender.is_partitioned = not sender.is_partitioned
        self.run(seconds_after)

    @rule(who=ONE_OR_ALL, seconds_after=SECONDS_AFTER)
    def toggle_inbound_partition(self, who: int | None, seconds_after: float) -> None:
        """Delay only messages to some senders, not those from them, or end this."""
        for sender in self.selected(who):
            sender.is_inbound_partitioned = not sender.is_inbound_partitioned
        self.run(seconds_after)

    @rule(who=ONE_OR_ALL, seconds_after=SECONDS_AFTER)
    def toggle_pause(self, who: int | None, seconds_after: float) -> None:
        """Pause senders, or resume them with all messages received meanwhile."""
        for sender in self.selected(who):
            sender.is_paused = not sender.is_paused
            inbox, sender.inbox = sender.inbox, []
            for data in inbox:
                self.apply_response(sender, data)
        self.run(seconds_after)

    @rule(who=ONE, seconds_after=SECONDS_AFTER)
    def restart(self, who: int, seconds_after: float) -> None:
        """Restart a sender; messages in transit to it still arrive."""
        self.senders[who].budget = make_budget()
        self.run(seconds_after)

    @rule(who=ONE_OR_ALL, work=st.sampled_from(Work), seconds_after=SECONDS_AFTER)
    def change_work(self, who: int | None, work: Work, seconds_after: float) -> None:
        """Change the work of one sender, or of all."""
        for sender in self.selected(who):
            sender.work = work
        self.run(seconds_after)

    @rule(who=ONE, pushes=PUSHES, seconds_after=SECONDS_AFTER)
    def repeat_last_response(self, who: int, pushes: int, seconds_after: float) -> None:
        """Deliver a sender's last response repeatedly, as pushes do."""
        sender = self.senders[who]
        if sender.last_response and not sender.is_paused:
            for _ in range(pushes):
                self.apply_response(sender, sender.last_response)
        self.run(seconds_after)

    @rule(changes=st.integers(1, 5), seconds_after=SECONDS_AFTER)
    def change_leader(self, changes: int, seconds_after: float) -> None:
        """Elect other leaders; the previous ones may no longer act."""
        for _ in range(changes):
            self.issuer = make_issuer(self.state)
            self.issuer.begin()
            self.leader_paused_until = 0.0
            self.run(seconds_after)

    @rule(seconds=st.floats(0.05, 0.8))
    def pause_leader(self, seconds: float) -> None:
        """Pause the leader for a while."""
        self.leader_paused_until = self.now + seconds

    # Sends and messages

    def run(self, seconds: float) -> None:
        """Advance time."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_SECONDS
            due = [item for item in self.in_transit if item[0] <= self.now]
            self.in_transit = [item for item in self.in_transit if item[0] > self.now]
            for _when, arrive in due:
                arrive()
            for sender in self.senders:
                if not sender.is_paused:
                    self.run_sender(sender)

    def run_sender(self, sender: Sender) -> None:
        """Send what may be sent and request more grants."""
        budget = sender.budget
        if sender.work is Work.NONE:
            return
        if sender.work is Work.UNLIMITED:
            for backend in COLD:
                while budget.may_send_to(backend, self.now):
                    budget.record_send(backend, self.now)
                    self.record_departure(backend.backend_id, self.now + self.send_delay_seconds)
        budget.request_grants("m", 5, COLD)
        if budget.is_request_due(self.now):
            data = budget.next_request(self.now)
            assert data is not None
            if not sender.is_partitioned:
                leader = self.issuer
                self.after(self.one_way_seconds, lambda: self.respond(leader, sender, data))

    def respond(self, leader: GrantIssuer, sender: Sender, data: bytes) -> None:
        """Deliver requests to a leader, if it may still act."""
        if leader is not self.issuer:
            return
        if self.now < self.leader_paused_until:
            remaining = self.leader_paused_until - self.now
            self.after(remaining, lambda: self.respond(leader, sender, data))
            return
        response = leader.handle_requests(sender.name, False, data, self.now).data
        assert response is not None
        self.after(self.one_way_seconds, lambda: self.arrive(sender, response))

    def arrive(self, sender: Sender, data: bytes) -> None:
        """Deliver a response to a sender, or queue it until the sender resumes."""
        if sender.is_partitioned or sender.is_inbound_partitioned:
            # Resent by the transport until the partition ends.
            self.after(0.2, lambda: self.arrive(sender, data))
        elif sender.is_paused:
            sender.inbox.append(data)
        else:
            self.apply_response(sender, data)

    def apply_response(self, sender: Sender, data: bytes) -> None:
        """Apply a response at a sender."""
        sender.last_response = data
        sender.budget.apply_grants(data, self.now)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self.in_transit.append((self.now + seconds, action))

    def record_departure(self, backend_id: BackendId, when: float) -> None:
        """Record that a request leaves for a backend."""
        times = self.departures[backend_id]
        times.append(when)
        recent = sorted(time for time in times if time > when - 4.0)
        self.departures[backend_id] = deque(recent)
        for index, first in enumerate(recent):
            within = sum(1 for time in recent[index:] if time <= first + 1.0)
            self.maximum_sends = max(self.maximum_sends, within)

    @invariant()
    def bound_holds(self) -> None:
        """In no second do more requests leave for one backend than the bound permits."""
        assert self.maximum_sends <= BOUND


def play(examples: int, shrinks: bool = True) -> None:
    """Run examples of fault orders.

    Args:
        examples: Number of examples.
        shrinks: Whether to search for a short one if one fails.

    Raises:
        AssertionError: One of them violates the bound.
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
