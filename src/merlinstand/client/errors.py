"""Errors that the client returns to a trainer.

`retry_after_seconds` is the time to wait before a retry; if it is None, the client's own backoff
applies.
"""

from typing import ClassVar

from merlinstand.common.errors import ConflictError, MerlinstandError, UnavailableError


class ClientError(MerlinstandError, frozen=True, kw_only=True):
    """Base of the client's errors."""

    code: ClassVar[str] = "client_error"


class NoAnswerError(ClientError, UnavailableError, frozen=True, kw_only=True):
    """No server returned a usable response before the deadline. Retrying is safe."""

    code: ClassVar[str] = "no_answer"


class BatchNotReadyError(ClientError, UnavailableError, frozen=True, kw_only=True):
    """The batch was not ready before the deadline. Nothing is lost: retry."""

    code: ClassVar[str] = "not_ready"


class PositionError(ClientError, ConflictError, frozen=True, kw_only=True):
    """The trainer's position differs from the ledger's; an operator must rewind the job.

    `server_code` is `rewound` or `ahead`.
    """

    code: ClassVar[str] = "position"

    server_code: str = ""


class RejectedError(ClientError, frozen=True, kw_only=True):
    """Permanent rejection by the server: unknown job or consumer, bad input, no permission."""

    code: ClassVar[str] = "rejected"

    server_code: str = ""
    status: int = 0
