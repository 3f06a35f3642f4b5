"""Batch jobs, their items and their results, as gateways send and keepers keep them.

Fields and their order are read back from logs on disk, so they keep their names and places. The
collector of cycles passes items and results over (`gc=False`): they refer to nothing that could
refer back, and a keeper holds thousands of them.
"""

import enum

import msgspec
from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError
from merlinstand.common.packed_text import compress, decompress


class ScoringCall(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The request that scores an item's text."""

    request_id: str
    """The same for all tries."""
    host: str
    """Host and path of its route."""
    path: str
    body: bytes


class BatchItem(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One generation of a batch job."""

    item_id: str
    path: str
    headers: dict[str, str]
    """Names in lower case."""
    body: bytes
    maximum_tokens: int = msgspec.field(default=0, name="tokens")
    """Tokens of the prompt and most tokens out, summed."""
    expected_tokens: int = 0
    """The sender's guess of the tokens out; 0 if it made none."""
    group: str = ""
    """Items of a group share their prompt and count together."""
    scoring: ScoringCall | None = None


class BatchJob(msgspec.Struct, frozen=True, kw_only=True):
    """Many generations that are accepted at once and run later."""

    job_id: str
    host: str
    """Host and path of its route."""
    path: str
    items: tuple[BatchItem, ...]
    step: int = 0
    """The trainer's number of the step; only logged here."""
    model: str = ""
    """Whose weights make its tokens; empty if any will do."""
    minimum_version: int = 0
    """Oldest weight version that may make its tokens."""
    wanted_groups: int = 0
    """Whole groups that the trainer waits for."""
    tenant: str = ""
    """Whose job it is; empty if it was accepted while there were no tenants."""

    def belongs_to(self, tenant: str) -> bool:
        """Whether calls of a tenant may see it: another tenant gets "not found"."""
        return self.tenant in ("", tenant)

    def count_groups(self) -> int:
        """Count its groups, whole or not."""
        return len({item.group for item in self.items})


class ResultState(enum.Enum):
    """How an item ended."""

    SUCCEEDED = "succeeded"
    TERMINATED = "terminated"


class ItemResult(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """What a reader gets for an item, at a position that never changes."""

    item_id: str
    state: ResultState
    text: str = ""
    """Data of all events in order, one a line; empty if it is packed."""
    packed_text: bytes = b""
    """The text compressed, where that makes it smaller."""
    text_length: int = 0
    """Characters of the packed text."""
    versions: tuple[int, ...] = ()
    """Every weight version that made an event of the text."""
    score: str = ""
    """The scoring service's signature."""

    @classmethod
    def succeeded(
        cls, item_id: str, text: str, versions: tuple[int, ...], score: str
    ) -> "ItemResult":
        """Make the result of a whole text, packed if that makes it smaller."""
        packed = compress(text.encode())
        return cls(
            item_id=item_id,
            state=ResultState.SUCCEEDED,
            text="" if packed else text,
            packed_text=packed,
            text_length=len(text) if packed else 0,
            versions=versions,
            score=score,
        )

    @property
    def length(self) -> int:
        """Characters of the text."""
        return self.text_length or len(self.text)

    def full_text(self) -> Result[str, InvalidInputError]:
        """Give the text; an error if its packed form is malformed."""
        if not self.packed_text:
            return Ok(self.text)
        unpacked = decompress(self.packed_text)
        if isinstance(unpacked, Err):
            return unpacked
        try:
            return Ok(unpacked.ok_value.decode())
        except UnicodeDecodeError as error:
            return Err(InvalidInputError(detail=f"packed text: {error}"))
