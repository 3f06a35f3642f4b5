"""Runs and scores the items of open jobs; lives in the leading keeper only.

Everything here may be lost with the process: an item without a position is run again, from the
last part of its text on that the log holds.
"""

from collections import Counter
from collections.abc import Callable
from http import HTTPStatus

from result import Err

from merlinstand.batch_calls.jobs import ItemResult
from merlinstand.batch_jobs.cold_engines import request_grants_for_items
from merlinstand.batch_jobs.deferral import GroupDeferral
from merlinstand.batch_jobs.engines import EngineState, EngineStates
from merlinstand.batch_jobs.held_items import HeldItems
from merlinstand.batch_jobs.item_regions import ItemRegions
from merlinstand.batch_jobs.item_retry import (
    AFTER_MALFORMED_STREAM,
    AFTER_MOVE,
    BUSY_PAUSE_SECONDS,
    RETRY_PAUSE_SECONDS,
    SILENCE_SECONDS,
    StartAgain,
    Terminate,
    after_broken_call,
    after_end,
    after_events,
    after_head,
    after_not_run,
    after_refusal,
    counts_as_failure,
    was_not_run,
)
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.item_scoring import ItemScoring
from merlinstand.batch_jobs.kept_text import TextPart
from merlinstand.batch_jobs.lengths import LengthHistory
from merlinstand.batch_jobs.placement import ItemDemand
from merlinstand.batch_jobs.run_moves import MOVES_A_TICK, find_moves
from merlinstand.batch_jobs.schedule import GroupProgress, group_progress, in_start_order
from merlinstand.batch_jobs.scheduling_turn import SchedulingTurn
from merlinstand.batch_jobs.state_machine import JobState, JobStates, ListResult
from merlinstand.batch_jobs.text_keeping import KEEP_TEXT_SECONDS, listing_of, texts_due
from merlinstand.cluster.backend_headers import backend_headers
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.places import Places
from merlinstand.cluster.requests import Finished
from merlinstand.cluster.routes import Route
from merlinstand.common.ids import BackendId, CallId, ContentDigest
from merlinstand.common.whole_number import read_whole_number
from merlinstand.decisions.service_split import WeightedChoice
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.kernel.effects import CancelCall, Effect, LogEvent, StartCall
from merlinstand.kernel.events import CallChunk, CallEnded, CallFailed, CallHeaders
from merlinstand.quarantine.crash_watch import CrashWatch
from merlinstand.quarantine.gate import Admission, QuarantineGate
from merlinstand.quarantine.request_digest import digest_of

CALL_PREFIX = "item:"
CARRIED_LIMIT = 20_000
"""Item ids remembered to recognise items that come back in a later job, the oldest forgotten first;
more than one step of nine trainers with 2,048 items each. Chosen, not measured."""

StreamEvent = CallHeaders | CallChunk | CallEnded | CallFailed


