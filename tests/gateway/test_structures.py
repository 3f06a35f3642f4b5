"""Heap, queue, agenda and event cutter against plain models."""

from hypothesis import given, settings
from hypothesis import strategies as st

from merlinstand.common.event_stream import EventCutter
from merlinstand.gateway.agenda import Agenda, Due
from merlinstand.gateway.fair_queue import FairQueue
from merlinstand.gateway.removable_heap import RemovableHeap
from merlinstand.kernel.effects import Effect, SetTimer

_HEAP_STEPS = st.lists(
    st.tuples(st.sampled_from(["put", "remove", "pop"]), st.integers(0, 9), st.integers(0, 5)),
    max_size=60,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(steps=_HEAP_STEPS)
def test_heap_behaves_like_a_sorted_table(steps: list[tuple[str, int, int]]) -> None:
    heap: RemovableHeap[int] = RemovableHeap()
    model: dict[int, tuple[float, int]] = {}
    for order, (step, key, priority) in enumerate(steps):
        if step == "put":
            heap.put(key, float(priority))
            model[key] = (float(priority), order)
        elif step == "remove":
            assert heap.remove(key) == (model.pop(key, None) is not None)
        else:
            expected = min(model, key=lambda name: model[name], default=None)
            popped = heap.pop()
            assert (None if popped is None else popped[1]) == expected
            if expected is not None:
                del model[expected]
        assert len(heap) == len(model)


def test_heap_memory_follows_its_live_entries() -> None:
    heap: RemovableHeap[int] = RemovableHeap()
    for number in range(100_000):
        heap.put(number, float(number))
        heap.remove(number)
    assert len(heap._entries) < 1_000


def test_agenda_sets_one_timer_for_the_earliest() -> None:
    agenda = Agenda()
    out: list[Effect] = []
    agenda.set((Due.DEADLINE, 1), 5.0)
    agenda.arm(0.0, out)
    agenda.set((Due.DEADLINE, 2), 7.0)
    agenda.arm(0.0, out)
    agenda.set((Due.DEADLINE, 3), 2.0)
    agenda.arm(0.0, out)
    assert [effect.delay_seconds for effect in out if isinstance(effect, SetTimer)] == [5.0, 2.0]
    agenda.timer_fired()
    assert agenda.take_due(5.0) == [(Due.DEADLINE, 3), (Due.DEADLINE, 1)]


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    pushes=st.lists(
        st.tuples(st.integers(0, 3), st.integers(1, 20), st.booleans()), min_size=1, max_size=80
    )
)
def test_queue_keeps_each_callers_order_and_loses_nothing(
    pushes: list[tuple[int, int, bool]],
) -> None:
    queue: FairQueue[int] = FairQueue(20, 10)
    waiting: set[int] = set()
    popped: list[int] = []
    callers = {}
    for number, (caller, cost, pop_one) in enumerate(pushes):
        accepted, evicted = queue.push(number, number, f"c{caller}", 1.0, float(cost))
        callers[number] = caller
        if accepted:
            waiting.add(number)
        if evicted is not None:
            waiting.remove(evicted)
        if pop_one:
            item = queue.pop()
            if item is not None:
                waiting.remove(item)
                popped.append(item)
        assert len(queue) == len(waiting) <= 20
    while (item := queue.pop()) is not None:
        waiting.remove(item)
        popped.append(item)
    assert not waiting
    assert queue.queued_cost == 0.0
    for caller in range(4):
        own = [number for number in popped if callers[number] == caller]
        assert own == sorted(own)


def test_queue_shares_cost_by_weight() -> None:
    queue: FairQueue[str] = FairQueue(1000, 500)
    for number in range(300):
        queue.push(number, "heavy", "heavy", 1.0, 10.0)
        queue.push(1000 + number, "light", "light", 2.0, 1.0)
    served = [queue.pop() for _ in range(210)]
    # Weight 2 and a tenth of the cost: twenty light items for each heavy one.
    assert served.count("light") == 200


def test_idle_caller_saves_up_no_credit() -> None:
    queue: FairQueue[str] = FairQueue(1000, 500)
    for number in range(100):
        queue.push(number, "busy", "busy", 1.0, 1.0)
    for _ in range(50):
        queue.pop()
    for number in range(200, 250):
        queue.push(number, "late", "late", 1.0, 1.0)
    served = [queue.pop() for _ in range(40)]
    assert 19 <= served.count("late") <= 21


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
    cutter = EventCutter()
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
