"""Who founds the batch keepers' group: decided once, by the control group's leader."""

from collections.abc import Sequence

from merlinstand.cluster.daemons import DaemonReport, Keeper, keeper_of
from merlinstand.consensus.placement import PlacementRule

SETTLE_SECONDS = 1.0
"""Founders are chosen once enough keepers reported and no new one came for this long."""
PATIENCE_SECONDS = 5.0
"""After this long a smaller group is founded."""


class KeeperFounding:
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

    def decide(self, reports: Sequence[DaemonReport], now: float) -> list[Keeper]:
        """Choose the founders if it is time to.

        Args:
            reports: What keepers told lately.
            now: Local time.

        Returns:
            The founders, given once; nothing while more may come.
        """
        founders = [report for report in reports if report.may_found]
        for report in founders:
            self._first_seen_at.setdefault(report.node_id, now)
        if self._is_decided or not founders or not self._is_time(len(founders), now):
            return []
        self._is_decided = True
        keepers = sorted((keeper_of(report) for report in founders), key=lambda k: k.node_id)
        return self._placement.choose(keepers, self._group_size)

    def _is_time(self, reported: int, now: float) -> bool:
        first_at = min(self._first_seen_at.values())
        last_at = max(self._first_seen_at.values())
        is_settled = reported >= self._group_size and now - last_at >= SETTLE_SECONDS
        return is_settled or now - first_at >= PATIENCE_SECONDS
