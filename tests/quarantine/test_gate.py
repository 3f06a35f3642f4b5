"""Quarantine rules as applied by the forwarders of requests and streams."""

from collections.abc import Callable

import msgspec
import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.requests import Answered, ForwardRequest, NotRun, OutcomeUnknown
from merlinstand.cluster.routes import RouteKind
from merlinstand.decisions.rejection import QUARANTINE_RETRY_AFTER_SECONDS, Reason
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.decisions.waiting import CRASH_CHECK_SECONDS, TRIAL_PERMIT_WAIT_SECONDS
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.forwarding.stream_forwarder import StreamForwarder
from merlinstand.kernel.effects import Effect, SetTimer, StartCall
from merlinstand.kernel.events import CallFailed, CallHeaders, CallPhase, CallResponded
from merlinstand.quarantine.blame import SuspectStatus
from merlinstand.quarantine.crash_watch import CrashDetector
from merlinstand.quarantine.follower import SuspectTable
from merlinstand.quarantine.messages import SuspectsView, Suspicion, Trial
from merlinstand.quarantine.request_digest import digest_of_request
from tests.forwarding.test_forwarder import BACKENDS, NAMES, calls, request, response, route
from tests.routes import make_route

AFTER_DELAY = 100.0
"""Local time long after the trial delay of a request."""
CULPRIT = digest_of_request(request(route()), NAMES)


class Gateway:
    """Both forwarders of a gateway and its table of suspects."""

    def __init__(self, backends: tuple[Backend, ...] = BACKENDS) -> None:
        self.suspects = SuspectTable()
        self.suspects.begin("d/1")
        chooser = BackendChooser(has_crashed=self.suspects.has_crashed)
        self.detector = CrashDetector(
            self.suspects, NAMES, lambda _service: "/healthz", chooser.cold
        )
        self.forwarder = Forwarder(
            NAMES, lambda _service: backends, chooser=chooser, crash_detector=self.detector
        )
        self.streams = StreamForwarder(
            NAMES, chooser, lambda _service: backends, crash_detector=self.detector
        )
        self.revision = 0

    def publish(
        self, status: SuspectStatus | None, trial: Trial | None = None, at: float = 0.0
    ) -> None:
        """Apply a view with the status of the request."""
        self.revision += 1
        suspicions = {} if status is None else {CULPRIT: Suspicion(status)}
        self.suspects.apply_view(SuspectsView(suspicions, trial), self.revision, at)

    def begin(self, key: str = "k", now: float = 0.0, attempts: int = 3) -> list[StartCall]:
        made = msgspec.structs.replace(
            request(route(attempts=attempts)), key=key, deadline_at=now + 1.5
        )
        return sent(self.forwarder.begin(made, now))

    def crash_backend(self, call: StartCall, now: float) -> list[StartCall]:
        """Crash the backend of a call; return what is sent once the crash is detected."""
        failed = self.forwarder.on_call(CallFailed(call.call_id, CallPhase.SENT, "reset"), now)
        [probe] = [c for c in calls(failed) if c.path == "/healthz"]
        assert sent(failed) == []
        refused = CallFailed(probe.call_id, CallPhase.CONNECT, "refused")
        self.detector.on_call(refused, now + 0.003)
        return sent(self.forwarder.on_crash_check_results(now + 0.003))

    def outcome(self) -> object:
        [finished] = self.forwarder.take_finished()
        return finished.outcome


def sent(effects: list[Effect]) -> list[StartCall]:
    """Return the calls without probes of backends."""
    return [call for call in calls(effects) if call.path != "/healthz"]


def test_quarantined_request_is_rejected_at_once_as_not_run() -> None:
    gateway = Gateway()
    gateway.publish(SuspectStatus.QUARANTINED)
    assert gateway.begin() == []
    assert gateway.outcome() == NotRun(Reason.QUARANTINED, QUARANTINE_RETRY_AFTER_SECONDS)


def test_other_request_to_the_same_service_is_sent() -> None:
    gateway = Gateway()
    gateway.publish(SuspectStatus.QUARANTINED)
    other = msgspec.structs.replace(request(route()), body=b"other")
    assert sent(gateway.forwarder.begin(other, 0.0))


def test_quarantined_request_is_not_retried_and_outcome_is_unknown() -> None:
    gateway = Gateway()
    [call] = gateway.begin(now=1.0)
    gateway.publish(SuspectStatus.QUARANTINED)
    effects = gateway.forwarder.on_call(CallFailed(call.call_id, CallPhase.SENT, "timeout"), 1.1)
    assert sent(effects) == []
    assert gateway.outcome() == OutcomeUnknown(Reason.QUARANTINED, False)


