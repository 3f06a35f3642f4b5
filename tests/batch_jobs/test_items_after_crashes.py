"""Items under which engines crashed are run again at once, apart from each other.

Guards against items that no engine gets any more because they are taken for the cause of crashes
(LOST), and against daemons that report them as suspects.
"""

import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob, ResultState
from merlinstand.batch_jobs.daemon import TICK_SECONDS
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.item_run import ItemRun
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
    decode_suspect_report,
)
from merlinstand.quarantine.request_digest import compute_digest
from tests.batch_jobs.contexts import make_context
from tests.batch_jobs.test_runner_scheduling import ROUTE, no_report

AFTER_PAUSE_SECONDS = 5.0
ITEM_WAIT_LIMIT_SECONDS = 2.0
"""An item starts within this time if a sound engine has room."""
ENGINES = 3


class Keeper:
    """A runner with one group of three items and three engines of three slots."""

    def __init__(self, maximum_tokens: int = 0) -> None:
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
                item_id=f"i{n}",
                path="/l/1",
                headers={"host": "h"},
                body=b"%d" % n,
                maximum_tokens=maximum_tokens,
                group="g",
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
        """Return the digest of a live request that equals an item's."""
        return compute_digest("", "h", "POST", "/l/1", b"%d" % number)

    def apply_suspects(self, now: float, **statuses: SuspectStatus) -> None:
        """Apply a list of suspects from the control leader: requests that equal items."""
        self.revision += 1
        view = {self.content(int(name[1:])): Suspicion(s) for name, s in statuses.items()}
        self.suspects.apply_view(SuspectsView(view), self.revision, now)

    def start_waiting(self, now: float) -> dict[str, StartCall]:
        """Start waiting items; return their calls by item id."""
        return started_calls(self.runner.start_if_due(now))


def started_calls(effects: list[Effect]) -> dict[str, StartCall]:
    names = HeaderNames()
    calls = [effect for effect in effects if isinstance(effect, StartCall)]
    return {call.headers[names.request_id]: call for call in calls}


def crash_engines(keeper: Keeper, calls: list[StartCall], now: float) -> None:
    """Crash the engines of some calls: the connections break, and probes are refused."""
    for call in calls:
        for effect in keeper.runner.on_call(CallFailed(call.call_id, CallPhase.BODY, "reset"), now):
            if isinstance(effect, StartCall) and effect.path == "/healthz":
                refused = CallFailed(effect.call_id, CallPhase.CONNECT, "refused")
                keeper.runner._calls._crash_detector.on_call(refused, now)


def test_items_of_a_group_share_an_engine_while_none_was_interrupted() -> None:
    keeper = Keeper()
    assert len({call.address for call in keeper.start_waiting(0.0).values()}) == 1


def test_interrupted_items_run_at_different_engines_on_new_connections() -> None:
    keeper = Keeper()
    crash_engines(keeper, list(keeper.start_waiting(0.0).values()), 0.1)
    calls = keeper.start_waiting(AFTER_PAUSE_SECONDS)
    assert len({call.address for call in calls.values()}) == ENGINES
    assert all(call.fresh_connection for call in calls.values())


@pytest.mark.parametrize("status", SuspectStatus)
def test_an_item_runs_although_an_equal_live_request_is_suspected(status: SuspectStatus) -> None:
    keeper = Keeper()
    keeper.apply_suspects(0.0, i0=status, i1=status, i2=status)
    assert set(keeper.start_waiting(0.0)) == {"i0", "i1", "i2"}


@pytest.mark.parametrize("crashes", [1, 2, 3, 8])
def test_an_item_runs_again_after_any_number_of_crashes(crashes: int) -> None:
    keeper = Keeper()
    for number in range(crashes):
        now = AFTER_PAUSE_SECONDS * number
        calls = keeper.start_waiting(now)
        assert set(calls) == {"i0", "i1", "i2"}
        crash_engines(keeper, list(calls.values()), now + 0.1)
    assert set(keeper.start_waiting(AFTER_PAUSE_SECONDS * crashes)) == {"i0", "i1", "i2"}


def test_an_interrupted_item_is_sent_to_the_last_healthy_engine() -> None:
    keeper = Keeper()
    crash_engines(keeper, list(keeper.start_waiting(0.0).values()), 0.1)
    for state in list(keeper.runner._engines.states.values())[:2]:
        state.record_failure(AFTER_PAUSE_SECONDS)
    calls = keeper.start_waiting(AFTER_PAUSE_SECONDS + 0.1)
    assert set(calls) == {"i0", "i1", "i2"}
    assert {call.address for call in calls.values()} == {"10.0.0.2:1"}


