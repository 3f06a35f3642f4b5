"""Agenda and event cutter against plain models."""

from hypothesis import given, settings
from hypothesis import strategies as st

from merlinstand.common.event_stream import EventSplitter
from merlinstand.gateway.timer_queue import TimerKind, TimerQueue
from merlinstand.kernel.effects import Effect, SetTimer


def test_timer_queue_sets_one_timer_for_the_earliest() -> None:
    timer_queue = TimerQueue()
    out: list[Effect] = []
    timer_queue.schedule((TimerKind.DEADLINE, 1), 5.0)
    timer_queue.set_host_timer(0.0, out)
    timer_queue.schedule((TimerKind.DEADLINE, 2), 7.0)
    timer_queue.set_host_timer(0.0, out)
    timer_queue.schedule((TimerKind.DEADLINE, 3), 2.0)
    timer_queue.set_host_timer(0.0, out)
    assert [effect.delay_seconds for effect in out if isinstance(effect, SetTimer)] == [5.0, 2.0]
    timer_queue.on_host_timer()
    assert timer_queue.pop_due(5.0) == [(TimerKind.DEADLINE, 3), (TimerKind.DEADLINE, 1)]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    texts=st.lists(st.binary(min_size=1, max_size=12), max_size=6),
    cuts=st.lists(st.integers(1, 7), min_size=1, max_size=40),
)
def test_cutter_gives_the_same_events_however_bytes_are_cut(
    texts: list[bytes], cuts: list[int]
) -> None:
    clean = [text.replace(b"\n", b"_").replace(b"\r", b"_") for text in texts]
    data = b"".join(text + b"\r\n\r\n" for text in clean)
    cutter = EventSplitter()
    events: list[bytes] = []
    position = 0
    turn = 0
    while position < len(data):
        length = cuts[turn % len(cuts)]
        events += cutter.feed(data[position : position + length])
        position += length
        turn += 1
    assert events == clean
    assert cutter.pending_bytes == 0
