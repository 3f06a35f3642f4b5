"""Linearizable reads of replicated state that is not part of the configuration."""

import msgspec

from merlinstand.control.commands import AnyOutcome


class Query(msgspec.Struct, frozen=True, kw_only=True, tag_field="query"):
    """Base of all queries."""


class LedgerQuery(Query, frozen=True, kw_only=True, tag="ledger"):
    """Positions of a job's consumers, and the used slots."""

    job: str


class LeaseQuery(Query, frozen=True, kw_only=True, tag="leases"):
    """All unexpired leases (operators' status)."""


class MembersQuery(Query, frozen=True, kw_only=True, tag="members"):
    """The control group's members (operators' status)."""


class CommandQuery(Query, frozen=True, kw_only=True, tag="command"):
    """Outcome of an operator's command, while it is within the deduplication window."""

    command_id: str


class ConsumerPosition(msgspec.Struct, frozen=True):
    """Position of one consumer of a job."""

    consumer: str
    next_batch: int
    """Number of the unacknowledged batch, or of the next one to compose if all are acknowledged."""
    nonce: str
    """Nonce of the unacknowledged attempt at next_batch, or empty."""
    samples: tuple[str, ...]
    """Sample ids of the unacknowledged attempt."""


class LedgerAnswer(msgspec.Struct, frozen=True, tag="ledger"):
    """Positions of every consumer, and the used slots.

    Slots are numbered from 0 in each job. All slots below `used_below` are used; `used_above` lists
    the used slots from there on, which bounds the size of the answer.
    """

    consumers: tuple[ConsumerPosition, ...]
    used_below: int
    used_above: tuple[int, ...]


class LeaseState(msgspec.Struct, frozen=True):
    """One unexpired lease, by group time."""

    resource: str
    holder: str
    epoch: int
    remaining_seconds: float


class LeaseAnswer(msgspec.Struct, frozen=True, tag="leases"):
    """All unexpired leases."""

    leases: tuple[LeaseState, ...]


class MemberState(msgspec.Struct, frozen=True):
    """One control replica."""

    node_id: str
    incarnation: int
    address: str
    zone: str
    voter: bool
    leader: bool
    match_index: int
    last_heard_seconds: float


class MembersAnswer(msgspec.Struct, frozen=True, tag="members"):
    """The control group."""

    term: int
    commit_index: int
    members: tuple[MemberState, ...]


class CommandAnswer(msgspec.Struct, frozen=True, tag="command"):
    """Outcome of a command, and the log position at which it was applied."""

    revision: int
    outcome: AnyOutcome


AnyQuery = LedgerQuery | LeaseQuery | MembersQuery | CommandQuery
AnyAnswer = LedgerAnswer | LeaseAnswer | MembersAnswer | CommandAnswer

_QUERY_DECODER = msgspec.msgpack.Decoder(AnyQuery)
_ANSWER_DECODER = msgspec.msgpack.Decoder(AnyAnswer)


def decode_query(data: bytes) -> AnyQuery:
    """Decode a query.

    Raises:
        msgspec.DecodeError: The bytes are not a valid query.
    """
    return _QUERY_DECODER.decode(data)


def decode_answer(data: bytes) -> AnyAnswer:
    """Decode an answer.

    Raises:
        msgspec.DecodeError: The bytes are not a valid answer.
    """
    return _ANSWER_DECODER.decode(data)
