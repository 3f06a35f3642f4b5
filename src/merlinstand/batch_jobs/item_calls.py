"""Calls to engines in progress, one for each item that is being generated.

Used by the leading keeper's `runner`. Only this module changes the numbers of runs per engine
(`EngineState.running` and `interrupted_runs`). This module reports started and cancelled calls to
the crash detector; `item_streams` reports the calls that end by themselves.
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
    """Calls in progress during one leadership term."""

    def __init__(
        self, engines: EngineStates, requests: ItemRequests, crash_detector: CrashDetector
    ) -> None:
        """Start without calls.

        Args:
            engines: All engines.
            requests: Builds the requests of items.
            crash_detector: Detects crashed engines.
        """
        self._engines = engines
        self._requests = requests
        self._crash_detector = crash_detector
        self._runs_by_call: dict[CallId, ItemRun] = {}
        self._count = 0
        self.has_freed_slot = False
        """Whether a call ended since the caller last reset this to False."""

    @property
    def runs(self) -> Iterable[ItemRun]:
        """Runs in progress, oldest first."""
        return self._runs_by_call.values()

    def find(self, call_id: CallId) -> ItemRun | None:
        """Return the run of a call; None if the call ended or was cancelled."""
        return self._runs_by_call.get(call_id)

    def engine_of(self, run: ItemRun) -> EngineState | None:
        """Return the engine of the current or last run.

        None if there was no run yet or the engine is no longer in the directory.
        """
        return self._engines.states.get(run.backend_id) if run.backend_id else None

    def start(self, run: ItemRun, engine: EngineState, route: Route, now: float) -> StartCall:
        """Start a run and return the call to make."""
        self._count += 1
        call_id = CallId(f"{CALL_PREFIX}{self._count}")
        run.call_id = call_id
        run.backend_id = engine.backend.backend_id
        run.phase = RunPhase.GENERATING
        run.started_at = run.last_received_at = now
        run.first_started_at = run.first_started_at or now
        run.run_count += 1
        run.checkpointed_at = run.checkpointed_at or now
        engine.running += 1
        engine.interrupted_runs += run.was_interrupted
        self._crash_detector.record_send(call_id, engine.backend, None, now)
        self._runs_by_call[call_id] = run
        return self._requests.make_call(run, call_id, engine.backend, route)

    def cancel(self, run: ItemRun, now: float) -> list[Effect]:
        """Cancel the current run, if there is one."""
        call_id = run.call_id
        if call_id is None:
            return []
        self._crash_detector.record_cancellation(call_id, now)
        self.release(run)
        return [CancelCall(call_id)]

    def release(self, run: ItemRun) -> None:
        """Record that the current call is over, which frees a slot of its engine."""
        if run.call_id is not None:
            self._runs_by_call.pop(run.call_id, None)
        run.call_id = None
        run.is_streaming = False
        self.has_freed_slot = True
        state = self.engine_of(run)
        if state is not None:
            state.running -= 1
            state.interrupted_runs -= run.was_interrupted

    def requeue(self, run: ItemRun, decision: Requeue, now: float) -> list[Effect]:
        """Cancel the current run; the item waits for an engine again."""
        if decision.is_text_discarded:
            run.restart_text()
        fields = {
            "item": run.item.item_id,
            "job": run.job_id,
            "backend": run.backend_id,
            "reason": decision.reason,
            "events": run.text.last_event_id,
        }
        effects = self.cancel(run, now)
        run.phase = RunPhase.WAITING
        run.waiting_since = now
        run.wait_until = now + decision.pause_seconds
        return [LogEvent("item.run_ended", fields), *effects]
