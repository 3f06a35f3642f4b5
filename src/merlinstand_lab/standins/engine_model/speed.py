"""How long steps and prefill take."""

from merlinstand_lab.standins.settings import EngineProfile


def step_seconds(profile: EngineProfile, batch: int, context_tokens: float) -> float:
    """Time of one decoding step: it grows with the batch and with its whole context."""
    return (
        profile.step_base_seconds
        + profile.step_seconds_per_sequence * batch
        + profile.step_seconds_per_context_token * context_tokens
    )


def prefill_seconds(profile: EngineProfile, tokens: int) -> float:
    """Time to compute the keys and values of some tokens, at full speed."""
    return max(1, tokens) * profile.prefill_seconds_per_token
