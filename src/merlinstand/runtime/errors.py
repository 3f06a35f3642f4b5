"""Failures of the host itself."""

from typing import ClassVar

from merlinstand.common.errors import InvalidInputError, MerlinstandError, UnavailableError


class HostSetupError(MerlinstandError, frozen=True, kw_only=True):
    """The host could not take its address, folder or key files."""

    code: ClassVar[str] = "host_setup"


class HeadTooLargeError(InvalidInputError, frozen=True, kw_only=True):
    """Request line or headers exceed the limit."""

    code: ClassVar[str] = "head_too_large"
    http_status: ClassVar[int] = 431


class TargetTooLongError(InvalidInputError, frozen=True, kw_only=True):
    """The request line is longer than the limit."""

    code: ClassVar[str] = "target_too_long"
    http_status: ClassVar[int] = 414


class MalformedRequestError(InvalidInputError, frozen=True, kw_only=True):
    """The request is no HTTP/1.1 request."""

    code: ClassVar[str] = "malformed_request"


class BodyTooLargeError(InvalidInputError, frozen=True, kw_only=True):
    """The request's body exceeds the limit."""

    code: ClassVar[str] = "body_too_large"
    http_status: ClassVar[int] = 413


class TruncatedBodyError(InvalidInputError, frozen=True, kw_only=True):
    """The request's body ended before its declared length."""

    code: ClassVar[str] = "truncated_body"


class SlowRequestError(InvalidInputError, frozen=True, kw_only=True):
    """The request did not arrive whole in time."""

    code: ClassVar[str] = "slow_request"
    http_status: ClassVar[int] = 408


class StoppingError(UnavailableError, frozen=True, kw_only=True):
    """The process is going away; the request was not run."""

    code: ClassVar[str] = "stopping"
