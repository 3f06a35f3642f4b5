"""Failures that only the command line knows.

The `code` and exit code of each are part of the command line's interface (docs/OPERATIONS.md).
"""

from typing import ClassVar

from merlinstand.common.errors import ExitCode, MerlinstandError


class ControlRefusedError(MerlinstandError, frozen=True, kw_only=True):
    """Control answered with an error; nothing was changed."""

    code: ClassVar[str] = "refused"

    control_error_code: str
    """Control's own code."""
    control_exit_code: ExitCode


class ControlUnavailableError(MerlinstandError, frozen=True, kw_only=True):
    """No control replica took the command in time.

    The command may still be in force later; the same command id makes a resend harmless.
    """

    code: ClassVar[str] = "unavailable"
    exit_code: ClassVar[ExitCode] = ExitCode.UNAVAILABLE

    command_id: str = ""
    """For `--command-id`, if a command may have been sent."""


class UntrustedControlError(MerlinstandError, frozen=True, kw_only=True):
    """TLS failed: the replica's certificate is not (or no longer) one of the authority's."""

    code: ClassVar[str] = "untrusted"
    exit_code: ClassVar[ExitCode] = ExitCode.UNAVAILABLE


class OutputError(MerlinstandError, frozen=True, kw_only=True):
    """The result could not be written; what was asked for may be done."""

    code: ClassVar[str] = "output"


class CommandInterruptedError(MerlinstandError, frozen=True, kw_only=True):
    """The operator broke the command off; what was sent may still be done."""

    code: ClassVar[str] = "interrupted"


class UsageError(MerlinstandError, frozen=True, kw_only=True):
    """The command line's arguments do not fit together."""

    code: ClassVar[str] = "usage"
    exit_code: ClassVar[ExitCode] = ExitCode.USAGE

    command_path: str = "merlinstand"
    """The command whose help tells more."""


class MalformedResponseError(MerlinstandError, frozen=True, kw_only=True):
    """Something that is no control replica answered."""

    code: ClassVar[str] = "malformed_answer"
    exit_code: ClassVar[ExitCode] = ExitCode.FAILURE
