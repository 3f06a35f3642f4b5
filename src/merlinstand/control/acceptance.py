"""Checks that the leader runs on a command before it proposes it."""

from result import Err, Ok, Result

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.configuration.objects import Job
from merlinstand.control.commands import AnyCommand, PutObject, Refused, decode_command
from merlinstand.control.validation import InvalidObject, check_object

MAXIMUM_COMMAND_BYTES = 6 * 1024 * 1024
"""Large enough for the largest object (`validation.MAXIMUM_OBJECT_BYTES`) and the command's other
fields."""


def accept_command(data: bytes) -> Result[AnyCommand, Refused]:
    """Decode a command and run the checks that only the leader runs.

    Policies are compiled here and not in the state machine, because the result of the
    expression library could differ between replicas of different versions.
    """
    if len(data) > MAXIMUM_COMMAND_BYTES:
        return Err(Refused(code="invalid_input", detail="the command is too large"))
    try:
        command = decode_command(data)
    except DECODE_ERRORS as error:
        return Err(Refused(code="invalid_input", detail=f"not a command: {error}"))
    if isinstance(command, PutObject):
        refusal = _check_put(command)
        if refusal is not None:
            return Err(refusal)
    return Ok(command)


def _check_put(command: PutObject) -> Refused | None:
    checked = check_object(command.key, command.value)
    if isinstance(checked, InvalidObject):
        return Refused(code="invalid_input", detail=checked.detail)
    if isinstance(checked.value, Job):
        return _check_policy(checked.value)
    return None


def _check_policy(job: Job) -> Refused | None:
    # Imported when the first job is checked: the expression library takes 14 MB, which most
    # replicas (followers) never need.
    from merlinstand.policy.check import check_policy

    result = check_policy(job.policy)
    if isinstance(result, Err):
        error = result.err_value
        return Refused(code="invalid_input", detail=f"policy.{error.field}: {error.detail}")
    return None
