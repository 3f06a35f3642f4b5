"""Requests under which servers ended: each way to a server passes one gate."""

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
from tests.forwarding.test_forwarder import BACKENDS, NAMES, answer, calls, request, route
from tests.routes import make_route

LATE = 100.0
"""Long after a request came into doubt."""
GUILTY = digest_of_request(request(route()), NAMES)


class Gateway:
    """Both forwarders of a gateway, and what it knows of suspects."""

    def __init__(self, backends: tuple[Backend, ...] = BACKENDS) -> None:
        self.suspects = SuspectTable()
        self.suspects.begin("d/1")
        chooser = BackendChooser(has_crashed=self.suspects.has_crashed)
        self.watch = CrashDetector(self.suspects, NAMES, lambda _service: "/healthz", chooser.cold)
        self.forwarder = Forwarder(
            NAMES, lambda _service: backends, chooser=chooser, crash_watch=self.watch
        )
        self.streams = StreamForwarder(
            NAMES, chooser, lambda _service: backends, crash_watch=self.watch
        )
        self.revision = 0

    def told(
        self, standing: SuspectStatus | None, trial: Trial | None = None, at: float = 0.0
    ) -> None:
        """All daemons are told what is held against the request."""
        self.revision += 1
        held = {} if standing is None else {GUILTY: Suspicion(standing)}
        self.suspects.apply_view(SuspectsView(held, trial), self.revision, at)

    def begin(self, key: str = "k", now: float = 0.0, attempts: int = 3) -> list[StartCall]:
        made = msgspec.structs.replace(
            request(route(attempts=attempts)), key=key, deadline_at=now + 1.5
        )
        return sent(self.forwarder.begin(made, now))

    def end_server(self, call: StartCall, now: float) -> list[StartCall]:
        """The server of a call ends; gives what is sent once that is known."""
        failed = self.forwarder.on_call(CallFailed(call.call_id, CallPhase.SENT, "reset"), now)
        [probe] = [c for c in calls(failed) if c.path == "/healthz"]
        assert sent(failed) == []
        refused = CallFailed(probe.call_id, CallPhase.CONNECT, "refused")
        self.watch.on_call(refused, now + 0.003)
        return sent(self.forwarder.on_probe_results(now + 0.003))

    def outcome(self) -> object:
        [finished] = self.forwarder.take_finished()
        return finished.outcome


def sent(effects: list[Effect]) -> list[StartCall]:
    """Requests among the calls, without questions to servers."""
    return [call for call in calls(effects) if call.path != "/healthz"]


def test_a_quarantined_request_is_refused_at_once_and_truly() -> None:
    gateway = Gateway()
    gateway.told(SuspectStatus.QUARANTINED)
    assert gateway.begin() == []
    assert gateway.outcome() == NotRun(Reason.QUARANTINED, QUARANTINE_RETRY_AFTER_SECONDS)


def test_another_request_to_the_same_service_goes_on() -> None:
    gateway = Gateway()
    gateway.told(SuspectStatus.QUARANTINED)
    other = msgspec.structs.replace(request(route()), body=b"other")
    assert sent(gateway.forwarder.begin(other, 0.0))


def test_no_second_try_after_the_third_end_and_what_has_run_is_not_called_not_run() -> None:
    gateway = Gateway()
    [call] = gateway.begin(now=1.0)
    gateway.told(SuspectStatus.QUARANTINED)
    effects = gateway.forwarder.on_call(CallFailed(call.call_id, CallPhase.SENT, "timeout"), 1.1)
    assert sent(effects) == []
    assert gateway.outcome() == OutcomeUnknown(Reason.QUARANTINED, False)


def test_the_next_try_waits_for_whether_the_server_has_ended() -> None:
    gateway = Gateway()
    [first] = gateway.begin()
    effects = gateway.forwarder.on_call(CallFailed(first.call_id, CallPhase.SENT, "reset"), 0.05)
    assert sent(effects) == []
    assert SetTimer("forward.verdict:k", CRASH_CHECK_SECONDS) in effects
    [second] = sent(gateway.forwarder.on_timer("forward.verdict:k", 0.1))
    assert second.address != first.address
    assert sent(gateway.forwarder.on_probe_results(0.2)) == []