class ItemRunner:
    """All items of open jobs, while this keeper leads."""

    def __init__(
        self,
        jobs: JobStates,
        follower: DirectoryFollower,
        engines: EngineStates,
        forwarder: Forwarder,
        names: HeaderNames,
        follows: Callable[[BackendId, str], bool],
        split: WeightedChoice,
        list_result: Callable[[ListResult, float], list[Effect] | None],
        keep_texts: Callable[[tuple[TextPart, ...], float], list[Effect] | None],
        group_time: Callable[[float], float],
        places: Places | None = None,
        watch: CrashWatch | None = None,
    ) -> None:
        """Begin without items.

        Args:
            jobs: The replicated jobs.
            follower: The directory.
            engines: All engines.
            forwarder: Makes scoring calls.
            names: Header names.
            follows: Whether an engine is there for a model in the first place.
            split: Chooses the service of a weighted route.
            list_result: Proposes a result for its job; None if that can't be done now.
            keep_texts: Proposes to remember texts of unfinished items; None likewise.
            group_time: Gives the time by which jobs were accepted, at a local time.
            places: Regions of the zones; without, no engine is in any region.
            watch: Notices engines that end; without one, nobody else is told of them.
        """
        self._watch = watch or CrashWatch(
            follower.suspects, names, follower.health_path_of, follower.cold
        )
        gate = QuarantineGate(self._watch.suspects, "item.trial:")
        self._held = HeldItems(gate, self._content_of)
        self._jobs = jobs
        self._follower = follower
        self._engines = engines
        self._forwarder = forwarder
        self._names = names
        self._follows = follows
        self._split = split
        self._list_result = list_result
        self._keep_texts = keep_texts
        self._group_time = group_time
        self._deferral = GroupDeferral(follower, engines, follows, self._expected_rest)
        self._runs: dict[str, ItemRun] = {}
        self._by_call: dict[CallId, ItemRun] = {}
        self._seen: dict[str, str] = {}
        """Job that an item id first came with."""
        self._lengths = LengthHistory()
        self._regions = ItemRegions(jobs, follower, Places() if places is None else places)
        self._scoring = ItemScoring(
            self._runs, follower, forwarder, names.signature, split, self._list, self._regions
        )
        self._job_count = 0
        self._calls = 0
        self._has_news = False
        """Whether an item came or a slot was freed since the last turn of scheduling."""

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
        self._has_news = True
        self._deferral.review_soon()
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
        return self._stop_call(run, now)

    def _stop_call(self, run: ItemRun, now: float) -> list[Effect]:
        call_id = run.call_id
        if call_id is None:
            return []
        self._watch.given_up(call_id, now)
        self._release(run)
        return [CancelCall(call_id)]

    def _release(self, run: ItemRun) -> None:
        """The present call is over."""
        if run.call_id is not None:
            self._by_call.pop(run.call_id, None)
        run.call_id = None
        run.has_head = False
        self._has_news = True
        state = self._engine_of(run)
        if state is not None:
            state.running -= 1
            state.suspects -= run.is_suspect

    def _engine_of(self, run: ItemRun) -> EngineState | None:
        return self._engines.states.get(run.backend_id) if run.backend_id else None

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
        if not any(run.phase is RunPhase.WAITING for run in self._runs.values()):
            effects.extend(self._move_slow_runs(now))
        return effects + self._keep_long_texts(now)

    def note_grants(self) -> None:
        """Runs may be sent to cold engines now: look for engines after this event."""
        self._has_news = True

    def review_held(self, now: float) -> None:
        """What is held against items may have changed."""
        self._has_news |= self._held.review(now)

    def start_if_news(self, now: float) -> list[Effect]:
        """Start waiting items after an event, if it freed a slot or brought items.

        Call it only while this process may act as leader.
        """
        return self._start_waiting(now) if self._has_news else []

    def _due_again(self, now: float) -> list[ItemRun]:
        """Runs that wait to be scored or listed once more."""
        later = (RunPhase.SCORING, RunPhase.LISTING)
        runs = self._runs.values()
        return [run for run in runs if run.phase in later and 0.0 < run.wait_until <= now]

    def _go_on(self, run: ItemRun, now: float) -> list[Effect]:
        if run.phase is RunPhase.SCORING:
            return self._scoring.score(run, now)
        return self._propose(run, now)

    def _start_waiting(self, now: float) -> list[Effect]:
        """Give free slots to the most urgent items."""
        self._has_news = False
        waiting = [run for run in self._runs.values() if run.phase is RunPhase.WAITING]
        if not waiting:
            return []
        effects = self._held.hold_back(waiting, now)
        waiting = [run for run in waiting if run.phase is RunPhase.WAITING]
        turn = SchedulingTurn(self._engines, self._follows, self._follower.cold, now)
        if turn.has_open_engines:
            effects.extend(self._start_on(turn, waiting, now))
        if turn.closed:
            request_grants_for_items(self._follower.cold, turn.closed, self._needs_of(waiting, now))
        return effects

    def _needs_of(self, runs: list[ItemRun], now: float) -> list[ItemDemand]:
        """What runs that still wait need of an engine."""
        return [
            self._demand(run, None)
            for run in runs
            if run.phase is RunPhase.WAITING and run.wait_until <= now
        ]

    def _start_on(self, turn: SchedulingTurn, waiting: list[ItemRun], now: float) -> list[Effect]:
        effects = self._defer_groups(now)
        groups = group_progress(self._runs.values())
        ordered = in_start_order(
            waiting,
            groups,
            self._jobs.jobs,
            self._deferral.deferred_events,
            self._expected_rest,
            self._engines.typical_event_seconds(now),
        )
        for run in ordered:
            if run.wait_until <= now:
                group = groups[(run.job_id, run.item.group)]
                effects.extend(self._try_start(run, group, turn, now))
            if not turn.has_open_engines:
                break
        return effects

    def _defer_groups(self, now: float) -> list[Effect]:
        runs = self._runs.values()
        return self._deferral.review(runs, self._jobs.jobs, self._group_time(now), now)

    def _expected_rest(self, run: ItemRun) -> float:
        model = self._jobs.jobs[run.job_id].job.model
        if run.is_carried:
            # It was not whole when its earlier job ended: it takes long.
            return self._lengths.longest(model) - run.text.last_event_id
        return self._lengths.expected_rest(model, run.text.last_event_id, run.item.expected_tokens)

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
        turn = SchedulingTurn(self._engines, self._follows, self._follower.cold, now)
        moves = find_moves(self._by_call.values(), turn, lambda run: self._demand(run, None), now)
        taken: Counter[BackendId] = Counter()
        effects: list[Effect] = []
        for move in moves[:MOVES_A_TICK]:
            target = move.target.backend.backend_id
            if taken[target] < move.target.free_slots:
                taken[target] += 1
                effects.extend(self._start_again(move.run, AFTER_MOVE, now))
        return effects

    def _demand(
        self, run: ItemRun, preferred: BackendId | None, is_suspect: bool = False
    ) -> ItemDemand:
        job = self._jobs.jobs[run.job_id].job
        return ItemDemand(
            model=job.model,
            minimum_version=job.minimum_version,
            rest_events=max(1.0, self._expected_rest(run)),
            preferred=None if is_suspect else preferred,
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
            effects.extend(self._stop_call(run, now))
            effects.extend(self._list(run, run.terminated(), "queue_time", now))
        return effects

    def _try_start(
        self, run: ItemRun, group: GroupProgress, turn: SchedulingTurn, now: float
    ) -> list[Effect]:
        job = self._jobs.jobs[run.job_id].job
        host = run.item.headers.get("host", job.host)
        route = self._follower.routes.find(host, run.item.path.partition("?")[0])
        if route is None:
            return []
        service = self._split.choose(route)
        admission = self._held.admit(run, now)
        if admission is Admission.NOT_LAST_SERVER and self._engines.has_one_left(service, now):
            return []
        is_suspect = admission is not Admission.ALLOWED
        engine = turn.choose(service, self._demand(run, group.last_backend, is_suspect))
        if engine is None:
            return []
        run.is_suspect = is_suspect
        group.last_backend = engine.backend.backend_id
        effect = self._start(run, engine, host, route, now)
        turn.note_begun(engine)
        return [effect]

    def _start(
        self, run: ItemRun, engine: EngineState, host: str, route: Route, now: float
    ) -> Effect:
        self._calls += 1
        call_id = CallId(f"{CALL_PREFIX}{self._calls}")
        run.call_id = call_id
        run.backend_id = engine.backend.backend_id
        run.phase = RunPhase.GENERATING
        run.begun_at = run.heard_at = now
        run.first_begun_at = run.first_begun_at or now
        run.run_count += 1
        run.kept_at = run.kept_at or now
        engine.running += 1
        if run.is_suspect:
            engine.suspects += 1
            self._held.note_begun(run)
        # Now, since the job may be gone once the run has ended.
        content = self._content_of(run)
        self._watch.sent(call_id, engine.backend, lambda: content, now)
        self._by_call[call_id] = run
        tenant = self._jobs.jobs[run.job_id].job.tenant
        tenants = self._follower.routes.tenants
        headers = {
            **backend_headers(run.item.headers, route, tenant, tenants, self._names),
            self._names.request_id: run.item.item_id,
            self._names.expected_backend: engine.backend.backend_id,
        }
        if run.text.last_event_id:
            headers["last-event-id"] = str(run.text.last_event_id)
        return StartCall(
            call_id=call_id,
            address=engine.backend.address,
            method="POST",
            path=run.item.path,
            headers=headers,
            body=run.item.body,
            timeout_seconds=SILENCE_SECONDS,
            stream=True,
            host=host,
            echo_header=self._names.request_id,
            # Not to be reset by an engine that was gone before: see `Forwarder`.
            fresh_connection=run.is_suspect,
        )

    # Generation

    def on_call(self, event: StreamEvent, now: float) -> list[Effect]:
        """Something happened to a call with `CALL_PREFIX`."""
        run = self._by_call.get(event.call_id)
        if run is None:
            return []
        match event:
            case CallHeaders():
                return self._on_head(run, event, now)
            case CallChunk():
                return self._on_chunk(run, event, now)
            case CallEnded():
                return self._on_end(run, now)
            case CallFailed():
                return self._on_failure(run, event, now)

    def _on_head(self, run: ItemRun, event: CallHeaders, now: float) -> list[Effect]:
        if event.status != HTTPStatus.OK:
            return self._on_refusal(run, event, now)
        job = self._jobs.jobs[run.job_id].job
        version = read_whole_number(event.headers.get(self._names.weight_versions, "")) or 0
        engine = self._engine_of(run)
        if engine is not None and job.model:
            engine.note_version(job.model, version)
        is_single_version = self._is_single_version(run)
        decision = after_head(version, job.minimum_version, run.text.versions, is_single_version)
        if decision is not None:
            return self._start_again(run, decision, now)
        run.has_head = True
        run.text.begin_run(version)
        return []

    def _on_refusal(self, run: ItemRun, event: CallHeaders, now: float) -> list[Effect]:
        status = event.status
        if was_not_run(status, self._names.not_run in event.headers):
            self._watch.turned_away(event.call_id)
            engine = self._engine_of(run)
            if engine is not None:
                engine.avoid_until = max(engine.avoid_until, now + BUSY_PAUSE_SECONDS)
            return self._start_again(run, after_not_run(status), now)
        self._watch.answered(event.call_id, now)
        run.failures += counts_as_failure(status)
        route = self._route_of(run)
        maximum_attempts = route.maximum_attempts if route is not None else None
        match after_refusal(status, run.failures, maximum_attempts):
            case Terminate(reason):
                effects = self._stop_call(run, now)
                return effects + self._list(run, run.terminated(), reason, now)
            case StartAgain() as decision:
                return self._start_again(run, decision, now)

    def _on_chunk(self, run: ItemRun, event: CallChunk, now: float) -> list[Effect]:
        if not run.has_head:
            return []
        before = run.text.last_event_id
        fed = run.text.feed(event.data, self._names.weight_versions)
        if isinstance(fed, Err):
            fields = {"item": run.item.item_id, "detail": fed.err_value.detail}
            log = LogEvent("item.bad_stream", fields, "warning")
            self._note_engine_failure(run, now)
            return [log, *self._start_again(run, AFTER_MALFORMED_STREAM, now)]
        self._note_event_times(run, run.text.last_event_id - before, now)
        decision = after_events(run.text.versions, self._is_single_version(run))
        return self._start_again(run, decision, now) if decision is not None else []

    def _note_event_times(self, run: ItemRun, events: int, now: float) -> None:
        engine = self._engine_of(run)
        if events <= 0:
            return
        if engine is not None and run.heard_at > run.begun_at:
            engine.note_event_time((now - run.heard_at) / events, now)
        elif engine is not None:
            # The first events of a run come after its prompt was read.
            engine.note_first_event(now - run.begun_at)
        run.heard_at = now

    def _on_end(self, run: ItemRun, now: float) -> list[Effect]:
        decision = after_end(run.text.last_event_id, run.text.has_partial_event)
        if decision is not None:
            self._note_engine_failure(run, now)
            return self._start_again(run, decision, now)
        engine = self._engine_of(run)
        if engine is not None:
            engine.note_success()
        if run.call_id is not None:
            self._watch.answered(run.call_id, now)
        self._release(run)
        model = self._jobs.jobs[run.job_id].job.model
        self._lengths.note(model, run.text.last_event_id, run.item.expected_tokens)
        run.whole_at = now
        run.phase = RunPhase.SCORING
        return self._scoring.score(run, now)

    def _on_failure(self, run: ItemRun, event: CallFailed, now: float) -> list[Effect]:
        self._note_engine_failure(run, now)
        engine = self._engine_of(run)
        if engine is not None:
            self._follower.cold.note_failure(engine.backend, event, now)
        asked = self._watch.failed(event, now)
        decision = after_broken_call(event.phase.value, event.reason)
        return asked + self._start_again(run, decision, now)

    def _note_engine_failure(self, run: ItemRun, now: float) -> None:
        engine = self._engine_of(run)
        if engine is not None:
            engine.note_failure(now)

    def _start_again(self, run: ItemRun, decision: StartAgain, now: float) -> list[Effect]:
        """Give the present run up; the item waits for an engine again."""
        if decision.is_text_dropped:
            run.restart_text()
        fields = {
            "item": run.item.item_id,
            "job": run.job_id,
            "backend": run.backend_id,
            "reason": decision.reason,
            "events": run.text.last_event_id,
            "content": self._content_of(run),
        }
        effects = self._stop_call(run, now)
        run.phase = RunPhase.WAITING
        run.wait_until = now + decision.pause_seconds
        return [LogEvent("item.run_ended", fields), *effects]

    def _content_of(self, run: ItemRun) -> ContentDigest:
        """What the item asks of an engine."""
        if run.content is None:
            job = self._jobs.jobs[run.job_id].job
            host = run.item.headers.get("host", job.host)
            run.content = digest_of(job.tenant, host, "POST", run.item.path, run.item.body)
        return run.content

    def _route_of(self, run: ItemRun) -> Route | None:
        job = self._jobs.jobs[run.job_id].job
        host = run.item.headers.get("host", job.host)
        return self._follower.routes.find(host, run.item.path.partition("?")[0])

    def _is_single_version(self, run: ItemRun) -> bool:
        route = self._route_of(run)
        return route is not None and route.single_version

    # Results

    def on_scored(self, finished: Finished, now: float) -> list[Effect]:
        """A scoring call ended."""
        return self._scoring.on_scored(finished, now)

    def _list(self, run: ItemRun, result: ItemResult, reason: str, now: float) -> list[Effect]:
        run.phase = RunPhase.LISTING
        run.result = result
        fields = {
            "item": run.item.item_id,
            "job": run.job_id,
            "state": result.state.value,
            "reason": reason,
            "events": run.text.last_event_id,
            "group": run.item.group,
            "backend": run.backend_id or "",
            **run.timings(now),
        }
        return [LogEvent("item.done", fields), *self._propose(run, now)]

    def list_whole(self, job_id: str, item_id: str, now: float) -> list[Effect]:
        """A listing could not be applied without its kept beginning: list the whole text."""
        run = self._runs.get(f"{job_id}/{item_id}")
        if run is None or run.phase is not RunPhase.LISTING:
            return []
        run.kept_events = 0
        return self._propose(run, now)

    def _propose(self, run: ItemRun, now: float) -> list[Effect]:
        run.wait_until = 0.0
        if run.result is None:
            return []
        kept = self._jobs.jobs[run.job_id].kept_texts.get(run.item.item_id)
        effects = self._list_result(listing_of(run, run.result, kept), now)
        if effects is None:
            run.wait_until = now + RETRY_PAUSE_SECONDS
            return []
        return effects
