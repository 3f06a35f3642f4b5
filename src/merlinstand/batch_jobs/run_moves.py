"""Which runs move from slow engines to faster ones (pure functions).

The leading keeper's runner calls this module at each tick. A run may move only if no waiting item
could use its slot. The target engine has to prefill the prompt and the text so far again, so a run
moves only if it gains clearly more time than the prefill takes. Runs with the greatest gains move
first, and few move at a time. The runner stops these runs; they are then scheduled like other
waiting items. See docs/DECIDING.md.

Where the engines of a service hold several models, an item waits only for engines that are assigned
its model, so runs of other models may still move. In such services, brief pauses of some engine are
common, so a run moves only if its engine has been slow for longer, and only for a larger gain.

If an item waits for a fast engine while a longer text of its model is being generated on a slow
one, the longer text takes the fast slot and the item the slow one (`find_slot_swaps`).
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from merlinstand.batch_jobs.engines import EngineState
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.placement import (
    DEFAULT_PREFILL_SECONDS,
    ItemRequirements,
    remote_penalty_seconds,
)
from merlinstand.batch_jobs.scheduling_pass import SchedulingPass
from merlinstand.cluster.routes import Service
from merlinstand.common.ids import BackendId

MINIMUM_MOVE_RATIO = 1.15
"""Minimum ratio of the event times of the source and target engine. Momentary load causes smaller
differences, which do not justify another prefill."""
MINIMUM_RUN_SECONDS = 0.6
"""Minimum age of a run before it may move: some tens of events, to prevent oscillation."""
MAXIMUM_MOVES_PER_TICK = 4
"""Maximum number of moves per tick, since each of them repeats a prefill."""
MINIMUM_SHARED_GAIN_SECONDS = 0.3
"""Minimum time that a move must save where models share engines. A trainer reads results about
twice a second, so a smaller gain rarely matters to it."""
MINIMUM_SWAP_RATIO = 1.5
"""Minimum ratio of the event times of a run's engine and the free engine for a slot swap; the event
time of a single engine varies less than that."""
MINIMUM_SWAP_GAIN_SECONDS = 1.2
"""Minimum time that a slot swap must save for the run; the waiting item loses part of it."""


class MoveThresholds(msgspec.Struct, frozen=True):
    """Minimum gains for moves of one service's runs."""

    minimum_gain_seconds: float = 0.0
    """Minimum time that a move must save."""
    requires_sustained_slowness: bool = False
    """Whether an engine counts as slow only once it has been slow for one to two
    `engines.SHORT_WINDOW_SECONDS`."""

    def event_seconds(self, state: EngineState) -> float:
        """Return the time per event at which an engine is compared with faster ones."""
        return (
            state.short_window_minimum.value
            if self.requires_sustained_slowness
            else state.event_seconds
        )


SINGLE_MODEL = MoveThresholds()
"""For services whose engines hold one model."""
MULTIPLE_MODELS = MoveThresholds(MINIMUM_SHARED_GAIN_SECONDS, requires_sustained_slowness=True)
"""For services whose engines hold several models."""


def move_thresholds(services: Iterable[Service]) -> dict[str, MoveThresholds]:
    """Return the move thresholds by service name."""
    return {
        service.name: MULTIPLE_MODELS if len(service.models) > 1 else SINGLE_MODEL
        for service in services
    }


def movable_runs(
    runs: Iterable[ItemRun],
    waiting: Iterable[ItemRun],
    model_of: Callable[[ItemRun], str],
    services: Iterable[Service],
) -> Sequence[ItemRun]:
    """Return the runs that may move: those whose slots no waiting item could use instead.

    Args:
        runs: Active runs.
        waiting: Items that wait for an engine.
        model_of: Returns the model of an item; empty if any model is acceptable.
        services: The services of all engines.
    """
    waiting_models = {model_of(run) for run in waiting}
    if not waiting_models:
        return list(runs)
    if "" in waiting_models:
        return []
    shared = {model for service in services if len(service.models) > 1 for model in service.models}
    movable_models = shared - waiting_models
    return [run for run in runs if model_of(run) in movable_models] if movable_models else []


class Move(msgspec.Struct, frozen=True):
    """A run that should continue on another engine."""

    run: ItemRun
    target: EngineState
    seconds_saved: float


