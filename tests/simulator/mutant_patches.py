"""What replaces a guard of the product in a mutant."""

from collections.abc import Callable
from typing import Any

import msgspec

from merlinstand.coordinator.jobs import JobRunner

_CONFIGURE = JobRunner.configure


def always(value: Any) -> Callable[..., Any]:
    """Return a function that ignores its arguments."""
    return lambda *_arguments, **_named: value


def granted_lease(table: Any, command: Any, revision: int, group_time: float) -> Any:
    from merlinstand.control.commands import LeaseGranted

    return LeaseGranted(
        resource=command.resource, epoch=revision, duration_seconds=command.duration_seconds
    )


def granted_claim(table: Any, command: Any, revision: int, group_time: float) -> Any:
    from merlinstand.control.commands import ClaimGranted

    return ClaimGranted(idempotency_key=command.idempotency_key)


def lease_past_its_end(keeper: Any, resource: str, now: float) -> Any:
    wanted = keeper._requested.get(resource)
    return None if wanted is None else wanted.held


def logs_always_meet(follower: Any, request: Any) -> tuple[int, bool]:
    log = follower._state.log
    behind = min(max(0, log.base_index - request.previous_index), len(request.entries))
    return behind, request.previous_index <= log.last_index


def send_at_once(state: Any, receiver: Any, message: Any) -> None:
    state.send(receiver, message)


def acted_on_failure(event: Any, exchange: Any, now: float) -> Any:
    from merlinstand.gateway.try_failure import AttemptFailure, CallResult

    return AttemptFailure(reason=event.reason, may_have_run=False, result=CallResult.FAILURE)


def retry_whatever_was_sent(retries: Any, exchange: Any, failure: Any, now: float) -> bool:
    enough = exchange.attempts >= retries._settings.maximum_tries
    return not enough and exchange.remaining_seconds(now) > 0.0


def stop_at_once(daemon: Any, now: float, out: list[Any]) -> None:
    from merlinstand.kernel.effects import StopProcess

    out.append(StopProcess())


def append_without_check(recorder: Any, version: int, first_token: int, token_count: int) -> Any:
    from result import Ok

    from merlinstand.coordinator.engine_protocol import Span

    if token_count:
        spans = recorder._spans
        version = spans[0].version if spans else version
        recorder._spans = [Span(version, 0, first_token + token_count)]
    return Ok(None)


def finish_without_check(generation: Any, chunk: Any) -> Any:
    from result import Ok

    generation.finish_reason = chunk.finish_reason
    return Ok(None)


def complete_without_end(generation: Any) -> bool:
    from merlinstand.coordinator.engine_protocol import FinishReason

    if generation.token_count > 0 and generation.finish_reason is None:
        generation.finish_reason = FinishReason.STOP
    return generation.token_count > 0


def accept_any_revision(store: Any, key: str, expected: int | None) -> Any:
    return None


def refuse_nothing_older(follower: Any, update: Any) -> bool:
    return False


def all_ready(signals: Any) -> bool:
    return False


def configure_as_running(runner: Any, job: Any) -> None:
    from merlinstand.configuration.objects import JobPhase

    _CONFIGURE(runner, msgspec.structs.replace(job, phase=JobPhase.RUNNING))


def use_nothing(ledger: Any, slots: Any) -> None:
    return None
