"""Runs and scores the items of open jobs; active in the leading keeper only.

The runner tracks the unlisted items, those without a committed result, from the time at which their
job is accepted or this keeper becomes leader. Decisions are made in `schedule`, `placement`,
`run_moves`, `overload` and `text_keeping`, and carried out by `item_calls`, `item_streams`,
`item_scoring` and `item_listing`. The keeper's daemon passes in events and ticks.

This state is not replicated: a new leader runs unlisted items again, each from the last checkpoint
of its text.
"""

from collections import Counter

from merlinstand.batch_jobs.cold_engines import request_grants_for_items
from merlinstand.batch_jobs.deferral import GroupDeferral
from merlinstand.batch_jobs.item_calls import ItemCalls
from merlinstand.batch_jobs.item_context import ItemContext
from merlinstand.batch_jobs.item_listing import ItemListing
from merlinstand.batch_jobs.item_regions import ItemRegions
from merlinstand.batch_jobs.item_request import ItemRequests
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.item_scoring import ItemScoring
from merlinstand.batch_jobs.item_streams import ItemStreams, StreamEvent
from merlinstand.batch_jobs.lengths import LengthHistory
from merlinstand.batch_jobs.placement import ItemRequirements
from merlinstand.batch_jobs.run_moves import (
    MAXIMUM_MOVES_PER_TICK,
    SlotSwapContext,
    find_moves,
    find_slot_swaps,
    movable_runs,
    move_thresholds,
)
from merlinstand.batch_jobs.schedule import GroupProgress, group_progress, sort_by_urgency
from merlinstand.batch_jobs.scheduling_pass import SchedulingPass
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.batch_jobs.text_keeping import CHECKPOINT_INTERVAL_SECONDS, find_due_checkpoints
from merlinstand.batch_jobs.waiting_items import WaitMonitor, WaitReasons
from merlinstand.cluster.requests import FinishedRequest
from merlinstand.common.ids import BackendId
from merlinstand.decisions.item_retry import AFTER_MOVE, JOB_EXPIRED
from merlinstand.kernel.effects import Effect

REMEMBERED_ITEM_LIMIT = 20_000
"""Maximum number of item ids remembered to recognise items that are resubmitted in a later job; the
oldest are dropped first. The limit covers one step of nine trainers with 2,048 items each."""


