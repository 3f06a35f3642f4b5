"""Every scenario by name."""

from merlinstand_lab.simulator.plan import REGISTRY, Scenario
from merlinstand_lab.simulator.scenarios import control, sessions, together, whole

_MODULES = (control, sessions, together, whole)
"""Importing them registers their scenarios."""


def all_scenarios() -> dict[str, Scenario]:
    """Return every scenario by name, in a fixed order."""
    return dict(sorted(REGISTRY.items()))
