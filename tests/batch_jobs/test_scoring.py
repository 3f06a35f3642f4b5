"""When an item is given up for its scoring call, and how many calls are under way."""

import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob, ItemResult, ResultState, ScoringCall
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.item_run import RunPhase
from merlinstand.batch_jobs.runner import ItemRunner
from merlinstand.batch_jobs.scoring_queue import ScoringQueue
from merlinstand.batch_jobs.state_machine import AcceptJob, JobStates, ListResult
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import (
    Answered,
    FinishedRequest,
    ForwardOutcome,
    ForwardRequest,
    OutcomeUnknown,
)
from merlinstand.cluster.routes import RouteKind, RoutesDocument, RouteTable
from merlinstand.common.ids import BackendId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.kernel.effects import Effect, StartCall
from merlinstand.kernel.events import CallResponded
from tests.batch_jobs.contexts import make_context
from tests.routes import make_route

NAMES = HeaderNames()
SCORE_ROUTE = make_route(RouteKind.REPEATABLE, "shop", "/score/", maximum_attempts=3)


class Scoring:
    """A runner with items whose texts are whole."""

    def __init__(self, items: int = 1, slots: int = 0) -> None:
        self.listed: list[ItemResult] = []
        report = DaemonReport(node_id="k", name="k", role="keeper")
        follower = DirectoryFollower((), lambda _now: report)
        follower.routes = RouteTable(RoutesDocument(version=1, routes=(SCORE_ROUTE,)))
        shop = Backend(backend_id=BackendId("s"), service="shop", address="s:1", slots=slots)
        follower.set_backends((shop,))
        jobs = JobStates()
        made = tuple(
            BatchItem(
                item_id=f"i{number}",
                path="/llm/1",
                headers={},
                body=b"",
                scoring=ScoringCall(f"s{number}", "h", "/score/1", b""),
            )
            for number in range(1, items + 1)
        )
        jobs.apply(AcceptJob(BatchJob(job_id="j", host="h", path="/llm/x", items=made)), 0.0)
        self.forwarder = Forwarder(NAMES, follower.backends_of)
        context = make_context(
            jobs,
            follower,
            EngineStates(follower),
            self.forwarder,
            NAMES,
            self._list,
        )
        self.runner = ItemRunner(context)
        self.runner.add_job(jobs.jobs["j"], 0.0)
        for run in self.runner._runs.values():
            run.phase = RunPhase.SCORING
        self.run = next(iter(self.runner._runs.values()))

    def _list(self, command: ListResult, _now: float) -> list[Effect]:
        self.listed.append(command.result)
        return []

    def end_generation(self) -> list[StartCall]:
        """All texts are whole; gives the scoring calls that begin."""
        effects = [
            e for run in self.runner._runs.values() for e in self.runner._scoring.score(run, 1.0)
        ]
        return [effect for effect in effects if isinstance(effect, StartCall)]

    def answer(self, call: StartCall) -> list[StartCall]:
        """Answer a scoring call; gives those that begin then."""
        headers = {NAMES.signature: "sig"}
        self.forwarder.on_call(CallResponded(call.call_id, 200, headers, b""), 1.0)
        effects = [e for f in self.forwarder.take_finished() for e in self.runner.on_scored(f, 1.0)]
        return [effect for effect in effects if isinstance(effect, StartCall)]

    def scored(self, outcome: ForwardOutcome, attempts: int, failed_answers: int) -> None:
        request = ForwardRequest(
            key=self.run.key,
            route=SCORE_ROUTE,
            service="shop",
            method="POST",
            path="/score/1",
            headers={},
            body=b"",
            request_id="s1",
            deadline_at=9.0,
        )
        self.runner.on_scored(FinishedRequest(request, outcome, attempts, "s", failed_answers), 1.0)


def test_a_signed_answer_is_the_score() -> None:
    scoring = Scoring()
    scoring.scored(Answered(200, {NAMES.signature: "sig"}, b""), 1, 0)
    [result] = scoring.listed
    assert (result.state, result.score) == (ResultState.SUCCEEDED, "sig")


def test_lost_answers_never_give_an_item_up() -> None:
    """tatravet-book mix 347986209464 (hunt 5ba8): said to be dead before it could be given up."""
    scoring = Scoring()
    for _ in range(5):
        scoring.scored(OutcomeUnknown("reset", False), 3, 0)
    scoring.scored(Answered(500, {}, b""), 3, 1)
    assert scoring.listed == []


def test_as_many_failures_as_attempts_give_it_up() -> None:
    scoring = Scoring()
    scoring.scored(Answered(500, {}, b""), 3, 2)
    scoring.scored(Answered(500, {}, b""), 1, 1)
    [result] = scoring.listed
    assert result.state is ResultState.TERMINATED


@pytest.mark.parametrize(
    ("slots", "under_way"),
    [
        pytest.param(18, 13, id="three-quarters-of-the-slots"),
        pytest.param(0, 1, id="slots-unknown"),
        pytest.param(200, 40, id="more-than-there-is-to-score"),
    ],
)
def test_no_more_calls_are_under_way_than_leave_callers_their_share(
    slots: int, under_way: int
) -> None:
    queue = ScoringQueue(lambda _service: slots)
    for number in range(40):
        queue.add(f"i{number}", "shop")
    begun = queue.take("shop")
    assert begun == [f"i{number}" for number in range(under_way)]
    assert queue.take("shop") == []
    assert queue.end("i0") == "shop"
    assert queue.end("i0") == ""
    assert queue.take("shop") == ([f"i{under_way}"] if under_way < 40 else [])


def test_services_have_places_of_their_own() -> None:
    queue = ScoringQueue(lambda _service: 2)
    for key, service in (("a", "shop"), ("b", "shop"), ("c", "other")):
        queue.add(key, service)
    assert queue.take("shop") == ["a"]
    assert queue.take("other") == ["c"]
    assert queue.services_waiting() == ["shop"]


def test_a_burst_of_items_is_scored_one_after_the_other_and_whole() -> None:
    scoring = Scoring(items=20, slots=6)
    calls = scoring.end_generation()
    assert len(calls) == 4
    while calls:
        assert len(calls) <= 4
        answered = calls.pop(0)
        calls += scoring.answer(answered)
    assert len(scoring.listed) == 20
