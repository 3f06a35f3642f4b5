"""Takes the events of outgoing HTTP calls to whoever sent them."""

from merlinstand.coordinator.context import Context
from merlinstand.coordinator.purposes import (
    ExportCall,
    GenerationCall,
    MachineListCall,
    OrderCall,
    PromptCall,
    ScoreCall,
    StatusCall,
)
from merlinstand.coordinator.work_manager import WorkManager
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
    CallResponded,
)


class CallRouter:
    """Finds a call's purpose and passes the event on."""

    def __init__(self, context: Context, work: WorkManager) -> None:
        """Route for one coordinator."""
        self._context = context
        self._work = work

    def route(
        self, event: CallHeaders | CallChunk | CallEnded | CallFailed | CallResponded
    ) -> None:
        """Pass an event on; one of a call that was given up is dropped."""
        purpose = self._context.purpose_of(event.call_id)
        if purpose is None:
            return
        if isinstance(event, CallEnded | CallFailed | CallResponded):
            self._context.finish_call(event.call_id)
        if isinstance(purpose, GenerationCall):
            runner = self._work.runner(purpose.job)
            if runner is not None and not isinstance(event, CallResponded):
                runner.generations.stream_event(self._context, purpose.generation_id, event)
        elif isinstance(event, CallResponded | CallFailed):
            self._answered(purpose, event)

    def _answered(self, purpose: object, event: CallResponded | CallFailed) -> None:
        context = self._context
        match purpose:
            case StatusCall():
                pool = self._work.pool(purpose.pool)
                if pool is not None:
                    pool.status_answered(purpose, event, context.now)
            case OrderCall():
                rollout = self._work.rollout(purpose.pool)
                if rollout is not None:
                    rollout.order_answered(context, purpose, event)
            case ScoreCall():
                runner = self._work.runner(purpose.job)
                if runner is not None:
                    runner.scorer_answered(purpose.slot, event)
            case ExportCall():
                runner = self._work.runner(purpose.job)
                if runner is not None:
                    runner.generations.export_answered(purpose.generation_id, event, purpose.source)
            case MachineListCall():
                self._work.machines.answered(event, self._work.engines())
            case PromptCall():
                runner = self._work.runner(purpose.job)
                if runner is not None:
                    runner.prompts_answered(purpose.offset, event)
            case _:
                pass
