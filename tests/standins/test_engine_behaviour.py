"""What makes the engine worth scheduling for, each thing by its effect."""

import pytest

from merlinstand_lab.records.kinds import GenerationOutcome
from merlinstand_lab.standins.engine import EngineServer
from merlinstand_lab.standins.engine_model.prefix_cache import PrefixCache, prefix_digests
from merlinstand_lab.standins.engine_model.sequence import (
    ChunkReady,
    Finished,
    GenerationRequest,
)
from merlinstand_lab.standins.engine_model.text import parse_text
from merlinstand_lab.standins.settings import BackgroundLoad, EngineProfile, EngineSettings

from .driver import Driver
from .engine_runs import finish_time, request, run_dry, serving

PROMPT = "p" * 80
DIGEST = "d1"


def serving_engine(**profile: object) -> Driver:
    """An engine that serves version 1."""
    settings = EngineSettings(
        node_id="e1",
        address="127.0.0.1:1",
        model="m",
        profile=EngineProfile(**profile),  # type: ignore[arg-type]
    )
    driver = Driver(EngineServer(settings))
    order(driver, "load", 1)
    driver.respond(driver.calls[-1], {"digest": DIGEST, "size_bytes": 1, "transfer_seconds": 0.5})
    driver.advance(0.6)
    order(driver, "activate", 2)
    driver.advance(0.5)
    return driver


def order(driver: Driver, kind: str, sequence: int, **changes: object) -> dict[str, object]:
    body: dict[str, object] = {
        "fence": {"epoch": 1, "sequence": sequence},
        "kind": kind,
        "model": "m",
        "version": 1,
        "digest": DIGEST,
        "source": "127.0.0.1:9",
    }
    answer: dict[str, object] = driver.ask("POST", "/v1/orders", body | changes)
    return answer


def completion(driver: Driver, request_id: str, **changes: object) -> str:
    body = {"request_id": request_id, "model": "m", "prompt": PROMPT, "stream": True}
    return driver.request("POST", "/v1/completions", body | changes)


def cache_events(driver: Driver, kind: str) -> list[str]:
    """Digests of the published cache events of a kind."""
    driver.advance(5)
    lines = driver.ask("GET", "/v1/cache_events?after=0")["events"]
    return [line["prefix_digest"] for line in lines if line["kind"] == kind]


def test_a_longer_context_makes_every_step_slower() -> None:
    profile = EngineProfile(prefill_seconds_per_token=0.0)

    def time_of(prompt_tokens: int) -> float:
        model = serving(profile)
        model.submit(request("a", 50, prompt_tokens=prompt_tokens), 0.1)
        return finish_time(run_dry(model), "a") - 0.1

    extra = time_of(10_016) - time_of(16)
    assert extra == pytest.approx(50 * 10_000 * profile.step_seconds_per_context_token, rel=0.02)


def test_a_prefill_slows_decoding_but_does_not_stop_it() -> None:
    profile = EngineProfile(prefill_seconds_per_token=0.001, prefill_share=0.5)

    def time_of(*others: GenerationRequest) -> float:
        model = serving(profile)
        model.submit(request("a", 400), 0.1)
        model.advance(0.5)
        for other in others:
            model.submit(other, 0.5)
        return finish_time(run_dry(model), "a")

    alone, beside = time_of(), time_of(request("long", 1, prompt_tokens=1000))
    # Half of the engine for the two seconds that a prefill of one second takes so.
    assert beside - alone == pytest.approx(1.0, abs=0.1)


def test_no_token_comes_before_the_prefill_is_done() -> None:
    profile = EngineProfile(prefill_seconds_per_token=0.01, chunk_interval_seconds=0.05)
    model = serving(profile)
    model.submit(request("a", prompt_tokens=200), 0.1)
    first = next(at for at, event in run_dry(model) if isinstance(event, ChunkReady))
    assert first > 0.1 + 200 * 0.01


def test_the_least_recently_used_block_is_evicted_first() -> None:
    cache = PrefixCache()
    cache.store(("a", "b", "c"))
    assert cache.match(("a",)) == 1
    assert cache.evict(1) == 1
    assert [cache.match((digest,)) for digest in ("a", "b", "c")] == [1, 0, 1]
    assert [(event.kind, event.prefix_digest) for event in cache.take_events()][-1] == (
        "evicted",
        "b",
    )


def test_running_requests_and_cache_together_stay_within_the_blocks() -> None:
    profile = EngineProfile(maximum_batch=8, total_blocks=32, chunk_interval_seconds=0.05)
    model = serving(profile)
    for index in range(30):
        digests = prefix_digests(f"{index:02d}" * 96, profile.block_tokens)
        model.submit(request(str(index), 100, prompt_tokens=48, prefix_digests=digests), 0.1)
    ended = 0
    while (at := model.next_event_at()) is not None:
        ended += sum(isinstance(event, Finished) for event in model.advance(at))
        assert profile.total_blocks - model.free_blocks + len(model.cache) <= profile.total_blocks
    assert ended == 30


