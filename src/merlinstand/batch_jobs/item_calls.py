"""Calls to engines that are under way, one for each item that is being generated.

Part of the leading keeper's runner of items. Owns which call belongs to which item, and how many
runs each engine has (`EngineState.running` and `suspects`): no other module changes these counts.
Reports to the crash watch every call that begins and every one that is given up; how others ended
is reported by `item_streams`.
"""

from collections.abc import Iterable

from merlinstand.batch_jobs.engines import EngineState, EngineStates
from merlinstand.batch_jobs.item_request import ItemRequests
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.cluster.routes import Route
from merlinstand.common.ids import CallId
from merlinstand.decisions.item_retry import Requeue
from merlinstand.kernel.effects import CancelCall, Effect, LogEvent, StartCall
from merlinstand.quarantine.crash_watch import CrashDetector

CALL_PREFIX = "item:"


class ItemCalls:
    """Calls of one leadership."""

    def __init__(self, engines: EngineStates, requests: ItemRequests, watch: CrashDetector) -> None:
        """Begin without calls.

        Args:
            engines: All engines.
            requests: What items ask of them.
            watch: Notices engines that crash.
        """
        self._engines = engines
        self._requests = requests
        self._watch = watch
        self._by_call: dict[CallId, ItemRun] = {}
        self._count = 0
        self.has_freed_slot = False
        """Whether a call ended since the owner last set this to False."""

    @property
    def runs(self) -> Iterable[ItemRun]:
        """Runs that are under way, oldest first."""
        return self._by_call.values()

    def find(self, call_id: CallId) -> ItemRun | None:
        """Give the run of a call; None if it was given up."""
        return self._by_call.get(call_id)

    def engine_of(self, run: ItemRun) -> EngineState | None:
        """Give the engine where an item runs or ran last; None if it has left the directory."""
        return self._engines.states.get(run.backend_id) if run.backend_id else None

    def begin(self, run: ItemRun, engine: EngineState, route: Route, now: float) -> StartCall:
        """Begin a run; its call is to be made."""
        self._count += 1
        call_id = CallId(f"{CALL_PREFIX}{self._count}")
        run.call_id = call_id
        run.backend_id = engine.backend.backend_id
        run.phase = RunPhase.GENERATING
        run.begun_at = run.heard_at = now
        run.first_begun_at = run.first_begun_at or now
        run.run_count += 1
        run.kept_at = run.kept_at or now
        engine.running += 1
        engine.suspect_runs += run.is_suspect
        # Now, since the job may be gone once the run has ended.
        content = self._requests.content_of(run)
        self._watch.record_send(call_id, engine.backend, lambda: content, now)
        self._by_call[call_id] = run
        return self._requests.call(run, call_id, engine.backend, route)

    def stop(self, run: ItemRun, now: float) -> list[Effect]:
        """Give the present run up, if there is one."""
        call_id = run.call_id
        if call_id is None:
            return []
        self._watch.record_cancellation(call_id, now)
        self.release(run)
        return [CancelCall(call_id)]

    def release(self, run: ItemRun) -> None:
        """The present call is over: its engine has a slot free."""
        if run.call_id is not None:
            self._by_call.pop(run.call_id, None)
        run.call_id = None
        run.has_head = False
        self.has_freed_slot = True
        state = self.engine_of(run)
        if state is not None:
            state.running -= 1
            state.suspect_runs -= run.is_suspect

    def start_again(self, run: ItemRun, decision: Requeue, now: float) -> list[Effect]:
        """Give the present run up; the item waits for an engine again."""
        if decision.is_text_discarded:
            run.restart_text()
        fields = {
            "item": run.item.item_id,
            "job": run.job_id,
            "backend": run.backend_id,
            "reason": decision.reason,
            "events": run.text.last_event_id,
            "content": self._requests.content_of(run),
        }
        effects = self.stop(run, now)
        run.phase = RunPhase.WAITING
        run.wait_until = now + decision.pause_seconds
        return [LogEvent("item.run_ended", fields), *effects]
