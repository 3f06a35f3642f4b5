"""Reads back at the end: every accepted write is there, and was applied once."""

import msgspec

from tests.failover.history import History, key_of


class Audit(msgspec.Struct, frozen=True, kw_only=True):
    """What the final configuration says about the writes."""

    accepted: int
    repeated: int
    """Accepted writes that were sent again under their command id."""
    unresolved: int
    """Writes that were never answered: allowed to be there or not."""
    lost: tuple[str, ...]
    """Accepted, but their object is not there."""
    applied_twice: tuple[str, ...]
    """Another revision than the answered one, or refused as if it were a second command."""
    unknown: tuple[str, ...]
    """Objects that nobody wrote."""

    @property
    def passed(self) -> bool:
        """Whether no promise was broken."""
        return not (self.lost or self.applied_twice or self.unknown)


def audit(history: History, revisions: dict[str, int]) -> Audit:
    """Compare the writes with the configuration read at the end.

    Args:
        history: What was answered.
        revisions: Revision of each object by key.
    """
    answered = {key_of(write.command_id): write.revision for write in history.accepted}
    written = set(answered) | {key_of(command_id) for command_id in history.unresolved}
    written.update(key_of(refusal.command_id) for refusal in history.refusals)
    moved = {key for key, revision in answered.items() if revisions.get(key, revision) != revision}
    moved.update(
        key_of(repeat.command_id)
        for repeat in history.repeats
        if repeat.repeated_revision != repeat.first_revision
    )
    moved.update(key_of(refusal.command_id) for refusal in history.refusals)
    return Audit(
        accepted=len(answered),
        repeated=len(history.repeats),
        unresolved=len(set(history.unresolved)),
        lost=tuple(sorted(answered.keys() - revisions.keys())),
        applied_twice=tuple(sorted(moved)),
        unknown=tuple(sorted(revisions.keys() - written)),
    )