def test_growing_contexts_pre_empt_the_lowest_priority() -> None:
    profile = EngineProfile(maximum_batch=8, total_blocks=20, chunk_interval_seconds=0.1)
    model = serving(profile)
    for name, priority in {"first": 1, "low": 0, "last": 1}.items():
        model.submit(request(name, 120, priority=priority), 0.1)
    model.advance(0.5)
    assert model.running == 3, "all of them fit at first"
    events, counts = [], []
    while (at := model.next_event_at()) is not None:
        events += [(at, event) for event in model.advance(at)]
        counts.append((model.running, model.queued))
    assert (2, 1) in counts, "one gave way while the others went on"
    assert finish_time(events, "low") > finish_time(events, "last")


def test_old_scripts_requests_slow_others_down_and_are_not_recorded() -> None:
    def time_of(*background: GenerationRequest) -> float:
        model = serving(EngineProfile())
        for one in background:
            model.submit(one, 0.1)
        model.submit(request("a", 100), 0.1)
        return finish_time(run_dry(model), "a")

    scripts = [request(f"old-{number}", 300, background=True) for number in range(8)]
    assert time_of(*scripts) > 1.1 * time_of()


def test_old_scripts_load_shows_in_the_reports_of_an_engine_that_we_do_not_use() -> None:
    load = BackgroundLoad(requests_per_second=20.0, completion_tokens=200)
    driver = serving_engine(background=load)
    seen = []
    for _ in range(10):
        driver.advance(1.0)
        seen.append(driver.ask("GET", "/v1/status")["running"])
    assert max(seen) >= 5
    assert "engine-e1" not in driver.records


def test_a_report_is_as_old_as_the_lag_even_when_a_newer_one_was_taken() -> None:
    driver = serving_engine(status_interval_seconds=0.1, status_lag_seconds=2.0)
    driver.advance(3.0)
    completion(driver, "r", max_tokens=10_000)
    for _ in range(18):
        driver.advance(0.1)
        status = driver.ask("GET", "/v1/status")
        assert status["running"] + status["queued"] == 0
        assert driver.now - status["reported_at"] >= 2.0
    driver.advance(0.4)
    assert driver.ask("GET", "/v1/status")["running"] == 1


def test_imported_state_saves_the_prefill_at_the_endpoint_too() -> None:
    def first_chunk_after(status: int) -> float:
        driver = serving_engine(prefill_seconds_per_token=0.05, chunk_interval_seconds=0.05)
        resume = {"handle": "h", "source": "127.0.0.1:7", "token_count": 40, "spans": [[1, 0, 40]]}
        name = completion(driver, "r", resume=resume, prompt="p" * 400, max_tokens=60)
        driver.respond(driver.calls[-1], {"size_bytes": 1_000_000}, status)
        began = driver.now
        while not driver.stream(name):
            driver.advance(0.05)
        return driver.now - began

    assert first_chunk_after(200) < 0.3
    assert first_chunk_after(404) > 100 * 0.05, "lost state is computed again"


def test_a_cancelled_stream_goes_on_elsewhere_with_whole_text() -> None:
    first, second = serving_engine(), serving_engine()
    name = completion(first, "r1")
    first.advance(0.4)
    first.ask("POST", "/v1/cancel", {"request_id": "r1"})
    end = first.stream(name)[-1]
    held = end["spans"][-1][2]
    assert end["finish_reason"] == GenerationOutcome.CANCELLED.value
    resumed = completion(second, "r2", resume={"token_count": held, "spans": end["spans"]})
    second.advance(60)
    events = first.stream(name) + second.stream(resumed)
    text = parse_text("".join(event["text"] for event in events))
    whole = completion(second, "r3")
    second.advance(60)
    assert text.contiguous and [span[0] for span in text.produced] == ["r1", "r2"]
    assert text.token_count == second.stream(whole)[-1]["spans"][-1][2]


def test_role_and_adapter_orders_are_fenced_and_reported() -> None:
    driver = serving_engine()
    assert order(driver, "role", 3, role="prefill")["state"] == "done"
    assert order(driver, "adapter", 4, digest="adapter-7")["state"] == "done"
    assert order(driver, "role", 3, role="decode")["code"] == "fenced"
    assert order(driver, "adapter", 4, digest="another")["state"] == "done", "resent, not repeated"
    driver.advance(2)
    status = driver.ask("GET", "/v1/status")
    assert (status["role"], status["adapter"]) == ("prefill", "adapter-7")
    assert order(driver, "melt", 5)["state"] == "failed"


def test_another_adapter_makes_the_prefix_cache_useless() -> None:
    driver = serving_engine(cache_event_loss=0.0)
    completion(driver, "r1")
    driver.advance(60)
    kept = set(prefix_digests(PROMPT, 16))
    assert kept <= set(cache_events(driver, "stored"))
    order(driver, "adapter", 3, digest="adapter-7")
    assert kept <= set(cache_events(driver, "evicted"))
