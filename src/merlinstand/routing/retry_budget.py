"""A budget that keeps retries a small share of first tries."""

from merlinstand.routing.settings import RetryBudgetSettings


class RetryBudget:
    """Each first try earns a fraction of a retry; a retry spends a whole one."""

    __slots__ = ("_balance", "_settings", "_updated_at")

    def __init__(self, settings: RetryBudgetSettings) -> None:
        """Start half full: a replica may die before a quiet pool has earned anything."""
        self._settings = settings
        self._balance = settings.burst / 2.0
        self._updated_at: float | None = None

    def first_try(self, now: float) -> None:
        """Count a first try."""
        self._earn_floor(now)
        self._balance = min(self._balance + self._settings.share, self._settings.burst)

    def take(self, now: float) -> bool:
        """Spend a retry.

        Returns:
            Whether the budget allowed it.
        """
        self._earn_floor(now)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _earn_floor(self, now: float) -> None:
        if self._updated_at is not None:
            elapsed_seconds = max(0.0, now - self._updated_at)
            earned = elapsed_seconds * self._settings.floor_per_second
            self._balance = min(self._balance + earned, self._settings.burst)
        self._updated_at = now