def find_moves(
    runs: Iterable[ItemRun],
    scheduling_pass: SchedulingPass,
    requirements_of: Callable[[ItemRun], ItemRequirements],
    thresholds: Mapping[str, MoveThresholds],
    now: float,
) -> list[Move]:
    """Find the runs that gain by moving, greatest gain first.

    Several moves may have the same target; the caller must check its free slots.

    Args:
        runs: Active runs.
        scheduling_pass: The engines in this scheduling pass.
        requirements_of: Returns what a run requires of an engine.
        thresholds: Minimum gains by service.
        now: Local time in seconds.
    """
    slow = slow_engines(scheduling_pass, thresholds, now)
    if not slow:
        return []
    moves: list[Move] = []
    for run in runs:
        source = slow.get(run.backend_id) if run.backend_id else None
        if source is None or run.phase is not RunPhase.GENERATING:
            continue
        move = _find_move(run, source, scheduling_pass, requirements_of(run), thresholds, now)
        if move is not None:
            moves.append(move)
    moves.sort(key=lambda move: -move.seconds_saved)
    return moves


class SlotSwapContext(msgspec.Struct, frozen=True):
    """Lookups that `find_slot_swaps` needs."""

    model_of: Callable[[ItemRun], str]
    """Returns the model of an item."""
    remaining_events_of: Callable[[ItemRun], float]
    """Returns the events that an item is expected to still generate."""
    requirements_of: Callable[[ItemRun], ItemRequirements]
    """Returns what an item requires of an engine."""
    is_assigned: Callable[[BackendId, str], bool]
    """Whether an engine is assigned a model, and so keeps its weights current."""


def find_slot_swaps(
    runs: Iterable[ItemRun],
    waiting: Iterable[ItemRun],
    scheduling_pass: SchedulingPass,
    context: SlotSwapContext,
    services: Iterable[Service],
    now: float,
) -> list[ItemRun]:
    """Find the runs that should take a free slot ahead of the items that wait for it.

    Returns at most one run per model, and only of services whose engines hold several models.

    Args:
        runs: Active runs.
        waiting: Items that may start now.
        scheduling_pass: The engines in this scheduling pass.
        context: Lookups on runs and engines.
        services: The services of all engines.
        now: Local time in seconds.
    """
    free_event_seconds = _free_event_seconds(scheduling_pass, context.is_assigned, services, now)
    longest = _longest_waiting(waiting, free_event_seconds, context)
    if not longest:
        return []
    slow = _sustained_slow_engines(scheduling_pass, min(free_event_seconds.values()), now)
    chosen: dict[str, ItemRun] = {}
    for run in runs:
        source = slow.get(run.backend_id) if run.backend_id else None
        model = context.model_of(run)
        if source is None or model not in longest or not _has_run_long_enough(run, now):
            continue
        remaining_events = context.remaining_events_of(run)
        if remaining_events > longest[model] and _is_swap_worthwhile(
            run, remaining_events, source, scheduling_pass, context, now
        ):
            longest[model] = remaining_events
            chosen[model] = run
    return list(chosen.values())


def _is_swap_worthwhile(
    run: ItemRun,
    remaining_events: float,
    source: EngineState,
    scheduling_pass: SchedulingPass,
    context: SlotSwapContext,
    now: float,
) -> bool:
    """Whether a run would get a free slot on a sufficiently faster engine than its current one."""
    target = scheduling_pass.choose_engine(
        source.backend.service, context.requirements_of(run), allow_cold=False
    )
    if target is None or not target.has_recent_speed(now):
        return False
    source_seconds = source.short_window_minimum.value
    saved = remaining_events * (source_seconds - target.event_seconds)
    return (
        source_seconds >= MINIMUM_SWAP_RATIO * target.event_seconds
        and saved >= MINIMUM_SWAP_GAIN_SECONDS
    )


def _free_event_seconds(
    scheduling_pass: SchedulingPass,
    is_assigned: Callable[[BackendId, str], bool],
    services: Iterable[Service],
    now: float,
) -> dict[str, float]:
    """Return the time per event of the fastest available engine that is assigned a model, by model.

    Covers only the models of services whose engines hold several models.
    """
    fastest: dict[str, float] = {}
    for service in services:
        if len(service.models) < 2:
            continue
        measured = [
            s
            for s in scheduling_pass.warm_by_service.get(service.name, ())
            if s.has_recent_speed(now)
        ]
        for state in measured:
            for model in service.models:
                if is_assigned(state.backend.backend_id, model):
                    fastest[model] = min(state.event_seconds, fastest.get(model, math.inf))
    return fastest


