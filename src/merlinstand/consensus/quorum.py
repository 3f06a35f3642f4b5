"""Majority arithmetic, shared by elections, commits, leases and reads."""

from collections.abc import Sequence


def quorum_size(voter_count: int) -> int:
    """Size of a majority: any two sets of so many voters overlap."""
    return voter_count // 2 + 1


def quorum_value(values: Sequence[float]) -> float:
    """The highest value that a quorum of voters has reached.

    Args:
        values: One value per voter; must not be empty.
    """
    return sorted(values, reverse=True)[quorum_size(len(values)) - 1]


def quorum_index(indexes: Sequence[int]) -> int:
    """The highest log index that a quorum of voters has reached; `indexes` must not be empty."""
    return sorted(indexes, reverse=True)[quorum_size(len(indexes)) - 1]
