"""Routing: breakers, retry budgets, leaving signals, affinity, subsets, choice of a backend."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from merlinstand.configuration.objects import Backend, Pool, PoolKind
from merlinstand.routing.affinity import PrefixCacheHints, prompt_affinity, rendezvous_order
from merlinstand.routing.breaker import BreakerState, CircuitBreaker
from merlinstand.routing.concurrency import ConcurrencyLimit
from merlinstand.routing.membership import (
    DrainSignals,
    MachineState,
    ReplicaState,
    StateReport,
)
from merlinstand.routing.retry_budget import new_attempt_budget
from merlinstand.routing.router import CallResult, PoolRouter
from merlinstand.routing.settings import BreakerSettings, RetryBudgetSettings, RouterSettings
from merlinstand.routing.status import (
    CacheEvent,
    CacheEvents,
    ServiceStatus,
    decode_cache_events,
    decode_engine_status,
    decode_service_status,
)
from merlinstand.routing.subset import subset
from merlinstand_lab.standins.engine_model.prefix_cache import prefix_digests as engine_digests


def backends(count: int, zones: int = 1) -> tuple[Backend, ...]:
    return tuple(
        Backend(f"server-{number}", f"10.0.{number // 250}.{number % 250}:80", f"z{number % zones}")
        for number in range(count)
    )


def router(count: int = 4, zones: int = 1, seed: int = 1, **changes: object) -> PoolRouter:
    pool = Pool(name="p", kind=PoolKind.SERVICE, backends=backends(count, zones), **changes)
    pool_router = PoolRouter("gateway-1", "z0", Random(seed), RouterSettings())
    pool_router.configure(pool, {}, {})
    return pool_router


# Breaker -------------------------------------------------------------------------------


def test_breaker_opens_on_consecutive_failures_and_allows_one_probe() -> None:
    breaker = CircuitBreaker(BreakerSettings(), Random(1))
    for _ in range(5):
        assert breaker.allows(0.0)
        breaker.record_call_start(0.0)
        breaker.record_failure(0.0)
    assert not breaker.allows(0.5)
    assert breaker.allows(1.3)
    breaker.record_call_start(1.3)
    assert not breaker.allows(1.3)
    breaker.record_success(1.4)
    assert breaker.state is BreakerState.CLOSED


def _seconds_until_allowed(breaker: CircuitBreaker, now: float) -> float:
    waited_seconds = 0.0
    while not breaker.allows(now + waited_seconds):
        waited_seconds += 0.001
    return waited_seconds


def test_breaker_stays_open_longer_after_each_failed_probe() -> None:
    breaker = CircuitBreaker(BreakerSettings(), Random(1))
    for _ in range(5):
        breaker.record_failure(0.0)
    pauses = []
    now = 0.0
    for _ in range(8):
        pause = _seconds_until_allowed(breaker, now)
        pauses.append(pause)
        now += pause
        breaker.record_call_start(now)
        breaker.record_failure(now)
    assert pauses[1] > pauses[0]
    assert max(pauses) <= 20.0 * 1.25


def test_breaker_opens_on_the_share_of_failures() -> None:
    breaker = CircuitBreaker(BreakerSettings(), Random(1))
    states = []
    for _ in range(5):
        breaker.record_success(0.0)
        breaker.record_failure(0.0)
        states.append(breaker.state)
    # Never two consecutive failures, but half of ten calls.
    assert states == [BreakerState.CLOSED] * 4 + [BreakerState.OPEN]


def test_breaker_allows_another_probe_after_an_inconclusive_one() -> None:
    breaker = CircuitBreaker(BreakerSettings(), Random(1))
    for _ in range(5):
        breaker.record_failure(0.0)
    breaker.record_call_start(2.0)
    breaker.record_inconclusive()
    assert breaker.allows(2.0)


# Retry budget --------------------------------------------------------------------------


def test_retry_budget_is_a_share_of_first_attempts() -> None:
    budget = new_attempt_budget(RetryBudgetSettings(floor_per_second=0.0))
    taken = 0
    for _ in range(1000):
        budget.record_first_attempt(0.0)
        taken += budget.try_spend(0.0)
    assert 200 + 9 <= taken <= 200 + 10


def test_unused_retry_budget_is_bounded() -> None:
    budget = new_attempt_budget(RetryBudgetSettings())
    budget.record_first_attempt(0.0)
    budget.record_first_attempt(1e6)
    assert sum(budget.try_spend(1e6) for _ in range(1000)) == 20


# Status and leaving signals -------------------------------------------------------------


@pytest.mark.parametrize("number", ["1" + "0" * 400, "9223372036854775808", "-1"])
def test_numbers_out_of_range_are_malformed(number: str) -> None:
    status = b'{"state":"ready","reported_at":1.0,"%s":%s}'
    for field in (b"running", b"queued", b"active_version"):
        assert decode_engine_status(status % (field, number.encode())).is_err()
    assert decode_service_status(status % (b"in_flight", number.encode())).is_err()
    events = b'{"events":[{"sequence":%s,"kind":"stored","prefix_digest":"a"}],"next":%s}'
    assert decode_cache_events(events % (number.encode(), b"1")).is_err()
    assert decode_cache_events(events % (b"1", number.encode())).is_err()


def test_each_leaving_signal_is_cleared_only_by_its_own_source() -> None:
    signals = DrainSignals()
    signals.record_report(StateReport(ReplicaState.DRAINING, 5.0), requested_at=1.0)
    signals.record_listed(MachineState.LIVE, 100.0)
    assert signals.is_draining
    signals.record_report(StateReport(ReplicaState.READY, 4.0), requested_at=2.0)
    assert signals.is_draining, "a report older than the leaving one"
    signals.record_report(StateReport(ReplicaState.READY, 6.0), requested_at=3.0)
    assert not signals.is_draining


def test_machine_lists_are_ordered_by_their_own_time() -> None:
    signals = DrainSignals()
    signals.record_listed(MachineState.DRAINING, 10.0)
    signals.record_listed(MachineState.LIVE, 10.0)
    assert signals.is_draining
    signals.record_listed(MachineState.LIVE, 11.0)
    assert not signals.is_draining


def test_machine_that_was_never_listed_is_not_leaving() -> None:
    signals = DrainSignals()
    signals.record_unlisted(10.0)
    assert not signals.is_draining


def test_late_report_of_an_earlier_incarnation_is_ignored() -> None:
    signals = DrainSignals()
    signals.record_report(StateReport(ReplicaState.DRAINING, 1.0, incarnation=2), requested_at=5.0)
    assert not signals.record_report(StateReport(ReplicaState.READY, 99.0, incarnation=1), 4.0)
    assert signals.is_draining


# Affinity ------------------------------------------------------------------------------


def test_rendezvous_order_moves_only_the_keys_of_the_removed_name() -> None:
    names = [f"n{number}" for number in range(8)]
    for key in range(200):
        before = rendezvous_order(key, names)
        after = rendezvous_order(key, [name for name in names if name != "n3"])
        assert after == [name for name in before if name != "n3"]


def test_prompts_with_a_common_prefix_share_a_key() -> None:
    first, second = prompt_affinity("a" * 300 + "x" * 64), prompt_affinity("a" * 300 + "y" * 64)
    assert first.key == second.key
    assert first.digests[:4] == second.digests[:4]
    assert first.digests[4] != second.digests[4]
    assert prompt_affinity("x" + "a" * 300).key != first.key


def test_digests_match_those_of_the_engines_cache_events() -> None:
    prompt = "Describe this wool hat with a small brim, in stock since May, in two lines." * 9
    assert prompt_affinity(prompt).digests == engine_digests(prompt, 16)


def test_replica_with_cached_prefix_is_preferred_only_within_the_load_bound() -> None:
    pool_router = router(4, maximum_concurrency=100)
    prompt = "b" * 400
    affinity = prompt_affinity(prompt)
    usual = pool_router.choose(0.0, affinity=affinity).unwrap().backend_id
    other = next(name for name in pool_router.replicas if name != usual)
    status = ServiceStatus(state=ReplicaState.READY, reported_at=1.0)
    pool_router.record_status(other, status, requested_at=0.0, now=0.0)
    stored = CacheEvent(1, "stored", affinity.digests[2])
    pool_router.record_cache_events(other, CacheEvents((stored,), 1), incarnation=7)
    assert pool_router.choose(0.0, affinity=affinity).unwrap().backend_id == usual, (
        "events of another incarnation"
    )
    pool_router.record_cache_events(other, CacheEvents((stored,), 1), incarnation=0)
    assert pool_router.choose(0.0, affinity=affinity).unwrap().backend_id == other
    for _ in range(4):
        pool_router.record_call_start(other, 0.0)
    assert pool_router.choose(0.0, affinity=affinity).unwrap().backend_id == usual
    evicted = CacheEvent(2, "evicted", affinity.digests[2])
    for _ in range(4):
        pool_router.record_call_end(other, CallResult.SUCCESS, 0.0)
    pool_router.record_cache_events(other, CacheEvents((evicted,), 2), incarnation=0)
    assert pool_router.choose(0.0, affinity=affinity).unwrap().backend_id == usual


def test_affinity_uses_one_replica_until_its_load_exceeds_the_bound() -> None:
    pool_router = router(4, maximum_concurrency=100)
    chosen = [_start(pool_router, affinity=prompt_affinity("a hat")) for _ in range(40)]
    counts = Counter(chosen)
    assert counts.most_common(1)[0][0] == chosen[0]
    assert max(counts.values()) <= 1.25 * (40 + 1) / 4 + 1


def test_hints_are_bounded_and_evict_the_oldest() -> None:
    hints = PrefixCacheHints(3)
    for number in range(5):
        hints.record_stored(str(number))
    assert len(hints) == 3
    assert not hints.contains("1")
    assert hints.contains("4")


# Subsets -------------------------------------------------------------------------------


@settings(max_examples=60, deadline=None, derandomize=True)
@given(servers=st.integers(1, 400), daemons=st.integers(1, 60), size=st.integers(1, 20))
def test_subsets_cover_every_backend_evenly(servers: int, daemons: int, size: int) -> None:
    pool = backends(servers)
    peers = [f"gateway-{number}" for number in range(daemons)]
    uses: Counter[str] = Counter()
    for peer in peers:
        chosen = subset(pool, peer, peers, size)
        assert len(chosen) >= min(size, servers)
        assert len({backend.backend_id for backend in chosen}) == len(chosen)
        uses.update(backend.backend_id for backend in chosen)
    assert len(uses) == servers, "a backend without senders"
    if servers > size:
        mean = sum(uses.values()) / servers
        assert max(uses.values()) <= mean + 2


def test_subset_does_not_depend_on_the_order_of_its_inputs() -> None:
    pool = backends(100)
    peers = ["b", "a", "c"]
    assert subset(pool, "a", peers, 8) == subset(tuple(reversed(pool)), "a", sorted(peers), 8)


def test_unregistered_daemon_gets_a_subset_by_hash() -> None:
    assert len(subset(backends(100), "new", [], 8)) >= 8


# Choice --------------------------------------------------------------------------------


def _start(pool_router: PoolRouter, now: float = 0.0, **arguments: object) -> str:
    chosen = pool_router.choose(now, **arguments)
    backend_id = chosen.unwrap().backend_id
    pool_router.record_call_start(backend_id, now)
    return backend_id


def test_power_of_two_choices_balances_load() -> None:
    pool_router = router(8, maximum_concurrency=1000)
    counts = Counter(_start(pool_router) for _ in range(800))
    assert max(counts.values()) - min(counts.values()) <= 8


def test_replica_with_reported_load_of_other_senders_is_avoided() -> None:
    pool_router = router(2)
    status = ServiceStatus(state=ReplicaState.READY, reported_at=1.0, in_flight=30)
    pool_router.record_status("server-0", status, requested_at=0.0, now=0.0)
    counts = Counter(_start(pool_router) for _ in range(20))
    assert counts["server-1"] == 20


def test_local_zone_is_preferred_and_spills_when_much_busier() -> None:
    pool_router = router(3, zones=3, maximum_concurrency=10)
    first = [_start(pool_router) for _ in range(4)]
    assert set(first) == {"server-0"}
    later = [_start(pool_router) for _ in range(8)]
    assert set(later) - {"server-0"}


def test_replica_at_its_concurrency_limit_gets_no_more_requests() -> None:
    pool_router = router(2, maximum_concurrency=3)
    counts = Counter(_start(pool_router) for _ in range(6))
    assert set(counts.values()) == {3}
    assert pool_router.choose(0.0).is_err()
    pool_router.record_call_end("server-0", CallResult.SUCCESS, 1.0)
    assert _start(pool_router, 1.0) == "server-0"


def test_replica_that_refused_gets_no_requests_for_its_retry_after() -> None:
    pool_router = router(1)
    _start(pool_router)
    pool_router.record_call_end("server-0", CallResult.REFUSED, 1.0, retry_after_seconds=3.0)
    refused = pool_router.choose(3.9).unwrap_err()
    assert refused.retry_after_seconds == pytest.approx(0.2)
    assert pool_router.choose(4.0).is_ok()


def test_retry_after_is_bounded() -> None:
    pool_router = router(1)
    _start(pool_router)
    pool_router.record_call_end("server-0", CallResult.REFUSED, 1.0, retry_after_seconds=1e9)
    assert pool_router.choose(11.1).is_ok()


def test_refusals_lower_the_limit_and_successes_raise_it_again() -> None:
    limit = ConcurrencyLimit(20)
    limit.record_refusal(in_flight=10)
    assert limit.value == 7
    for _ in range(400):
        limit.record_success()
    assert limit.value == 20


def test_excluded_replica_is_not_chosen() -> None:
    pool_router = router(2)
    assert {
        pool_router.choose(0.0, exclude={"server-0"}).unwrap().backend_id for _ in range(9)
    } == {"server-1"}


def test_dead_replicas_are_excluded_down_to_the_last_live_one() -> None:
    pool_router = router(3)
    for backend_id in ("server-0", "server-1"):
        for _ in range(5):
            pool_router.record_call_start(backend_id, 0.0)
            pool_router.record_call_end(backend_id, CallResult.FAILURE, 0.0)
    assert {_start(pool_router) for _ in range(10)} == {"server-2"}


def test_open_breakers_never_exclude_a_whole_pool() -> None:
    pool_router = router(3)
    for backend_id in pool_router.replicas:
        for _ in range(5):
            pool_router.record_call_start(backend_id, 0.0)
            pool_router.record_call_end(backend_id, CallResult.FAILURE, 0.0)
    assert {_start(pool_router) for _ in range(20)} == set(pool_router.replicas)


def test_replica_state_survives_a_configuration_change() -> None:
    pool_router = router(2)
    _start(pool_router)
    busy = next(name for name, replica in pool_router.replicas.items() if replica.in_flight)
    pool = Pool(name="p", kind=PoolKind.SERVICE, backends=backends(3))
    pool_router.configure(pool, {}, {})
    assert pool_router.replicas[busy].in_flight == 1
