"""Invariants of the engine model."""

from hypothesis import given, settings
from hypothesis import strategies as st

from merlinstand_lab.records.kinds import GenerationOutcome
from merlinstand_lab.standins.engine_model.lengths import completion_length
from merlinstand_lab.standins.engine_model.prefix_cache import prefix_digests
from merlinstand_lab.standins.engine_model.sequence import (
    ChunkReady,
    Finished,
)
from merlinstand_lab.standins.engine_model.text import parse_text, render_chunk
from merlinstand_lab.standins.settings import EngineProfile, LengthSettings

from .engine_runs import finish_time, request, run_dry, serving

PROFILE = EngineProfile(maximum_batch=4, total_blocks=64, chunk_interval_seconds=0.1)


def test_chunks_are_contiguous_and_add_up() -> None:
    model = serving(PROFILE)
    model.submit(request("a", 57), 0.1)
    events = [event for _, event in run_dry(model)]
    chunks = [event for event in events if isinstance(event, ChunkReady)]
    assert [chunk.first_token for chunk in chunks] == [0] + [c.end_token for c in chunks[:-1]]
    assert chunks[0].opens_stream and not any(chunk.opens_stream for chunk in chunks[1:])
    assert events[-1] == Finished("a", GenerationOutcome.STOP, [(1, 0, 57)], 57)


def test_a_larger_batch_makes_each_sequence_slower_and_the_engine_faster() -> None:
    def time_of(count: int) -> float:
        model = serving(PROFILE)
        for index in range(count):
            model.submit(request(str(index), 100), 0.1)
        return max(at for at, _ in run_dry(model))

    alone, together = time_of(1), time_of(4)
    assert alone < together < 4 * alone


def test_tokens_made_before_a_swap_keep_the_old_version() -> None:
    model = serving(PROFILE)
    model.submit(request("a", 200), 0.1)
    swap_events = model.activate(2, 0.3, 0.9)
    events = swap_events + [event for _, event in run_dry(model)]
    end = events[-1]
    assert isinstance(end, Finished)
    (first, second) = end.spans
    assert first[0] == 1 and second[0] == 2
    assert first[2] == second[1] and second[2] == 200


def test_nothing_moves_while_a_swap_lasts() -> None:
    model = serving(PROFILE)
    model.submit(request("a", 200), 0.1)
    model.activate(2, 5.0, 0.5)
    assert model.advance(5.4) == []
    assert model.next_event_at() == 5.5


def test_a_higher_priority_goes_first_and_pre_empts() -> None:
    profile = EngineProfile(maximum_batch=1)
    model = serving(profile)
    model.submit(request("low", 100, priority=0), 0.1)
    model.advance(0.5)
    model.submit(request("high", 100, priority=5), 0.5)
    events = run_dry(model)
    assert finish_time(events, "high") < finish_time(events, "low")
    low = next(e for _, e in events if isinstance(e, Finished) and e.request_id == "low")
    assert low.spans == [(1, 0, 100)]


def test_a_cached_prefix_saves_prefill() -> None:
    profile = EngineProfile(prefill_seconds_per_token=0.01)
    prompt = "x" * 640
    digests = prefix_digests(prompt, profile.block_tokens)
    model = serving(profile)
    long = {"prompt_tokens": 160, "prefix_digests": digests}
    model.submit(request("first", 5, **long), 0.1)
    first = run_dry(model)[-1][0] - 0.1
    model.submit(request("second", 5, **long), 50.0)
    second = run_dry(model)[-1][0] - 50.0
    assert second < first / 5


def test_limited_blocks_evict_the_cache_and_pre_empt_the_latest() -> None:
    profile = EngineProfile(maximum_batch=8, total_blocks=20)
    model = serving(profile)
    for index in range(4):
        digests = prefix_digests(f"{index}" * 64, profile.block_tokens)
        model.submit(request(str(index), 120, prefix_digests=digests), 0.1)
    events = run_dry(model)
    assert sum(isinstance(event, Finished) for _, event in events) == 4
    assert any(event.kind == "evicted" for event in model.cache.take_events())
    assert finish_time(events, "0") < finish_time(events, "3")


