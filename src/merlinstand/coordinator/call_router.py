"""Routes the events of outgoing HTTP calls to the component that made the call."""

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
    """Looks up a call's purpose and passes the event to its component."""

    def __init__(self, context: Context, work: WorkManager) -> None:
        self._context = context
        self._work = work

    def route(
        self, event: CallHeaders | CallChunk | CallEnded | CallFailed | CallResponded
    ) -> None:
        """Route an event; events of cancelled calls are dropped."""
        purpose = self._context.purpose_of(event.call_id)
        if purpose is None:
            return
        if isinstance(event, CallEnded | CallFailed | CallResponded):
            self._context.forget_call(event.call_id)
        if isinstance(purpose, GenerationCall):
            runner = self._work.runner(purpose.job)
            if runner is not None and not isinstance(event, CallResponded):
                runner.generations.handle_stream_event(self._context, purpose.generation_id, event)
        elif isinstance(event, CallResponded | CallFailed):
            self._route_response(purpose, event)

    def _route_response(self, purpose: object, event: CallResponded | CallFailed) -> None:
        context = self._context
        match purpose:
            case StatusCall():
                pool = self._work.pool(purpose.pool)
                if pool is not None:
                    pool.handle_status_response(purpose, event, context.now)
            case OrderCall():
                rollout = self._work.rollout(purpose.pool)
                if rollout is not None:
                    rollout.handle_order_response(context, purpose, event)
            case ScoreCall():
                runner = self._work.runner(purpose.job)
                if runner is not None:
                    runner.handle_scorer_response(purpose.slot, event)
            case ExportCall():
                runner = self._work.runner(purpose.job)
                if runner is not None:
                    runner.generations.handle_export_response(
                        purpose.generation_id, event, purpose.source
                    )
            case MachineListCall():
                self._work.machines.handle_response(event, self._work.engines())
            case PromptCall():
                runner = self._work.runner(purpose.job)
                if runner is not None:
                    runner.handle_prompt_response(purpose.offset, event)
            case _:
                pass
