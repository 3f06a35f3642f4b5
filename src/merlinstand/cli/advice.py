"""What an operator can do about an error."""

from merlinstand.cli.errors import ControlUnavailableError, UsageError
from merlinstand.common.errors import ExitCode, MerlinstandError

_ADVICE_BY_CODE = {
    "settings": "correct the file",
    "invalid_policy": "correct the program; docs/POLICIES.md lists what it may use",
    "untrusted": "renew the replica's certificate, or give its signer's by --authority",
    "malformed_answer": "check that --control names a control replica's HTTP address",
    "output": "make room where the output goes, then look with `merlinstand status`",
    "interrupted": "look with `merlinstand status`",
}

_ADVICE_BY_EXIT_CODE = {
    ExitCode.OK: "",
    ExitCode.FAILURE: "look at the control replicas' logs",
    ExitCode.USAGE: "see `merlinstand --help`",
    ExitCode.INVALID: "correct it and send it again",
    ExitCode.NOT_FOUND: "look for the name with `merlinstand status` or `config get`",
    ExitCode.CONFLICT: "look at it as it is now, then decide",
    ExitCode.UNAVAILABLE: "check that the control replicas run and can be reached, then try again",
    ExitCode.UNAUTHORIZED: "give the token by --token, $MERLINSTAND_TOKEN or --settings",
}


def find_advice(error: MerlinstandError, code: str, exit_code: ExitCode) -> str:
    """Give the advice for an error.

    Args:
        error: The error.
        code: Its code, or the one that control answered.
        exit_code: The command line's exit code.
    """
    if isinstance(error, ControlUnavailableError) and error.command_id:
        return f"it may still be done: send it again with --command-id {error.command_id}"
    if isinstance(error, UsageError):
        return f"see `{error.command_path} --help`"
    return _ADVICE_BY_CODE.get(code) or _ADVICE_BY_EXIT_CODE[exit_code]
