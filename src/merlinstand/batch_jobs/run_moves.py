"""Which runs leave slow engines for faster ones (pure decisions).

Looked at by the leading keeper's runner at each tick in which no item waits. A move costs: the
other engine reads the prompt and the text so far anew. So only runs that gain clearly more than
that move, the greatest gains first, and a few at a time. The runner stops the runs; they then
start anew as all waiting items do. What moves are worth: docs/DECIDING.md.
"""

import math
from collections.abc import Callable, Iterable

import msgspec

from merlinstand.batch_jobs.engines import EngineState
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.placement import FIRST_READ_SECONDS, ItemDemand, remote_seconds
from merlinstand.batch_jobs.scheduling_turn import SchedulingTurn
from merlinstand.common.ids import BackendId

LEAST_MOVE_RATIO = 1.15
"""A run leaves an engine only if its events take this many times as long as elsewhere: the load of
the moment makes smaller differences, which are not worth a prompt. Chosen, not measured."""
SHORTEST_STAY_SECONDS = 0.6
"""A run that began less than this many seconds ago stays: some tens of events, so that it doesn't
go to and fro. Chosen, not measured."""
MOVES_A_TICK = 4
"""Runs that move at one tick at most: bounds the prompts that are read anew at once. Chosen, not
measured."""


class Move(msgspec.Struct, frozen=True):
    """A run that had better go on at another engine."""

    run: ItemRun
    target: EngineState
    seconds_won: float


def find_moves(
    runs: Iterable[ItemRun],
    turn: SchedulingTurn,
    demand_of: Callable[[ItemRun], ItemDemand],
    now: float,
) -> list[Move]:
    """Find the runs that gain by moving, greatest gain first.

    Several of them may name the same target: whoever moves them counts its free slots.

    Args:
        runs: Runs that are under way.
        turn: The engines as they are now.
        demand_of: What a run needs of an engine.
        now: Local time.
    """
    slow = slow_engines(turn, now)
    if not slow:
        return []
    moves: list[Move] = []
    for run in runs:
        present = slow.get(run.backend_id) if run.backend_id else None
        if present is None or run.phase is not RunPhase.GENERATING:
            continue
        move = _move_of(run, present, turn, demand_of(run), now)
        if move is not None:
            moves.append(move)
    moves.sort(key=lambda move: -move.seconds_won)
    return moves


def slow_engines(turn: SchedulingTurn, now: float) -> dict[BackendId, EngineState]:
    """Engines whose runs may be better off elsewhere: slower than an open one of the service."""
    slow: dict[BackendId, EngineState] = {}
    for service, open_engines in turn.open_by_service.items():
        typical = turn.typical_event_seconds(service)
        fastest = min((state.speed(typical, now) for state in open_engines), default=math.inf)
        for state in turn.engines_by_service[service]:
            is_measured = state.running and state.has_fresh_speed(now)
            if is_measured and state.event_seconds >= LEAST_MOVE_RATIO * fastest:
                slow[state.backend.backend_id] = state
    return slow


def _move_of(
    run: ItemRun, present: EngineState, turn: SchedulingTurn, demand: ItemDemand, now: float
) -> Move | None:
    """Where a run had better go on; None if it stays. Cold engines are no target."""
    service = present.backend.service
    target = turn.choose(service, demand, may_be_cold=False)
    if target is None or target is present:
        return None
    typical = turn.typical_event_seconds(service)
    won = seconds_won(run, present, target, demand.rest_events, typical, now)
    return Move(run, target, won) if won > 0.0 else None


def seconds_won(
    run: ItemRun,
    present: EngineState,
    other: EngineState,
    rest_events: float,
    typical_seconds: float,
    now: float,
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
    """
    is_settled = now - run.begun_at >= SHORTEST_STAY_SECONDS and run.has_head
    if not (is_settled and present.has_fresh_speed(now)):
        return 0.0
    present_seconds = present.event_seconds
    other_seconds = other.event_cost(typical_seconds, now)
    if present_seconds < LEAST_MOVE_RATIO * other_seconds:
        return 0.0
    reading = other.first_event_seconds or FIRST_READ_SECONDS
    reading += max(0.0, remote_seconds(other) - remote_seconds(present))
    won = rest_events * (present_seconds - other_seconds) - reading
    return won if won >= reading else 0.0