class ItemRunner:
    """All unlisted items of open jobs, while this keeper leads."""

    def __init__(self, context: ItemContext) -> None:
        """Create the runner; `load_open_jobs` adds the items when a leadership term starts.

        Args:
            context: Dependencies.
        """
        self._jobs = context.jobs
        self._follower = context.follower
        self._engines = context.engines
        self._is_assigned = context.is_assigned
        self._service_choice = context.service_choice
        self._propose_checkpoints = context.propose_checkpoints
        self._group_time = context.group_time
        self._runs: dict[str, ItemRun] = {}
        self._first_job_by_item: dict[str, str] = {}
        """By item id, the id of the first job that contained the item; oldest entry first."""
        self._job_count = 0
        self._is_start_due = False
        """Whether, since the last scheduling pass, items were added or more engines became
        available to waiting items."""
        self._lengths = LengthHistory()
        self._requests = ItemRequests(context.jobs, context.follower, context.header_names)
        self._regions = ItemRegions(
            context.jobs, self._requests, context.follower, context.zone_map
        )
        self._calls = ItemCalls(context.engines, self._requests, context.crash_detector)
        self._listing = ItemListing(context)
        self._scoring = ItemScoring(context, self._runs, self._regions, self._listing)
        self._streams = ItemStreams(
            context, self._requests, self._calls, self._lengths, self._scoring, self._listing
        )
        self._wait_monitor = WaitMonitor(WaitReasons(context, self._requests, self._regions))
        self._deferral = GroupDeferral(
            context.follower, context.engines, context.is_assigned, self._expected_remaining_events
        )

    def __len__(self) -> int:
        """Return the number of unlisted items."""
        return len(self._runs)

    # Jobs

    def load_open_jobs(self, now: float) -> None:
        """Add all open jobs at the start of a leadership term, oldest first."""
        jobs = sorted(self._jobs.jobs.values(), key=lambda job: job.accepted_at)
        for job in jobs:
            self.add_job(job, now)

    def add_job(self, job: JobState, now: float) -> None:
        """Queue the unlisted items of a job."""
        self._job_count += 1
        self._is_start_due = True
        self._deferral.request_review()
        for number, item in enumerate(job.job.items):
            first_job = self._first_job_by_item.setdefault(item.item_id, job.job.job_id)
            if not job.is_open or job.is_listed(item.item_id):
                continue
            run = ItemRun(job.job.job_id, item, (self._job_count, number), queued_at=now)
            run.waiting_since = now
            run.is_resubmitted = first_job != job.job.job_id
            checkpoint = job.text_checkpoints.get(item.item_id)
            if checkpoint is not None:
                run.resume_text(checkpoint)
            self._runs[run.key] = run
        while len(self._first_job_by_item) > REMEMBERED_ITEM_LIMIT:
            del self._first_job_by_item[next(iter(self._first_job_by_item))]

    def end_job(self, job_id: str, now: float) -> list[Effect]:
        """Stop running the items of a job."""
        runs = [run for run in self._runs.values() if run.job_id == job_id]
        return [effect for run in runs for effect in self._drop(run, now)]

    def stop_all(self, now: float) -> list[Effect]:
        """Stop all items at the end of the leadership term."""
        self._scoring.clear()
        effects = [effect for run in list(self._runs.values()) for effect in self._drop(run, now)]
        return effects + self._wait_monitor.clear()

    def remove_listed(self, job_id: str, item_id: str) -> None:
        """Remove an item whose result is listed."""
        self._runs.pop(f"{job_id}/{item_id}", None)

    def _drop(self, run: ItemRun, now: float) -> list[Effect]:
        self._runs.pop(run.key, None)
        if run.phase is RunPhase.SCORING:
            return self._scoring.abort(run, now)
        return self._calls.cancel(run, now)

    # Scheduling

    def tick(self, now: float) -> list[Effect]:
        """Start, retry, move and checkpoint items as due; called every `daemon.TICK_SECONDS`.

        Call it only while this process may act as leader.
        """
        effects = [effect for run in self._runs_to_retry(now) for effect in self._retry(run, now)]
        effects.extend(self._scoring.tick(now))
        effects.extend(self._defer_groups(now))
        effects.extend(self._start_waiting(now))
        effects.extend(self._move_slow_runs(now))
        effects.extend(self._wait_monitor.review(self._runs.values(), now))
        return effects + self._checkpoint_texts(now)

    def on_cold_grants(self) -> None:
        """Request a scheduling pass, since attempts at cold engines were granted."""
        self._is_start_due = True

    def start_if_due(self, now: float) -> list[Effect]:
        """Start waiting items after an event that freed a slot or made items startable.

        Call it only while this process may act as leader.
        """
        is_due = self._is_start_due or self._calls.has_freed_slot
        return self._start_waiting(now) if is_due else []

    def _runs_to_retry(self, now: float) -> list[ItemRun]:
        """Return the items whose scoring call or listing is due to be retried."""
        phases = (RunPhase.SCORING, RunPhase.LISTING)
        runs = self._runs.values()
        return [run for run in runs if run.phase in phases and 0.0 < run.wait_until <= now]

    def _retry(self, run: ItemRun, now: float) -> list[Effect]:
        if run.phase is RunPhase.SCORING:
            return self._scoring.score(run, now)
        return self._listing.propose(run, now)

    def _start_waiting(self, now: float) -> list[Effect]:
        """Start waiting items in free slots, the most urgent ones first."""
        self._is_start_due = False
        self._calls.has_freed_slot = False
        waiting = [run for run in self._runs.values() if run.phase is RunPhase.WAITING]
        if not waiting:
            return []
        effects: list[Effect] = []
        scheduling_pass = SchedulingPass(
            self._engines, self._is_assigned, self._follower.cold_budget, now
        )
        if scheduling_pass.has_available_engines:
            effects.extend(self._start_by_urgency(scheduling_pass, waiting, now))
        if scheduling_pass.ungranted:
            request_grants_for_items(
                self._follower.cold_budget,
                scheduling_pass.ungranted,
                self._waiting_requirements(waiting, now),
            )
        return effects

    def _waiting_requirements(self, runs: list[ItemRun], now: float) -> list[ItemRequirements]:
        """Return the requirements of the items that still wait for an engine."""
        return [
            self._requirements(run, None)
            for run in runs
            if run.phase is RunPhase.WAITING and run.wait_until <= now
        ]

    def _start_by_urgency(
        self, scheduling_pass: SchedulingPass, waiting: list[ItemRun], now: float
    ) -> list[Effect]:
        """Start items by urgency until no engine is available.

        Sorts `waiting`, because attempts at cold engines are then requested in that order.
        """
        effects = self._defer_groups(now)
        groups = group_progress(self._runs.values())
        sort_by_urgency(
            waiting,
            groups,
            self._jobs.jobs,
            self._deferral.deferred_remaining_events,
            self._expected_remaining_events,
            self._engines.median_event_seconds(now),
        )
        effects.extend(self._swap_slots(scheduling_pass, waiting, now))
        for run in waiting:
            if run.wait_until <= now:
                group = groups[(run.job_id, run.item.group)]
                effects.extend(self._try_start(run, group, scheduling_pass, now))
            if not scheduling_pass.has_available_engines:
                break
        return effects

    def _swap_slots(
        self, scheduling_pass: SchedulingPass, waiting: list[ItemRun], now: float
    ) -> list[Effect]:
        """Requeue runs at slow engines that should take a free slot ahead of the waiting items.

        The requeued runs are inserted at the front of `waiting`.
        """
        swap_context = SlotSwapContext(
            self._model_of,
            self._expected_remaining_events,
            lambda run: self._requirements(run, None),
            self._is_assigned,
        )
        startable = [run for run in waiting if run.wait_until <= now]
        services = self._follower.routes.services.values()
        effects: list[Effect] = []
        for run in find_slot_swaps(
            self._calls.runs, startable, scheduling_pass, swap_context, services, now
        ):
            effects.extend(self._calls.requeue(run, AFTER_MOVE, now))
            waiting.insert(0, run)
        return effects

    def _defer_groups(self, now: float) -> list[Effect]:
        runs = self._runs.values()
        return self._deferral.review(runs, self._jobs.jobs, self._group_time(now), now)

    def _expected_remaining_events(self, run: ItemRun) -> float:
        model = self._jobs.jobs[run.job_id].job.model
        if run.is_resubmitted:
            # The item was incomplete when an earlier job ended, so its text is expected to be long.
            return self._lengths.longest_events(model) - run.text.last_event_id
        return self._lengths.expected_remaining_events(
            model, run.text.last_event_id, run.item.expected_tokens
        )

    def _checkpoint_texts(self, now: float) -> list[Effect]:
        """Propose checkpoints of the texts that are due."""
        due = find_due_checkpoints(self._runs.values(), CHECKPOINT_INTERVAL_SECONDS, now)
        parts = tuple(text.part for text in due)
        effects = self._propose_checkpoints(parts, now) if parts else None
        if effects is None:
            return []
        for text in due:
            text.run.checkpointed_events = text.run.text.last_event_id
            text.run.checkpointed_at = now
        return effects

    def _move_slow_runs(self, now: float) -> list[Effect]:
        """Move runs from slow engines to free slots of faster ones, by descending gain."""
        services = self._follower.routes.services.values()
        waiting = [run for run in self._runs.values() if run.phase is RunPhase.WAITING]
        runs = movable_runs(self._calls.runs, waiting, self._model_of, services)
        if not runs:
            return []
        scheduling_pass = SchedulingPass(
            self._engines, self._is_assigned, self._follower.cold_budget, now
        )
        thresholds = move_thresholds(services)
        moves = find_moves(
            runs, scheduling_pass, lambda run: self._requirements(run, None), thresholds, now
        )
        moves_by_engine: Counter[BackendId] = Counter()
        effects: list[Effect] = []
        for move in moves[:MAXIMUM_MOVES_PER_TICK]:
            target = move.target.backend.backend_id
            if moves_by_engine[target] < move.target.free_slots:
                moves_by_engine[target] += 1
                effects.extend(self._calls.requeue(move.run, AFTER_MOVE, now))
        return effects

    def _model_of(self, run: ItemRun) -> str:
        return self._jobs.jobs[run.job_id].job.model

    def _requirements(self, run: ItemRun, preferred: BackendId | None) -> ItemRequirements:
        job = self._jobs.jobs[run.job_id].job
        return ItemRequirements(
            model=job.model,
            minimum_version=job.minimum_version,
            remaining_events=max(1.0, self._expected_remaining_events(run)),
            preferred_backend_id=None if run.was_interrupted else preferred,
            allowed_zones=self._regions.allowed_zones(run),
            was_interrupted=run.was_interrupted,
        )

    def expire_job(self, job_id: str, now: float) -> list[Effect]:
        """Terminate all unlisted items of a job whose maximum queue time is over."""
        effects: list[Effect] = []
        for run in [run for run in self._runs.values() if run.job_id == job_id]:
            if run.phase is RunPhase.LISTING:
                continue
            if run.phase is RunPhase.SCORING:
                effects.extend(self._scoring.abort(run, now))
            effects.extend(self._calls.cancel(run, now))
            effects.extend(
                self._listing.finish(run, run.make_terminated_result(), JOB_EXPIRED.reason, now)
            )
        return effects

    def _try_start(
        self, run: ItemRun, group: GroupProgress, scheduling_pass: SchedulingPass, now: float
    ) -> list[Effect]:
        route = self._requests.route_of(run)
        if route is None:
            return []
        service = self._service_choice.choose(route)
        engine = scheduling_pass.choose_engine(
            service, self._requirements(run, group.last_backend_id)
        )
        if engine is None:
            return []
        group.last_backend_id = engine.backend.backend_id
        effect = self._calls.start(run, engine, route, now)
        scheduling_pass.record_start(engine)
        return [effect]

    # Calls

    def on_call(self, event: StreamEvent, now: float) -> list[Effect]:
        """Handle an event of a call whose id starts with `item_calls.CALL_PREFIX`."""
        return self._streams.on_call(event, now)

    def on_scored(self, finished: FinishedRequest, now: float) -> list[Effect]:
        """Handle the end of a scoring call."""
        return self._scoring.on_scored(finished, now)

    def list_full_text(self, job_id: str, item_id: str, now: float) -> list[Effect]:
        """Propose a result with its complete text, as its checkpoint was too short when applied."""
        run = self._runs.get(f"{job_id}/{item_id}")
        if run is None or run.phase is not RunPhase.LISTING:
            return []
        run.checkpointed_events = 0
        return self._listing.propose(run, now)
