"""From the HTTP body of a completion to the model's request."""

from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError, MerlinstandError, NotFoundError
from merlinstand.kernel.events import RequestReceived
from merlinstand_lab.records.kinds import GenerationOutcome
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.engine_messages import CompletionBody
from merlinstand_lab.standins.engine_model.lengths import completion_length, prompt_token_count
from merlinstand_lab.standins.engine_model.prefix_cache import prefix_digests
from merlinstand_lab.standins.engine_model.sequence import GenerationRequest
from merlinstand_lab.standins.settings import EngineProfile

_MAXIMUM_TOKENS = 100_000
"""Tokens of one completion; chosen, not measured."""


def read_completion(event: RequestReceived, model: str) -> Result[CompletionBody, MerlinstandError]:
    """Decode and check a completion request for an engine of `model`."""
    decoded = endpoint.decode_body(event.body, CompletionBody)
    if isinstance(decoded, Err):
        return Err(decoded.err_value)
    body = decoded.ok_value
    if body.model != model:
        return Err(NotFoundError(detail=f"this engine serves {model}"))
    if not 0 < body.max_tokens <= _MAXIMUM_TOKENS:
        return Err(InvalidInputError(detail=f"max_tokens must be in 1..{_MAXIMUM_TOKENS}"))
    return Ok(body)


def generation_request(
    body: CompletionBody, request_id: str, profile: EngineProfile
) -> GenerationRequest:
    """Translate a request for the model; its length is a property of prompt and seed."""
    length = completion_length(body.prompt, body.seed, profile.lengths)
    limited = length > body.max_tokens
    return GenerationRequest(
        request_id=request_id,
        prompt_tokens=prompt_token_count(body.prompt),
        prefix_digests=prefix_digests(body.prompt, profile.block_tokens),
        target_tokens=min(length, body.max_tokens),
        outcome_at_target=GenerationOutcome.LENGTH if limited else GenerationOutcome.STOP,
        priority=body.priority,
        first_token=body.resume.token_count if body.resume else 0,
    )
