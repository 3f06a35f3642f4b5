"""Majority arithmetic, shared by elections, commits, leases and reads."""

from collections.abc import Sequence


def quorum_size(voter_count: int) -> int:
    """Smallest number of voters any two sets of which overlap."""
    return voter_count // 2 + 1


def quorum_value(values: Sequence[float]) -> float:
    """The highest value that a quorum of voters has reached.

    Args:
        values: One value for each voter; must not be empty.
    """
    return sorted(values, reverse=True)[quorum_size(len(values)) - 1]


def quorum_index(indexes: Sequence[int]) -> int:
    """The highest log position that a quorum of voters has reached."""
    return sorted(indexes, reverse=True)[quorum_size(len(indexes)) - 1]
