"""A server that ended is told from a connection that broke."""

import msgspec
import pytest

from merlinstand.common.ids import CallId, ContentDigest
from merlinstand.directory.backends import Backend
from merlinstand.directory.blame import Standing
from merlinstand.directory.cold_budget import ColdBudget
from merlinstand.directory.suspect_table import SuspectTable
from merlinstand.forwarding.crash_watch import GIVEN_UP_LIMIT, GIVEN_UP_SECONDS, CrashWatch
from merlinstand.kernel.effects import Effect, LogEvent, StartCall
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from tests.forwarding.test_forwarder import BACKENDS, NAMES

GUILTY = ContentDigest("g")
SERVER = BACKENDS[0]


class Watch:
    """A watch with calls in flight at one server."""

    def __init__(
        self, server: Backend = SERVER, path: str = "/healthz", bears: float = 0.0
    ) -> None:
        self.suspects = SuspectTable()
        self.watch = CrashWatch(
            self.suspects, NAMES, lambda _service: path, ColdBudget(lambda _service: bears)
        )
        self.server = server
        self.count = 0

    def send(self, content: ContentDigest = GUILTY) -> CallId:
        self.count += 1
        call_id = CallId(f"c{self.count}")
        self.watch.sent(call_id, self.server, lambda: content)
        return call_id

    def fail(
        self, call_id: CallId, phase: CallPhase = CallPhase.SENT, reason: str = "reset"
    ) -> list[StartCall]:
        """A call fails; gives the question to its server."""
        return asked(self.watch.failed(CallFailed(call_id, phase, reason), 1.0))

    @property
    def standing(self) -> Standing | None:
        return self.suspects.standing(GUILTY)


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
    ("answer", "has_ended"),
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
    answer: CallFailed | CallResponded, has_ended: bool
) -> None:
    world = Watch()
    [call] = world.fail(world.send())
    assert world.watch.is_asked(SERVER.backend_id)
    answer = msgspec.structs.replace(answer, call_id=call.call_id)
    effects = world.watch.on_call(answer, 1.01)
    assert not world.watch.is_asked(SERVER.backend_id)
    assert world.standing is (Standing.SUSPECT if has_ended else None)
    assert any(isinstance(e, LogEvent) and e.name == "backend.ended" for e in effects) == has_ended


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
    [(0.0, True), (GIVEN_UP_SECONDS, True), (GIVEN_UP_SECONDS + 0.1, False)],
)
def test_a_try_that_was_given_up_just_before_counts(seconds: float, is_suspected: bool) -> None:
    """Callers leave and time runs out while the server goes on for a moment."""
    world = Watch()
    world.watch.given_up(world.send(), 1.0 - seconds)
    world.fail(world.send(ContentDigest("i")), CallPhase.CONNECT, "refused")
    assert (world.standing is Standing.SUSPECT) == is_suspected


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
        world.watch.answered(call_id, 0.9)
    else:
        world.watch.turned_away(call_id)
    world.fail(world.send(ContentDigest("i")), CallPhase.CONNECT, "refused")
    assert world.suspects.is_empty


def test_a_server_that_leaves_ends_by_itself() -> None:
    world = Watch(msgspec.structs.replace(SERVER, is_leaving=True))
    [call] = world.fail(world.send())
    world.watch.on_call(CallFailed(call.call_id, CallPhase.CONNECT, "refused"), 1.01)
    assert world.suspects.is_empty


def test_a_service_without_a_health_path_is_not_asked() -> None:
    world = Watch(path="")
    assert world.fail(world.send()) == []
    world.fail(world.send(ContentDigest("i")), CallPhase.CONNECT, "refused")
    assert world.standing is Standing.SUSPECT


def test_a_cold_server_is_asked_by_grant_only() -> None:
    world = Watch(msgspec.structs.replace(SERVER, is_cold=True), bears=9.2)
    assert world.fail(world.send()) == []


def test_what_is_remembered_of_a_server_is_bounded_and_forgotten_with_it() -> None:
    world = Watch()
    for number in range(GIVEN_UP_LIMIT + 9):
        world.watch.given_up(world.send(ContentDigest(f"c{number}")), 1.0)
    assert len(world.watch._given_up[SERVER.backend_id]) == GIVEN_UP_LIMIT
    world.watch.forget_all_but(frozenset())
    assert not world.watch._given_up


def test_an_answer_to_no_question_says_nothing() -> None:
    assert Watch().watch.on_call(CallFailed(CallId("alive:9"), CallPhase.CONNECT, "x"), 1.0) == []
