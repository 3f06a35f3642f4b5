"""Outcomes of scoring calls, and the limit on concurrent ones."""

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
SCORING_ROUTE = make_route(RouteKind.REPEATABLE, "shop", "/score/", maximum_attempts=3)


class Scoring:
    """A runner with items that have no text and are ready to be scored."""

    def __init__(self, items: int = 1, slots: int = 0) -> None:
        self.listed: list[ItemResult] = []
        report = DaemonReport(node_id="k", name="k", role="keeper")
        follower = DirectoryFollower((), lambda _now: report)
        follower.routes = RouteTable(RoutesDocument(version=1, routes=(SCORING_ROUTE,)))
        shop = Backend(backend_id=BackendId("s"), service="shop", address="s:1", slots=slots)
        follower.set_backends((shop,))
        jobs = JobStates()
        items_with_scoring = tuple(
            BatchItem(
                item_id=f"i{number}",
                path="/llm/1",
                headers={},
                body=b"",
                scoring=ScoringCall(f"s{number}", "h", "/score/1", b""),
            )
            for number in range(1, items + 1)
        )
        jobs.apply(
            AcceptJob(BatchJob(job_id="j", host="h", path="/llm/x", items=items_with_scoring)), 0.0
        )
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

    def complete_texts(self) -> list[StartCall]:
        """Queue the scoring calls of all items and return those that start."""
        effects = [
            e for run in self.runner._runs.values() for e in self.runner._scoring.score(run, 1.0)
        ]
        return [effect for effect in effects if isinstance(effect, StartCall)]

    def respond(self, call: StartCall) -> list[StartCall]:
        """Respond to a scoring call and return the calls that start then."""
        headers = {NAMES.signature: "sig"}
        self.forwarder.on_call(CallResponded(call.call_id, 200, headers, b""), 1.0)
        effects = [e for f in self.forwarder.take_finished() for e in self.runner.on_scored(f, 1.0)]
        return [effect for effect in effects if isinstance(effect, StartCall)]

    def finish_call(self, outcome: ForwardOutcome, attempts: int, failed_answers: int) -> None:
        request = ForwardRequest(
            key=self.run.key,
            route=SCORING_ROUTE,
            service="shop",
            method="POST",
            path="/score/1",
            headers={},
            body=b"",
            request_id="s1",
            deadline_at=9.0,
        )
        self.runner.on_scored(FinishedRequest(request, outcome, attempts, "s", failed_answers), 1.0)


def test_the_signature_of_a_response_is_the_score() -> None:
    scoring = Scoring()
    scoring.finish_call(Answered(200, {NAMES.signature: "sig"}, b""), 1, 0)
    [result] = scoring.listed
    assert (result.state, result.score) == (ResultState.SUCCEEDED, "sig")


def test_lost_responses_never_terminate_an_item() -> None:
    """A lost response does not prove that scoring failed, so it must not count as a failure."""
    scoring = Scoring()
    for _ in range(5):
        scoring.finish_call(OutcomeUnknown("reset", False), 3, 0)
    scoring.finish_call(Answered(500, {}, b""), 3, 1)
    assert scoring.listed == []


def test_as_many_failures_as_maximum_attempts_terminate_an_item() -> None:
    scoring = Scoring()
    scoring.finish_call(Answered(500, {}, b""), 3, 2)
    scoring.finish_call(Answered(500, {}, b""), 1, 1)
    [result] = scoring.listed
    assert result.state is ResultState.TERMINATED


@pytest.mark.parametrize(
    ("slots", "in_progress"),
    [
        pytest.param(18, 13, id="three-quarters-of-the-slots"),
        pytest.param(0, 1, id="slots-unknown"),
        pytest.param(200, 40, id="more-slots-than-calls"),
    ],
)
def test_calls_in_progress_are_limited_to_a_share_of_the_slots(
    slots: int, in_progress: int
) -> None:
    queue = ScoringQueue(lambda _service: slots)
    for number in range(40):
        queue.add(f"i{number}", "shop")
    started = queue.start_ready("shop")
    assert started == [f"i{number}" for number in range(in_progress)]
    assert queue.start_ready("shop") == []
    assert queue.release("i0") == "shop"
    assert queue.release("i0") == ""
    assert queue.start_ready("shop") == ([f"i{in_progress}"] if in_progress < 40 else [])


def test_each_service_has_its_own_limit() -> None:
    queue = ScoringQueue(lambda _service: 2)
    for key, service in (("a", "shop"), ("b", "shop"), ("c", "other")):
        queue.add(key, service)
    assert queue.start_ready("shop") == ["a"]
    assert queue.start_ready("other") == ["c"]
    assert queue.services_with_queued_calls() == ["shop"]


def test_all_items_of_a_burst_are_scored_within_the_limit() -> None:
    scoring = Scoring(items=20, slots=6)
    calls = scoring.complete_texts()
    assert len(calls) == 4
    while calls:
        assert len(calls) <= 4
        call = calls.pop(0)
        calls += scoring.respond(call)
    assert len(scoring.listed) == 20
