"""Unit tests of planning, composition, slots, spans, lengths, forecasts and staleness."""

import itertools
import math

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from merlinstand.coordinator.composition import Candidate, compose
from merlinstand.coordinator.engine_protocol import Span
from merlinstand.coordinator.event_stream import EventStreamParser
from merlinstand.coordinator.forecast import ConsumerForecast, Demand
from merlinstand.coordinator.lengths import LengthStatistics
from merlinstand.coordinator.planning import Supply, plan_starts
from merlinstand.coordinator.samples import Sample
from merlinstand.coordinator.slots import SlotState, SlotTable
from merlinstand.coordinator.spans import SpanRecorder, normalised
from merlinstand.coordinator.staleness import StalenessBound, VersionClock
from merlinstand.coordinator.store import SampleStore

READY = -math.inf


def _plan(demands: list[Demand], supplies: list[Supply], factor: float = 1.25) -> list[int]:
    starts = plan_starts(demands, supplies, usual_staleness=1, over_commit_factor=factor)
    return [start.count for start in starts]


def test_plans_the_missing_samples_of_each_batch() -> None:
    demands = [Demand(0, 10.0, 5, 8, False), Demand(1, 20.0, 6, 8, False)]
    supplies = [Supply(4, READY, 3, 1), Supply(4, 5.0, 2, 1), Supply(3, READY, 4, 1)]
    assert _plan(demands, supplies) == [3, 8]


def test_late_samples_are_replaced_within_the_factor_and_carried_over() -> None:
    demands = [Demand(0, 10.0, 5, 8, False)]
    supplies = [Supply(4, READY, 4, 1), Supply(4, 50.0, 4, 1)]
    assert _plan(demands, supplies) == [2]
    assert _plan(demands, supplies, factor=1.0) == []


def test_stragglers_of_an_awaited_batch_are_not_replaced() -> None:
    demands = [Demand(0, 10.0, 5, 8, True)]
    assert _plan(demands, [Supply(4, READY, 4, 1), Supply(4, 50.0, 4, 1)]) == []


def test_samples_that_may_be_delivered_at_the_bound_count_as_supply() -> None:
    demands = [Demand(0, 10.0, 5, 8, False)]
    assert _plan(demands, [Supply(3, READY, 8, 2)]) == []
    assert _plan(demands, [Supply(3, READY, 8, 1)]) == [8]


def _candidate(slot: int, version: int, at_bound: bool = False) -> Candidate:
    sample = Sample(
        job="j",
        slot=slot,
        sample_id=f"j/{slot}/0",
        prompt_index=slot,
        attempt=0,
        prompt="p",
        text="t",
        token_count=1,
        spans=(Span(version, 0, 1),),
        finish_reason="stop",
    )
    return Candidate(sample, 1.0, at_bound, at_bound)


def test_oldest_samples_are_composed_first_and_passed_over_ones_within_the_budget() -> None:
    units = [[_candidate(0, 5)], [_candidate(1, 3, True)], [_candidate(2, 4)]]
    slots = [c.sample.slot for c in compose(units, 2, passed_over_budget=1)]
    assert slots == [1, 2]
    assert [c.sample.slot for c in compose(units, 2, 0)] == [2, 0]
    assert compose(units, 3, 0) == ()


def test_a_partial_prompt_does_not_prevent_whole_ones_from_filling_a_batch() -> None:
    pairs = [[_candidate(2 * number, 5), _candidate(2 * number + 1, 5)] for number in range(3)]
    part = [_candidate(90, 3)]
    slots = [candidate.sample.slot for candidate in compose([part, *pairs], 4, 0)]
    assert slots == [0, 1, 2, 3], (
        "the partial prompt would leave a gap that no whole prompt fits into"
    )
    another = [_candidate(92, 4)]
    slots = [candidate.sample.slot for candidate in compose([part, another, *pairs], 4, 0)]
    assert slots == [90, 92, 0, 1], (
        "partial prompts that fill the batch are delivered first, as they are older"
    )


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(0, 5), st.lists(st.integers(1, 3), max_size=6))
def test_enough_whole_prompts_always_fill_a_batch(spare: int, parts: list[int]) -> None:
    slots = iter(range(1000))
    sizes = [*parts, *([4] * (4 + spare))]
    units = [[_candidate(next(slots), 1) for _ in range(size)] for size in sizes]
    assert len(compose(units, 16, 0)) == 16


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.integers(1, 4), max_size=12),
    st.integers(1, 16),
    st.lists(st.booleans(), min_size=48, max_size=48),
    st.integers(0, 5),
)
def test_compose_takes_whole_units_within_budget_or_nothing(
    sizes: list[int], batch_size: int, old: list[bool], budget: int
) -> None:
    slots = iter(range(1000))
    units = [[_candidate(slot := next(slots), 1, old[slot]) for _ in range(n)] for n in sizes]
    chosen = compose(units, batch_size, budget)
    assert len(chosen) in (0, batch_size)
    assert sum(candidate.at_bound for candidate in chosen) <= budget
    picked = {candidate.sample.slot for candidate in chosen}
    for unit in units:
        inside = {candidate.sample.slot for candidate in unit} & picked
        assert len(inside) in (0, len(unit))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 9)), min_size=1, max_size=12))
