"""Runs and scores the items of open jobs; lives in the leading keeper only.

Owns the items without a position, from the moment their job is accepted or this keeper begins to
lead, and hands events on to the parts: the rules of `schedule`, `placement`, `run_moves`,
`overload` and `text_keeping` decide, `item_calls`, `item_streams`, `item_scoring` and
`item_listing` act. The keeper's daemon calls it, ticks it, and proposes what it lists.

Everything here may be lost with the process: an item without a position is run again, from the
last part of its text on that the log holds.
"""

from collections import Counter

from merlinstand.batch_jobs.cold_engines import request_grants_for_items
from merlinstand.batch_jobs.deferral import GroupDeferral
from merlinstand.batch_jobs.held_items import HeldItems
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
from merlinstand.batch_jobs.text_keeping import KEEP_TEXT_SECONDS, texts_due
from merlinstand.cluster.requests import FinishedRequest
from merlinstand.common.ids import BackendId
from merlinstand.decisions.admission import Admission
from merlinstand.decisions.item_retry import AFTER_MOVE, JOB_EXPIRED
from merlinstand.forwarding.quarantine_gate import QuarantineGate
from merlinstand.kernel.effects import Effect

CARRIED_LIMIT = 20_000
"""Item ids remembered to recognise items that come back in a later job, the oldest forgotten first;
more than one step of nine trainers with 2,048 items each. Chosen, not measured."""


