"""Advice on what an operator can do about an error."""

from merlinstand.cli.errors import ControlUnavailableError, UsageError
from merlinstand.common.errors import ExitCode, MerlinstandError

_ADVICE_BY_CODE = {
    "settings": "correct the file",
    "invalid_policy": "correct the program; docs/POLICIES.md lists what it may use",
    "untrusted": "renew the replica's certificate, or pass its CA certificate with --authority",
    "malformed_answer": "check that --control names a control replica's HTTP address",
    "output": "free space for the output, then check the state with `merlinstand status`",
    "interrupted": "check the state with `merlinstand status`",
}

_ADVICE_BY_EXIT_CODE = {
    ExitCode.OK: "",
    ExitCode.FAILURE: "check the control replicas' logs",
    ExitCode.USAGE: "see `merlinstand --help`",
    ExitCode.INVALID: "correct the input and run the command again",
    ExitCode.NOT_FOUND: "list the names with `merlinstand status` or `merlinstand config get`",
    ExitCode.CONFLICT: "read the current state, then decide whether to retry",
    ExitCode.UNAVAILABLE: "check that the control replicas run and are reachable, then try again",
    ExitCode.UNAUTHORIZED: "pass the token with --token, $MERLINSTAND_TOKEN or --settings",
}


def find_advice(error: MerlinstandError, code: str, exit_code: ExitCode) -> str:
    """Return the advice to print with an error; it may be empty.

    Args:
        error: The error.
        code: The error's code; for a refusal, the code that control returned.
        exit_code: Exit code of the command line, used if the code has no advice of its own.
    """
    if isinstance(error, ControlUnavailableError) and error.command_id:
        return f"it may still be applied: run it again with --command-id {error.command_id}"
    if isinstance(error, UsageError):
        return f"see `{error.command_path} --help`"
    return _ADVICE_BY_CODE.get(code) or _ADVICE_BY_EXIT_CODE[exit_code]
