"""Crashed backends are distinguished from broken connections."""

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

CULPRIT = ContentDigest("g")
BACKEND = BACKENDS[0]


class DetectorCase:
    """A crash detector with calls in flight at one backend."""

    def __init__(
        self, backend: Backend = BACKEND, path: str = "/healthz", cold_rate: float = 0.0
    ) -> None:
        self.suspects = SuspectTable()
        self.detector = CrashDetector(
            self.suspects,
            NAMES,
            lambda _service: path,
            ColdBackendBudget(lambda _service: cold_rate),
        )
        self.backend = backend
        self.count = 0

    def send(self, content: ContentDigest = CULPRIT, at: float = 1.0) -> CallId:
        self.count += 1
        call_id = CallId(f"c{self.count}")
        self.detector.record_send(call_id, self.backend, lambda: content, at)
        return call_id

    def fail(
        self, call_id: CallId, phase: CallPhase = CallPhase.SENT, reason: str = "reset"
    ) -> list[StartCall]:
        """Fail a call; return the probes that this starts."""
        return probe_calls(self.detector.record_failure(CallFailed(call_id, phase, reason), 1.0))

    @property
    def status(self) -> SuspectStatus | None:
        return self.suspects.status(CULPRIT)


def probe_calls(effects: list[Effect]) -> list[StartCall]:
    return [effect for effect in effects if isinstance(effect, StartCall)]


def test_backend_is_probed_once_on_a_new_connection_for_all_broken_calls() -> None:
    case = DetectorCase()
    first, second = case.send(), case.send(ContentDigest("i"))
    [call] = case.fail(first)
    assert (call.address, call.method, call.path) == (BACKEND.address, "GET", "/healthz")
    assert call.headers[NAMES.expected_backend] == BACKEND.backend_id
    assert call.fresh_connection
    assert case.fail(second) == []
    assert case.status is None


@pytest.mark.parametrize(
    ("answer", "has_crashed"),
    [
        pytest.param(CallFailed(CallId(""), CallPhase.CONNECT, "refused"), True, id="refused"),
        pytest.param(CallResponded(CallId(""), 421, {}, b""), True, id="another incarnation"),
        pytest.param(CallResponded(CallId(""), 200, {}, b""), False, id="healthy"),
        pytest.param(CallResponded(CallId(""), 503, {}, b""), False, id="overloaded or unhealthy"),
        pytest.param(CallFailed(CallId(""), CallPhase.SENT, "reset"), False, id="reset"),
        pytest.param(
            CallFailed(CallId(""), CallPhase.SENT, "timeout"), False, id="response timeout"
        ),
        pytest.param(
            CallFailed(CallId(""), CallPhase.CONNECT, "timeout"), False, id="connect timeout"
        ),
        pytest.param(CallFailed(CallId(""), CallPhase.CONNECT, "reset"), False, id="connect reset"),
    ],
)
def test_probe_results_that_prove_a_crash(
    answer: CallFailed | CallResponded, has_crashed: bool
) -> None:
    case = DetectorCase()
    [call] = case.fail(case.send())
    assert case.detector.is_probing(BACKEND.backend_id)
    answer = msgspec.structs.replace(answer, call_id=call.call_id)
    effects = case.detector.on_call(answer, 1.01)
    assert not case.detector.is_probing(BACKEND.backend_id)
    assert case.status is (SuspectStatus.SUSPECT if has_crashed else None)
    assert (
        any(isinstance(e, LogEvent) and e.name == "backend.crashed" for e in effects) == has_crashed
    )