class ItemRunner:
    """All items of open jobs, while this keeper leads."""

    def __init__(self, context: ItemContext) -> None:
        """Begin without items.

        Args:
            context: What it works with.
        """
        self._jobs = context.jobs
        self._follower = context.follower
        self._engines = context.engines
        self._follows = context.is_assigned
        self._split = context.split
        self._keep_texts = context.keep_texts
        self._group_time = context.group_time
        self._runs: dict[str, ItemRun] = {}
        self._seen: dict[str, str] = {}
        """Job that an item id first came with."""
        self._job_count = 0
        self._is_start_due = False
        """Whether items came, or may run where they could not, since the last turn."""
        self._lengths = LengthHistory()
        self._requests = ItemRequests(context.jobs, context.follower, context.names)
        self._regions = ItemRegions(context.jobs, self._requests, context.follower, context.places)
        self._calls = ItemCalls(context.engines, self._requests, context.watch)
        self._listing = ItemListing(context)
        self._scoring = ItemScoring(context, self._runs, self._regions, self._listing)
        self._streams = ItemStreams(
            context, self._requests, self._calls, self._lengths, self._scoring, self._listing
        )
        gate = QuarantineGate(context.watch.suspects, "item.trial:")
        self._held = HeldItems(gate, self._requests.content_of)
        self._deferral = GroupDeferral(
            context.follower, context.engines, context.is_assigned, self._expected_rest
        )

    def __len__(self) -> int:
        """Items under way."""
        return len(self._runs)

    # Jobs

    def begin(self, now: float) -> None:
        """A leadership begins: take up all open jobs."""
        jobs = sorted(self._jobs.jobs.values(), key=lambda job: job.accepted_at)
        for job in jobs:
            self.add_job(job, now)

    def add_job(self, job: JobState, now: float) -> None:
        """Take up a job's unlisted items."""
        self._job_count += 1
        self._is_start_due = True
        self._deferral.request_review()
        for number, item in enumerate(job.job.items):
            first_job = self._seen.setdefault(item.item_id, job.job.job_id)
            if not job.is_open or job.is_listed(item.item_id):
                continue
            run = ItemRun(job.job.job_id, item, (self._job_count, number), taken_up_at=now)
            run.is_carried = first_job != job.job.job_id
            kept = job.kept_texts.get(item.item_id)
            if kept is not None:
                run.resume_text(kept)
            self._runs[run.key] = run
        while len(self._seen) > CARRIED_LIMIT:
            del self._seen[next(iter(self._seen))]

    def end_job(self, job_id: str, now: float) -> list[Effect]:
        """Run nothing more of a job."""
        runs = [run for run in self._runs.values() if run.job_id == job_id]
        return [effect for run in runs for effect in self._drop(run, now)]

    def end(self, now: float) -> list[Effect]:
        """The leadership is over: stop everything."""
        self._scoring.clear()
        return [effect for run in list(self._runs.values()) for effect in self._drop(run, now)]

    def listed(self, job_id: str, item_id: str) -> None:
        """A result has its position."""
        self._runs.pop(f"{job_id}/{item_id}", None)

    def _drop(self, run: ItemRun, now: float) -> list[Effect]:
        self._runs.pop(run.key, None)
        self._held.end(run)
        if run.phase is RunPhase.SCORING:
            return self._scoring.abort(run, now)
        return self._calls.stop(run, now)

    # Scheduling

    def tick(self, now: float) -> list[Effect]:
        """Start, try again and move what is due, every few ten milliseconds.

        Call it only while this process may act as leader.
        """
        self.review_held(now)
        effects = [effect for run in self._due_again(now) for effect in self._go_on(run, now)]
        effects.extend(self._scoring.tick(now))
        effects.extend(self._defer_groups(now))
        effects.extend(self._start_waiting(now))
        effects.extend(self._move_slow_runs(now))
        return effects + self._keep_long_texts(now)

    def note_grants(self) -> None:
        """Runs may be sent to cold engines now: look for engines after this event."""
        self._is_start_due = True

    def review_held(self, now: float) -> None:
        """What is held against items may have changed."""
        self._is_start_due |= self._held.review(now)

    def start_if_due(self, now: float) -> list[Effect]:
        """Start waiting items after an event, if it freed a slot or brought items.

        Call it only while this process may act as leader.
        """
        is_due = self._is_start_due or self._calls.has_freed_slot
        return self._start_waiting(now) if is_due else []

    def _due_again(self, now: float) -> list[ItemRun]:
        """Runs that wait to be scored or listed once more."""
        later = (RunPhase.SCORING, RunPhase.LISTING)
        runs = self._runs.values()
        return [run for run in runs if run.phase in later and 0.0 < run.wait_until <= now]

    def _go_on(self, run: ItemRun, now: float) -> list[Effect]:
        if run.phase is RunPhase.SCORING:
            return self._scoring.score(run, now)
        return self._listing.propose(run, now)

    def _start_waiting(self, now: float) -> list[Effect]:
        """Give free slots to the most urgent items."""
        self._is_start_due = False
        self._calls.has_freed_slot = False
        waiting = [run for run in self._runs.values() if run.phase is RunPhase.WAITING]
        if not waiting:
            return []
        effects = self._held.hold_back(waiting, now)
        waiting = [run for run in waiting if run.phase is RunPhase.WAITING]
        turn = SchedulingPass(self._engines, self._follows, self._follower.cold_budget, now)
        if turn.has_available_engines:
            effects.extend(self._start_on(turn, waiting, now))
        if turn.ungranted:
            request_grants_for_items(
                self._follower.cold_budget, turn.ungranted, self._demands_of(waiting, now)
            )
        return effects

    def _demands_of(self, runs: list[ItemRun], now: float) -> list[ItemRequirements]:
        """What items that still wait need of an engine."""
        return [
            self._demand(run, None)
            for run in runs
            if run.phase is RunPhase.WAITING and run.wait_until <= now
        ]

    def _start_on(self, turn: SchedulingPass, waiting: list[ItemRun], now: float) -> list[Effect]:
        """Start what finds an engine; leaves `waiting` sorted, as grants are then requested."""
        effects = self._defer_groups(now)
        groups = group_progress(self._runs.values())
        sort_by_urgency(
            waiting,
            groups,
            self._jobs.jobs,
            self._deferral.deferred_remaining_events,
            self._expected_rest,
            self._engines.median_event_seconds(now),
        )
        effects.extend(self._exchange_places(turn, waiting, now))
        for run in waiting:
            if run.wait_until <= now:
                group = groups[(run.job_id, run.item.group)]
                effects.extend(self._try_start(run, group, turn, now))
            if not turn.has_available_engines:
                break
        return effects

    def _exchange_places(
        self, turn: SchedulingPass, waiting: list[ItemRun], now: float
    ) -> list[Effect]:
        """Let the longest texts leave slow engines first; puts them before all that wait."""
        rules = SlotSwapContext(
            self._model_of, self._expected_rest, lambda run: self._demand(run, None), self._follows
        )
        ready = [run for run in waiting if run.wait_until <= now]
        services = self._follower.routes.services.values()
        effects: list[Effect] = []
        for run in find_slot_swaps(self._calls.runs, ready, turn, rules, services, now):
            effects.extend(self._calls.start_again(run, AFTER_MOVE, now))
            waiting.insert(0, run)
        return effects

    def _defer_groups(self, now: float) -> list[Effect]:
        runs = self._runs.values()
        return self._deferral.review(runs, self._jobs.jobs, self._group_time(now), now)

    def _expected_rest(self, run: ItemRun) -> float:
        model = self._jobs.jobs[run.job_id].job.model
        if run.is_carried:
            # It was not whole when its earlier job ended: it takes long.
            return self._lengths.longest_events(model) - run.text.last_event_id
        return self._lengths.expected_remaining_events(
            model, run.text.last_event_id, run.item.expected_tokens
        )

    def _keep_long_texts(self, now: float) -> list[Effect]:
        """Have the log keep the texts of items that take long: they would end last again."""
        due = texts_due(self._runs.values(), KEEP_TEXT_SECONDS, now)
        parts = tuple(text.part for text in due)
        effects = self._keep_texts(parts, now) if parts else None
        if effects is None:
            return []
        for text in due:
            text.run.kept_events = text.run.text.last_event_id
            text.run.kept_at = now
        return effects

    def _move_slow_runs(self, now: float) -> list[Effect]:
        """Let runs of slow engines go on at faster open ones; those that gain most go first."""
        services = self._follower.routes.services.values()
        waiting = [run for run in self._runs.values() if run.phase is RunPhase.WAITING]
        runs = movable_runs(self._calls.runs, waiting, self._model_of, services)
        if not runs:
            return []
        turn = SchedulingPass(self._engines, self._follows, self._follower.cold_budget, now)
        terms = move_thresholds(services)
        moves = find_moves(runs, turn, lambda run: self._demand(run, None), terms, now)
        taken: Counter[BackendId] = Counter()
        effects: list[Effect] = []
        for move in moves[:MAXIMUM_MOVES_PER_TICK]:
            target = move.target.backend.backend_id
            if taken[target] < move.target.free_slots:
                taken[target] += 1
                effects.extend(self._calls.start_again(move.run, AFTER_MOVE, now))
        return effects

    def _model_of(self, run: ItemRun) -> str:
        return self._jobs.jobs[run.job_id].job.model

    def _demand(
        self, run: ItemRun, preferred: BackendId | None, is_suspect: bool = False
    ) -> ItemRequirements:
        job = self._jobs.jobs[run.job_id].job
        return ItemRequirements(
            model=job.model,
            minimum_version=job.minimum_version,
            remaining_events=max(1.0, self._expected_rest(run)),
            preferred_backend_id=None if is_suspect else preferred,
            allowed_zones=self._regions.zones_of(run),
            is_suspect=is_suspect,
        )

    def give_up_job(self, job_id: str, now: float) -> list[Effect]:
        """List every unlisted item of a job as terminated: its time is over."""
        effects: list[Effect] = []
        for run in [run for run in self._runs.values() if run.job_id == job_id]:
            if run.phase is RunPhase.LISTING:
                continue
            if run.phase is RunPhase.SCORING:
                effects.extend(self._scoring.abort(run, now))
            self._held.end(run)
            effects.extend(self._calls.stop(run, now))
            effects.extend(self._listing.finish(run, run.terminated(), JOB_EXPIRED.reason, now))
        return effects

    def _try_start(
        self, run: ItemRun, group: GroupProgress, turn: SchedulingPass, now: float
    ) -> list[Effect]:
        route = self._requests.route_of(run)
        if route is None:
            return []
        service = self._split.choose(route)
        admission = self._held.admit(run, now)
        if admission is Admission.NOT_LAST_BACKEND and self._engines.has_single_healthy_engine(
            service, now
        ):
            return []
        is_suspect = admission is not Admission.ALLOWED
        engine = turn.choose_engine(service, self._demand(run, group.last_backend_id, is_suspect))
        if engine is None:
            return []
        run.is_suspect = is_suspect
        group.last_backend_id = engine.backend.backend_id
        if is_suspect:
            self._held.note_begun(run)
        effect = self._calls.begin(run, engine, route, now)
        turn.record_start(engine)
        return [effect]

    # Calls

    def on_call(self, event: StreamEvent, now: float) -> list[Effect]:
        """Something happened to a call with `item_calls.CALL_PREFIX`."""
        return self._streams.on_call(event, now)

    def on_scored(self, finished: FinishedRequest, now: float) -> list[Effect]:
        """A scoring call ended."""
        return self._scoring.on_scored(finished, now)

    def list_whole(self, job_id: str, item_id: str, now: float) -> list[Effect]:
        """A listing could not be applied without its kept beginning: list the whole text."""
        run = self._runs.get(f"{job_id}/{item_id}")
        if run is None or run.phase is not RunPhase.LISTING:
            return []
        run.kept_events = 0
        return self._listing.propose(run, now)
