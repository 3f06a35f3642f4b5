"""Items that crash engines are isolated, held in quarantine and released again."""

import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob, ResultState
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.runner import ItemRunner
from merlinstand.batch_jobs.schedule import group_progress
from merlinstand.batch_jobs.state_machine import AcceptJob, JobStates, ListResult
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.routes import RoutesDocument, RouteTable, Service
from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.kernel.effects import Effect, LogEvent, StartCall
from merlinstand.kernel.events import CallChunk, CallEnded, CallFailed, CallHeaders, CallPhase
from merlinstand.quarantine.blame import SuspectStatus
from merlinstand.quarantine.messages import (
    SuspectsView,
    Suspicion,
    Trial,
    decode_suspect_report,
)
from tests.batch_jobs.contexts import make_context
from tests.batch_jobs.test_runner_scheduling import ROUTE, no_report

AFTER_TRIAL_WAIT_SECONDS = 50.0
ENGINES = 3


class Keeper:
    """A runner with one group of three items and three engines of three slots."""

    def __init__(self) -> None:
        self.follower = DirectoryFollower((), no_report)
        services = (Service(name="llm", health_path="/healthz"),)
        self.follower.routes = RouteTable(
            RoutesDocument(version=1, routes=(ROUTE,), services=services)
        )
        self.follower.set_backends(
            Backend(backend_id=BackendId(f"e{n}"), service="llm", address=f"10.0.0.{n}:1", slots=3)
            for n in range(ENGINES)
        )
        self.suspects = self.follower.suspects
        self.suspects.begin("k/1")
        self.listed: list[ListResult] = []
        engines = EngineStates(self.follower)
        engines.refresh()
        items = tuple(
            BatchItem(
                item_id=f"i{n}", path="/l/1", headers={"host": "h"}, body=b"%d" % n, group="g"
            )
            for n in range(3)
        )
        jobs = JobStates()
        jobs.apply(AcceptJob(BatchJob(job_id="j", host="h", path="/l/", items=items)), 0.0)
        names = HeaderNames()
        context = make_context(
            jobs,
            self.follower,
            engines,
            Forwarder(names, self.follower.backends_of),
            names,
            self._list,
        )
        self.runner = ItemRunner(context)
        self.runner.load_open_jobs(0.0)
        self.revision = 0

    def _list(self, command: ListResult, _now: float) -> list[Effect]:
        self.listed.append(command)
        return []

    def run(self, number: int) -> ItemRun:
        return self.runner._runs[f"j/i{number}"]

    def content(self, number: int) -> ContentDigest:
        return self.runner._requests.content_of(self.run(number))

    def apply_suspects(
        self, now: float, trial: Trial | None = None, **statuses: SuspectStatus
    ) -> None:
        """Apply a list of suspects from the control leader."""
        self.revision += 1
        view = {self.content(int(name[1:])): Suspicion(s) for name, s in statuses.items()}
        self.suspects.apply_view(SuspectsView(view, trial), self.revision, now)
        self.runner.review_held(now)

    def start_waiting(self, now: float) -> dict[str, StartCall]:
        """Start waiting items; return their calls by item id."""
        return started_calls(self.runner.start_if_due(now))


def started_calls(effects: list[Effect]) -> dict[str, StartCall]:
    names = HeaderNames()
    calls = [effect for effect in effects if isinstance(effect, StartCall)]
    return {call.headers[names.request_id]: call for call in calls}


def test_items_of_a_group_share_an_engine_while_none_is_suspect() -> None:
    keeper = Keeper()
    assert len({call.address for call in keeper.start_waiting(0.0).values()}) == 1


def test_suspects_run_at_different_engines_on_new_connections() -> None:
    keeper = Keeper()
    keeper.apply_suspects(
        0.0, i0=SuspectStatus.SUSPECT, i1=SuspectStatus.SUSPECT, i2=SuspectStatus.SUSPECT
    )
    calls = keeper.start_waiting(0.0)
    assert len({call.address for call in calls.values()}) == ENGINES
    assert all(call.fresh_connection for call in calls.values())


def test_a_quarantined_item_is_held_and_the_others_run() -> None:
    keeper = Keeper()
    keeper.apply_suspects(0.0, i1=SuspectStatus.QUARANTINED)
    effects = keeper.runner.start_if_due(0.0)
    assert set(started_calls(effects)) == {"i0", "i2"}
    assert keeper.run(1).phase is RunPhase.HELD
    assert [e.fields["item"] for e in effects if isinstance(e, LogEvent)] == ["i1"]
    assert started_calls(keeper.runner.tick(0.1)) == {}


def test_a_held_item_is_terminated_when_its_job_expires() -> None:
    keeper = Keeper()
    keeper.apply_suspects(0.0, i1=SuspectStatus.QUARANTINED)
    keeper.start_waiting(0.0)
    keeper.runner.expire_job("j", 700.0)
    states = {c.result.item_id: c.result.state for c in keeper.listed}
    assert states["i1"] is ResultState.TERMINATED