def test_next_attempt_waits_for_the_probe_of_the_backend() -> None:
    gateway = Gateway()
    [first] = gateway.begin()
    effects = gateway.forwarder.on_call(CallFailed(first.call_id, CallPhase.SENT, "reset"), 0.05)
    assert sent(effects) == []
    assert SetTimer("forward.verdict:k", CRASH_CHECK_SECONDS) in effects
    [second] = sent(gateway.forwarder.on_timer("forward.verdict:k", 0.1))
    assert second.address != first.address
    assert sent(gateway.forwarder.on_crash_check_results(0.2)) == []


def test_next_attempt_follows_at_once_if_the_backend_is_alive() -> None:
    gateway = Gateway()
    [first] = gateway.begin()
    failed = gateway.forwarder.on_call(CallFailed(first.call_id, CallPhase.SENT, "reset"), 0.05)
    [probe] = calls(failed)
    gateway.detector.on_call(CallResponded(probe.call_id, 200, {}, b""), 0.053)
    assert len(sent(gateway.forwarder.on_crash_check_results(0.053))) == 1
    assert gateway.suspects.is_empty


def test_last_backend_is_not_used_after_two_crashes() -> None:
    gateway = Gateway()
    [first] = gateway.begin()
    [second] = gateway.crash_backend(first, 0.05)
    assert gateway.crash_backend(second, 0.1) == []
    assert gateway.outcome() == OutcomeUnknown(Reason.LAST_BACKEND, False)
    assert gateway.begin("k2", 0.2) == []
    refused = gateway.outcome()
    assert isinstance(refused, NotRun)
    assert refused.reason == Reason.LAST_BACKEND
    other = msgspec.structs.replace(request(route()), key="k3", body=b"other")
    assert len(sent(gateway.forwarder.begin(other, 0.3))) == 1


def test_only_backend_of_a_service_is_still_used() -> None:
    gateway = Gateway(BACKENDS[:1])
    gateway.publish(SuspectStatus.REPEAT_SUSPECT)
    assert len(gateway.begin()) == 1


def test_suspect_is_not_hedged() -> None:
    gateway = Gateway()
    gateway.publish(SuspectStatus.SUSPECT)
    assert len(gateway.begin()) == 1
    assert calls(gateway.forwarder.on_timer("forward.hedge:k", 0.12)) == []


def test_attempts_after_a_broken_call_use_new_connections() -> None:
    """A kept connection may belong to a backend that had crashed before."""
    gateway = Gateway()
    [first] = gateway.begin()
    assert not first.fresh_connection
    [second] = gateway.crash_backend(first, 0.05)
    assert second.fresh_connection


def test_suspects_are_spread_over_backends() -> None:
    gateway = Gateway()
    gateway.publish(SuspectStatus.SUSPECT)
    addresses = {gateway.begin(f"k{number}")[0].address for number in range(3)}
    assert len(addresses) == 3


def test_unproven_request_is_rejected_before_the_trial_delay() -> None:
    gateway = Gateway()
    gateway.publish(SuspectStatus.UNPROVEN, at=10.0)
    assert gateway.begin(now=11.0) == []
    refused = gateway.outcome()
    assert isinstance(refused, NotRun)
    assert refused.retry_after_seconds == pytest.approx(2.0)


def test_unproven_request_waits_for_a_permit_and_is_sent_once() -> None:
    gateway = Gateway()
    gateway.publish(SuspectStatus.UNPROVEN)
    waiting = msgspec.structs.replace(request(route()), deadline_at=AFTER_DELAY + 1.5)
    effects = gateway.forwarder.begin(waiting, AFTER_DELAY)
    assert calls(effects) == []
    assert SetTimer("forward.trial:k", TRIAL_PERMIT_WAIT_SECONDS) in effects
    assert gateway.begin("k2", AFTER_DELAY) == []
    assert gateway.suspects.is_report_due(AFTER_DELAY)
    gateway.publish(SuspectStatus.UNPROVEN, Trial(1, CULPRIT, "d/1"), AFTER_DELAY)
    [call] = sent(gateway.forwarder.on_quarantine_change(AFTER_DELAY + 0.02))
    gateway.forwarder.on_call(response(call, 200), AFTER_DELAY + 0.05)
    outcomes = [finished.outcome for finished in gateway.forwarder.take_finished()]
    assert isinstance(outcomes[0], NotRun)
    assert isinstance(outcomes[1], Answered)
    assert gateway.suspects.status(CULPRIT) is None


