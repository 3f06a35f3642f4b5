"""Validates numbers in a deployment file: finite, within range, and consistent with each other."""

import math
from collections.abc import Iterator
from typing import Any

import msgspec

from merlinstand.settings.deployment import DeploymentSettings
from merlinstand.settings.errors import InvalidValue

ZERO_ALLOWED = frozenset(
    (
        "memory_bytes",
        "small_request_bytes",
        "large_request_bytes",
        "response_bytes",
        "election_timeout_spread_seconds",
        "cache_event_interval_seconds",
        "look_ahead_batches",
        "linger_seconds",
        "floor_per_second",
        "burst",
        "share",
        "minimum_calls",
        "lookup_floor",
        "panic_share",
        "spill_utilisation",
        "remote_subset_size",
        "export_minimum_tokens",
        "shortest_read_interval_seconds",
        "minimum_try_seconds",
        "hedge_factor",
        "shortest_hedge_seconds",
        "drain_seconds",
        "grace_seconds",
        "patience_seconds",
        "scorer_wait_seconds",
        "pull_hold_seconds",
    )
)
"""Settings that may be 0; every other number must be above 0."""

FRACTIONS = frozenset(
    ("lookup_floor", "first_try_share", "failure_share", "panic_share", "wave_fraction")
)
"""Settings that are fractions, at most 1."""


def check_numbers(settings: DeploymentSettings) -> Iterator[InvalidValue]:
    """Yield invalid numbers first, then timings that contradict each other."""
    for name in ("http", "control_options", "gateway_options", "coordinator_options"):
        yield from _check_table(name, getattr(settings, name))
    yield from _check_related_timings(settings)


def _check_table(path: str, table: Any) -> Iterator[InvalidValue]:
    for field in table.__struct_fields__:
        value = getattr(table, field)
        key_path = f"{path}.{field}"
        if isinstance(value, msgspec.Struct):
            yield from _check_table(key_path, value)
        elif isinstance(value, int | float) and not isinstance(value, bool):
            expected = _describe_expected_number(field, value)
            if expected:
                yield InvalidValue(key_path, value, expected)


def _describe_expected_number(field: str, value: float) -> str:
    """Return a description of a valid value, or an empty string if the value is valid."""
    if not math.isfinite(value):
        return "a finite number"
    if field in FRACTIONS and value > 1:
        return "at most 1"
    if field in ZERO_ALLOWED:
        return "0 or more" if value < 0 else ""
    return "more than 0" if value <= 0 else ""


def _check_related_timings(settings: DeploymentSettings) -> Iterator[InvalidValue]:
    timings = settings.control_options.timings
    if timings.heartbeat_interval_seconds * 2 > timings.election_timeout_seconds:
        yield InvalidValue(
            "control_options.timings.heartbeat_interval_seconds",
            timings.heartbeat_interval_seconds,
            f"at most half of election_timeout_seconds = {timings.election_timeout_seconds:g}",
        )
    for name in ("gateway_options", "coordinator_options"):
        session = getattr(settings, name).session
        pull_cycle_seconds = session.pull_interval_seconds + session.pull_timeout_seconds
        if session.configuration_lease_seconds <= pull_cycle_seconds:
            yield InvalidValue(
                f"{name}.session.configuration_lease_seconds",
                session.configuration_lease_seconds,
                f"more than pull_interval_seconds + pull_timeout_seconds = {pull_cycle_seconds:g}",
            )
