"""Compares the heap with a dictionary-based model, and checks that its memory is bounded."""

from hypothesis import given, settings
from hypothesis import strategies as st

from merlinstand.common.removable_heap import RemovableHeap

_HEAP_STEPS = st.lists(
    st.tuples(st.sampled_from(["put", "remove", "pop"]), st.integers(0, 9), st.integers(0, 5)),
    max_size=60,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(steps=_HEAP_STEPS)
def test_heap_matches_the_reference_model(steps: list[tuple[str, int, int]]) -> None:
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


def test_removed_entries_do_not_accumulate_in_memory() -> None:
    heap: RemovableHeap[int] = RemovableHeap()
    for number in range(100_000):
        heap.put(number, float(number))
        heap.remove(number)
    assert len(heap._entries) < 1_000
