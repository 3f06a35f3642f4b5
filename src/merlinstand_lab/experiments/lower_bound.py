"""The least trainer idle share that any scheduler could reach on the same work.

Tokens needed divided by aggregate engine speed: no batch can be whole before all engines
together, at their best batch size and never failing, have made its tokens and those of
the batches before it. Staleness, swaps and live traffic are left out, so the true limit
lies above this bound.
"""

from merlinstand_lab.records.kinds import SampleRecord, StepRecord
from merlinstand_lab.records.record_set import RecordSet
from merlinstand_lab.standins.engine_model.lengths import prompt_token_count
from merlinstand_lab.standins.settings import EngineProfile

TYPICAL_PROMPT_TOKENS = prompt_token_count("Describe article 00.")


def aggregate_tokens_per_second(
    engine: EngineProfile, engines: int, mean_context_tokens: float
) -> float:
    """Return the decoding speed of all engines at full batches.

    Args:
        engine: Speed of one engine.
        engines: Their number.
        mean_context_tokens: Context of a sequence, averaged over its decoded tokens.
    """
    batch = engine.maximum_batch
    step_seconds = (
        engine.step_base_seconds
        + engine.step_seconds_per_sequence * batch
        + engine.step_seconds_per_context_token * batch * mean_context_tokens
    )
    return engines * batch / step_seconds


def mean_context(samples: list[SampleRecord]) -> float:
    """Return the context averaged over decoded tokens: sum of length^2 / 2 over sum of length."""
    tokens = sum(sample.token_count for sample in samples)
    if not tokens:
        return 0.0
    squares = sum(sample.token_count**2 for sample in samples)
    return TYPICAL_PROMPT_TOKENS + squares / (2.0 * tokens)


def lower_bound_idle_share(records: RecordSet, engine: EngineProfile, engines: int) -> float | None:
    """Return the bound for the steps that a run made, all trainers together."""
    steps = sorted(records.steps, key=lambda step: step.received_at)
    activations = records.activations
    if not steps or not activations:
        return None
    speed = aggregate_tokens_per_second(engine, engines, mean_context(records.samples))
    tokens = _tokens_by_batch(records)
    begin = min(activation.activated_at for activation in activations)
    made, waited, present = 0.0, 0.0, 0.0
    last: dict[str, tuple[StepRecord, float]] = {}
    first_asked: dict[str, float] = {}
    for step in steps:
        made += tokens.get((step.consumer, step.batch), 0)
        previous = last.get(step.consumer)
        # Training and publishing take what they took; only waiting can be saved.
        asked = step.asked_at
        if previous is not None:
            asked = previous[1] + (step.asked_at - previous[0].received_at)
        first_asked.setdefault(step.consumer, asked)
        received = max(asked, begin + made / speed)
        waited += received - asked
        last[step.consumer] = (step, received)
    for consumer, (_step, received) in last.items():
        present += received - first_asked[consumer]
    return waited / present if present else None


def _tokens_by_batch(records: RecordSet) -> dict[tuple[str, int], int]:
    tokens: dict[tuple[str, int], int] = {}
    for sample in records.samples:
        key = (sample.consumer, sample.batch)
        tokens[key] = tokens.get(key, 0) + sample.token_count
    return tokens