def test_an_import_is_quicker_than_computing_the_context_again() -> None:
    profile = EngineProfile(prefill_seconds_per_token=0.01)
    resumed = {"first_token": 300, "tokens": 310}

    def time_of(**changes: object) -> float:
        model = serving(profile)
        model.submit(request("a", **(resumed | changes)), 0.1)
        return run_dry(model)[-1][0]

    assert time_of(import_seconds=0.01) < time_of() / 5


def test_a_resumed_request_goes_on_where_it_was_and_keeps_its_length() -> None:
    model = serving(PROFILE)
    model.submit(request("a", 50), 0.1)
    cut = model.end("a", GenerationOutcome.EXPORTED, 0.4)[-1]
    assert isinstance(cut, Finished) and 0 < cut.token_count < 50
    model.submit(request("b", 50, first_token=cut.token_count), 0.5)
    end = run_dry(model)[-1][1]
    assert end == Finished("b", GenerationOutcome.STOP, [(1, cut.token_count, 50)], 50)


def test_background_load_slows_down_but_is_silent() -> None:
    model = serving(PROFILE)
    model.submit(request("old-script", 100, background=True), 0.1)
    assert run_dry(model) == []


def test_lengths_belong_to_prompt_and_seed_and_have_a_heavy_tail() -> None:
    shape = LengthSettings()
    lengths = sorted(completion_length(f"p{index}", 0, shape) for index in range(4000))
    again = sorted(completion_length(f"p{index}", 0, shape) for index in range(4000))
    assert lengths == again
    assert lengths[-1] > 10 * lengths[2000]
    assert completion_length("p", 1, shape) != completion_length("p", 2, shape)


@settings(max_examples=80, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.5), st.integers(0, 120), st.integers(0, 2), st.integers(0, 5)),
        min_size=1,
        max_size=25,
    )
)
def test_every_request_ends_once_with_all_its_tokens(
    arrivals: list[tuple[float, int, int, int]],
) -> None:
    """Whatever arrives, is swapped or pre-empted: tokens are neither lost nor doubled."""
    model = serving(EngineProfile(maximum_batch=3, total_blocks=24))
    now, events, version = 0.1, [], 1
    for index, (delay, tokens, priority, dice) in enumerate(arrivals):
        now += delay
        events += model.submit(request(str(index), tokens, priority=priority), now)
        if dice == 0:
            version += 1
            events += model.activate(version, 0.05, now)
    events += [event for _, event in run_dry(model)]
    ends = {event.request_id: event for event in events if isinstance(event, Finished)}
    assert len(ends) == len(arrivals) == sum(isinstance(e, Finished) for e in events)
    for index, (_, tokens, _, _) in enumerate(arrivals):
        spans = ends[str(index)].spans
        positions = [(span[1], span[2]) for span in spans]
        assert sum(end - first for first, end in positions) == tokens
        assert [first for first, _ in positions[1:]] == [end for _, end in positions[:-1]]
    assert model.running == model.queued == 0
    assert model.free_blocks == 24


def test_text_tells_who_made_which_tokens_under_which_version() -> None:
    text = render_chunk(0, 10, 3, "r1", 4) + render_chunk(10, 12, 3, "", 4)
    text += render_chunk(12, 15, 4, "", 4) + render_chunk(15, 20, 4, "r2", 4)
    parsed = parse_text(text)
    assert parsed.contiguous and parsed.token_count == 20
    assert parsed.produced == [("r1", 3, 0, 12), ("r1", 4, 12, 15), ("r2", 4, 15, 20)]


def test_text_with_a_gap_an_overlap_or_no_origin_is_not_whole() -> None:
    first = render_chunk(0, 10, 3, "r1", 4)
    assert not parse_text(first + render_chunk(11, 12, 3, "", 4)).contiguous
    assert not parse_text(first + render_chunk(9, 12, 3, "", 4)).contiguous
    assert not parse_text(render_chunk(0, 10, 3, "", 4)).contiguous
