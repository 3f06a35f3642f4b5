"""Choice of the founders (initial members) of the batch keepers' group.

The control leader evaluates this choice until the founders are committed to the directory's log.
Only the current leader stores the times at which keepers first reported; a new leader starts over.
"""

from collections.abc import Collection, Sequence

from merlinstand.cluster.daemons import DaemonReport, Keeper, keeper_from_report
from merlinstand.consensus.placement import PlacementRule

SETTLING_SECONDS = 1.0
"""Once enough keepers have reported, the founders are chosen after this time without a first report
of another keeper."""
BOOTSTRAP_TIMEOUT_SECONDS = 5.0
"""Maximum time from the first report to the choice of the founders; after it, they are chosen even
if there are too few keepers for a full group."""


def is_bootstrap_due(
    candidate_count: int, first_reported_at: Collection[float], group_size: int, now: float
) -> bool:
    """Return whether it is time to choose the founders.

    Args:
        candidate_count: Number of keepers in their first start that reported recently.
        first_reported_at: Local times of the first reports of all candidates so far, including
            those that no longer report; not empty.
        group_size: Number of replicas needed to tolerate the configured losses.
        now: Local time in seconds.
    """
    is_settled = candidate_count >= group_size and now - max(first_reported_at) >= SETTLING_SECONDS
    return is_settled or now - min(first_reported_at) >= BOOTSTRAP_TIMEOUT_SECONDS


class KeeperBootstrap:
    """Chooses the founders among the keepers that reported to this control leader."""

    def __init__(self, group_size: int, placement: PlacementRule) -> None:
        """Start without candidates.

        Args:
            group_size: Number of replicas needed to tolerate the configured losses.
            placement: Preferred distribution of the members over zones and regions.
        """
        self._group_size = group_size
        self._placement = placement
        self._first_reported_at: dict[str, float] = {}
        self._is_decided = False

    def choose_founders(self, reports: Sequence[DaemonReport], now: float) -> list[Keeper]:
        """Choose the founders if it is time to do so.

        Args:
            reports: Reports of keepers heard recently.
            now: Local time in seconds.

        Returns:
            The founders, in one call only; an empty list in all earlier and later calls.
        """
        candidates = [report for report in reports if report.may_bootstrap]
        for report in candidates:
            self._first_reported_at.setdefault(report.node_id, now)
        if self._is_decided or not candidates:
            return []
        first_reported_at = self._first_reported_at.values()
        if not is_bootstrap_due(len(candidates), first_reported_at, self._group_size, now):
            return []
        self._is_decided = True
        keepers = sorted(
            (keeper_from_report(report) for report in candidates), key=lambda k: k.node_id
        )
        return self._placement.choose(keepers, self._group_size)
