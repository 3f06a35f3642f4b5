"""Linearizable reads of state that is not spread as configuration."""

import msgspec

from merlinstand.control.commands import AnyOutcome


class Query(msgspec.Struct, frozen=True, kw_only=True, tag_field="query"):
    """Base of all queries."""


class LedgerQuery(Query, frozen=True, kw_only=True, tag="ledger"):
    """Where a job's consumers stand and which samples are used."""

    job: str


class LeaseQuery(Query, frozen=True, kw_only=True, tag="leases"):
    """All leases (operators' status)."""


class MembersQuery(Query, frozen=True, kw_only=True, tag="members"):
    """The control group's members (operators' status)."""


class CommandQuery(Query, frozen=True, kw_only=True, tag="command"):
    """How an operator's command ended, as long as it is remembered."""

    command_id: str


class ConsumerPosition(msgspec.Struct, frozen=True):
    """One consumer of a job."""

    consumer: str
    next_batch: int
    """Batch to be composed, or the last one composed and not yet acknowledged."""
    nonce: str
    """Nonce of the unacknowledged attempt at next_batch, or empty."""
    samples: tuple[str, ...]
    """Sample ids of the unacknowledged attempt."""


class LedgerAnswer(msgspec.Struct, frozen=True, tag="ledger"):
    """Positions of every consumer and every sample id ever acknowledged.

    Slots are numbered from 0 for a job; `used_below` says all slots below it are used,
    `used_above` lists the used ones beyond, so that the answer stays bounded.
    """

    consumers: tuple[ConsumerPosition, ...]
    used_below: int
    used_above: tuple[int, ...]


class LeaseState(msgspec.Struct, frozen=True):
    """One lease as the group sees it."""

    resource: str
    holder: str
    epoch: int
    remaining_seconds: float


class LeaseAnswer(msgspec.Struct, frozen=True, tag="leases"):
    """All leases."""

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
    """The first outcome of a command, and the log position where it was judged."""

    revision: int
    outcome: AnyOutcome


AnyQuery = LedgerQuery | LeaseQuery | MembersQuery | CommandQuery
AnyAnswer = LedgerAnswer | LeaseAnswer | MembersAnswer | CommandAnswer

_QUERY_DECODER = msgspec.msgpack.Decoder(AnyQuery)
_ANSWER_DECODER = msgspec.msgpack.Decoder(AnyAnswer)


def decode_query(data: bytes) -> AnyQuery:
    """Decode a query; raises msgspec.DecodeError."""
    return _QUERY_DECODER.decode(data)


def decode_answer(data: bytes) -> AnyAnswer:
    """Decode an answer; raises msgspec.DecodeError."""
    return _ANSWER_DECODER.decode(data)
