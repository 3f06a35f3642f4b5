"""Failures of the host itself.

Those of the endpoint are answers that a client gets without the reducer; their `code` and
`http_status` are part of the HTTP interface.
"""

from typing import ClassVar

from merlinstand.common.errors import InvalidInputError, MerlinstandError, UnavailableError


class HostSetupError(MerlinstandError, frozen=True, kw_only=True):
    """The host could not take its address, folder or key files."""

    code: ClassVar[str] = "host_setup"


class NotAcceptingError(UnavailableError, frozen=True, kw_only=True):
    """The process takes no new connections at its main address now."""

    code: ClassVar[str] = "not_accepting"


class TargetTooLongError(InvalidInputError, frozen=True, kw_only=True):
    """The request line is longer than the limit."""

    code: ClassVar[str] = "target_too_long"
    http_status: ClassVar[int] = 414


class MalformedRequestError(InvalidInputError, frozen=True, kw_only=True):
    """The request is no HTTP/1.1 request."""

    code: ClassVar[str] = "malformed_request"


class TruncatedBodyError(InvalidInputError, frozen=True, kw_only=True):
    """The request's body ended before its declared length."""

    code: ClassVar[str] = "truncated_body"


class SlowRequestError(InvalidInputError, frozen=True, kw_only=True):
    """The request did not arrive whole in time."""

    code: ClassVar[str] = "slow_request"
    http_status: ClassVar[int] = 408
