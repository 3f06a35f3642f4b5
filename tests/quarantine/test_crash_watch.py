"""A server that crashed is told apart from a connection that broke."""

import msgspec
import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.common.ids import BackendId, CallId, ContentDigest
from merlinstand.kernel.effects import Effect, LogEvent, StartCall
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from merlinstand.quarantine.blame import SuspectStatus
from merlinstand.quarantine.crash_watch import UNANSWERED_PER_BACKEND_LIMIT, CrashDetector
from merlinstand.quarantine.follower import SuspectTable
from merlinstand.quarantine.messages import SuspectsView, Suspicion, Trial
from merlinstand.quarantine.rules import OUTLIVED_SECONDS, UNANSWERED_RETENTION_SECONDS
from tests.forwarding.test_forwarder import BACKENDS, NAMES

GUILTY = ContentDigest("g")
SERVER = BACKENDS[0]


class Watch:
    """A watch with calls in flight at one server."""

    def __init__(
        self, server: Backend = SERVER, path: str = "/healthz", bears: float = 0.0
    ) -> None:
        self.suspects = SuspectTable()
        self.watch = CrashDetector(
            self.suspects, NAMES, lambda _service: path, ColdBackendBudget(lambda _service: bears)
        )
        self.server = server
        self.count = 0

    def send(self, content: ContentDigest = GUILTY, at: float = 1.0) -> CallId:
        self.count += 1
        call_id = CallId(f"c{self.count}")
        self.watch.record_send(call_id, self.server, lambda: content, at)
        return call_id

    def fail(
        self, call_id: CallId, phase: CallPhase = CallPhase.SENT, reason: str = "reset"
    ) -> list[StartCall]:
        """A call fails; gives the question to its server."""
        return asked(self.watch.record_failure(CallFailed(call_id, phase, reason), 1.0))

    @property
    def standing(self) -> SuspectStatus | None:
        return self.suspects.status(GUILTY)


def asked(effects: list[Effect]) -> list[StartCall]:
    return [effect for effect in effects if isinstance(effect, StartCall)]


def test_a_server_is_asked_on_a_new_connection_once_for_all_that_broke_there() -> None:
    world = Watch()
    first, second = world.send(), world.send(ContentDigest("i"))
    [call] = world.fail(first)
    assert (call.address, call.method, call.path) == (SERVER.address, "GET", "/healthz")
    assert call.headers[NAMES.expected_backend] == SERVER.backend_id
    assert call.fresh_connection
    assert world.fail(second) == []
    assert world.standing is None


@pytest.mark.parametrize(
    ("answer", "has_crashed"),
    [
        pytest.param(CallFailed(CallId(""), CallPhase.CONNECT, "refused"), True, id="refused"),
        pytest.param(CallResponded(CallId(""), 421, {}, b""), True, id="another incarnation"),
        pytest.param(CallResponded(CallId(""), 200, {}, b""), False, id="well"),
        pytest.param(CallResponded(CallId(""), 503, {}, b""), False, id="full, or unwell"),
        pytest.param(CallFailed(CallId(""), CallPhase.SENT, "reset"), False, id="reset"),
        pytest.param(CallFailed(CallId(""), CallPhase.SENT, "timeout"), False, id="slow"),
        pytest.param(CallFailed(CallId(""), CallPhase.CONNECT, "timeout"), False, id="cut off"),
        pytest.param(CallFailed(CallId(""), CallPhase.CONNECT, "reset"), False, id="crowded"),
    ],
)
def test_what_proves_that_a_server_has_ended(
    answer: CallFailed | CallResponded, has_crashed: bool
) -> None:
    world = Watch()
    [call] = world.fail(world.send())
    assert world.watch.is_probing(SERVER.backend_id)
    answer = msgspec.structs.replace(answer, call_id=call.call_id)
    effects = world.watch.on_call(answer, 1.01)
    assert not world.watch.is_probing(SERVER.backend_id)
    assert world.standing is (SuspectStatus.SUSPECT if has_crashed else None)
    assert (
        any(isinstance(e, LogEvent) and e.name == "backend.ended" for e in effects) == has_crashed
    )


@pytest.mark.parametrize(
    ("phase", "reason", "is_asked"),
    [
        (CallPhase.SENT, "reset", True),
        (CallPhase.BODY, "reset", True),
        (CallPhase.BODY, "truncated", True),
        (CallPhase.SENT, "timeout", False),
        (CallPhase.BODY, "malformed", False),
        (CallPhase.CONNECT, "timeout", False),
        (CallPhase.CONNECT, "refused", False),
    ],
)
def test_only_a_call_that_broke_off_raises_the_question(
    phase: CallPhase, reason: str, is_asked: bool
) -> None:
    world = Watch()
    assert bool(world.fail(world.send(), phase, reason)) == is_asked


