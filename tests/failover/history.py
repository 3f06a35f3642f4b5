"""Writes sent to control and its responses."""

import msgspec

KEY_PREFIX = "limits/"


class Accepted(msgspec.Struct, frozen=True):
    """An accepted write."""

    command_id: str
    revision: int
    attempt_began_at: float
    """Send time of the attempt that got the response."""
    accepted_at: float


class Refusal(msgspec.Struct, frozen=True):
    """A write that was refused permanently; an error, since every key is new."""

    command_id: str
    status: int
    detail: str


class Repeat(msgspec.Struct, frozen=True):
    """An accepted write that was sent again with its command id, and the new response."""

    command_id: str
    first_revision: int
    repeated_revision: int


class History:
    """All writes of one run."""

    def __init__(self) -> None:
        """Create an empty history."""
        self.accepted: list[Accepted] = []
        self.refusals: list[Refusal] = []
        self.repeats: list[Repeat] = []
        self.unresolved: list[str] = []
        """Commands without a response at the end, which may be applied or not."""

    def first_accepted_after(self, moment: float) -> Accepted | None:
        """Return the first accepted write whose successful attempt was sent after a time."""
        for write in accepted_since(self.accepted, moment):
            if write.attempt_began_at >= moment:
                return write
        return None


def accepted_since(accepted: list[Accepted], moment: float) -> list[Accepted]:
    """Return the writes accepted after a time; both lists are in the order of acceptance."""
    start = len(accepted)
    while start > 0 and accepted[start - 1].accepted_at >= moment:
        start -= 1
    return accepted[start:]


def object_key(command_id: str) -> str:
    """Return the key of the object that a command creates."""
    return KEY_PREFIX + command_id
