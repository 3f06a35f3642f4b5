"""Results are listed group by group: a reader that waits is answered by what a trainer can use."""

import pytest

from merlinstand.batch_jobs.kept_text import TextPart
from merlinstand.batch_jobs.model import BatchItem, BatchJob, ItemResult
from merlinstand.batch_jobs.runner import ItemRunner
from merlinstand.batch_jobs.state_machine import (
    AcceptJob,
    JobStates,
    KeepTexts,
    ListGroup,
    ListResult,
)
from merlinstand.forwarding.header_names import HeaderNames
from merlinstand.kernel.effects import StartCall
from merlinstand.kernel.events import CallChunk, CallEnded, CallHeaders
from tests.batch_jobs.test_runner_scheduling import calls, make_runner

NAMES = HeaderNames()
HEADERS = {NAMES.weight_versions: "3"}


class Runs:
    """A runner with the items of one job on their engines."""

    def __init__(self, groups: dict[str, str]) -> None:
        items = tuple(
            BatchItem(item_id=item, path="/l/1", headers={"host": "h"}, body=b"", group=group)
            for item, group in groups.items()
        )
        self.states = JobStates()
        self.states.apply(AcceptJob(BatchJob(job_id="j", host="h", path="/l/", items=items)), 0.0)
        self.kept: list[tuple[TextPart, ...]] = []
        self.listed: list[ListResult] = []
        self.runner: ItemRunner = make_runner(self.states, self.kept, self.listed)
        started = calls(self.runner.start_if_news(0.0))
        self.by_item: dict[str, StartCall] = {
            call.headers[NAMES.request_id]: call for call in started
        }

    def end(self, item: str, now: float, status: int = 200) -> None:
        call_id = self.by_item[item].call_id
        self.runner.on_call(CallHeaders(call_id, status, HEADERS), now)
        self.runner.on_call(CallChunk(call_id, b"id: 1\ndata: x\n\n"), now)
        self.runner.on_call(CallEnded(call_id), now)

    @property
    def listed_items(self) -> list[str]:
        return [command.result.item_id for command in self.listed]


@pytest.mark.parametrize(
    ("groups", "ends", "listed"),
    [
        ({"a": "g", "b": "g"}, ["a"], []),
        ({"a": "g", "b": "g"}, ["a", "b"], ["a", "b"]),
        ({"a": "g", "b": "g", "c": "h"}, ["a", "c"], ["c"]),
        ({"a": "", "b": ""}, ["b"], ["b"]),
    ],
    ids=["part of a group", "whole group", "another group", "no groups"],
)
def test_a_group_is_listed_when_it_is_whole(
    groups: dict[str, str], ends: list[str], listed: list[str]
) -> None:
    runs = Runs(groups)
    for item in ends:
        runs.end(item, 0.1)
    assert runs.listed_items == listed


def test_an_item_that_can_never_be_done_counts_as_ended() -> None:
    runs = Runs({"a": "g", "b": "g"})
    runs.end("a", 0.1)
    runs.end("b", 0.2, status=422)
    assert runs.listed_items == ["a", "b"]


def test_the_log_keeps_a_whole_text_while_its_group_is_not_whole() -> None:
    runs = Runs({"a": "g", "b": "g"})
    runs.end("a", 0.1)
    runs.runner.tick(0.15)
    runs.runner.tick(0.2)
    [(part,)] = runs.kept
    assert (part.item_id, part.pieces, part.is_whole) == ("a", ("x",), True)
    runs.states.apply(KeepTexts(runs.kept[0]), 0.2)
    runs.end("b", 0.3)
    assert [command.kept_events for command in runs.listed] == [1, 0]


def test_done_items_of_a_job_whose_time_is_over_are_listed_as_they_are() -> None:
    runs = Runs({"a": "g", "b": "g"})
    runs.end("a", 0.1)
    runs.runner.give_up_job("j", 0.5)
    states = {command.result.item_id: command.result.state.value for command in runs.listed}
    assert states == {"a": "succeeded", "b": "terminated"}


def test_the_results_of_a_group_get_their_positions_at_once() -> None:
    runs = Runs({"a": "g", "b": "g"})
    listings = tuple(
        ListResult("j", ItemResult.succeeded(item, item, (3,), "s")) for item in ("b", "a", "b")
    )
    assert runs.states.apply(ListGroup("j", listings), 1.0) == "j"
    assert [result.item_id for result in runs.states.jobs["j"].results] == ["b", "a"]
    assert runs.states.apply(ListGroup("j", listings), 1.1) == ""
