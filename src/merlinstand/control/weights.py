"""Published weight versions and the staleness bound derived from them."""

import msgspec

from merlinstand.configuration.objects import PolicySource, Weights, WeightVersion
from merlinstand.control.commands import BatchSample, PublishWeights, Refused

MAXIMUM_LISTED_VERSIONS = 64
"""Maximum number of versions listed for a model; the oldest are dropped first."""


def next_weights(
    current: Weights | None, command: PublishWeights, group_time: float
) -> Weights | Refused:
    """Add a version to a model's list.

    Args:
        current: The published versions, if any.
        command: The version to publish.
        group_time: Group time of the commit in seconds.

    Returns:
        The new list, or the refusal.
    """
    newest = newest_version(current)
    if command.version != newest + 1:
        return Refused(
            code="conflict", detail=f"version {command.version} offered, next is {newest + 1}"
        )
    if not command.model or not command.digest or command.size_bytes < 0:
        return Refused(code="invalid_input", detail="model, digest and size are needed")
    added = WeightVersion(
        command.version, command.digest, command.source, command.size_bytes, group_time
    )
    earlier = () if current is None else current.versions
    return Weights(command.model, (*earlier, added)[-MAXIMUM_LISTED_VERSIONS:])


def newest_version(weights: Weights | None) -> int:
    """Return the newest published version, 0 if there is none."""
    return 0 if weights is None or not weights.versions else weights.versions[-1].version


class StalenessBound(msgspec.Struct, frozen=True):
    """Oldest and newest version that a batch may contain at a given time."""

    newest_version: int
    oldest_allowed: int

    def find_violation(self, samples: tuple[BatchSample, ...]) -> str:
        """Return a description of the first sample out of bounds, or the empty string."""
        for sample in samples:
            if sample.oldest_version < self.oldest_allowed:
                return (
                    f"{sample.sample_id} contains version {sample.oldest_version}, "
                    f"oldest allowed is {self.oldest_allowed}"
                )
            if sample.oldest_version > self.newest_version:
                return f"{sample.sample_id} names a version that was never published"
        return ""


def staleness_bound(
    weights: Weights | None, policy: PolicySource, group_time: float
) -> StalenessBound:
    """Return the versions that a policy allows at a group time in seconds.

    A version's age in seconds counts from the publication of its successor. The newest version has
    no successor and is never too old.
    """
    newest = newest_version(weights)
    oldest_allowed = newest - policy.maximum_staleness_versions
    seconds = policy.maximum_staleness_seconds
    if seconds is not None and weights is not None:
        allowed = [
            version.version - 1
            for version in weights.versions
            if group_time - version.published_at <= seconds
        ]
        oldest_allowed = max(oldest_allowed, min(allowed, default=newest))
    return StalenessBound(newest, oldest_allowed)