def _longest_waiting(
    waiting: Iterable[ItemRun], models: Mapping[str, float], context: SlotSwapContext
) -> dict[str, float]:
    """Return the most remaining events of a waiting item, by model with an available engine."""
    longest: dict[str, float] = {}
    if not models:
        return longest
    for run in waiting:
        model = context.model_of(run)
        if model in models:
            longest[model] = max(context.remaining_events_of(run), longest.get(model, 0.0))
    return longest


def _sustained_slow_engines(
    scheduling_pass: SchedulingPass, fastest_seconds: float, now: float
) -> dict[BackendId, EngineState]:
    """Return the recently measured engines that have been slow for longer than a short pause."""
    return {
        state.backend.backend_id: state
        for states in scheduling_pass.engines_by_service.values()
        for state in states
        if state.has_recent_speed(now)
        and state.short_window_minimum.value >= MINIMUM_SWAP_RATIO * fastest_seconds
    }


def _has_run_long_enough(run: ItemRun, now: float) -> bool:
    """Whether a run was accepted by its engine and is old enough to move."""
    return now - run.started_at >= MINIMUM_RUN_SECONDS and run.is_streaming


def slow_engines(
    scheduling_pass: SchedulingPass, thresholds: Mapping[str, MoveThresholds], now: float
) -> dict[BackendId, EngineState]:
    """Return the engines that are slower than an available warm engine of their service, by id."""
    slow: dict[BackendId, EngineState] = {}
    for service, available in scheduling_pass.warm_by_service.items():
        median_event_seconds = scheduling_pass.median_event_seconds(service)
        event_seconds_of = thresholds.get(service, SINGLE_MODEL).event_seconds
        fastest = min(
            (state.estimated_event_seconds(median_event_seconds, now) for state in available),
            default=math.inf,
        )
        for state in scheduling_pass.engines_by_service[service]:
            is_measured = state.running and state.has_recent_speed(now)
            if is_measured and event_seconds_of(state) >= MINIMUM_MOVE_RATIO * fastest:
                slow[state.backend.backend_id] = state
    return slow


def _find_move(
    run: ItemRun,
    source: EngineState,
    scheduling_pass: SchedulingPass,
    requirements: ItemRequirements,
    thresholds: Mapping[str, MoveThresholds],
    now: float,
) -> Move | None:
    """Return a worthwhile move of a run, or None. Cold engines are never targets."""
    service = source.backend.service
    target = scheduling_pass.choose_engine(service, requirements, allow_cold=False)
    if target is None or target is source:
        return None
    median_event_seconds = scheduling_pass.median_event_seconds(service)
    service_thresholds = thresholds.get(service, SINGLE_MODEL)
    saved = seconds_saved(
        run,
        source,
        target,
        requirements.remaining_events,
        median_event_seconds,
        now,
        service_thresholds,
    )
    return Move(run, target, saved) if saved > 0.0 else None


def seconds_saved(
    run: ItemRun,
    source: EngineState,
    target: EngineState,
    remaining_events: float,
    median_event_seconds: float,
    now: float,
    thresholds: MoveThresholds = SINGLE_MODEL,
) -> float:
    """Return the time that a run saves by continuing on another engine; 0 if it should not move.

    The target has to prefill the prompt and the generated text again. A run does not move if it
    started or moved recently, or if it would save less time than that prefill takes.

    Args:
        run: An active run.
        source: Its engine.
        target: The engine to which it could move.
        remaining_events: Events that it is expected to still generate.
        median_event_seconds: Median time per event over the service's engines.
        now: Local time in seconds.
        thresholds: Minimum gains of a move.
    """
    if not (_has_run_long_enough(run, now) and source.has_recent_speed(now)):
        return 0.0
    source_seconds = thresholds.event_seconds(source)
    target_seconds = target.event_seconds_with_new_run(median_event_seconds, now)
    if source_seconds < MINIMUM_MOVE_RATIO * target_seconds:
        return 0.0
    prefill = target.first_event_seconds or DEFAULT_PREFILL_SECONDS
    prefill += max(0.0, remote_penalty_seconds(target) - remote_penalty_seconds(source))
    saved = remaining_events * (source_seconds - target_seconds) - prefill
    return saved if saved >= max(prefill, thresholds.minimum_gain_seconds) else 0.0
