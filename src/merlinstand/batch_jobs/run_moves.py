"""Which runs leave slow engines for faster ones (pure decisions).

Looked at by the leading keeper's runner at each tick in which no item waits that could take the
place instead. A move costs: the other engine reads the prompt and the text so far anew. So only
runs that gain clearly more than that move, the greatest gains first, and a few at a time. The
runner stops the runs; they then start anew as all waiting items do. What moves are worth:
docs/DECIDING.md.

Where a service's engines hold several models, an item waits only for engines that follow its own:
runs of the other models move nevertheless. Their engines are many and often one of them pauses, so
there a slowness must have lasted, and a move must win more. And where an item waits for a fast
engine while a longer text of its model is being made at a slow one, the longer text goes first and
leaves its place to the item (`find_exchanges`).
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from merlinstand.batch_jobs.engines import EngineState
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.placement import FIRST_READ_SECONDS, ItemRequirements, remote_seconds
from merlinstand.batch_jobs.scheduling_pass import SchedulingPass
from merlinstand.cluster.routes import Service
from merlinstand.common.ids import BackendId

LEAST_MOVE_RATIO = 1.15
"""A run leaves an engine only if its events take this many times as long as elsewhere: the load of
the moment makes smaller differences, which are not worth a prompt. Chosen, not measured."""
SHORTEST_STAY_SECONDS = 0.6
"""A run that began less than this many seconds ago stays: some tens of events, so that it doesn't
go to and fro. Chosen, not measured."""
MAXIMUM_MOVES_PER_TICK = 4
"""Runs that move at one tick at most: bounds the prompts that are read anew at once. Chosen, not
measured."""
LEAST_SHARED_GAIN_SECONDS = 0.3
"""Least that a move must win where models share engines, in seconds: a trainer reads about twice a
second, and a text that ends sooner by less than that is seldom seen sooner."""
EXCHANGE_RATIO = 1.5
"""A run gives its place to an item that waits only if its engine takes this many times as long as
the one that is free: by less, one engine differs from itself at another moment."""
LEAST_EXCHANGE_GAIN_SECONDS = 1.2
"""Least that it must win, in seconds: the item that waits loses part of it."""


class MoveTerms(msgspec.Struct, frozen=True):
    """What the moves of one service's runs must be worth."""

    least_seconds: float = 0.0
    """Seconds that a move wins at least."""
    must_last: bool = False
    """Whether an engine counts as slow only if it has been slow for a second or two."""

    def pace(self, state: EngineState) -> float:
        """Seconds of one event at an engine that runs may leave."""
        return state.lasting.value if self.must_last else state.event_seconds


ONE_MODEL = MoveTerms()
"""Of services whose engines hold one model."""
SHARED_ENGINES = MoveTerms(LEAST_SHARED_GAIN_SECONDS, must_last=True)
"""Of services whose engines hold several."""


def move_thresholds(services: Iterable[Service]) -> dict[str, MoveTerms]:
    """Give the terms of each service by its name."""
    return {
        service.name: SHARED_ENGINES if len(service.models) > 1 else ONE_MODEL
        for service in services
    }


def movable_runs(
    runs: Iterable[ItemRun],
    waiting: Iterable[ItemRun],
    model_of: Callable[[ItemRun], str],
    services: Iterable[Service],
) -> Sequence[ItemRun]:
    """Give the runs that may move while some items wait.

    Args:
        runs: Runs that are under way.
        waiting: Items that wait for an engine.
        model_of: The model of an item; empty if any will do.
        services: Of all engines.
    """
    awaited = {model_of(run) for run in waiting}
    if not awaited:
        return list(runs)
    if "" in awaited:
        return []
    shared = {model for service in services if len(service.models) > 1 for model in service.models}
    free = shared - awaited
    return [run for run in runs if model_of(run) in free] if free else []


class Move(msgspec.Struct, frozen=True):
    """A run that had better go on at another engine."""

    run: ItemRun
    target: EngineState
    seconds_won: float


