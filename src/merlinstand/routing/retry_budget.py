"""Creates the budgets for retries and hedges of a pool."""

from merlinstand.decisions.send_budget import AttemptBudget
from merlinstand.routing.settings import RetryBudgetSettings


def new_attempt_budget(settings: RetryBudgetSettings) -> AttemptBudget:
    """Create a budget that begins half full: with half of `settings.burst`."""
    return AttemptBudget(settings.share, settings.burst, settings.floor_per_second)