@pytest.mark.parametrize(
    ("phase", "reason", "is_probed"),
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
def test_only_a_broken_connection_triggers_a_probe(
    phase: CallPhase, reason: str, is_probed: bool
) -> None:
    case = DetectorCase()
    assert bool(case.fail(case.send(), phase, reason)) == is_probed


@pytest.mark.parametrize(
    ("seconds", "is_suspected"),
    [
        (0.0, True),
        (UNANSWERED_RETENTION_SECONDS, True),
        (UNANSWERED_RETENTION_SECONDS + 0.1, False),
    ],
)
def test_recently_abandoned_attempt_is_suspected(seconds: float, is_suspected: bool) -> None:
    """Callers leave and deadlines expire while the backend continues to run the request."""
    case = DetectorCase()
    case.detector.record_cancellation(case.send(at=0.0), 1.0 - seconds)
    case.fail(case.send(ContentDigest("i")), CallPhase.CONNECT, "refused")
    assert (case.status is SuspectStatus.SUSPECT) == is_suspected


def test_call_that_was_only_connecting_is_not_suspected() -> None:
    case = DetectorCase()
    case.send()
    case.fail(case.send(), CallPhase.CONNECT, "refused")
    assert case.suspects.is_empty


@pytest.mark.parametrize("how", ["answered", "rejected"])
def test_answered_or_rejected_request_is_not_suspected(how: str) -> None:
    case = DetectorCase()
    call_id = case.send()
    if how == "answered":
        case.detector.record_response(call_id, 0.9)
    else:
        case.detector.record_refusal(call_id)
    case.fail(case.send(ContentDigest("i")), CallPhase.CONNECT, "refused")
    assert case.suspects.is_empty


def test_termination_of_a_leaving_backend_is_no_crash() -> None:
    case = DetectorCase(msgspec.structs.replace(BACKEND, is_draining=True))
    assert case.fail(case.send()) == [], "no probe needed"
    case.fail(case.send(), CallPhase.CONNECT, "refused")
    assert case.suspects.is_empty


def test_backend_without_health_path_is_not_probed() -> None:
    case = DetectorCase(path="")
    assert case.fail(case.send()) == []
    case.fail(case.send(ContentDigest("i")), CallPhase.CONNECT, "refused")
    assert case.status is SuspectStatus.SUSPECT


def test_cold_backend_is_probed_only_with_a_grant() -> None:
    case = DetectorCase(msgspec.structs.replace(BACKEND, is_cold=True), cold_rate=9.2)
    assert case.fail(case.send()) == []


def test_unanswered_attempts_are_bounded_and_dropped_with_the_backend() -> None:
    case = DetectorCase()
    for number in range(UNANSWERED_PER_BACKEND_LIMIT + 9):
        case.detector.record_cancellation(case.send(ContentDigest(f"c{number}")), 1.0)
    assert (
        len(case.detector._unanswered[BACKEND.backend_id].attempts) == UNANSWERED_PER_BACKEND_LIMIT
    )
    case.detector.update_backends([], 1.0)
    assert not case.detector._unanswered
    assert case.suspects.is_empty


SUCCESSOR = msgspec.structs.replace(BACKEND, backend_id=BackendId("b9"))


@pytest.mark.parametrize(
    ("present", "is_suspected"),
    [
        pytest.param([SUCCESSOR], True, id="another incarnation at its address"),
        pytest.param([BACKEND], False, id="still registered"),
        pytest.param([BACKENDS[1]], False, id="no backend at its address"),
        pytest.param(
            [msgspec.structs.replace(SUCCESSOR, service="other")],
            False,
            id="another service at its address",
        ),
    ],
)
def test_replaced_backend_crashed_under_its_abandoned_attempts(
    present: list[Backend], is_suspected: bool
) -> None:
    """The deadline expired before the backend crashed, and no later attempt detected the crash."""
    case = DetectorCase()
    case.detector.record_cancellation(case.send(), 1.0)
    case.detector.update_backends(present, 4.0)
    assert (case.status is SuspectStatus.SUSPECT) == is_suspected


@pytest.mark.parametrize(
    ("sent_after", "is_suspected"),
    [(0.1, True), (OUTLIVED_SECONDS - 0.1, True), (OUTLIVED_SECONDS + 0.1, False)],
)
def test_backend_that_answers_a_later_attempt_outlived_the_earlier_one(
    sent_after: float, is_suspected: bool
) -> None:
    case = DetectorCase()
    case.detector.record_cancellation(case.send(), 1.0)
    later = case.send(ContentDigest("i"), at=1.0 + sent_after)
    case.detector.record_response(later, 1.05 + sent_after)
    case.detector.update_backends([SUCCESSOR], 9.0)
    assert (case.status is SuspectStatus.SUSPECT) == is_suspected


@pytest.mark.parametrize("how", ["rejected", "not connected"])
def test_permit_remains_valid_if_no_backend_started_the_request(how: str) -> None:
    case = DetectorCase()
    case.suspects.begin("d/1")
    view = SuspectsView({CULPRIT: Suspicion(SuspectStatus.UNPROVEN)}, Trial(1, CULPRIT, "d/1"))
    case.suspects.apply_view(view, 1, 0.0)
    case.suspects.use_permit()
    call_id = case.send()
    if how == "rejected":
        case.detector.record_refusal(call_id)
    else:
        case.fail(call_id, CallPhase.CONNECT, "refused")
    assert case.suspects.has_permit(CULPRIT)


def test_result_of_an_unknown_probe_is_ignored() -> None:
    assert (
        DetectorCase().detector.on_call(CallFailed(CallId("alive:9"), CallPhase.CONNECT, "x"), 1.0)
        == []
    )
