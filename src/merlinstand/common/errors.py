"""Base classes of all errors.

Functions return `result.Result[Value, SomeError]`; each package defines its own
subclasses. An error class defines its `code` (stable, machine readable), the HTTP status
and the exit code of the command line.
"""

import enum
from typing import ClassVar

import msgspec

STOPPING_RETRY_AFTER_SECONDS = 0.0
"""Retry-After of a stopping process. It closes the connection, and the retry on a new one reaches
another process."""


class ExitCode(enum.IntEnum):
    """Exit codes of the command line, one per category of error."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    INVALID = 3
    NOT_FOUND = 4
    CONFLICT = 5
    UNAVAILABLE = 6
    UNAUTHORIZED = 7


class MerlinstandError(msgspec.Struct, frozen=True, kw_only=True):
    """An error that is returned as a value, not raised."""

    code: ClassVar[str] = "error"
    http_status: ClassVar[int] = 500
    exit_code: ClassVar[ExitCode] = ExitCode.FAILURE

    detail: str = ""
    """Description for humans."""
    retry_after_seconds: float | None = None
    """Delay after which a retry may succeed; None if retrying does not help."""


class InvalidInputError(MerlinstandError, frozen=True, kw_only=True):
    """The request is invalid; retrying it does not help."""

    code: ClassVar[str] = "invalid_input"
    http_status: ClassVar[int] = 400
    exit_code: ClassVar[ExitCode] = ExitCode.INVALID


class NotFoundError(MerlinstandError, frozen=True, kw_only=True):
    """The requested object does not exist."""

    code: ClassVar[str] = "not_found"
    http_status: ClassVar[int] = 404
    exit_code: ClassVar[ExitCode] = ExitCode.NOT_FOUND


class ConflictError(MerlinstandError, frozen=True, kw_only=True):
    """The object was changed since the caller read it (its revision is not the expected one)."""

    code: ClassVar[str] = "conflict"
    http_status: ClassVar[int] = 409
    exit_code: ClassVar[ExitCode] = ExitCode.CONFLICT


class UnavailableError(MerlinstandError, frozen=True, kw_only=True):
    """The request cannot be served now; it had no effect."""

    code: ClassVar[str] = "unavailable"
    http_status: ClassVar[int] = 503
    exit_code: ClassVar[ExitCode] = ExitCode.UNAVAILABLE


class UnauthorizedError(MerlinstandError, frozen=True, kw_only=True):
    """The operator's token or the caller's key is missing or invalid."""

    code: ClassVar[str] = "unauthorized"
    http_status: ClassVar[int] = 401
    exit_code: ClassVar[ExitCode] = ExitCode.UNAUTHORIZED


class BodyTooLargeError(InvalidInputError, frozen=True, kw_only=True):
    """The request body exceeds the maximum size."""

    code: ClassVar[str] = "body_too_large"
    http_status: ClassVar[int] = 413


class HeadTooLargeError(InvalidInputError, frozen=True, kw_only=True):
    """The request line and headers exceed the maximum size."""

    code: ClassVar[str] = "head_too_large"
    http_status: ClassVar[int] = 431


class MethodNotAllowedError(InvalidInputError, frozen=True, kw_only=True):
    """The path does not support this method."""

    code: ClassVar[str] = "method_not_allowed"
    http_status: ClassVar[int] = 405


class StoppingError(UnavailableError, frozen=True, kw_only=True):
    """The process is shutting down; the request was not executed."""

    code: ClassVar[str] = "stopping"


class OutcomeUnknownError(MerlinstandError, frozen=True, kw_only=True):
    """The request may have been executed or may still be; no complete response arrived."""

    code: ClassVar[str] = "outcome_unknown"
    http_status: ClassVar[int] = 504


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON form of an error on every HTTP interface."""

    code: str
    detail: str
    retry_after_seconds: float | None = None


def error_body(error: MerlinstandError) -> bytes:
    """Encode an error as the JSON body of an HTTP response."""
    return msgspec.json.encode(ErrorBody(type(error).code, error.detail, error.retry_after_seconds))