def test_an_interrupted_item_is_terminated_when_its_job_expires() -> None:
    keeper = Keeper()
    crash_engines(keeper, list(keeper.start_waiting(0.0).values()), 0.1)
    keeper.runner.expire_job("j", 700.0)
    states = {c.result.item_id: c.result.state for c in keeper.listed}
    assert states == dict.fromkeys(("i0", "i1", "i2"), ResultState.TERMINATED)


def test_interrupted_items_do_not_count_as_started_in_their_group() -> None:
    keeper = Keeper()
    crash_engines(keeper, list(keeper.start_waiting(0.0).values()), 0.1)
    assert group_progress([keeper.run(n) for n in range(3)])[("j", "g")].started_count == 0


@pytest.mark.parametrize("phase", [CallPhase.SENT, CallPhase.BODY])
def test_a_crash_is_reported_without_the_items_at_the_engine(phase: CallPhase) -> None:
    keeper = Keeper()
    calls = list(keeper.start_waiting(0.0).values())
    effects = [
        effect
        for call in calls
        for effect in keeper.runner.on_call(CallFailed(call.call_id, phase, "reset"), 0.1)
    ]
    [probe] = [e for e in effects if isinstance(e, StartCall) and e.path == "/healthz"]
    refused = CallFailed(probe.call_id, CallPhase.CONNECT, "refused")
    [log] = keeper.runner._calls._crash_detector.on_call(refused, 0.11)
    assert isinstance(log, LogEvent)
    assert log.fields["in_flight"] == 3
    assert keeper.suspects.is_empty
    data = keeper.suspects.next_report(0.2)
    assert data is not None
    report = decode_suspect_report(data)
    assert [crash.contents for crash in report.crashes] == [()]
    assert (report.unanswered, report.in_flight, report.trial_requests) == ((), (), ())


@pytest.mark.parametrize("reason", ["timeout", "reset"])
def test_an_attempt_of_an_item_is_never_reported_as_unanswered(reason: str) -> None:
    keeper = Keeper()
    for call in keeper.start_waiting(0.0).values():
        keeper.runner.on_call(CallFailed(call.call_id, CallPhase.SENT, reason), 0.1)
    keeper.runner.end_job("j", 0.2)
    assert keeper.suspects.next_report(0.3) is None


def test_items_are_not_announced_when_they_are_sent() -> None:
    keeper = Keeper()
    view = SuspectsView(announced_services={"llm": 1})
    keeper.suspects.apply_view(view, 1, 0.0)
    keeper.start_waiting(0.1)
    assert keeper.suspects.next_report(0.2) is None


def test_a_complete_text_does_not_free_an_equal_live_request() -> None:
    keeper = Keeper()
    keeper.apply_suspects(0.0, i1=SuspectStatus.SUSPECT)
    call = keeper.start_waiting(0.0)["i1"]
    keeper.runner.on_call(CallHeaders(call.call_id, 200, {}), 0.1)
    keeper.runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.15)
    keeper.runner.on_call(CallEnded(call.call_id), 0.2)
    assert keeper.suspects.status(keeper.content(1)) is SuspectStatus.SUSPECT


def test_an_equal_item_of_the_next_job_runs_at_once() -> None:
    keeper = Keeper()
    for number in range(3):
        now = AFTER_PAUSE_SECONDS * number
        crash_engines(keeper, list(keeper.start_waiting(now).values()), now + 0.1)
    now = AFTER_PAUSE_SECONDS * 3
    jobs = keeper.runner._jobs
    keeper.runner.end_job("j", now)
    items = jobs.jobs["j"].job.items
    jobs.apply(AcceptJob(BatchJob(job_id="k", host="h", path="/l/", items=items)), now)
    keeper.runner.add_job(jobs.jobs["k"], now)
    assert set(keeper.start_waiting(now)) == {"i0", "i1", "i2"}


@pytest.mark.parametrize("failures", [1, 3, 6, 12])
def test_an_item_waits_at_most_two_seconds_for_the_only_engine_after_failures(
    failures: int,
) -> None:
    """Guards against a backoff that keeps items from a sound engine (LOST)."""
    keeper = Keeper()
    [only, *others] = keeper.runner._engines.states.values()
    for other in others:
        other.running = other.slots
    now = 0.0
    for _ in range(failures):
        while not (calls := started_calls(keeper.runner.tick(now))):
            now += TICK_SECONDS
        for call in calls.values():
            keeper.runner.on_call(CallFailed(call.call_id, CallPhase.CONNECT, "refused"), now)
    failed_at = now
    while not (calls := started_calls(keeper.runner.tick(now))):
        now += TICK_SECONDS
    assert {call.address for call in calls.values()} == {only.backend.address}
    assert now - failed_at <= ITEM_WAIT_LIMIT_SECONDS
