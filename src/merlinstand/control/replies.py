"""Messages with which control answers sessions."""

from merlinstand.common.ids import NodeId
from merlinstand.configuration.table import Delta
from merlinstand.control.commands import AnyOutcome, Refused, encode_outcome
from merlinstand.kernel.effects import SendMessage
from merlinstand.protocol.generated.control.ttypes import (
    CommandReply,
    CommandStatus,
    ConfigurationEntry,
    ConfigurationPull,
    ConfigurationUpdate,
    QueryReply,
)

BUSY_RETRY_SECONDS = 0.25
"""When a refused session should come back; sessions spread their returns."""

NO_PROOF_AGE_SECONDS = -1.0
"""`proof_age_seconds` on the wire where there is no proof; a proof's age is never negative."""


def outcome_reply(
    receiver: NodeId, command_id: str, revision: int, outcome: AnyOutcome
) -> SendMessage:
    """Answer a command that was judged."""
    refused = isinstance(outcome, Refused)
    status = CommandStatus.REJECTED if refused else CommandStatus.APPLIED
    reply = CommandReply(command_id, status, revision, encode_outcome(outcome), "", 0.0)
    return SendMessage(receiver, reply)


def not_proposed_reply(
    receiver: NodeId, command_id: str, status: CommandStatus, leader: str
) -> SendMessage:
    """Answer a command that was certainly not proposed here, or certainly lost."""
    reply = CommandReply(command_id, status, 0, b"", leader, BUSY_RETRY_SECONDS)
    return SendMessage(receiver, reply)


def query_reply(
    receiver: NodeId, query_id: str, status: CommandStatus, answer: bytes, leader: str
) -> SendMessage:
    """Answer a query."""
    return SendMessage(receiver, QueryReply(query_id, status, answer, leader))


def configuration_update(
    pull: ConfigurationPull, delta: Delta, proof_age_seconds: float | None
) -> ConfigurationUpdate:
    """Build the answer to a pull; daemons that relay use it as well."""
    entries = [
        ConfigurationEntry(entry.key, entry.revision, entry.deleted, entry.payload)
        for entry in delta.entries
    ]
    return ConfigurationUpdate(
        from_revision=delta.from_revision,
        to_revision=delta.to_revision,
        entries=entries,
        sent_at=pull.sent_at,
        proof_age_seconds=NO_PROOF_AGE_SECONDS if proof_age_seconds is None else proof_age_seconds,
        full=delta.full,
    )
