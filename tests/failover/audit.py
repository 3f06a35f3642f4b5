"""Audit of a run: every accepted write must be present and applied exactly once."""

import msgspec

from tests.failover.history import History, object_key


class Audit(msgspec.Struct, frozen=True, kw_only=True):
    """Comparison of the writes with the final configuration."""

    accepted: int
    repeated: int
    """Accepted writes that were sent again under their command id."""
    unresolved: int
    """Writes without a response, which may be present or missing."""
    lost: tuple[str, ...]
    """Keys of accepted writes whose object is missing."""
    applied_twice: tuple[str, ...]
    """Keys whose revision differs from a response, or whose first write was refused."""
    unknown: tuple[str, ...]
    """Keys of objects that no writer created."""

    @property
    def passed(self) -> bool:
        """Whether there are no lost, repeated or unknown writes."""
        return not (self.lost or self.applied_twice or self.unknown)


def audit(history: History, revisions: dict[str, int]) -> Audit:
    """Compare the writes with the configuration read at the end.

    Args:
        history: The writes and their responses.
        revisions: Final revision of each object by key.
    """
    answered = {object_key(write.command_id): write.revision for write in history.accepted}
    written = set(answered) | {object_key(command_id) for command_id in history.unresolved}
    written.update(object_key(refusal.command_id) for refusal in history.refusals)
    changed = {
        key for key, revision in answered.items() if revisions.get(key, revision) != revision
    }
    changed.update(
        object_key(repeat.command_id)
        for repeat in history.repeats
        if repeat.repeated_revision != repeat.first_revision
    )
    changed.update(object_key(refusal.command_id) for refusal in history.refusals)
    return Audit(
        accepted=len(answered),
        repeated=len(history.repeats),
        unresolved=len(set(history.unresolved)),
        lost=tuple(sorted(answered.keys() - revisions.keys())),
        applied_twice=tuple(sorted(changed)),
        unknown=tuple(sorted(revisions.keys() - written)),
    )
