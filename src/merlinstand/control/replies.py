"""Builds the messages with which control replies to sessions."""

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
"""Retry delay for a session whose request was refused; sessions add jitter."""

NO_PROOF_AGE_SECONDS = -1.0
"""Value of `proof_age_seconds` on the wire if there is no freshness proof; ages are never
negative."""


def outcome_reply(
    receiver: NodeId, command_id: str, revision: int, outcome: AnyOutcome
) -> SendMessage:
    """Build the reply with a command's outcome."""
    refused = isinstance(outcome, Refused)
    status = CommandStatus.REJECTED if refused else CommandStatus.APPLIED
    reply = CommandReply(command_id, status, revision, encode_outcome(outcome), "", 0.0)
    return SendMessage(receiver, reply)


def not_proposed_reply(
    receiver: NodeId, command_id: str, status: CommandStatus, leader: str
) -> SendMessage:
    """Build the reply to a command that was certainly not proposed, or whose proposal was lost."""
    reply = CommandReply(command_id, status, 0, b"", leader, BUSY_RETRY_SECONDS)
    return SendMessage(receiver, reply)


def query_reply(
    receiver: NodeId, query_id: str, status: CommandStatus, answer: bytes, leader: str
) -> SendMessage:
    """Build the reply to a query."""
    return SendMessage(receiver, QueryReply(query_id, status, answer, leader))


def configuration_update(
    pull: ConfigurationPull, delta: Delta, proof_age_seconds: float | None
) -> ConfigurationUpdate:
    """Build the reply to a pull; also used by daemons that relay the configuration."""
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