def find_moves(
    runs: Iterable[ItemRun],
    turn: SchedulingPass,
    demand_of: Callable[[ItemRun], ItemRequirements],
    terms: Mapping[str, MoveTerms],
    now: float,
) -> list[Move]:
    """Find the runs that gain by moving, greatest gain first.

    Several of them may name the same target: whoever moves them counts its free slots.

    Args:
        runs: Runs that are under way.
        turn: The engines as they are now.
        demand_of: What a run needs of an engine.
        terms: What a move must be worth, by service.
        now: Local time.
    """
    slow = slow_engines(turn, terms, now)
    if not slow:
        return []
    moves: list[Move] = []
    for run in runs:
        present = slow.get(run.backend_id) if run.backend_id else None
        if present is None or run.phase is not RunPhase.GENERATING:
            continue
        move = _move_of(run, present, turn, demand_of(run), terms, now)
        if move is not None:
            moves.append(move)
    moves.sort(key=lambda move: -move.seconds_won)
    return moves


class SlotSwapContext(msgspec.Struct, frozen=True):
    """What `find_exchanges` asks of whoever knows the runs."""

    model_of: Callable[[ItemRun], str]
    """The model of an item."""
    rest_of: Callable[[ItemRun], float]
    """Events that an item is expected to have yet."""
    demand_of: Callable[[ItemRun], ItemRequirements]
    """What an item needs of an engine."""
    follows: Callable[[BackendId, str], bool]
    """Whether an engine is there for a model in the first place."""


def find_slot_swaps(
    runs: Iterable[ItemRun],
    waiting: Iterable[ItemRun],
    turn: SchedulingPass,
    rules: SlotSwapContext,
    services: Iterable[Service],
    now: float,
) -> list[ItemRun]:
    """Find the runs that had better take a free slot before the items that wait for it.

    At most one of each model of a service whose engines hold several.

    Args:
        runs: Runs that are under way.
        waiting: Items that may begin now.
        turn: The engines as they are now.
        rules: What is known of runs and engines.
        services: Of all engines.
        now: Local time.
    """
    free = _free_paces(turn, rules.follows, services, now)
    longest = _longest_waiting(waiting, free, rules)
    if not longest:
        return []
    slow = _lasting_slow(turn, min(free.values()), now)
    chosen: dict[str, ItemRun] = {}
    for run in runs:
        present = slow.get(run.backend_id) if run.backend_id else None
        model = rules.model_of(run)
        if present is None or model not in longest or not _is_settled(run, now):
            continue
        rest = rules.rest_of(run)
        if rest > longest[model] and _wins_exchange(run, rest, present, turn, rules, now):
            longest[model] = rest
            chosen[model] = run
    return list(chosen.values())


def _wins_exchange(
    run: ItemRun,
    rest: float,
    present: EngineState,
    turn: SchedulingPass,
    rules: SlotSwapContext,
    now: float,
) -> bool:
    """Whether a run would go from its engine to one that is free and of a faster kind."""
    target = turn.choose_engine(present.backend.service, rules.demand_of(run), allow_cold=False)
    if target is None or not target.has_fresh_speed(now):
        return False
    pace = present.lasting.value
    won = rest * (pace - target.event_seconds)
    return pace >= EXCHANGE_RATIO * target.event_seconds and won >= LEAST_EXCHANGE_GAIN_SECONDS


def _free_paces(
    turn: SchedulingPass,
    follows: Callable[[BackendId, str], bool],
    services: Iterable[Service],
    now: float,
) -> dict[str, float]:
    """By model of shared engines, the pace of the fastest one that follows it and is free."""
    free: dict[str, float] = {}
    for service in services:
        if len(service.models) < 2:
            continue
        measured = [s for s in turn.open_by_service.get(service.name, ()) if s.has_fresh_speed(now)]
        for state in measured:
            for model in service.models:
                if follows(state.backend.backend_id, model):
                    free[model] = min(state.event_seconds, free.get(model, math.inf))
    return free


