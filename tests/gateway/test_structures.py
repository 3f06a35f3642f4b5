"""Timer queue and event splitter."""

from hypothesis import given, settings
from hypothesis import strategies as st

from merlinstand.common.event_stream import EventSplitter
from merlinstand.gateway.timer_queue import TimerKind, TimerQueue
from merlinstand.kernel.effects import Effect, SetTimer


def test_timer_queue_sets_one_host_timer_for_the_earliest_key() -> None:
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
    chunk_sizes=st.lists(st.integers(1, 7), min_size=1, max_size=40),
)
def test_splitter_returns_the_same_events_for_any_chunks(
    texts: list[bytes], chunk_sizes: list[int]
) -> None:
    clean = [text.replace(b"\n", b"_").replace(b"\r", b"_") for text in texts]
    data = b"".join(text + b"\r\n\r\n" for text in clean)
    splitter = EventSplitter()
    events: list[bytes] = []
    position = 0
    chunk_index = 0
    while position < len(data):
        length = chunk_sizes[chunk_index % len(chunk_sizes)]
        events += splitter.feed(data[position : position + length])
        position += length
        chunk_index += 1
    assert events == clean
    assert splitter.pending_bytes == 0
