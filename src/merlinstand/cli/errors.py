"""Errors of the command line.

Their codes and exit codes are part of the command line's interface (docs/OPERATIONS.md).
"""

from typing import ClassVar

from merlinstand.common.errors import ExitCode, MerlinstandError


class ControlRefusedError(MerlinstandError, frozen=True, kw_only=True):
    """Control refused the request with an error; nothing was changed."""

    code: ClassVar[str] = "refused"

    control_error_code: str
    """Error code that control returned."""
    control_exit_code: ExitCode


class ControlUnavailableError(MerlinstandError, frozen=True, kw_only=True):
    """No control replica gave a final response in time.

    A command that was sent may still be applied later; retrying it under the same command id is
    safe.
    """

    code: ClassVar[str] = "unavailable"
    exit_code: ClassVar[ExitCode] = ExitCode.UNAVAILABLE

    command_id: str = ""
    """Value for `--command-id` to retry with; empty if no command can have been sent."""


class UntrustedControlError(MerlinstandError, frozen=True, kw_only=True):
    """TLS failed, for example because the replica's certificate is expired or not trusted."""

    code: ClassVar[str] = "untrusted"
    exit_code: ClassVar[ExitCode] = ExitCode.UNAVAILABLE


class OutputError(MerlinstandError, frozen=True, kw_only=True):
    """The result could not be written; the command may have been applied."""

    code: ClassVar[str] = "output"


class CommandInterruptedError(MerlinstandError, frozen=True, kw_only=True):
    """The operator interrupted the command; a command that was sent may still be applied."""

    code: ClassVar[str] = "interrupted"


class UsageError(MerlinstandError, frozen=True, kw_only=True):
    """The command line's arguments are invalid or inconsistent."""

    code: ClassVar[str] = "usage"
    exit_code: ClassVar[ExitCode] = ExitCode.USAGE

    command_path: str = "merlinstand"
    """Command whose `--help` the advice refers to."""


class MalformedResponseError(MerlinstandError, frozen=True, kw_only=True):
    """The response is not valid; the address probably is not a control replica's."""

    code: ClassVar[str] = "malformed_answer"
    exit_code: ClassVar[ExitCode] = ExitCode.FAILURE
