"""A run whose engine sends without end, but nothing that completes the text, is ended.

Guards against items that stay at such an engine until their step runs out of time (LOST), and
against texts that grow without limit.
"""

import pytest

from merlinstand.batch_jobs.item_run import RunPhase
from merlinstand.kernel.effects import CancelCall, LogEvent
from merlinstand.kernel.events import CallChunk, CallHeaders
from tests.batch_jobs.contexts import EVENT_TIMEOUT_SECONDS
from tests.batch_jobs.test_items_after_crashes import Keeper

MAXIMUM_TOKENS = 40


def make_keeper() -> Keeper:
    return Keeper(maximum_tokens=MAXIMUM_TOKENS)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b": ping\n\n", id="comments"),
        pytest.param(b"data: x\n\n", id="events without an id"),
    ],
)
def test_data_that_is_no_event_of_the_text_does_not_prolong_a_run(data: bytes) -> None:
    keeper = make_keeper()
    call = keeper.start_waiting(0.0)["i1"]
    keeper.runner.on_call(CallHeaders(call.call_id, 200, {}), 0.1)
    keeper.runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.5)
    now = 0.5
    while now < 0.5 + EVENT_TIMEOUT_SECONDS - 0.2:
        now += 0.1
        assert keeper.runner.on_call(CallChunk(call.call_id, data), now) == []
    [log, cancel] = keeper.runner.on_call(CallChunk(call.call_id, data), now + 0.3)
    assert isinstance(log, LogEvent)
    assert (log.name, log.fields["reason"]) == ("item.run_ended", "no_event")
    assert cancel == CancelCall(call.call_id)
    assert keeper.run(1).phase is RunPhase.WAITING
    assert keeper.run(1).text.last_event_id == 1, "the next run continues after the last event"


def test_a_text_with_more_events_than_tokens_starts_again_at_another_engine() -> None:
    keeper = make_keeper()
    call = keeper.start_waiting(0.0)["i1"]
    keeper.runner.on_call(CallHeaders(call.call_id, 200, {}), 0.1)
    for number in range(1, MAXIMUM_TOKENS + 1):
        event = b"id: %d\ndata: x\n\n" % number
        assert keeper.runner.on_call(CallChunk(call.call_id, event), 0.1 + 0.01 * number) == []
    event = b"id: %d\ndata: x\n\n" % (MAXIMUM_TOKENS + 1)
    [log, cancel] = keeper.runner.on_call(CallChunk(call.call_id, event), 1.0)
    assert isinstance(log, LogEvent)
    assert log.fields["reason"] == "too_many_events"
    assert cancel == CancelCall(call.call_id)
    assert keeper.run(1).text.last_event_id == 0
    assert keeper.start_waiting(1.2)["i1"].address != call.address
