"""Errors of the host.

Endpoint errors are responses that a client gets without the reducer being involved; their `code`
and `http_status` are part of the HTTP interface.
"""

from typing import ClassVar

from merlinstand.common.errors import InvalidInputError, MerlinstandError, UnavailableError


class HostSetupError(MerlinstandError, frozen=True, kw_only=True):
    """The host could not use its address, data folder or TLS files."""

    code: ClassVar[str] = "host_setup"


class NotAcceptingError(UnavailableError, frozen=True, kw_only=True):
    """The process currently accepts no new connections at its main address."""

    code: ClassVar[str] = "not_accepting"


class NoRoomError(UnavailableError, frozen=True, kw_only=True):
    """Unfinished requests occupy the memory for them; the request was not executed."""

    code: ClassVar[str] = "no_room"


class TargetTooLongError(InvalidInputError, frozen=True, kw_only=True):
    """The request line is longer than the limit."""

    code: ClassVar[str] = "target_too_long"
    http_status: ClassVar[int] = 414


class MalformedRequestError(InvalidInputError, frozen=True, kw_only=True):
    """The request is not valid HTTP/1.1."""

    code: ClassVar[str] = "malformed_request"


class TruncatedBodyError(InvalidInputError, frozen=True, kw_only=True):
    """The request body ended before its declared length."""

    code: ClassVar[str] = "truncated_body"


class SlowRequestError(InvalidInputError, frozen=True, kw_only=True):
    """The request did not arrive completely within the time limit."""

    code: ClassVar[str] = "slow_request"
    http_status: ClassVar[int] = 408