def _longest_waiting(
    waiting: Iterable[ItemRun], free: Mapping[str, float], rules: SlotSwapContext
) -> dict[str, float]:
    """By model with a free engine, the most events of an item that waits."""
    longest: dict[str, float] = {}
    if not free:
        return longest
    for run in waiting:
        model = rules.model_of(run)
        if model in free:
            longest[model] = max(rules.rest_of(run), longest.get(model, 0.0))
    return longest


def _lasting_slow(
    turn: SchedulingPass, fastest_seconds: float, now: float
) -> dict[BackendId, EngineState]:
    """Engines measured lately that are of a slower kind, pauses of their machines left out."""
    return {
        state.backend.backend_id: state
        for states in turn.engines_by_service.values()
        for state in states
        if state.has_fresh_speed(now) and state.lasting.value >= EXCHANGE_RATIO * fastest_seconds
    }


def _is_settled(run: ItemRun, now: float) -> bool:
    """Whether a run has begun long enough ago to be moved."""
    return now - run.begun_at >= SHORTEST_STAY_SECONDS and run.has_head


def slow_engines(
    turn: SchedulingPass, terms: Mapping[str, MoveTerms], now: float
) -> dict[BackendId, EngineState]:
    """Engines whose runs may be better off elsewhere: slower than an open one of the service."""
    slow: dict[BackendId, EngineState] = {}
    for service, open_engines in turn.open_by_service.items():
        typical = turn.typical_event_seconds(service)
        pace = terms.get(service, ONE_MODEL).pace
        fastest = min((state.speed(typical, now) for state in open_engines), default=math.inf)
        for state in turn.engines_by_service[service]:
            is_measured = state.running and state.has_fresh_speed(now)
            if is_measured and pace(state) >= LEAST_MOVE_RATIO * fastest:
                slow[state.backend.backend_id] = state
    return slow


def _move_of(
    run: ItemRun,
    present: EngineState,
    turn: SchedulingPass,
    demand: ItemRequirements,
    terms: Mapping[str, MoveTerms],
    now: float,
) -> Move | None:
    """Where a run had better go on; None if it stays. Cold engines are no target."""
    service = present.backend.service
    target = turn.choose_engine(service, demand, allow_cold=False)
    if target is None or target is present:
        return None
    typical = turn.typical_event_seconds(service)
    of_service = terms.get(service, ONE_MODEL)
    won = seconds_won(run, present, target, demand.remaining_events, typical, now, of_service)
    return Move(run, target, won) if won > 0.0 else None


def seconds_won(
    run: ItemRun,
    present: EngineState,
    other: EngineState,
    rest_events: float,
    typical_seconds: float,
    now: float,
    terms: MoveTerms = ONE_MODEL,
) -> float:
    """Seconds that a run gains by going on at another engine; 0 if it had better stay.

    The other engine reads the prompt and what was generated anew; a run that has hardly begun, or
    has moved just now, stays. So does one that would win less than it takes to read that anew.

    Args:
        run: A run that is under way.
        present: Its engine.
        other: The engine to which it could move.
        rest_events: Events that it is expected to have yet.
        typical_seconds: Median time of one event over the service's engines.
        now: Local time.
        terms: What a move must be worth.
    """
    if not (_is_settled(run, now) and present.has_fresh_speed(now)):
        return 0.0
    present_seconds = terms.pace(present)
    other_seconds = other.event_cost(typical_seconds, now)
    if present_seconds < LEAST_MOVE_RATIO * other_seconds:
        return 0.0
    reading = other.first_event_seconds or FIRST_READ_SECONDS
    reading += max(0.0, remote_seconds(other) - remote_seconds(present))
    won = rest_events * (present_seconds - other_seconds) - reading
    return won if won >= max(reading, terms.least_seconds) else 0.0