@pytest.mark.parametrize(
    ("seconds", "is_suspected"),
    [
        (0.0, True),
        (UNANSWERED_RETENTION_SECONDS, True),
        (UNANSWERED_RETENTION_SECONDS + 0.1, False),
    ],
)
def test_a_try_that_was_given_up_just_before_counts(seconds: float, is_suspected: bool) -> None:
    """Callers leave and time runs out while the server goes on for a moment."""
    world = Watch()
    world.watch.record_abandonment(world.send(at=0.0), 1.0 - seconds)
    world.fail(world.send(ContentDigest("i")), CallPhase.CONNECT, "refused")
    assert (world.standing is SuspectStatus.SUSPECT) == is_suspected


def test_what_was_only_connecting_has_ended_nothing() -> None:
    world = Watch()
    world.send()
    world.fail(world.send(), CallPhase.CONNECT, "refused")
    assert world.suspects.is_empty


@pytest.mark.parametrize("how", ["answered", "turned away"])
def test_what_was_answered_has_ended_nothing(how: str) -> None:
    world = Watch()
    call_id = world.send()
    if how == "answered":
        world.watch.record_response(call_id, 0.9)
    else:
        world.watch.record_rejection(call_id)
    world.fail(world.send(ContentDigest("i")), CallPhase.CONNECT, "refused")
    assert world.suspects.is_empty


def test_a_server_that_leaves_ends_by_itself() -> None:
    world = Watch(msgspec.structs.replace(SERVER, is_leaving=True))
    assert world.fail(world.send()) == [], "it need not be asked"
    world.fail(world.send(), CallPhase.CONNECT, "refused")
    assert world.suspects.is_empty


def test_a_service_without_a_health_path_is_not_asked() -> None:
    world = Watch(path="")
    assert world.fail(world.send()) == []
    world.fail(world.send(ContentDigest("i")), CallPhase.CONNECT, "refused")
    assert world.standing is SuspectStatus.SUSPECT


def test_a_cold_server_is_asked_by_grant_only() -> None:
    world = Watch(msgspec.structs.replace(SERVER, is_cold=True), bears=9.2)
    assert world.fail(world.send()) == []


def test_what_is_remembered_of_a_server_is_bounded_and_forgotten_with_it() -> None:
    world = Watch()
    for number in range(UNANSWERED_PER_BACKEND_LIMIT + 9):
        world.watch.record_abandonment(world.send(ContentDigest(f"c{number}")), 1.0)
    assert len(world.watch._unanswered[SERVER.backend_id].attempts) == UNANSWERED_PER_BACKEND_LIMIT
    world.watch.update_backends([], 1.0)
    assert not world.watch._unanswered
    assert world.suspects.is_empty


SUCCESSOR = msgspec.structs.replace(SERVER, backend_id=BackendId("b9"))


@pytest.mark.parametrize(
    ("present", "is_suspected"),
    [
        pytest.param([SUCCESSOR], True, id="another incarnation at its address"),
        pytest.param([SERVER], False, id="it is there"),
        pytest.param([BACKENDS[1]], False, id="nobody at its address"),
        pytest.param(
            [msgspec.structs.replace(SUCCESSOR, service="other")], False, id="another service there"
        ),
    ],
)
def test_a_server_that_was_replaced_has_ended_under_what_was_given_up_there(
    present: list[Backend], is_suspected: bool
) -> None:
    """Its caller's time was over before the server ended, and nobody tried it again meanwhile."""
    world = Watch()
    world.watch.record_abandonment(world.send(), 1.0)
    world.watch.update_backends(present, 4.0)
    assert (world.standing is SuspectStatus.SUSPECT) == is_suspected


@pytest.mark.parametrize(
    ("sent_after", "is_suspected"),
    [(0.1, True), (OUTLIVED_SECONDS - 0.1, True), (OUTLIVED_SECONDS + 0.1, False)],
)
def test_a_server_that_answers_later_tries_has_outlived_the_earlier_one(
    sent_after: float, is_suspected: bool
) -> None:
    world = Watch()
    world.watch.record_abandonment(world.send(), 1.0)
    later = world.send(ContentDigest("i"), at=1.0 + sent_after)
    world.watch.record_response(later, 1.05 + sent_after)
    world.watch.update_backends([SUCCESSOR], 9.0)
    assert (world.standing is SuspectStatus.SUSPECT) == is_suspected


@pytest.mark.parametrize("how", ["turned away", "not connected"])
def test_leave_is_not_used_up_by_a_server_that_did_not_begin(how: str) -> None:
    world = Watch()
    world.suspects.begin("d/1")
    view = SuspectsView({GUILTY: Suspicion(SuspectStatus.UNPROVEN)}, Trial(1, GUILTY, "d/1"))
    world.suspects.apply_view(view, 1, 0.0)
    world.suspects.use_permit()
    call_id = world.send()
    if how == "turned away":
        world.watch.record_rejection(call_id)
    else:
        world.fail(call_id, CallPhase.CONNECT, "refused")
    assert world.suspects.has_permit(GUILTY)


def test_an_answer_to_no_question_says_nothing() -> None:
    assert Watch().watch.on_call(CallFailed(CallId("alive:9"), CallPhase.CONNECT, "x"), 1.0) == []