def test_a_server_that_is_there_costs_the_request_nothing_but_the_question() -> None:
    gateway = Gateway()
    [first] = gateway.begin()
    failed = gateway.forwarder.on_call(CallFailed(first.call_id, CallPhase.SENT, "reset"), 0.05)
    [probe] = calls(failed)
    gateway.watch.on_call(CallResponded(probe.call_id, 200, {}, b""), 0.053)
    assert len(sent(gateway.forwarder.on_probe_results(0.053))) == 1
    assert gateway.suspects.is_empty


def test_after_two_ends_the_last_server_is_spared() -> None:
    gateway = Gateway()
    [first] = gateway.begin()
    [second] = gateway.end_server(first, 0.05)
    assert gateway.end_server(second, 0.1) == []
    assert gateway.outcome() == OutcomeUnknown(Reason.LAST_BACKEND, False)
    assert gateway.begin("k2", 0.2) == []
    refused = gateway.outcome()
    assert isinstance(refused, NotRun)
    assert refused.reason == Reason.LAST_BACKEND
    other = msgspec.structs.replace(request(route()), key="k3", body=b"other")
    assert len(sent(gateway.forwarder.begin(other, 0.3))) == 1


def test_the_only_server_of_a_service_is_not_spared() -> None:
    gateway = Gateway(BACKENDS[:1])
    gateway.told(SuspectStatus.REPEAT_SUSPECT)
    assert len(gateway.begin()) == 1


def test_a_suspect_is_not_hedged() -> None:
    gateway = Gateway()
    gateway.told(SuspectStatus.SUSPECT)
    assert len(gateway.begin()) == 1
    assert calls(gateway.forwarder.on_timer("forward.hedge:k", 0.12)) == []


def test_tries_after_a_break_take_new_connections() -> None:
    """A kept one may belong to a server that was gone before."""
    gateway = Gateway()
    [first] = gateway.begin()
    assert not first.fresh_connection
    [second] = gateway.end_server(first, 0.05)
    assert second.fresh_connection


def test_suspects_go_where_fewest_of_them_are() -> None:
    gateway = Gateway()
    gateway.told(SuspectStatus.SUSPECT)
    addresses = {gateway.begin(f"k{number}")[0].address for number in range(3)}
    assert len(addresses) == 3


def test_a_doubtful_request_is_refused_at_once_until_it_may_be_tried() -> None:
    gateway = Gateway()
    gateway.told(SuspectStatus.UNPROVEN, at=10.0)
    assert gateway.begin(now=11.0) == []
    refused = gateway.outcome()
    assert isinstance(refused, NotRun)
    assert refused.retry_after_seconds == pytest.approx(2.0)


def test_a_doubtful_request_waits_for_leave_and_goes_on_with_it_once() -> None:
    gateway = Gateway()
    gateway.told(SuspectStatus.UNPROVEN)
    waiting = msgspec.structs.replace(request(route()), deadline_at=LATE + 1.5)
    effects = gateway.forwarder.begin(waiting, LATE)
    assert calls(effects) == []
    assert SetTimer("forward.trial:k", TRIAL_PERMIT_WAIT_SECONDS) in effects
    assert gateway.begin("k2", LATE) == []
    assert gateway.suspects.is_report_due(LATE)
    gateway.told(SuspectStatus.UNPROVEN, Trial(1, GUILTY, "d/1"), LATE)
    [call] = sent(gateway.forwarder.on_quarantine_change(LATE + 0.02))
    gateway.forwarder.on_call(answer(call, 200), LATE + 0.05)
    outcomes = [finished.outcome for finished in gateway.forwarder.take_finished()]
    assert isinstance(outcomes[0], NotRun)
    assert isinstance(outcomes[1], Answered)
    assert gateway.suspects.status(GUILTY) is None


