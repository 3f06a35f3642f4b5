"""Batch jobs, their items and results, as gateways send them and keepers store them.

Logs on disk contain these Structs, so encoded field names and the order of fields must not change.
Items and results are exempt from cyclic garbage collection (`gc=False`): they cannot be part of a
reference cycle, and a keeper holds thousands of them.
"""

import enum

import msgspec
from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError
from merlinstand.common.packed_text import compress, decompress


class ScoringCall(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The request that scores an item's text."""

    request_id: str
    """Id of the scoring request, the same in all attempts."""
    host: str
    """Host by which the route is looked up."""
    path: str
    body: bytes


class BatchItem(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One generation of a batch job."""

    item_id: str
    path: str
    headers: dict[str, str]
    """Header names are in lower case."""
    body: bytes
    maximum_tokens: int = msgspec.field(default=0, name="tokens")
    """Prompt tokens plus the maximum number of output tokens."""
    expected_tokens: int = 0
    """Output tokens that the sender expects; 0 if it gave no estimate."""
    group: str = ""
    """Group of the item. Items of a group share a prompt and count as a unit; see
    `BatchJob.wanted_groups`."""
    scoring: ScoringCall | None = None


class BatchJob(msgspec.Struct, frozen=True, kw_only=True):
    """A set of generations (items) that is accepted or rejected as a whole and run later."""

    job_id: str
    host: str
    """Host and path of the job's route; an item without a host header uses this host."""
    path: str
    items: tuple[BatchItem, ...]
    step: int = 0
    """The trainer's step number; only logged."""
    model: str = ""
    """Model that generates the texts; empty if any model may."""
    minimum_version: int = 0
    """Oldest weight version that may generate the texts."""
    wanted_groups: int = 0
    """Number of complete groups for which the trainer waits."""
    tenant: str = ""
    """Owner of the job; empty if it was accepted while no tenants were configured."""

    def is_visible_to(self, tenant: str) -> bool:
        """Whether a tenant's calls may access the job; other tenants get "not found"."""
        return self.tenant in ("", tenant)

    def count_groups(self) -> int:
        """Return the number of groups, complete or not."""
        return len({item.group for item in self.items})


class ResultState(enum.Enum):
    """How an item ended."""

    SUCCEEDED = "succeeded"
    TERMINATED = "terminated"


class ItemResult(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """The result of an item. Its position in the job's results never changes."""

    item_id: str
    state: ResultState
    text: str = ""
    """Data of all events in order, one per line; empty if `packed_text` is set."""
    packed_text: bytes = b""
    """The compressed text; empty if compression does not make the text smaller."""
    text_length: int = 0
    """Characters of the text before compression; 0 if it is not compressed."""
    versions: tuple[int, ...] = ()
    """Weight versions that generated events of the text."""
    score: str = ""
    """Signature from the scoring service."""

    @classmethod
    def succeeded(
        cls, item_id: str, text: str, versions: tuple[int, ...], score: str
    ) -> "ItemResult":
        """Create the result of a complete text, compressed if that makes the text smaller."""
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
        """Characters of the uncompressed text."""
        return self.text_length or len(self.text)

    def full_text(self) -> Result[str, InvalidInputError]:
        """Return the uncompressed text; an error if the compressed data is malformed."""
        if not self.packed_text:
            return Ok(self.text)
        unpacked = decompress(self.packed_text)
        if isinstance(unpacked, Err):
            return unpacked
        try:
            return Ok(unpacked.ok_value.decode())
        except UnicodeDecodeError as error:
            return Err(InvalidInputError(detail=f"compressed text is not valid UTF-8: {error}"))
