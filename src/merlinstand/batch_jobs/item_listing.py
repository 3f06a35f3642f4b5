"""Proposes the results of items to the log; a committed ("listed") result has a fixed position.

Used by the leading keeper's `runner`. A result that cannot be proposed now is proposed again at the
first tick after a pause.
"""

from merlinstand.batch_calls.jobs import ItemResult
from merlinstand.batch_jobs.item_context import ItemContext
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.text_keeping import make_list_command
from merlinstand.decisions.item_retry import RETRY_PAUSE_SECONDS
from merlinstand.kernel.effects import Effect, LogEvent


class ItemListing:
    """Proposes results during one leadership term."""

    def __init__(self, context: ItemContext) -> None:
        """Start without results.

        Args:
            context: Dependencies.
        """
        self._jobs = context.jobs
        self._list_result = context.propose_result

    def finish(self, run: ItemRun, result: ItemResult, reason: str, now: float) -> list[Effect]:
        """Emit the log event for the end of an item and propose its result.

        Args:
            run: The item, without a call in progress.
            result: Its result, with the complete text.
            reason: Why it was terminated; empty if it succeeded.
            now: Local time in seconds.
        """
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
        return [LogEvent("item.done", fields), *self.propose(run, now)]

    def propose(self, run: ItemRun, now: float) -> list[Effect]:
        """Propose the result of a finished item; schedule a retry if that is not possible now."""
        run.wait_until = 0.0
        if run.result is None:
            return []
        checkpoint = self._jobs.jobs[run.job_id].text_checkpoints.get(run.item.item_id)
        effects = self._list_result(make_list_command(run, run.result, checkpoint), now)
        if effects is None:
            run.wait_until = now + RETRY_PAUSE_SECONDS
            return []
        return effects
