"""Who founds the batch keepers' group: decided once, by the control group's leader.

Owns when each keeper of a first start reported to this leadership; the decision itself is an entry
of the directory's log. Run by the control leader until the group is founded.
"""

from collections.abc import Collection, Sequence

from merlinstand.cluster.daemons import DaemonReport, Keeper, keeper_from_report
from merlinstand.consensus.placement import PlacementRule

SETTLE_SECONDS = 1.0
"""Founders are chosen once enough keepers reported and no new one came for this long; chosen, not
measured."""
PATIENCE_SECONDS = 5.0
"""After this long a smaller group is founded; chosen, not measured."""


def is_time_to_found(
    reporting: int, first_seen_at: Collection[float], group_size: int, now: float
) -> bool:
    """Whether the founders are chosen now.

    Args:
        reporting: Keepers of a first start that reported lately.
        first_seen_at: When each of them, and any that is silent since, reported first; at least
            one.
        group_size: Replicas of batch jobs needed to tolerate the losses.
        now: Local time in seconds.
    """
    is_settled = reporting >= group_size and now - max(first_seen_at) >= SETTLE_SECONDS
    return is_settled or now - min(first_seen_at) >= PATIENCE_SECONDS


class KeeperBootstrap:
    """Keepers of a first start that reported to one leader; forgotten with its leadership."""

    def __init__(self, group_size: int, placement: PlacementRule) -> None:
        """Begin a leadership.

        Args:
            group_size: Replicas of batch jobs needed to tolerate the losses.
            placement: Where the members should stand.
        """
        self._group_size = group_size
        self._placement = placement
        self._first_seen_at: dict[str, float] = {}
        self._is_decided = False

    def choose_founders(self, reports: Sequence[DaemonReport], now: float) -> list[Keeper]:
        """Choose the founders if it is time to.

        Args:
            reports: Of keepers heard lately.
            now: Local time in seconds.

        Returns:
            The founders, given once; nothing while more may come.
        """
        founders = [report for report in reports if report.may_bootstrap]
        for report in founders:
            self._first_seen_at.setdefault(report.node_id, now)
        if self._is_decided or not founders:
            return []
        first_seen_at = self._first_seen_at.values()
        if not is_time_to_found(len(founders), first_seen_at, self._group_size, now):
            return []
        self._is_decided = True
        keepers = sorted(
            (keeper_from_report(report) for report in founders), key=lambda k: k.node_id
        )
        return self._placement.choose(keepers, self._group_size)