def test_spans_cover_all_tokens_without_gaps(chunks: list[tuple[int, int]]) -> None:
    span_recorder = SpanRecorder()
    for version, count in chunks:
        assert isinstance(span_recorder.append(version, span_recorder.token_count, count), Ok)
    spans = span_recorder.spans()
    assert spans[0].first_token == 0
    assert spans[-1].end_token == sum(count for _, count in chunks)
    for left, right in itertools.pairwise(spans):
        assert left.end_token == right.first_token
        assert left.version != right.version
    assert normalised(spans) == spans


def test_spans_that_are_not_contiguous_are_rejected() -> None:
    assert normalised((Span(1, 0, 3), Span(2, 4, 5))) is None
    assert normalised((Span(0, 0, 3),)) is None


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from([b"one", b"two", b"[DONE]"]), max_size=6), st.integers(1, 9))
def test_events_are_parsed_from_pieces_of_any_size(payloads: list[bytes], piece: int) -> None:
    stream = b"".join(b": comment\r\ndata: " + payload + b"\r\n\r\n" for payload in payloads)
    parser = EventStreamParser()
    seen: list[bytes] = []
    for start in range(0, len(stream), piece):
        seen.extend(parser.feed(stream[start : start + piece]).unwrap())
    assert seen == payloads


def test_an_event_beyond_the_size_limit_is_malformed() -> None:
    parser = EventStreamParser()
    assert parser.feed(b"data: " + b"x" * (2 * 1024 * 1024)).is_err()


def test_the_first_durable_sample_of_a_slot_is_kept() -> None:
    store = SampleStore("j", 1, 1)
    store.slots.open_group()
    assert store.put(_candidate(0, 1).sample)
    twin = _candidate(0, 2).sample
    assert not store.put(twin)
    assert store.samples[0].oldest_version == 1


def test_used_slots_stay_used() -> None:
    store = SampleStore("j", 1, 1)
    store.load_used(2, [4])
    assert not store.put(_candidate(4, 1).sample)
    store.slots.set_state(4, SlotState.WANTED)
    assert store.slots.state(4) is SlotState.USED
    assert store.slots.wanted() == [2, 3]


def test_a_discarded_slot_is_not_generated_again() -> None:
    store = SampleStore("j", 2, 2)
    store.slots.open_group()
    assert store.expire(0, too_long=True), "all slots of the prompt are discarded"
    assert store.expire(1) and store.drop(1)
    assert [store.slots.state(slot) for slot in (0, 1)] == [SlotState.DISCARDED] * 2
    assert store.slots.wanted() == []


def test_slots_used_in_the_ledger_are_not_stored() -> None:
    table = SlotTable("j", 2)
    table.load_used(10**9, [])
    assert table.open_group() == [10**9, 10**9 + 1]


def test_expected_remaining_length_grows_with_heavy_tails() -> None:
    lengths = LengthStatistics(4096)
    for length in [50] * 90 + [2000] * 10:
        lengths.record("p", length)
    assert lengths.expected_remaining(10) < lengths.expected_remaining(60)


def test_forecast_counts_the_version_published_before_the_next_request() -> None:
    forecast = ConsumerForecast()
    for step in range(5):
        forecast.record_request(step * 10.0)
        forecast.record_composed(step * 10.0 + 1.0, newest_version=step + 1)
    (demand,) = forecast.demands(42.0, newest=5, count=4, look_ahead=0)
    assert (demand.newest_version, demand.due_at) == (6, 50.0)
    (published,) = forecast.demands(49.0, newest=6, count=4, look_ahead=0)
    assert published.newest_version == 6


def test_a_large_enough_bound_keeps_a_margin() -> None:
    assert StalenessBound(2).usual_versions == 1
    assert StalenessBound(1).usual_versions == 1
    assert StalenessBound(1, None, False).usual_versions == 0
    assert not StalenessBound(2).allows(3, 6, 0.0, at_bound=True)


def test_an_unknown_age_is_infinite() -> None:
    clock = VersionClock()
    clock.observe(7, 10.0)
    clock.observe(8, 15.0)
    assert clock.age_seconds(8, 20.0) == 0.0
    assert clock.age_seconds(7, 20.0) == 5.0
    assert clock.age_seconds(5, 20.0) == math.inf
