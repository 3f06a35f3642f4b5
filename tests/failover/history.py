"""What writers sent and what control answered."""

import msgspec

KEY_PREFIX = "limits/"


class Accepted(msgspec.Struct, frozen=True):
    """A write that control accepted."""

    command_id: str
    revision: int
    attempt_began_at: float
    """When the attempt that was answered left the writer."""
    accepted_at: float


class Refusal(msgspec.Struct, frozen=True):
    """A write that control refused for good: none may be, since every key is new."""

    command_id: str
    status: int
    detail: str


class Repeat(msgspec.Struct, frozen=True):
    """An accepted write that was sent again under its command id, and the answer to that."""

    command_id: str
    first_revision: int
    repeated_revision: int


class History:
    """All writes of one run."""

    def __init__(self) -> None:
        """Begin without writes."""
        self.accepted: list[Accepted] = []
        self.refusals: list[Refusal] = []
        self.repeats: list[Repeat] = []
        self.unresolved: list[str] = []
        """Commands without an answer at the end: they may be applied or not."""

    def first_accepted_after(self, moment: float) -> Accepted | None:
        """Return the first accepted write that was sent after a moment."""
        for write in reversed_until(self.accepted, moment):
            if write.attempt_began_at >= moment:
                return write
        return None


def reversed_until(accepted: list[Accepted], moment: float) -> list[Accepted]:
    """Return the writes accepted after a moment, oldest first; `accepted` is in that order."""
    start = len(accepted)
    while start > 0 and accepted[start - 1].accepted_at >= moment:
        start -= 1
    return accepted[start:]


def key_of(command_id: str) -> str:
    """Return the key that a command creates."""
    return KEY_PREFIX + command_id