def test_a_doubtful_request_that_waited_in_vain_is_refused_truly() -> None:
    gateway = Gateway()
    gateway.told(SuspectStatus.UNPROVEN)
    assert gateway.begin(now=LATE) == []
    assert gateway.forwarder.on_timer("forward.trial:k", LATE + TRIAL_PERMIT_WAIT_SECONDS)
    refused = gateway.outcome()
    assert isinstance(refused, NotRun)
    assert refused.retry_after_seconds >= TRIAL_PERMIT_WAIT_SECONDS
    assert len(gateway.forwarder) == 0
    assert gateway.suspects.next_report(LATE + 1.0) is None


def test_a_caller_that_leaves_while_it_waits_takes_its_wish_along() -> None:
    gateway = Gateway()
    gateway.told(SuspectStatus.UNPROVEN)
    gateway.begin(now=LATE)
    gateway.forwarder.abort("k", LATE + 0.1)
    assert gateway.suspects.next_report(LATE + 1.0) is None


def test_who_is_cleared_while_it_waits_goes_on() -> None:
    gateway = Gateway()
    gateway.told(SuspectStatus.UNPROVEN)
    gateway.begin(now=LATE)
    gateway.told(None, at=LATE)
    assert len(sent(gateway.forwarder.on_quarantine_change(LATE + 0.1))) == 1


# Streams


def stream_request(resumable: bool = True) -> ForwardRequest:
    of_route = make_route(
        RouteKind.STREAM, "shop", "/l/", maximum_attempts=3, is_resumable=resumable
    )
    return msgspec.structs.replace(request(of_route), deadline_at=LATE + 9.0)


def refused_stream(gateway: Gateway) -> object:
    [refused] = gateway.streams.take_refused()
    return refused.outcome


def test_a_quarantined_stream_is_refused_at_once() -> None:
    gateway = Gateway()
    gateway.told(SuspectStatus.QUARANTINED)
    assert calls(gateway.streams.begin(stream_request(), 0.0)) == []
    assert refused_stream(gateway) == NotRun(Reason.QUARANTINED, QUARANTINE_RETRY_AFTER_SECONDS)


def test_a_broken_stream_is_not_resumed_once_it_is_quarantined() -> None:
    gateway = Gateway()
    [call] = calls(gateway.streams.begin(stream_request(), 0.0))
    gateway.streams.on_call(CallHeaders(call.call_id, 200, {}), 0.05)
    gateway.told(SuspectStatus.QUARANTINED)
    failed = CallFailed(call.call_id, CallPhase.BODY, "truncated")
    assert sent(gateway.streams.on_call(failed, 0.1)) == []
    assert len(gateway.streams) == 0


def test_a_stream_under_which_a_server_ended_is_told() -> None:
    gateway = Gateway()
    [call] = calls(gateway.streams.begin(stream_request(), 0.0))
    gateway.streams.on_call(CallHeaders(call.call_id, 200, {}), 0.05)
    failed = CallFailed(call.call_id, CallPhase.BODY, "truncated")
    effects = gateway.streams.on_call(failed, 0.1)
    [probe] = [c for c in calls(effects) if c.path == "/healthz"]
    gateway.watch.on_call(CallFailed(probe.call_id, CallPhase.CONNECT, "refused"), 0.103)
    assert gateway.suspects.status(GUILTY) is SuspectStatus.SUSPECT


@pytest.mark.parametrize(
    ("go_on", "is_sent"),
    [
        pytest.param(lambda g: g.streams.on_quarantine_change(LATE + 0.1), True, id="with leave"),
        pytest.param(
            lambda g: g.streams.on_timer("stream.trial:k", LATE + TRIAL_PERMIT_WAIT_SECONDS),
            False,
            id="in vain",
        ),
    ],
)
def test_a_doubtful_stream_waits_for_leave(
    go_on: Callable[[Gateway], list[Effect]], is_sent: bool
) -> None:
    gateway = Gateway()
    gateway.told(SuspectStatus.UNPROVEN)
    effects = gateway.streams.begin(stream_request(), LATE)
    assert calls(effects) == []
    assert SetTimer("stream.trial:k", TRIAL_PERMIT_WAIT_SECONDS) in effects
    if is_sent:
        gateway.told(SuspectStatus.UNPROVEN, Trial(1, GUILTY, "d/1"), LATE)
    assert bool(calls(go_on(gateway))) == is_sent
    assert bool(gateway.streams.take_refused()) != is_sent