def test_unproven_request_without_a_permit_is_rejected_after_the_timeout() -> None:
    gateway = Gateway()
    gateway.publish(SuspectStatus.UNPROVEN)
    assert gateway.begin(now=AFTER_DELAY) == []
    assert gateway.forwarder.on_timer("forward.trial:k", AFTER_DELAY + TRIAL_PERMIT_WAIT_SECONDS)
    refused = gateway.outcome()
    assert isinstance(refused, NotRun)
    assert refused.retry_after_seconds >= TRIAL_PERMIT_WAIT_SECONDS
    assert len(gateway.forwarder) == 0
    assert gateway.suspects.next_report(AFTER_DELAY + 1.0) is None


def test_trial_request_is_withdrawn_when_the_caller_leaves() -> None:
    gateway = Gateway()
    gateway.publish(SuspectStatus.UNPROVEN)
    gateway.begin(now=AFTER_DELAY)
    gateway.forwarder.abort("k", AFTER_DELAY + 0.1)
    assert gateway.suspects.next_report(AFTER_DELAY + 1.0) is None


def test_waiting_request_is_sent_once_cleared() -> None:
    gateway = Gateway()
    gateway.publish(SuspectStatus.UNPROVEN)
    gateway.begin(now=AFTER_DELAY)
    gateway.publish(None, at=AFTER_DELAY)
    assert len(sent(gateway.forwarder.on_quarantine_change(AFTER_DELAY + 0.1))) == 1


# Streams


def stream_request(resumable: bool = True) -> ForwardRequest:
    of_route = make_route(
        RouteKind.STREAM, "shop", "/l/", maximum_attempts=3, is_resumable=resumable
    )
    return msgspec.structs.replace(request(of_route), deadline_at=AFTER_DELAY + 9.0)


def refused_stream(gateway: Gateway) -> object:
    [refused] = gateway.streams.take_unstarted()
    return refused.outcome


def test_quarantined_stream_is_rejected_at_once() -> None:
    gateway = Gateway()
    gateway.publish(SuspectStatus.QUARANTINED)
    assert calls(gateway.streams.begin(stream_request(), 0.0)) == []
    assert refused_stream(gateway) == NotRun(Reason.QUARANTINED, QUARANTINE_RETRY_AFTER_SECONDS)


def test_broken_stream_is_not_resumed_once_quarantined() -> None:
    gateway = Gateway()
    [call] = calls(gateway.streams.begin(stream_request(), 0.0))
    gateway.streams.on_call(CallHeaders(call.call_id, 200, {}), 0.05)
    gateway.publish(SuspectStatus.QUARANTINED)
    failed = CallFailed(call.call_id, CallPhase.BODY, "truncated")
    assert sent(gateway.streams.on_call(failed, 0.1)) == []
    assert len(gateway.streams) == 0


def test_stream_under_which_a_backend_crashed_is_suspected() -> None:
    gateway = Gateway()
    [call] = calls(gateway.streams.begin(stream_request(), 0.0))
    gateway.streams.on_call(CallHeaders(call.call_id, 200, {}), 0.05)
    failed = CallFailed(call.call_id, CallPhase.BODY, "truncated")
    effects = gateway.streams.on_call(failed, 0.1)
    [probe] = [c for c in calls(effects) if c.path == "/healthz"]
    gateway.detector.on_call(CallFailed(probe.call_id, CallPhase.CONNECT, "refused"), 0.103)
    assert gateway.suspects.status(CULPRIT) is SuspectStatus.SUSPECT


@pytest.mark.parametrize(
    ("go_on", "is_sent"),
    [
        pytest.param(
            lambda g: g.streams.on_quarantine_change(AFTER_DELAY + 0.1), True, id="with permit"
        ),
        pytest.param(
            lambda g: g.streams.on_timer("stream.trial:k", AFTER_DELAY + TRIAL_PERMIT_WAIT_SECONDS),
            False,
            id="without permit",
        ),
    ],
)
def test_unproven_stream_waits_for_a_permit(
    go_on: Callable[[Gateway], list[Effect]], is_sent: bool
) -> None:
    gateway = Gateway()
    gateway.publish(SuspectStatus.UNPROVEN)
    effects = gateway.streams.begin(stream_request(), AFTER_DELAY)
    assert calls(effects) == []
    assert SetTimer("stream.trial:k", TRIAL_PERMIT_WAIT_SECONDS) in effects
    if is_sent:
        gateway.publish(SuspectStatus.UNPROVEN, Trial(1, CULPRIT, "d/1"), AFTER_DELAY)
    assert bool(calls(go_on(gateway))) == is_sent
    assert bool(gateway.streams.take_unstarted()) != is_sent
