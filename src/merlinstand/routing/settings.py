"""Tunables of the choice of a back end."""

import msgspec


class BreakerSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """When a replica is left alone after failures, and for how long."""

    consecutive_failures: int = 5
    """Failures in a row that open the breaker."""
    failure_share: float = 0.5
    """Share of failures among recent calls that opens the breaker."""
    minimum_calls: float = 10.0
    """Recent calls below which the share says nothing."""
    window_seconds: float = 10.0
    """Time constant with which calls are forgotten."""
    first_open_seconds: float = 1.0
    """How long a breaker stays open at first; it doubles with each failed trial."""
    longest_open_seconds: float = 20.0
    """Longest time a breaker stays open."""


class RetryBudgetSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How many retries a pool may see."""

    share: float = 0.2
    """Retries allowed for each first try."""
    floor_per_second: float = 1.0
    """Retries allowed whatever the traffic, so that a quiet pool can retry at all."""
    burst: float = 20.0
    """Most retries saved up."""


class RouterSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How one daemon chooses among the replicas of a pool."""

    subset_size: int = 16
    """Most replicas of its own zone that a daemon uses."""
    remote_subset_size: int = 8
    """Most replicas of other zones that a daemon uses."""
    load_half_life_seconds: float = 2.0
    """Age at which a reported load counts half."""
    load_expiry_seconds: float = 15.0
    """Age from which a reported load counts nothing."""
    load_report_share: float = 0.1
    """Weight of a replica's new load report against those before it."""
    spill_utilisation: float = 0.35
    """Utilisation by which a local replica must exceed a remote one to send work away."""
    bounded_load_factor: float = 1.25
    """Affinity may load a replica up to this multiple of the mean."""
    panic_share: float = 0.2
    """Breakers are ignored when they would leave no more than this share of the replicas.

    Small enough that the last healthy one of three or four replicas still gets all the work:
    two thirds of it sent to dead replicas would fail, where one live replica can serve."""
    back_off_default_seconds: float = 0.5
    """Pause after a refusal that did not say when to come back."""
    back_off_maximum_seconds: float = 10.0
    """Longest pause that a replica's own `Retry-After` may ask for."""
    unanswered_status_limit: int = 3
    """Status requests without answer, one after another, that make a replica suspect."""
    maximum_hints: int = 4_096
    """Most prefix digests remembered for one replica."""
    breaker: BreakerSettings = BreakerSettings()
    """When a replica is left alone."""
    retry_budget: RetryBudgetSettings = RetryBudgetSettings()
    """How many retries a pool may see."""