def test_held_items_do_not_count_as_started_in_their_group() -> None:
    keeper = Keeper()
    keeper.apply_suspects(
        0.0,
        i0=SuspectStatus.QUARANTINED,
        i1=SuspectStatus.QUARANTINED,
        i2=SuspectStatus.QUARANTINED,
    )
    keeper.start_waiting(0.0)
    assert group_progress([keeper.run(n) for n in range(3)])[("j", "g")].started_count == 0


def test_an_item_that_is_no_longer_suspect_runs_again() -> None:
    keeper = Keeper()
    keeper.apply_suspects(0.0, i1=SuspectStatus.QUARANTINED)
    keeper.start_waiting(0.0)
    keeper.apply_suspects(1.0)
    assert set(keeper.start_waiting(1.0)) == {"i1"}


def test_an_unproven_item_requests_a_trial_and_runs_once_per_permit() -> None:
    keeper = Keeper()
    keeper.apply_suspects(0.0, i1=SuspectStatus.UNPROVEN)
    keeper.start_waiting(0.0)
    assert not keeper.suspects.is_report_due(0.1)
    keeper.runner.tick(AFTER_TRIAL_WAIT_SECONDS)
    assert keeper.suspects.is_report_due(AFTER_TRIAL_WAIT_SECONDS)
    keeper.apply_suspects(
        AFTER_TRIAL_WAIT_SECONDS, Trial(1, keeper.content(1), "k/1"), i1=SuspectStatus.UNPROVEN
    )
    [call] = keeper.start_waiting(AFTER_TRIAL_WAIT_SECONDS).values()
    keeper.runner.on_call(
        CallFailed(call.call_id, CallPhase.SENT, "timeout"), AFTER_TRIAL_WAIT_SECONDS + 0.1
    )
    assert keeper.start_waiting(AFTER_TRIAL_WAIT_SECONDS + 1.0) == {}
    assert keeper.run(1).phase is RunPhase.HELD


def test_the_end_of_a_job_withdraws_its_trial_requests() -> None:
    keeper = Keeper()
    keeper.apply_suspects(0.0, i1=SuspectStatus.UNPROVEN)
    keeper.start_waiting(0.0)
    keeper.runner.tick(AFTER_TRIAL_WAIT_SECONDS)
    running = {keeper.content(number) for number in (0, 2)}
    keeper.runner.end_job("j", AFTER_TRIAL_WAIT_SECONDS)
    data = keeper.suspects.next_report(AFTER_TRIAL_WAIT_SECONDS + 1.0)
    assert data is not None, "the cancelled attempts must be reported"
    report = decode_suspect_report(data)
    assert (report.trial_requests, report.crashes, report.served) == ((), (), ())
    reported = {content for tries in report.unanswered for content in tries.contents}
    assert reported <= running, "the held item was sent to no engine, so it must not be reported"


@pytest.mark.parametrize("phase", [CallPhase.SENT, CallPhase.BODY])
def test_a_crash_makes_all_items_at_the_engine_suspect(phase: CallPhase) -> None:
    keeper = Keeper()
    calls = list(keeper.start_waiting(0.0).values())
    effects = [
        effect
        for call in calls
        for effect in keeper.runner.on_call(CallFailed(call.call_id, phase, "reset"), 0.1)
    ]
    [probe] = [e for e in effects if isinstance(e, StartCall) and e.path == "/healthz"]
    refused = CallFailed(probe.call_id, CallPhase.CONNECT, "refused")
    keeper.runner._calls._crash_detector.on_call(refused, 0.11)
    statuses = {keeper.suspects.status(keeper.content(n)) for n in range(3)}
    assert statuses == {SuspectStatus.SUSPECT}


def test_a_complete_text_clears_a_suspect_item() -> None:
    keeper = Keeper()
    keeper.apply_suspects(0.0, i1=SuspectStatus.SUSPECT)
    call = keeper.start_waiting(0.0)["i1"]
    keeper.runner.on_call(CallHeaders(call.call_id, 200, {}), 0.1)
    keeper.runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.15)
    content = keeper.content(1)
    keeper.runner.on_call(CallEnded(call.call_id), 0.2)
    assert keeper.suspects.status(content) is None


def test_a_repeat_suspect_is_not_sent_to_the_last_healthy_engine() -> None:
    keeper = Keeper()
    for state in list(keeper.runner._engines.states.values())[:2]:
        state.record_failure(0.0)
    keeper.apply_suspects(0.0, i1=SuspectStatus.REPEAT_SUSPECT)
    assert set(keeper.start_waiting(0.1)) == {"i0", "i2"}
    assert keeper.run(1).phase is RunPhase.WAITING
    assert set(started_calls(keeper.runner.tick(9.0))) == {"i1"}
