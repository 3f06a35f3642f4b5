"""Measures the gateway's reducer alone: chunk events and lookups a second on one core.

    python -m benchmarks.gateway_reducer [--profile]

No sockets: what the host adds (parsing, system calls) comes on top.
"""

import argparse
import cProfile
import pstats
import time
from collections.abc import Callable

from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import StartCall
from merlinstand.kernel.events import CallChunk, CallResponded, RequestReceived
from tests.gateway.driver import GatewayDriver, engine_pool, service_pool, token_event

STREAMS = 200
TOKENS_PER_STREAM = 400
LOOKUPS = 20_000
ROUNDS = 5


def streamed_tokens(tokens_per_event: int, events_per_chunk: int) -> tuple[int, int, float]:
    """Relay many streams in turn; return tokens, chunk events and seconds."""
    driver = GatewayDriver([engine_pool(count=16, maximum_concurrency=10_000)])
    reduce = driver.gateway.reduce
    chunks: list[list[CallChunk]] = []
    for number in range(STREAMS):
        request_id = f"request-{number}"
        driver.complete(
            max_tokens=TOKENS_PER_STREAM, x_request_id=request_id, x_caller=f"caller-{number}"
        )
        call = next(
            found for found in driver.calls.values() if found.headers["x-request-id"] == request_id
        )
        driver.open_stream(call)
        chunks.append(_chunks(call.call_id, request_id, tokens_per_event, events_per_chunk))
    ordered = [chunk for turn in zip(*chunks, strict=True) for chunk in turn]
    began = time.perf_counter()
    relayed_chunks = sum(len(reduce(event, 101.0)) for event in ordered)
    seconds = time.perf_counter() - began
    if relayed_chunks != len(ordered):
        raise RuntimeError(f"{relayed_chunks} of {len(ordered)} chunks relayed")
    return STREAMS * TOKENS_PER_STREAM, len(ordered), seconds


def _chunks(
    call_id: CallId, request_id: str, tokens_per_event: int, events_per_chunk: int
) -> list[CallChunk]:
    events = [
        token_event(request_id, index, tokens_per_event)
        for index in range(0, TOKENS_PER_STREAM, tokens_per_event)
    ]
    return [
        CallChunk(call_id, b"".join(events[start : start + events_per_chunk]))
        for start in range(0, len(events), events_per_chunk)
    ]


def lookups() -> float:
    """Pass lookups through, some in flight at a time; return lookups a second."""
    driver = GatewayDriver([service_pool(count=16, maximum_concurrency=10_000)])
    reduce = driver.gateway.reduce
    requests = [
        RequestReceived(
            f"endpoint-{number}",
            "GET",
            f"/shop-api/items/{number}",
            {"x-request-id": f"r{number}", "x-caller": f"caller-{number % 1000}", "accept": "*/*"},
            b"",
            "10.8.0.1",
        )
        for number in range(LOOKUPS)
    ]
    waiting: list[tuple[CallId, str]] = []
    now = 101.0
    began = time.perf_counter()
    for request in requests:
        now += 0.0001
        for effect in reduce(request, now):
            if isinstance(effect, StartCall):
                waiting.append((effect.call_id, effect.headers["x-request-id"]))
        if len(waiting) >= 64:
            for call_id, request_id in waiting:
                reduce(CallResponded(call_id, 200, {"x-request-id": request_id}, b"{}"), now)
            waiting.clear()
    return LOOKUPS / (time.perf_counter() - began)


def best_of(measure: Callable[[], float]) -> float:
    """Return the best of some rounds: the others were disturbed."""
    return max(measure() for _ in range(ROUNDS))


def main() -> None:
    """Run the measurements and print one line each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", action="store_true")
    if parser.parse_args().profile:
        profile = cProfile.Profile()
        profile.enable()
        streamed_tokens(1, 1)
        lookups()
        profile.disable()
        pstats.Stats(profile).sort_stats("tottime").print_stats(40)
        return
    for tokens_per_event, events_per_chunk in ((1, 1), (1, 8), (8, 1)):

        def chunk_rate(tokens: int = tokens_per_event, events: int = events_per_chunk) -> float:
            count, _chunk_count, seconds = streamed_tokens(tokens, events)
            return count / seconds

        rate = best_of(chunk_rate)
        print(
            f"tokens/event={tokens_per_event} events/chunk={events_per_chunk} tokens/s={rate:.0f}"
        )
    print(f"lookups/s={best_of(lookups):.0f}")


if __name__ == "__main__":
    main()
